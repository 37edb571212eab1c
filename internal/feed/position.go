package feed

import "cmp"

// Position is a position in the platform's history. A platform that comes back from a copy
// of itself loses the newest changes and gives their revisions out again; its era rises by
// one each time.
type Position struct {
	Era      uint64 // 0 for a platform that names none
	Revision uint64
}

// Compare orders positions by era, then by revision.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether p is an older position than other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }
