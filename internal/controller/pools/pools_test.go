package pools

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// TestConcurrentGrantsKeepLimit guards against more requests in flight on a
// server than its slots, and against slots that are lost or waiters forgotten.
func TestConcurrentGrantsKeepLimit(t *testing.T) {
	is := is.New(t)
	h := newHost(t, "eh1", nil, nil)
	defer h.stop()
	h.accept(parse(t, 1, 2, false, ""))
	h.warm(2, 0, 0)
	h.hold()
	for len(*h.holders.Load()) == 0 {
		time.Sleep(time.Millisecond)
	}
	var running [3]atomic.Int64
	var granted atomic.Int64
	var wg sync.WaitGroup
	slow := ask
	slow.Wait, slow.Remaining = time.Minute, time.Minute
	for range 32 {
		wg.Go(func() {
			for range 200 {
				g, _ := h.acquire(slow)
				if g == nil {
					continue
				}
				i := g.Server.Name[1] - '0'
				if n := running[i].Add(1); n > 4 {
					t.Errorf("%d requests in flight on %s", n, g.Server.Name)
				}
				granted.Add(1)
				running[i].Add(-1)
				h.Release(g, ran)
			}
		})
	}
	wg.Wait()
	t.Logf("%d of 6400 granted", granted.Load())
	is.True(granted.Load() > 3200)
	is.Equal(len(h.fill()), 8) // no slot was lost
}

// TestMoveTakesEffectAtOnce guards against grants on a server that leaves or
// whose data centre is out, and against full load on one that returns.
func TestMoveTakesEffectAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost(t, "eh1", nil, nil)
		defer h.stop()
		h.accept(parse(t, 1, 2, false, ""))
		h.warm(2, 0, 0)
		h.hold()
		synctest.Wait()
		grants := h.fill()
		is.Equal(len(grants), 8)
		for _, g := range grants {
			h.Release(g, ran)
		}
		synctest.Wait()
		h.accept(parse(t, 2, 2, false, "b1"))
		grants = h.fill() // starts before the holder's goroutine has read the manifest
		is.Equal(len(grants), 4)
		for _, g := range grants {
			is.Equal(g.Server.Name, "b2")
		}
		h.accept(parse(t, 3, 2, true, ""))
		_, reason := h.acquire(ask)
		is.Equal(reason, verdict.ReasonNoBackend)
		time.Sleep(3 * time.Second)
		h.accept(parse(t, 4, 3, false, ""))
		synctest.Wait()
		pub := (*h.holders.Load())[poolID].view.Load()
		is.Equal(len(pub.view.Servers), 3)
		for _, s := range pub.view.Servers {
			is.Equal(s.Limit, 1) // returned or new: cold
		}
	})
}

// TestLostLeaseStopsGrants guards against a holder that grants after its lease
// ended, also to requests that were waiting.
func TestLostLeaseStopsGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost(t, "eh1", nil, nil)
		defer h.stop()
		h.accept(parse(t, 1, 1, false, ""))
		held := h.hold()
		synctest.Wait()
		g, _ := h.acquire(ask)
		is.True(g != nil) // cold: one slot
		waiting := make(chan verdict.Reason, 1)
		go func() {
			long := ask
			long.Wait = time.Second
			_, reason := h.acquire(long)
			waiting <- reason
		}()
		synctest.Wait()
		held.Until.Store(0)
		h.Release(g, ran)
		is.Equal(<-waiting, verdict.ReasonNoLease)
		_, reason := h.acquire(ask)
		is.Equal(reason, verdict.ReasonNoLease)
	})
}

// TestCancelledRequestKeepsSlot guards against a server above its limit because
// it still runs a request whose connection was closed a moment ago.
func TestCancelledRequestKeepsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newSingleHolder(t)
		g, _ := h.acquire(ask) // cold: one slot
		h.Release(g, filter.Report{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonCallerGone, Inflight: -1})
		_, reason := h.acquire(ask)
		is.True(reason != verdict.ReasonNone)
		time.Sleep(cancelNotice + time.Millisecond)
		g, _ = h.acquire(ask)
		is.True(g != nil)
	})
}

// TestDetail guards against operators that do not see the servers of a held pool.
func TestDetail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHost(t, "eh1", nil, nil)
		defer h.stop()
		h.accept(parse(t, 1, 2, false, ""))
		h.hold()
		synctest.Wait()
		g, _ := h.acquire(ask)
		d, ok := h.Detail(poolID, g.Server.Name)
		is.True(ok)
		is.Equal(d, Detail{Inflight: 1, Limit: 1})
	})
}

