package feed

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"weak"

	"github.com/matryer/is"
)

// TestSupersededValuesAreReleased guards against a replica that keeps the earlier values
// of an item: with large values, frequent changes took up all memory of the host.
func TestSupersededValuesAreReleased(t *testing.T) {
	const changes, size = 600, 100 << 10
	r := New()
	r.Replace(1, nil)
	var values []weak.Pointer[byte]
	for n := range uint64(changes) {
		value := make([]byte, size)
		values = append(values, weak.Make(&value[0]))
		r.Apply(r.Revision(), n+2, []Item{{Key: "op/config", Revision: n + 2, Value: value}})
	}
	runtime.GC()
	held := 0
	for _, v := range values {
		if v.Value() != nil {
			held++
		}
	}
	if held != 1 {
		t.Errorf("%d values of %d bytes are held after %d changes of one item, want 1", held, size, changes)
	}
	runtime.KeepAlive(r)
}

// TestSinceAfterManyChanges guards against a host that gets the whole content, or less
// than it lacks, because an item changed more often than the history has entries.
func TestSinceAfterManyChanges(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Replace(1, []Item{{Key: "first", Revision: 1}})
	for n := range uint64(5000) {
		r.Apply(r.Revision(), n+2, []Item{{Key: "k", Revision: n + 2}})
	}
	changes, full := r.Since(2)
	is.True(!full)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Revision, uint64(5001))
}

// TestRemovalHistoryIsBounded guards against a history of removals that grows with the
// number or the length of the keys, and against a host that missed a removal which the
// history has dropped and gets the later changes only.
func TestRemovalHistoryIsBounded(t *testing.T) {
	for name, keyBytes := range map[string]int{"many keys": 20, "long keys": 4000} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := New()
			r.Replace(1, []Item{{Key: "first", Revision: 1}})
			missed := r.Revision()
			for n := range uint64(5000) {
				key := fmt.Sprint(n, strings.Repeat("x", keyBytes))
				r.Apply(r.Revision(), 2*n+2, []Item{{Key: key, Revision: 2*n + 2}})
				r.Apply(r.Revision(), 2*n+3, []Item{{Key: key, Revision: 2*n + 3, Gone: true}})
			}
			is.True(len(r.removals.revisions) <= maxRemovals)
			is.True(r.removals.bytes <= maxRemovalBytes)
			_, full := r.Since(missed)
			is.True(full)
			recent, full := r.Since(r.Revision() - 3)
			is.True(!full)
			is.Equal(len(recent), 2)
			for _, i := range recent {
				is.True(i.Gone)
			}
		})
	}
}

// TestRecentRemovalsStay guards against a bound on the history that forgets a removal
// which is newer than the replica: an older change that arrives later would restore the
// item.
func TestRecentRemovalsStay(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Replace(1, nil)
	var events []Item
	for n := range uint64(3 * maxRemovals) {
		events = append(events, Item{Key: fmt.Sprint("k", n), Revision: 10 + n, Gone: true})
	}
	r.Apply(1, 5, events) // pages of other hosts may be ahead of the first one
	r.Apply(5, 6, []Item{{Key: "k0", Revision: 6}})
	_, ok := r.Get("k0")
	is.True(!ok)
	r.Apply(6, 100_000, nil)
	is.True(len(r.removals.revisions) <= maxRemovals)
}
