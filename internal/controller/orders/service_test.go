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

// TestSubmitPanic guards against a forwarded order that crashes the whole process:
// net/rpc runs handlers in its own goroutines and does not recover panics.
func TestSubmitPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation(1)
		defer sim.close()
		c := sim.hosts[0].ctl
		c.SetChain(filter.HandlerFunc(func(context.Context, *filter.Exchange) filter.Outcome { panic("fault in a filter") }))
		reply := &wire.OrderReply{}
		is.NoErr(c.Service().Submit(&wire.OrderRequest{Key: "k"}, reply))
		is.Equal(verdict.Verdict(reply.Verdict), verdict.MayHaveRun)
		is.Equal(reply.ReasonName, verdict.ReasonInternal.String())
		is.Equal(c.panicCount.Value(), int64(1))
	})
}

// TestAbandonedTransfer guards against incomplete hand-overs that stay in memory,
// up to 64 MiB each, after their sender stopped midway.
func TestAbandonedTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation(1)
		defer sim.close()
		c, reply := sim.hosts[0].ctl, &wire.HandOverReply{}
		send := func(part int) bool {
			is.NoErr(c.Service().HandOver(&wire.HandOverRequest{Owner: 1 << 40, Payload: make([]byte, 1024), Part: part, Parts: 3}, reply))
			return reply.Accepted
		}
		incomplete := func() int {
			c.incoming.mu.Lock()
			defer c.incoming.mu.Unlock()
			return len(c.incoming.parts)
		}
		is.True(send(0))
		time.Sleep(handOverTimeout) // the timeout of the sender
		is.True(send(1))
		time.Sleep(handOverTimeout)
		synctest.Wait() // the timer fires at this moment
		is.Equal(incomplete(), 0)
		is.True(!send(2)) // no part may complete a discarded transfer
		is.True(send(0))
		time.Sleep(handOverTimeout - time.Second)
		is.True(send(0)) // the transfer and its timer start again
		time.Sleep(2 * time.Second)
		is.Equal(incomplete(), 1)
	})
}
