package feed

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
)

// enterEra replaces the content by that of a newer era as of at. Changes of older eras that
// the content lacks are held. copied is a revision that the copy does not exceed.
func (r *Replica) enterEra(at Position, copied uint64, content []Item) {
	if at.Era == r.era+1 {
		copied = min(copied, r.copyBound(content))
	}
	known := append(r.binding(), r.removedSince(content, copied)...)
	r.date(content)
	next := New()
	next.version, next.generation = r.version, r.generation
	next.removals.maxCount, next.removals.maxBytes = r.removals.maxCount, r.removals.maxBytes
	next.held.maxCount, next.held.maxBytes = r.held.maxCount, r.held.maxBytes
	next.era, next.copied = at.Era, copied
	*r = *next
	r.Replace(at.Revision, content)
	r.removed = map[string]Item{}
	for _, i := range known {
		switch current, listed := r.items[i.Key]; {
		case !listed && i.Gone:
			r.removed[i.Key] = i // the copy of the next era may be older than this one
		case !listed, !r.supersedes(current, i):
			r.held.add(i, false)
		}
	}
}

// date sets the eras of content of the next one to the oldest in which each change can have
// been made: that of the newest change of the same item up to it, which this replica knows.
func (r *Replica) date(content []Item) {
	for n := range content {
		c := &content[n]
		known, ok := r.newest(c.Key)
		switch {
		case ok && known.Revision == c.Revision && !bytes.Equal(known.Value, c.Value):
			// another change, made in the next era or one after it
		case ok && r.witnessed(known) && known.Revision <= c.Revision:
			c.Era = known.Era
		case !ok && r.Complete() && c.Revision > r.revision:
			c.Era = r.era
		}
	}
}

// newest returns the newest change of an item that binds, its removal included.
func (r *Replica) newest(key string) (Item, bool) {
	if i, ok := r.held.get(key); ok {
		return i, true
	}
	if revision, ok := r.removals.revisions[key]; ok {
		return Item{Key: key, Era: r.era, Revision: revision, Gone: true}, true
	}
	if i, ok := r.listed(key); ok {
		return i, true
	}
	i, ok := r.removed[key]
	return i, ok
}

// maxHeldRemovals bounds the removals that a change of era leaves held. Those of the seconds
// that a copy lacks are needed, and of the copies of some eras in a row.
const maxHeldRemovals = 256

// binding returns the newest change of each item, and the newest removals.
func (r *Replica) binding() (out []Item) {
	for key, revision := range r.removals.revisions {
		if _, held := r.held.get(key); !held {
			out = append(out, Item{Key: key, Era: r.era, Revision: revision, Gone: true})
		}
	}
	for _, c := range r.held.byKey {
		if c.item.Gone && !c.settled {
			out = append(out, c.item)
		}
	}
	for key, removed := range r.removed {
		if i, ok := r.newest(key); ok && i.Gone && i.Position() == removed.Position() {
			out = append(out, removed)
		}
	}
	slices.SortFunc(out, func(a, b Item) int {
		return cmp.Or(compareHeld(b, a), strings.Compare(a.Key, b.Key))
	})
	out = out[:min(len(out), maxHeldRemovals)]
	r.Each("", func(i Item) {
		i.Copied = !r.witnessed(i)
		out = append(out, i)
	})
	return out
}

// witnessed reports whether the era of an item is the one in which it was made.
func (r *Replica) witnessed(i Item) bool {
	return i.Era < r.era && !i.Copied || i.Era == r.era && i.Revision > r.copied
}

// removedSince returns the removals of items that a newer era lists as they were before, of
// which this replica knows only that they are gone: it contains all changes up to a later
// revision.
func (r *Replica) removedSince(content []Item, copied uint64) (out []Item) {
	for _, i := range content {
		known, ok := r.newest(i.Key)
		if (!ok || known.Gone && known.Revision < i.Revision) && i.Revision <= min(r.revision, copied) {
			out = append(out, Item{Key: i.Key, Era: r.era, Revision: r.revision, Gone: true, Copied: true})
		}
	}
	return out
}

// copyBound returns a revision that the copy does not exceed, as far as the content of the
// next era shows: it lists a change that did not happen in this era, although this replica
// contains all changes up to it. Without such a change the result is the highest number.
func (r *Replica) copyBound(content []Item) uint64 {
	bound := ^uint64(0)
	keys := make(map[uint64]string, len(r.items)) // by revision of their newest change
	for key, i := range r.items {
		keys[i.Revision] = key
	}
	for _, i := range content {
		if key, ok := keys[i.Revision]; ok && (key != i.Key || !bytes.Equal(r.items[key].Value, i.Value)) {
			bound = min(bound, i.Revision-1)
		}
		revision := r.removals.revisions[i.Key] // 0: it was never listed, as far as removals are known
		ok := r.complete(max(revision, i.Revision-1))
		if known, listed := r.items[i.Key]; listed {
			revision, ok = known.Revision, true
		}
		if ok && revision < i.Revision && i.Revision <= r.revision {
			bound = min(bound, i.Revision-1)
		}
	}
	return bound
}

