package load

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// TestRateLimiter guards against more requests in any span than the rate allows plus
// maxAhead and one, whatever the rate changes to, and against a rate that is not used.
func TestRateLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l RateLimiter
		now := clock.Time(time.Second)
		rate := rapid.Float64Range(0.001, 50).Draw(t, "rate")
		if rapid.Bool().Draw(t, "restart") {
			l.Restart(now, rate)
			if l.Ready(now, rate) || l.Take(now, rate) {
				t.Fatal("a request is sent at the time of a restart")
			}
		}
		var sent []clock.Time
		for range 2000 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			ready := l.Ready(now, rate)
			if l.Take(now, rate) != ready {
				t.Fatal("Take and Ready differ")
			}
			if ready {
				sent = append(sent, now)
			}
		}
		for i := range sent {
			for j := i; j < len(sent); j++ {
				if allowed := rate*sent[j].Sub(sent[i]).Seconds() + maxAhead + 1; float64(j-i+1) > allowed+0.001 {
					t.Fatalf("%d requests in %v, %v allowed", j-i+1, sent[j].Sub(sent[i]), allowed)
				}
			}
		}
		if least := rate*(now.Sub(clock.Time(time.Second)).Seconds()-0.05)*0.8 - 2; rate < 20 && float64(len(sent)) < least {
			t.Fatalf("%d requests sent, at least %v are possible", len(sent), least)
		}
	})
}
