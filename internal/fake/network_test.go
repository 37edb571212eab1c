package fake

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/anvilfront/anvilfront/internal/peer"
)

// TestCloseDuringCalls guards against a caller that starts a delayed request while it is
// closed, since a server's handlers may still call through it.
func TestCloseDuringCalls(t *testing.T) {
	for range 50 {
		n := NewNetwork()
		n.SetFaultRule(func(string, string, string) Fault { return Fault{Delay: time.Microsecond} })
		c := n.Caller("eh1")
		var calls sync.WaitGroup
		for range 4 {
			calls.Go(func() {
				var args, reply struct{}
				ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
				defer cancel()
				_ = c.Call(ctx, peer.Control, "eh2", "None.None", &args, &reply)
			})
		}
		c.Close()
		calls.Wait()
	}
}
