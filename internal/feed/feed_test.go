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
// change, over any mix of watching, re-reading after a dropped history, and
// taking changes from another host, with answers that arrive late or twice.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		var history []Item
		truth := map[string]Item{}
		revision := uint64(1)
		all := func() (items []Item) {
			for _, i := range truth {
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
		type answer struct {
			after, at uint64
			items     []Item
			full      bool
		}
		var late []answer
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			switch rng.IntN(6) {
			case 0, 1: // a change
				revision++
				i := Item{Key: fmt.Sprint("k", rng.IntN(5)), Revision: revision, Value: []byte{byte('a' + rng.IntN(26))}}
				if _, ok := truth[i.Key]; ok && rng.IntN(3) == 0 {
					i.Gone, i.Value = true, nil
					delete(truth, i.Key)
				} else {
					truth[i.Key] = i
				}
				history = append(history, i)
			case 2:
				late = append(late, answer{after: a.Revision(), at: revision, items: events(a.Revision()), full: false})
			case 3:
				late = append(late, answer{at: revision, items: all(), full: true})
			case 4: // an answer arrives, perhaps twice or overtaken
				if len(late) == 0 {
					continue
				}
				n := rng.IntN(len(late))
				before := a.Revision()
				if l := late[n]; l.full {
					a.Replace(l.at, l.items)
				} else {
					a.Apply(l.after, l.at, l.items)
				}
				if a.Revision() < before {
					rt.Fatal("revision went back")
				}
				if rng.IntN(2) == 0 {
					late = append(late[:n], late[n+1:]...)
				}
			case 5: // b takes what a knows
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
	})
}

// TestGap guards against changes that are applied over a gap: a removal in the
// gap would never be noticed.
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

// TestLongAbsence guards against a host that gets only the newest changes
// after it missed more than the log holds.
func TestLongAbsence(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Replace(1, []Item{{Key: "first", Revision: 1}})
	for n := range uint64(maxLog + 10) {
		r.Apply(r.Revision(), n+2, []Item{{Key: "k", Revision: n + 2}})
	}
	_, full := r.Since(2)
	is.True(full)
	recent, full := r.Since(r.Revision() - 3)
	is.True(!full)
	is.Equal(len(recent), 3)
}

// TestLateEvents guards against an answer that was overtaken and brings back an
// item that was removed since.
func TestLateEvents(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Replace(3, nil)
	r.Apply(3, 9, []Item{{Key: "a", Revision: 4}, {Key: "a", Revision: 8, Gone: true}})
	r.Apply(3, 6, []Item{{Key: "a", Revision: 4}})
	_, ok := r.Get("a")
	is.True(!ok)
}

// TestWatchersSpread guards against watchers of several data centres whose
// answers come together, so that a host takes the platform's news for late and
// watches as well, or learns of a lost answer only with the next change.
func TestWatchersSpread(t *testing.T) {
	for centres := 1; centres <= 7; centres++ {
		// A change wakes all at 0. Each watches again after it, then in turn.
		var answers []time.Duration
		for place := range centres {
			for at := FirstWait(place, centres); at < 30*time.Second; at += WatchWait(centres) {
				answers = append(answers, at)
			}
		}
		slices.Sort(answers)
		most := answers[0]
		for i := 1; i < len(answers); i++ {
			most = max(most, answers[i]-answers[i-1])
		}
		t.Logf("%d data centres: %v between answers at most, %.1f calls a second", centres, most, float64(len(answers))/30)
		if centres >= 3 && most > StandbyTimeout-400*time.Millisecond {
			t.Errorf("%d data centres: %v without an answer; a host counts news as late after %v", centres, most, StandbyTimeout)
		}
		if w := WatchWait(centres); w > 2*time.Second && centres < 3 {
			t.Errorf("%d data centres: an answer that is lost shows after %v", centres, w)
		}
		if FirstWait(centres+3, centres) > WatchWait(centres) {
			t.Error("a place beyond the data centres known waits longer than a watch")
		}
	}
}
