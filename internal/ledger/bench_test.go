package ledger

import (
	"fmt"
	"testing"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// BenchmarkMemory measures the live memory of a ledger that keeps the results of
// finished orders, each with a response body of 256 bytes.
func BenchmarkMemory(b *testing.B) {
	for _, orders := range []int{0, 2000, 8000, 32000} {
		b.Run(fmt.Sprintf("orders=%d", orders), func(b *testing.B) {
			for range b.N {
				before, now := fake.HeapAndStackBytes(), clock.Time(1)
				l := New(DefaultConfig())
				for range orders {
					sequence, expiry, _ := l.Issue(now)
					begun, r := l.Begin(now, sequence, expiry, 1)
					if begun != BeginStarted || !l.Dispatch(now, r) {
						b.Fatal("order refused")
					}
					l.Finish(r, Result{Verdict: verdict.Ran, Response: &filter.Response{
						Status: 200, Headers: []filter.Header{{Name: "Content-Type", Value: "application/json"}}, Body: make([]byte, 256),
					}})
				}
				b.ReportMetric(float64(fake.HeapAndStackBytes()-before)/1024, "KiB")
				if got := l.Usage().Records; got != int64(orders) {
					b.Fatalf("ledger keeps %d records", got)
				}
			}
		})
	}
}
