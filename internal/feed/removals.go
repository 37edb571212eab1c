package feed

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// maxRemovals and maxRemovalBytes bound the removals kept for other hosts. A host
	// that missed more of them receives the whole replica.
	maxRemovals, maxRemovalBytes = 1024, 128 << 10
	// removalOverheadBytes is the memory that a removal takes up besides its key.
	removalOverheadBytes = 64
)

// removals are the removals of items that are absent now, by key.
type removals struct {
	revisions          map[string]uint64
	bytes              int
	maxCount, maxBytes int
}

func newRemovals() removals {
	return removals{revisions: map[string]uint64{}, maxCount: maxRemovals, maxBytes: maxRemovalBytes}
}

func removalBytes(key string) int { return len(key) + removalOverheadBytes }

func (r *removals) add(key string, revision uint64) {
	if _, ok := r.revisions[key]; !ok {
		r.bytes += removalBytes(key)
	}
	r.revisions[key] = revision
}

func (r *removals) delete(key string) {
	if _, ok := r.revisions[key]; ok {
		r.bytes -= removalBytes(key)
		delete(r.revisions, key)
	}
}

// trim drops the oldest removals when there are too many, down to half of the bounds. It
// keeps those after the given revision, since older changes of their items may still
// arrive. It returns the revision of the newest dropped removal, or 0.
func (r *removals) trim(upTo uint64) (dropped uint64) {
	if len(r.revisions) <= r.maxCount && r.bytes <= r.maxBytes {
		return 0
	}
	keys := slices.SortedFunc(maps.Keys(r.revisions), func(a, b string) int {
		return cmp.Compare(r.revisions[a], r.revisions[b])
	})
	for _, key := range keys {
		revision := r.revisions[key]
		if revision > upTo || len(r.revisions) <= r.maxCount/2 && r.bytes <= r.maxBytes/2 {
			break
		}
		r.delete(key)
		dropped = revision
	}
	return dropped
}
