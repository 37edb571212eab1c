package orders

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// TestSubmitPanic guards against a forwarded order that ends the whole process:
// net/rpc runs handlers in goroutines of its own and does not recover.
func TestSubmitPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(1)
		defer w.close()
		c := w.hosts[0].ctl
		c.SetChain(filter.HandlerFunc(func(context.Context, *filter.Exchange) filter.Outcome { panic("fault in a filter") }))
		reply := &wire.OrderReply{}
		is.NoErr(c.Service().Submit(&wire.OrderRequest{Key: "k"}, reply))
		is.Equal(verdict.Verdict(reply.Verdict), verdict.MayHaveRun)
		is.Equal(reply.ReasonName, verdict.ReasonInternal.String())
		is.Equal(c.panicks.Value(), int64(1))
	})
}

// TestAbandonedTransfer guards against parts of hand-overs that stay in memory,
// up to 64 MiB each, after their sender was ended in the middle.
func TestAbandonedTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(1)
		defer w.close()
		c, reply := w.hosts[0].ctl, &wire.HandOverReply{}
		send := func(part int) bool {
			is.NoErr(c.Service().HandOver(&wire.HandOverRequest{Owner: 1 << 40, Payload: make([]byte, 1024), Part: part, Parts: 3}, reply))
			return reply.Accepted
		}
		held := func() int {
			c.incoming.mu.Lock()
			defer c.incoming.mu.Unlock()
			return len(c.incoming.parts)
		}
		is.True(send(0))
		time.Sleep(transferLimit) // the bound of the sender
		is.True(send(1))
		time.Sleep(transferLimit)
		synctest.Wait() // the timer fires at this very moment
		is.Equal(held(), 0)
		is.True(!send(2)) // no part may complete a transfer that was given up
		is.True(send(0))
		time.Sleep(transferLimit - time.Second)
		is.True(send(0)) // begun again: the time starts over
		time.Sleep(2 * time.Second)
		is.Equal(held(), 1)
	})
}