// TestRemoteGrants guards against remote grants that are not ended by Done, and
// against slots that stay taken when the reply was lost.
func TestRemoteGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, holder, asker := newWarmPair(t, 1)
		grants := asker.fill()
		is.Equal(len(grants), 4)
		is.Equal(grants[0].Holder, "eh1")
		for _, g := range grants {
			asker.Release(g, ran)
		}
		asker.Release(grants[0], ran) // a second end has no effect
		synctest.Wait()
		is.Equal(l.batches.Load() < 5, true) // sent together
		lost := func() {
			l.drop.Store(true)
			_, reason := asker.acquire(ask)
			is.Equal(reason, verdict.ReasonGrantLost)
			l.drop.Store(false)
			time.Sleep(unreachableFor)
			synctest.Wait()
		}
		lost()
		grants = asker.fill()
		is.Equal(len(grants), 4) // the asker gave the lost grant back
		for _, g := range grants {
			asker.Release(g, ran)
		}
		synctest.Wait()
		l.lose.Store(true)
		lost()
		l.lose.Store(false)
		grants = asker.fill()
		is.Equal(len(grants), 3) // the lost grant holds its slot
		for _, g := range grants {
			asker.Release(g, ran)
		}
		time.Sleep(ask.RunLimit)
		synctest.Wait()
		is.Equal(len(asker.fill()), 4) // and is free after the run limit
		is.Equal(holder.count.expired.Value(), int64(1))
	})
}

// TestHandover guards against a successor that gives out slots still in use by
// requests of the holder before, and against grants after Seal.
func TestHandover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		before, after := newHost(t, "eh1", nil, nil), newHost(t, "eh2", nil, nil)
		defer before.stop()
		defer after.stop()
		m := parse(t, 1, 1, false, "")
		before.accept(m)
		after.accept(m)
		before.warm(1, 0, 0)
		before.hold()
		synctest.Wait()
		var last *filter.Grant
		for range 4 {
			last, _ = before.acquire(ask)
			is.True(last != nil)
		}
		time.AfterFunc(sealWait/2, func() { before.Release(last, ran) })
		releases := before.Seal([]manifest.PoolID{poolID})
		is.Equal(releases[0].Inflight[0].Count, 3) // one ended in time
		is.True(releases[0].Inflight[0].Established)
		_, reason := before.acquire(ask)
		is.Equal(reason, verdict.ReasonNoLease)
		after.Adopt(releases)
		after.hold()
		synctest.Wait()
		is.Equal(len(after.fill()), 1)
		time.Sleep(ask.RunLimit + filter.GrantStart + tick)
		is.Equal(len(after.fill()), 3)
	})
}

type probed struct{ n atomic.Int64 }

func (p *probed) Do(context.Context, *filter.Attempt) filter.Result {
	p.n.Add(1)
	return filter.Result{Err: errors.New("no answer")}
}

// TestProbesStayInBudget guards against probes above the measuring budget of 4
// per second, and against probes without a lease.
func TestProbesStayInBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &probed{}
		h := newHost(t, "eh1", nil, transport)
		defer h.stop()
		h.accept(parse(t, 1, 8, false, ""))
		held := h.hold()
		time.Sleep(10*time.Second + time.Millisecond)
		synctest.Wait()
		n := transport.n.Load()
		t.Logf("%d probes in 10 s", n)
		is.True(n > 30 && n <= 40)
		is.Equal(h.count.probes.Value(), n)
		held.Until.Store(0)
		time.Sleep(10 * time.Second)
		is.Equal(transport.n.Load(), n)
	})
}

// TestSilentAsker guards against servers that count as slow or cold because an
// asker that is cut off cannot report the end of its requests. The holder's side
// of a partition would then use none of them without a lease.
func TestSilentAsker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, holder, asker := newWarmPair(t, 2)
		slow := ran
		slow.ServiceTime = 20 * time.Millisecond
		for range 100 { // service times become known
			g, _ := holder.acquire(ask)
			holder.Release(g, slow)
			synctest.Wait()
		}
		cold := func() int { return len((*holder.holders.Load())[poolID].load().Cold) }
		is.Equal(cold(), 0)
		is.True(len(asker.fill()) > 4) // on both servers
		l.refuse.Store(true)
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(cold(), 0) // nothing is heard of the requests
		l.refuse.Store(false)
		asker.fill()
		time.Sleep(time.Second)
		synctest.Wait()
		is.True(cold() > 0) // the asker lives, so its requests hang
	})
}
