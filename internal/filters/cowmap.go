package filters

import (
	"maps"
	"sync/atomic"
)

const (
	// maxGenerationBytes bounds the names in one generation of a cowMap: some 5,000 names
	// of 40 bytes, more than one configuration of the greatest size has routes in use.
	maxGenerationBytes = 512 << 10
	// nameOverheadBytes is the memory that a name takes up besides its text.
	nameOverheadBytes = 64
)

// cowMap is a copy-on-write map from the names of routes or services to values that are
// created on first use. A read takes one atomic load; a new name copies the map. Names
// that have not been used for a generation are dropped, since names come and go with
// changes of the configuration.
type cowMap[T any] struct {
	p atomic.Pointer[generations[T]]
}

type generations[T any] struct {
	current, older map[string]*T
	bytes          int // of the names in current
}

func (m *cowMap[T]) get(name string) *T {
	for {
		old := m.p.Load()
		var g generations[T]
		if old != nil {
			g = *old
		}
		if v := g.current[name]; v != nil {
			return v
		}
		v := g.older[name]
		if v == nil {
			v = new(T)
		}
		if next := g.with(name, v); m.p.CompareAndSwap(old, &next) {
			return v
		}
	}
}

// with returns g with a name that its current generation lacks.
func (g generations[T]) with(name string, v *T) generations[T] {
	added := len(name) + nameOverheadBytes
	if g.bytes+added > maxGenerationBytes {
		return generations[T]{current: map[string]*T{name: v}, older: g.current, bytes: added}
	}
	next := generations[T]{current: maps.Clone(g.current), older: g.older, bytes: g.bytes + added}
	if next.current == nil {
		next.current = map[string]*T{}
	}
	next.current[name] = v
	return next
}
