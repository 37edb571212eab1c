package orders

import (
	"context"
	"testing"
	"testing/synctest"

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
