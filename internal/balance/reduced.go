package balance

import (
	"hash/fnv"
	"slices"
)

// ReducedHosts returns the entry hosts that may use a server without a lease,
// one request each: the first floor(slots/2) of the rendezvous order of the
// listed entry hosts for that server.
func ReducedHosts(server string, slots int, listed []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(listed))
	for i, name := range listed {
		all[i] = scored{name, rendezvous(server, name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score || (a.score == b.score && a.name < b.name):
			return -1
		default:
			return 1
		}
	})
	n := min(max(slots/2, 0), len(all))
	out := make([]string, n)
	for i := range out {
		out[i] = all[i].name
	}
	return out
}

func rendezvous(key, node string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(node))
	// FNV changes its high bits little for names that differ in the last
	// byte; the finaliser of MurmurHash3 spreads them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
