package pools

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/balance"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// remoteAsk is what another entry host sends to the holder.
func remoteAsk(token uint64) *wire.AcquireRequest {
	return &wire.AcquireRequest{
		Header: wire.Header{From: "eh2", Incarnation: 2}, Pool: poolID, Route: "status", Idempotent: true,
		RemainingMicros: time.Minute.Microseconds(), RunLimitMillis: 2000, WaitMicros: 1000, Token: token,
	}
}

// holding returns a holder of one warm server with 4 slots whose requests take d.
func holding(t *testing.T, d time.Duration) *host {
	h := newHost(t, "eh1", nil, nil)
	h.accept(parse(t, 1, 1, false, ""))
	h.warm(1, 0, 0)
	h.hold()
	synctest.Wait()
	grants := h.fill()
	time.Sleep(d)
	for _, g := range grants {
		r := ran
		r.ServiceTime = d
		h.Release(g, r)
	}
	time.Sleep(2 * tick) // the median is published
	return h
}

// TestRemoteWaitEndsWithAsker guards against a slot that is given to another
// entry host after that one gave up. Nobody reports the end of such a grant,
// and it keeps its slot for the run limit.
func TestRemoteWaitEndsWithAsker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := holding(t, 160*time.Millisecond) // the expected wait is 40 ms
		defer h.stop()
		grants := h.fill()
		is.Equal(len(grants), 4)
		r, reply := &Receiver{h.Controller}, &wire.AcquireReply{}
		asked, took := time.Now(), time.Duration(0)
		go func() {
			_ = r.Acquire(remoteAsk(7), reply)
			took = time.Since(asked)
		}()
		time.Sleep(filter.GrantStart) // the asker gives up and cancels its token
		is.NoErr(r.Done(&wire.DoneRequest{Header: wire.Header{Incarnation: 2}, Done: []wire.GrantDone{{Pool: poolID, Token: 7}}}, &wire.DoneReply{}))
		h.Release(grants[0], ran)
		synctest.Wait()
		is.Equal(len(h.fill()), 1)
		is.True(took > 0 && took < filter.GrantStart) // it waited, but not for too long
	})
}

// TestRemoteRunLimit guards against a slot that is free for the next request
// while a request still runs under the longer run limit of its asker, whose
// manifest differs from the holder's.
func TestRemoteRunLimit(t *testing.T) {
	for _, c := range []struct{ asked, taken time.Duration }{
		{10 * time.Second, 10 * time.Second}, {time.Second, time.Second}, {0, 2 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := holding(t, time.Millisecond)
			defer h.stop()
			req, reply := remoteAsk(1), &wire.AcquireReply{}
			req.RunLimitMillis = c.asked.Milliseconds()
			is.NoErr((&Receiver{h.Controller}).Acquire(req, reply))
			is.True(reply.Granted)
			time.Sleep(c.taken + filter.GrantStart - time.Millisecond)
			is.Equal(len(h.fill()), 3)
			time.Sleep(2 * tick)
			is.Equal(len(h.fill()), 1)
		})
	}
}

// TestRemotePriorityOutOfRange guards against a message of another program
// version that ends the goroutine of a pool, after which every request of the
// pool is refused for as long as its lease is renewed.
func TestRemotePriorityOutOfRange(t *testing.T) {
	for _, priority := range []int{-1, 10} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := holding(t, time.Millisecond)
			defer h.stop()
			grants := h.fill()
			is.Equal(len(grants), 4)
			req, reply := remoteAsk(1), &wire.AcquireReply{}
			req.Priority = priority
			is.NoErr((&Receiver{h.Controller}).Acquire(req, reply))
			is.True(!reply.Granted)
			for _, g := range grants {
				h.Release(g, ran)
			}
			synctest.Wait()
			g, reason := h.acquire(ask)
			is.Equal(reason, verdict.ReasonNone)
			is.True(g != nil)
		})
	}
}

// TestShortDeadlineKeepsHolder guards against a caller with a deadline below a
// round trip that makes this host leave out the holder for everybody.
func TestShortDeadlineKeepsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, _, asker := newWarmPair(t, 1)
		l.delay = 3 * time.Millisecond // a round trip between data centres
		short := ask
		short.Remaining = time.Millisecond
		asker.acquire(short)
		g, reason := asker.acquire(ask)
		is.Equal(reason, verdict.ReasonNone)
		is.Equal(g.Holder, "eh1")
		l.delay = time.Second // the holder does not answer
		start := time.Now()
		_, reason = asker.acquire(short)
		is.Equal(reason, verdict.ReasonGrantLost)
		is.True(time.Since(start) <= askAtLeast)
	})
}

// brittle panics once.
type brittle struct{ done atomic.Bool }

func (b *brittle) Score(*balance.Item) float64 {
	if !b.done.Swap(true) {
		panic("fault in an ordering")
	}
	return 0
}

// TestHolderPanic guards against a pool that refuses everything for as long as
// its lease is renewed, because a fault ended its goroutine.
func TestHolderPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost(t, "eh1", nil, nil)
		defer h.stop()
		h.ordering = &brittle{}
		h.accept(parse(t, 1, 1, false, ""))
		h.warm(1, 0, 0)
		h.hold()
		synctest.Wait()
		grants := h.fill() // the last one waits, and meets the fault
		is.Equal(len(grants), 4)
		for _, g := range grants {
			h.Release(g, ran)
		}
		synctest.Wait()
		is.Equal(h.count.panics.Value(), int64(1))
		is.Equal(len(h.fill()), 1) // started over: cold
	})
}
