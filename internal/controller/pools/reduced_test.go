package pools

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/lease"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// TestTakeOverLeavesReducedSlots guards against a new holder that fills a server
// while other entry hosts still use it under the reduced limit.
func TestTakeOverLeavesReducedSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newSingleHolder(t)
		most := func() (n int) {
			var grants []*filter.Grant
			for range 4 {
				if g, _ := h.acquire(ask); g != nil {
					grants = append(grants, g)
				}
			}
			time.Sleep(time.Millisecond)
			for _, g := range grants {
				h.Release(g, ran)
			}
			synctest.Wait()
			return len(grants)
		}
		start, early := time.Now(), 0
		for time.Since(start) < holderNews-10*time.Millisecond {
			early = max(early, most())
		}
		is.Equal(early, 2) // 4 slots, 2 of them kept free
		time.Sleep(20 * time.Millisecond)
		is.Equal(most(), 4)
	})
}

// TestSilentHolder guards against requests under the reduced limit beside those
// of a holder that is paused and keeps its lease, and against a pool that stays
// unused once the lease must have ended.
func TestSilentHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, holder, asker := newPair(t)
		m := parse(t, 1, 1, false, "")
		holder.accept(m)
		holder.hold()
		asker.accept(m)
		asker.know("eh1")
		synctest.Wait()
		asker.heard("eh1", wire.Update{Load: &wire.PoolLoad{Pool: poolID, Slots: 4, Revision: 1}}) // b1 is warm
		time.Sleep(2 * lease.Term)                                                                 // nothing was asked for longer than a term
		l.delay = time.Minute
		start := time.Now()
		for time.Since(start) < lease.Term-filter.GrantStart {
			_, reason := asker.acquire(ask)
			is.Equal(reason, verdict.ReasonGrantLost)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(filter.GrantStart)
		g, reason := asker.acquire(ask)
		if reason == verdict.ReasonGrantLost { // the holder was asked once more
			g, reason = asker.acquire(ask)
		}
		is.Equal(reason, verdict.ReasonNone)
		is.Equal(g.ID, uint64(0))
	})
}

// TestFormerHolder guards against a side of a partition without any lease that
// does not use its reduced limit, because it goes on asking the former holder.
func TestFormerHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		_, former, asker := newPair(t)
		m := parse(t, 1, 1, false, "")
		former.accept(m)
		former.hold().Until.Store(0)
		asker.accept(m)
		asker.know("eh1")
		synctest.Wait()
		asker.heard("eh1", wire.Update{Load: &wire.PoolLoad{Pool: poolID, Slots: 4, Revision: 1}}) // b1 is warm
		g, reason := asker.acquire(ask)
		is.Equal(reason, verdict.ReasonNone)
		is.Equal(g.ID, uint64(0))
	})
}

// TestReducedLimit guards against use of a server without a lease that is not
// warm, by a host that is not among the first, or by more than one request.
func TestReducedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &link{hosts: map[string]*host{}}
		h := newHost(t, "eh2", l, nil)
		defer h.stop()
		h.accept(parse(t, 1, 3, false, ""))
		h.know("eh1")
		synctest.Wait()
		l.refuse.Store(true) // split from the holder
		_, reason := h.acquire(ask)
		is.Equal(reason, verdict.ReasonNoLease) // nothing is known to be warm
		h.heard("eh1", wire.Update{Load: &wire.PoolLoad{Pool: poolID, Slots: 9, Cold: []string{"b3"}, Revision: 1}})
		grants := h.fill()
		is.Equal(len(grants), 2) // b1 and b2, one request each
		is.True(grants[0].Server.Name != "b3" && grants[1].Server.Name != "b3")
		h.Release(grants[0], filter.Report{Verdict: verdict.MayHaveRun, Crashed: true, Inflight: -1})
		h.Release(grants[1], ran)
		is.Equal(len(h.fill()), 1) // the crashed one is not warm any more
		h.store.Update(func(s *state.Snapshot) {
			members := *s.Members
			members.Listed = []string{"eh1", "eh3", "eh4", "eh5", "eh6", "eh7", "eh8", "eh9"} // without eh2
			s.Members = &members
		})
		synctest.Wait()
		h.heard("eh1", wire.Update{Load: &wire.PoolLoad{Pool: poolID, Slots: 9, Revision: 1}})
		is.Equal(len(h.fill()), 0)
	})
}

// TestReducedLeaving guards against a leaving server that is used without a
// lease, and against one that counts as warm when it returns.
func TestReducedLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &link{hosts: map[string]*host{}}
		h := newHost(t, "eh2", l, nil)
		defer h.stop()
		h.accept(parse(t, 1, 2, false, ""))
		h.know("eh1")
		synctest.Wait()
		l.refuse.Store(true)
		h.heard("eh1", wire.Update{Load: &wire.PoolLoad{Pool: poolID, Slots: 8, Revision: 1}})
		used := func() (names []string) {
			for _, g := range h.fill() {
				names = append(names, g.Server.Name)
				h.Release(g, ran)
			}
			return names
		}
		is.Equal(used(), []string{"b1", "b2"})
		for revision, leaving := range []string{2: "b1", 3: ""} {
			if revision < 2 {
				continue
			}
			h.accept(parse(t, revision, 2, false, leaving))
			synctest.Wait()
			is.Equal(used(), []string{"b2"})
		}
	})
}
