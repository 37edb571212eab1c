package feed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func content(r *Replica) map[string]string {
	out := map[string]string{}
	r.Each("", func(i Item) { out[i.Key] = fmt.Sprint(i.Revision, string(i.Value)) })
	return out
}

// TestReplicasAgree guards against a replica that misses, reverts or invents a
// change, over any mix of watching, re-reading after the platform has dropped its
// history, and receiving changes from another host whose history is short, with
// responses that arrive late or twice.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		var history []Item
		current := map[string]Item{}
		revision := uint64(1)
		all := func() (items []Item) {
			for _, i := range current {
				items = append(items, i)
			}
			return items
		}
		events := func(after uint64) (out []Item) {
			for _, i := range history {
				if i.Revision > after {
					out = append(out, i)
				}
			}
			return out
		}
		a, b := New(), New()
		a.removals.maxCount = 1 + rng.IntN(6)
		type response struct {
			after, at uint64
			items     []Item
			full      bool
		}
		var pending []response
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			switch rng.IntN(6) {
			case 0, 1: // a change
				revision++
				i := Item{Key: fmt.Sprint("k", rng.IntN(5)), Revision: revision, Value: []byte{byte('a' + rng.IntN(26))}}
				if _, ok := current[i.Key]; ok && rng.IntN(3) == 0 {
					i.Gone, i.Value = true, nil
					delete(current, i.Key)
				} else {
					current[i.Key] = i
				}
				history = append(history, i)
			case 2:
				pending = append(pending, response{after: a.Revision(), at: revision, items: events(a.Revision()), full: false})
			case 3:
				pending = append(pending, response{at: revision, items: all(), full: true})
			case 4: // a response arrives, possibly twice or out of order
				if len(pending) == 0 {
					continue
				}
				n := rng.IntN(len(pending))
				before := a.Revision()
				if l := pending[n]; l.full {
					a.Replace(l.at, l.items)
				} else {
					a.Apply(l.after, l.at, l.items)
				}
				if a.Revision() < before {
					rt.Fatal("revision went back")
				}
				if rng.IntN(2) == 0 {
					pending = append(pending[:n], pending[n+1:]...)
				}
			case 5: // b receives the changes of a
				if !a.Complete() {
					continue
				}
				items, full := a.Since(b.Revision())
				if full {
					b.Replace(a.Revision(), items)
				} else {
					b.Apply(b.Revision(), a.Revision(), items)
				}
				if fmt.Sprint(content(a)) != fmt.Sprint(content(b)) {
					rt.Fatalf("replicas differ: %v and %v", content(a), content(b))
				}
			}
		}
		a.Replace(revision, all())
		want := New()
		want.Replace(revision, all())
		if fmt.Sprint(content(a)) != fmt.Sprint(content(want)) {
			rt.Fatalf("got %v, want %v", content(a), content(want))
		}
		got, _ := a.Bytes()
		if total, _ := want.Bytes(); got != total {
			rt.Fatalf("%d bytes are counted, want %d", got, total)
		}
	})
}

// TestGap guards against applying changes over a gap in revisions: a removal
// within the gap would never be noticed.
func TestGap(t *testing.T) {
	is := is.New(t)
	r := New()
	is.True(!r.Apply(0, 5, []Item{{Key: "a", Revision: 4}})) // not filled yet
	r.Replace(5, []Item{{Key: "a", Revision: 4}})
	is.True(!r.Apply(7, 9, nil))
	is.Equal(r.Revision(), uint64(5))
	is.True(r.Apply(4, 9, []Item{{Key: "a", Revision: 8, Gone: true}}))
	_, ok := r.Get("a")
	is.True(!ok)
}

// TestStaleResponse guards against a response that was overtaken by a newer one and
// restores an item that was removed since.
func TestStaleResponse(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Replace(3, nil)
	r.Apply(3, 9, []Item{{Key: "a", Revision: 4}, {Key: "a", Revision: 8, Gone: true}})
	r.Apply(3, 6, []Item{{Key: "a", Revision: 4}})
	_, ok := r.Get("a")
	is.True(!ok)
}

// TestWatchSpacing guards against watchers of several data centres whose responses
// coincide: in the long gaps between them a standby takes the confirmation for
// overdue and watches as well, or a lost response is noticed only with the next
// change.
func TestWatchSpacing(t *testing.T) {
	for dataCentres := 1; dataCentres <= 7; dataCentres++ {
		// A change wakes all watchers at 0. Each watches again for FirstWait, then
		// for WatchWait at a time.
		var responses []time.Duration
		for position := range dataCentres {
			for at := FirstWait(position, dataCentres); at < 30*time.Second; at += WatchWait(dataCentres) {
				responses = append(responses, at)
			}
		}
		slices.Sort(responses)
		longest := responses[0]
		for i := 1; i < len(responses); i++ {
			longest = max(longest, responses[i]-responses[i-1])
		}
		t.Logf("%d data centres: at most %v between responses, %.1f calls per second", dataCentres, longest, float64(len(responses))/30)
		if dataCentres >= 3 && longest > StandbyTimeout-400*time.Millisecond {
			t.Errorf("%d data centres: %v without a response; a standby takes over after %v", dataCentres, longest, StandbyTimeout)
		}
		if w := WatchWait(dataCentres); w > 2*time.Second && dataCentres < 3 {
			t.Errorf("%d data centres: a lost response is noticed only after %v", dataCentres, w)
		}
		if FirstWait(dataCentres+3, dataCentres) > WatchWait(dataCentres) {
			t.Error("a position beyond the known data centres waits longer than a watch")
		}
	}
}

// TestRemovalDuringRead guards against a backend server that has left and stays in use:
// a host that reads the whole content again does not see what came and went meanwhile,
// and must not answer a host that has seen it come with changes alone.
func TestRemovalDuringRead(t *testing.T) {
	for name, first := range map[string]uint64{"read again": 5, "first read": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reader, other := New(), New()
			base := []Item{{Key: "k", Revision: 2, Value: []byte("k")}}
			if first > 0 {
				reader.Replace(first, base)
			}
			other.Replace(5, base)
			is.True(other.Apply(5, 7, []Item{{Key: "left", Revision: 6, Value: []byte("s")}}))
			reader.Replace(9, base) // "left" was removed at 8
			items, full := reader.Since(other.Revision())
			is.True(full)
			other.Replace(reader.Revision(), items)
			is.Equal(content(other), content(reader))
			_, full = reader.Since(9)
			is.True(!full)
			if first > 0 {
				_, full = reader.Since(first) // it knew all that there was then
				is.True(!full)
			}
		})
	}
}
