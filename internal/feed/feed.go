// Package feed holds a host's replica of the items that the platform publishes:
// configuration, data centres out of service, registered backend servers. It
// is pure: inputs are events and answers, there are no sockets and no clock.
// It is not safe for concurrent use.
package feed

import (
	"slices"
	"strings"
)

// Item is one published item or its removal.
type Item struct {
	Key      string
	Value    []byte // nil when Gone
	Revision uint64 // of the last change, assigned by the platform
	Gone     bool   // the item was removed at Revision
}

// maxLog bounds the changes kept for other hosts. A host that missed more of
// them takes the whole replica.
const maxLog = 1024

// Replica is what one host knows of the published items. It contains every
// change up to Revision.
type Replica struct {
	items    map[string]Item
	log      []Item // changes in the order in which they were applied
	revision uint64 // every change up to it is contained
	changed  uint64 // revision of the newest change that is contained
	since    uint64 // the log holds every change after it
}

// New returns an empty replica.
func New() *Replica { return &Replica{items: map[string]Item{}} }

// Revision returns the revision up to which the replica is complete.
func (r *Replica) Revision() uint64 { return r.revision }

// Changed returns the revision of the newest change contained.
func (r *Replica) Changed() uint64 { return r.changed }

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

// Apply takes all changes after revision `after` up to revision `to`. It
// returns false and changes nothing when the replica lacks earlier changes.
func (r *Replica) Apply(after, to uint64, events []Item) bool {
	if !r.Complete() || after > r.revision {
		return false
	}
	for _, e := range events {
		// An older event is contained already. Setting it again would bring
		// back an item that was removed since.
		if e.Revision > r.revision {
			r.set(e)
		}
	}
	r.revision = max(r.revision, to)
	return true
}

// Replace takes the whole content as of revision at. Items that it lacks were
// removed, unless the replica has a newer change of them.
func (r *Replica) Replace(at uint64, content []Item) {
	if at < r.revision {
		return // an answer that was overtaken
	}
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
	r.revision = at
}

func (r *Replica) set(i Item) {
	if old, ok := r.items[i.Key]; ok && old.Revision >= i.Revision {
		return
	}
	if i.Gone {
		if _, ok := r.items[i.Key]; !ok {
			return
		}
		delete(r.items, i.Key)
	} else {
		r.items[i.Key] = i
	}
	r.changed = max(r.changed, i.Revision)
	r.log = append(r.log, i)
	if len(r.log) > maxLog {
		drop := len(r.log) - maxLog/2
		for _, old := range r.log[:drop] {
			r.since = max(r.since, old.Revision)
		}
		r.log = slices.Clone(r.log[drop:])
	}
}

// Since returns every change after the given revision. full is true when the
// items are the whole content instead, as of Revision.
func (r *Replica) Since(after uint64) (items []Item, full bool) {
	if after == 0 || after < r.since {
		r.Each("", func(i Item) { items = append(items, i) })
		return items, true
	}
	for _, i := range r.log {
		if i.Revision > after {
			items = append(items, i)
		}
	}
	return items, false
}
