package lease

import (
	"fmt"

	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/rendezvous"
	"github.com/anvilfront/anvilfront/internal/state"
)

// Electorate returns the listed entry hosts that vote on the pools of a data
// centre: those of the data centre or, if there are none, all. It depends on
// the lists alone and not on who is alive, so that a network partition cannot
// form two electorates.
func Electorate(m *state.Members, dataCentre string) []string {
	var local, all []string
	for _, name := range m.Listed {
		h := m.ByName[name]
		if h == nil {
			continue
		}
		all = append(all, name)
		if h.DataCentre == dataCentre {
			local = append(local, name)
		}
	}
	if len(local) == 0 {
		return all
	}
	return local
}

// Key is the rendezvous key of a pool.
func Key(pool manifest.PoolID) string {
	return fmt.Sprintf("pool/%s/%s/%d", pool.Service, pool.DataCentre, pool.Shard)
}

// Candidates returns the members of the electorate that may hold the lease of
// the pool, in the order in which they should: alive and not leaving.
func Candidates(m *state.Members, pool manifest.PoolID, electorate []string) []string {
	var names []string
	for _, name := range electorate {
		if h := m.ByName[name]; h != nil && h.Alive && !h.Leaving {
			names = append(names, name)
		}
	}
	return rendezvous.Order(Key(pool), names)
}

// Alone reports whether no other entry host is known or listed.
func Alone(m *state.Members) bool {
	return len(m.ByName) <= 1 && (len(m.Listed) == 0 || len(m.Listed) == 1 && m.Listed[0] == m.Self.Name)
}