// complete reports whether the replica had all changes of absent items after a revision.
func (r *Replica) complete(revision uint64) bool {
	return revision >= r.historyStart && !slices.ContainsFunc(r.gaps, func(g gap) bool { return g.end > revision })
}

// supersedes reports whether a change of the current era ends what a change of an older
// era said of the same item: it was made after the copy, or is a copy of the older change
// or of one after it. Of items with versions only the version counts. Where it is not known
// whether the change was made after the copy, the newer generation is.
func (r *Replica) supersedes(current, old Item) bool {
	if v := r.versionOf(old); v > 0 {
		return r.versionOf(current) >= v
	}
	if current.Revision > r.copied {
		return true
	}
	if newer := r.compareGenerations(current, old); newer != 0 {
		return newer > 0
	}
	switch {
	case current.Era < r.era && !old.Copied:
		return !current.Position().Before(old.Position())
	case current.Era < r.era && old.Era < current.Era:
		return true
	}
	return current.Revision >= old.Revision // the eras in which they were made are not known
}

func (r *Replica) versionOf(i Item) uint64 {
	if r.version == nil || i.Gone {
		return 0
	}
	return r.version(i)
}

// compareGenerations orders two changes of an item by their generations, as far as both have
// one.
func (r *Replica) compareGenerations(a, b Item) int {
	if r.generation == nil || a.Gone || b.Gone {
		return 0
	}
	x, y := r.generation(a), r.generation(b)
	if x == 0 || y == 0 {
		return 0
	}
	return cmp.Compare(x, y)
}

// settle ends the held change of a key if the current era has said otherwise since.
func (r *Replica) settle(key string) {
	old, ok := r.held.get(key)
	if !ok {
		return
	}
	current, listed := r.items[key]
	if !listed {
		current = Item{Key: key, Revision: r.removals.revisions[key], Gone: true}
	}
	switch {
	case listed && r.supersedes(current, old),
		!listed && r.versionOf(old) == 0 && current.Revision > r.copied:
		r.held.settle(key)
	}
}

// Held returns the number of items whose held change binds although the era lists another
// one, and of those that the era does not list.
func (r *Replica) Held() (changed, unlisted int) {
	for key, c := range r.held.byKey {
		switch _, listed := r.items[key]; {
		case c.settled:
		case listed:
			changed++
		case !c.item.Gone:
			unlisted++
		}
	}
	return changed, unlisted
}

// HeldKeys returns at most limit keys of the items that Held counts, in their order.
func (r *Replica) HeldKeys(limit int) (keys []string) {
	for key, c := range r.held.byKey {
		if _, listed := r.items[key]; !c.settled && (listed || !c.item.Gone) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys[:min(len(keys), limit)]
}

// HeldDropped returns the number of changes that could not be held since the era began.
func (r *Replica) HeldDropped() int { return r.held.dropped }

// HeldDigest returns a digest of the held changes, which is the same on hosts with the same
// ones, and 0 without any.
func (r *Replica) HeldDigest() uint64 { return r.held.digest }

// Copied returns a revision that the copy from which the era began does not exceed.
func (r *Replica) Copied() uint64 { return r.copied }

// LowerCopied records a lower bound of another host for the copy of an era.
func (r *Replica) LowerCopied(era, copied uint64) {
	if era != r.era || copied >= r.copied {
		return
	}
	r.copied = copied
	r.settleAll()
}

func (r *Replica) settleAll() {
	for key := range r.held.byKey {
		r.settle(key)
	}
}

// ReleaseUnlisted ends the held change of a key that the current era does not list.
func (r *Replica) ReleaseUnlisted(key string) (released bool) {
	if _, listed := r.items[key]; listed {
		return false
	}
	_, held := r.held.get(key)
	r.held.settle(key)
	return held
}

// addHeld adds held changes of another host, as of a revision of the same era. Only a
// replica that contains all changes up to it can tell that a change has ended. It reports
// whether all were added.
func (r *Replica) addHeld(revision uint64, items []Item) (all bool) {
	all = true
	for _, i := range items {
		if i.Era >= r.era || i.Settled && revision > r.revision {
			all = all && i.Era >= r.era
			continue
		}
		if removed, ok := r.removed[i.Key]; ok {
			r.held.add(removed, false) // the other host may not know of it
		}
		r.held.add(i, i.Settled)
		r.settle(i.Key)
	}
	return all
}
