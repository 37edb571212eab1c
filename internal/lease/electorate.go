package lease

import (
	"slices"
	"strconv"

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
func Key(pool manifest.PoolID) rendezvous.Key {
	return rendezvous.NewKey("pool/" + pool.Service + "/" + pool.DataCentre + "/" + strconv.Itoa(pool.Shard))
}

// Eligible returns the members of the electorate that may hold a lease: alive
// and not leaving.
func Eligible(m *state.Members, electorate []string) []string {
	var names []string
	for _, name := range electorate {
		if h := m.ByName[name]; h != nil && h.Alive && !h.Leaving {
			names = append(names, name)
		}
	}
	return names
}

// Candidates returns the eligible members in the order in which they should
// hold the lease of the pool.
func Candidates(m *state.Members, pool manifest.PoolID, electorate []string) []string {
	return Key(pool).Order(Eligible(m, electorate))
}

// Voters returns whom to ask for a renewal: a majority and one more, first those
// that are reliable. Asking all voters cost 33 messages a second per host in a
// fleet of 64. A renewal that fails is followed by one that asks all.
func Voters(self string, electorate []string, reliable func(name string) bool) []string {
	order := rendezvous.Order("voters/"+self, electorate)
	slices.SortStableFunc(order, func(a, b string) int { return rank(self, a, reliable) - rank(self, b, reliable) })
	return order[:min(len(order), len(order)/2+2)]
}

func rank(self, name string, reliable func(name string) bool) int {
	switch {
	case name == self:
		return 0
	case reliable(name):
		return 1
	}
	return 2
}
