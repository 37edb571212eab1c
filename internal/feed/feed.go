// Package feed holds a host's replica of the items that the platform publishes, and
// decides when a host watches the platform and how long removals are held back. The
// feeds controller passes it responses of the platform and changes from other hosts.
// It does no I/O, reads no clock and is not safe for concurrent use.
package feed

import (
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
}

func (i *Item) bytes() int { return len(i.Key) + len(i.Value) }

// Replica is a host's copy of the published items. It contains every change up to
// Revision. Of each item it keeps the newest change only, since values may be large and
// change often.
type Replica struct {
	items        map[string]Item
	bytes        int      // of the keys and values of items
	removals     removals // older changes must not undo them, and other hosts may lack them
	revision     uint64   // the replica contains every change up to it
	newestChange uint64   // revision of the newest change in the replica
	historyStart uint64   // removals after this revision are known
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
func New() *Replica { return &Replica{items: map[string]Item{}, removals: newRemovals()} }

// Revision returns the revision up to which the replica is complete.
func (r *Replica) Revision() uint64 { return r.revision }

// Changed returns the revision of the newest change in the replica.
func (r *Replica) Changed() uint64 { return r.newestChange }

// Bytes returns the bytes of the keys and values of the items, and of the removals that
// are kept for other hosts.
func (r *Replica) Bytes() (items, removals int) { return r.bytes, r.removals.bytes }

// Complete reports whether the replica was filled at least once.
func (r *Replica) Complete() bool { return r.revision > 0 }

// Get returns the item of a key.
func (r *Replica) Get(key string) (Item, bool) {
	i, ok := r.items[key]
	return i, ok
}

// Each calls yield for each item whose key begins with prefix, in key order.
func (r *Replica) Each(prefix string, yield func(Item)) {
	keys := make([]string, 0, len(r.items))
	for k := range r.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		yield(r.items[k])
	}
}

// Apply applies events, all changes after revision `after` up to revision `to`. It
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
// at. Items missing from it are removed, unless the replica has a newer change of
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
			r.set(Item{Key: key, Revision: at, Gone: true})
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
}

// Since returns the newest change of each item that changed after the given revision. If
// full is true, items is the whole content as of Revision instead.
func (r *Replica) Since(after uint64) (items []Item, full bool) {
	full = after == 0 || after < r.historyStart || r.inGap(after)
	if !full {
		for key, revision := range r.removals.revisions {
			if revision > after {
				items = append(items, Item{Key: key, Revision: revision, Gone: true})
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
