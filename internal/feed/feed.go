// Package feed holds a host's replica of the items that the platform publishes, and
// decides when a host watches the platform and how long removals are held back. The
// feeds controller passes it responses of the platform and changes from other hosts.
// It does no I/O, reads no clock and is not safe for concurrent use.
package feed

import (
	"bytes"
	"slices"
	"strings"
)

// Item is a published item or its removal. Items are the configuration, data centres
// out of service and registered backend servers.
type Item struct {
	Key      string
	Value    []byte // nil when Gone
	Revision uint64 // of the last change, assigned by the platform
	Gone     bool   // the item was removed at Revision
	Era      uint64 // the oldest in which the change can have been made, or the one that lists it
	Copied   bool   // of a held change: the era in which it was made is not known, Era is one that listed it, or lacked it if Gone
	Settled  bool   // in transfers: a held change that no longer binds
}

func (i *Item) bytes() int { return len(i.Key) + len(i.Value) }

// Position returns the position of the last change.
func (i *Item) Position() Position { return Position{i.Era, i.Revision} }

// Same reports whether both are the same change. A position alone does not tell: the era of
// a change may not be known, and eras give the same revisions out.
func (i *Item) Same(other *Item) bool {
	return i.Key == other.Key && i.Position() == other.Position() && i.Gone == other.Gone && bytes.Equal(i.Value, other.Value)
}

// Replica is a host's copy of the published items. It contains every change up to
// Position. Of each item it keeps the newest change only, since values may be large and
// change often. When the platform comes back from a copy, changes that the copy lacks are
// held: they bind until the new era says otherwise.
type Replica struct {
	era          uint64
	copied       uint64 // changes of the era after this revision were made in it, others may come from the copy
	held         heldChanges
	removed      map[string]Item   // removals in older eras of items that the era does not list
	version      func(Item) uint64 // nil: no item has a version
	generation   func(Item) uint64 // nil: no item has a generation
	items        map[string]Item   // of the era
	bytes        int               // of the keys and values of items
	removals     removals          // older changes must not undo them, and other hosts may lack them
	revision     uint64            // the replica contains every change up to it
	newestChange uint64            // revision of the newest change in the replica
	historyStart uint64            // removals after this revision are known
	gaps         []gap
}

// gap is a span of revisions over which the whole content was read, so that removals lacks
// items that came and went meanwhile. A replica in between may hold one of them.
type gap struct{ start, end uint64 }

// maxGaps bounds the gaps. The history counts as starting after older ones.
const maxGaps = 8

func (r *Replica) addGap(end uint64) {
	r.gaps = append(r.gaps, gap{r.revision, end})
	if len(r.gaps) > maxGaps {
		r.historyStart = max(r.historyStart, r.gaps[0].end)
		r.gaps = slices.Delete(r.gaps, 0, 1)
	}
}

// inGap reports whether a replica at a revision may hold items whose removal is unknown.
func (r *Replica) inGap(revision uint64) bool {
	return slices.ContainsFunc(r.gaps, func(g gap) bool { return g.start < revision && revision < g.end })
}

// New returns an empty replica.
func New() *Replica {
	return &Replica{items: map[string]Item{}, removals: newRemovals(), held: newHeldChanges()}
}

// NewOrdered returns an empty replica that tells by values which of two changes of an item in
// different eras is the newer one. version returns the version of an item, or 0 for an item
// without one: over a change of era the newest version stays. generation returns a number
// that rises with what the item stands for, or 0 for an item without one: it decides where
// revisions do not.
func NewOrdered(version, generation func(Item) uint64) *Replica {
	r := New()
	r.version, r.generation = version, generation
	return r
}

// Position returns the position up to which the replica is complete.
func (r *Replica) Position() Position { return Position{r.era, r.revision} }

// Revision returns the revision up to which the replica is complete.
func (r *Replica) Revision() uint64 { return r.revision }

// Changed returns the revision of the newest change of the era in the replica.
func (r *Replica) Changed() uint64 { return r.newestChange }

// Bytes returns the bytes of the keys and values of the items, and of the removals that
// are kept for other hosts.
func (r *Replica) Bytes() (items, removals int) { return r.bytes, r.removals.bytes }

// Complete reports whether the replica was filled at least once.
func (r *Replica) Complete() bool { return r.revision > 0 }

