package accountload

import (
	"testing"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// BenchmarkHot measures the cost of one judgement over a full table.
func BenchmarkHot(b *testing.B) {
	var t Table
	now := clock.Time(time.Second)
	for i := range uint32(maxAccounts) {
		t.Add(now, i, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(200 * time.Millisecond)
		t.Add(now, 1, 3)
		t.Hot(now)
	}
}