// Get returns the item of a key.
func (r *Replica) Get(key string) (Item, bool) {
	if i, ok := r.held.get(key); ok {
		return i, !i.Gone
	}
	return r.listed(key)
}

// listed returns the item of a key as the era lists it.
func (r *Replica) listed(key string) (Item, bool) {
	i, ok := r.items[key]
	if ok && i.Revision > r.copied {
		i.Era = r.era // its oldest possible era was found before the bound of the copy was lowered
	}
	return i, ok
}

// Each calls yield for each item whose key begins with prefix, in key order.
func (r *Replica) Each(prefix string, yield func(Item)) {
	keys := make([]string, 0, len(r.items))
	for k := range r.items {
		if _, held := r.held.get(k); !held && strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	for k, c := range r.held.byKey {
		if !c.settled && !c.item.Gone && strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		i, _ := r.Get(k)
		yield(i)
	}
}

// ApplyAt applies changes like Apply. It returns false and changes nothing if they are not
// of the era of the replica.
func (r *Replica) ApplyAt(after, to Position, events []Item) bool {
	return after.Era == r.era && to.Era == r.era && r.Apply(after.Revision, to.Revision, events)
}

// ReplaceAt replaces the content like Replace. Content of an older era is ignored; of a
// newer one, what it lacks is held. copied is a revision that the copy from which the era
// began does not exceed. It reports whether the content was used.
func (r *Replica) ReplaceAt(at Position, copied uint64, content []Item) bool {
	switch {
	case at.Before(r.Position()):
		return false
	case at.Era > r.era:
		r.enterEra(at, copied, content)
	default:
		r.Replace(at.Revision, content)
		r.LowerCopied(at.Era, copied)
	}
	return true
}

// Apply applies events, all changes of the era after revision `after` up to revision `to`. It
// returns false and changes nothing if the replica lacks earlier changes.
func (r *Replica) Apply(after, to uint64, events []Item) bool {
	if !r.Complete() || after > r.revision {
		return false
	}
	for _, e := range events {
		// The replica contains older events already. Applying one again would
		// restore an item that was removed since.
		if e.Revision > r.revision {
			r.set(e)
		}
	}
	r.completeUpTo(max(r.revision, to))
	return true
}

// Replace replaces the content of the replica by the whole content as of revision
// at of the era. Items missing from it are removed, unless the replica has a newer change of
// them.
func (r *Replica) Replace(at uint64, content []Item) {
	if at < r.revision {
		return // overtaken by a newer response
	}
	r.addGap(at)
	listed := make(map[string]bool, len(content))
	for _, i := range content {
		listed[i.Key] = true
		r.set(i)
	}
	for key, old := range r.items {
		if !listed[key] && old.Revision <= at {
			r.set(Item{Key: key, Era: r.era, Revision: at, Gone: true})
		}
	}
	r.completeUpTo(at)
}

func (r *Replica) completeUpTo(revision uint64) {
	r.revision = revision
	r.historyStart = max(r.historyStart, r.removals.trim(revision))
}

func (r *Replica) set(i Item) {
	if old, ok := r.items[i.Key]; ok && old.Revision >= i.Revision || r.removals.revisions[i.Key] >= i.Revision {
		return
	}
	if old, ok := r.items[i.Key]; ok {
		r.bytes -= old.bytes()
	}
	if i.Gone {
		// Also if the item is unknown: a replica that is told of this change may hold it.
		delete(r.items, i.Key)
		r.removals.add(i.Key, i.Revision)
	} else {
		r.items[i.Key] = i
		r.bytes += i.bytes()
		r.removals.delete(i.Key)
	}
	r.newestChange = max(r.newestChange, i.Revision)
	r.settle(i.Key)
}

// Since returns the newest change of each item that changed after the given revision of the
// era. If
// full is true, items is the whole content as of Revision instead.
func (r *Replica) Since(after uint64) (items []Item, full bool) {
	full = after == 0 || after < r.historyStart || r.inGap(after)
	if !full {
		for key, revision := range r.removals.revisions {
			if revision > after {
				items = append(items, Item{Key: key, Era: r.era, Revision: revision, Gone: true})
			}
		}
	}
	for _, i := range r.items {
		if full || i.Revision > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return items, full
}
