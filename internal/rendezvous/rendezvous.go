// Package rendezvous ranks entry hosts for a key by rendezvous hashing, so that all
// hosts with the same list of names choose the same host, and a change of the list
// changes few choices. The roster uses it to assign tasks to hosts, the manifests
// controller to choose the watchers of a data centre, and the orders controller to
// rank members.
package rendezvous

import (
	"cmp"
	"slices"
)

// FNV-1a parameters for 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Key is the hash of a key. Callers that rank names repeatedly keep it.
type Key uint64

// NewKey hashes a key.
func NewKey(key string) Key { return Key(hash(fnvOffset, key)) }

func hash(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// Score returns the score of name for the key. The highest score ranks first.
func (k Key) Score(name string) uint64 { return mix(hash(uint64(k)*fnvPrime, name)) }

// mix is the finalizer of splitmix64. Without it, FNV ranks names that differ only
// in the last byte almost the same for all keys.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Order returns the names in descending order of score, and by name where scores
// are equal.
func (k Key) Order(names []string) []string {
	type ranked struct {
		name  string
		score uint64
	}
	list := make([]ranked, len(names))
	for i, n := range names {
		list[i] = ranked{n, k.Score(n)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(list))
	for i, r := range list {
		out[i] = r.name
	}
	return out
}

// First returns the name with the highest score, or "" if there are no names.
func (k Key) First(names []string) string {
	best, bestScore := "", uint64(0)
	for _, n := range names {
		if s := k.Score(n); best == "" || s > bestScore || s == bestScore && n < best {
			best, bestScore = n, s
		}
	}
	return best
}

// Order is NewKey(key).Order(names).
func Order(key string, names []string) []string { return NewKey(key).Order(names) }

// Balanced assigns each key to one of the names, so that no name gets more than its
// share, rounded up: a key goes to the name that ranks first of those that still have
// room. The keys must be in the same order on all hosts. The result is empty if there
// are no names.
func Balanced(keys, names []string) map[string]string {
	if len(names) == 0 {
		return nil
	}
	share := (len(keys) + len(names) - 1) / len(names)
	assigned, count := make(map[string]string, len(keys)), make(map[string]int, len(names))
	for _, key := range keys {
		for _, name := range Order(key, names) {
			if count[name] < share {
				assigned[key] = name
				count[name]++
				break
			}
		}
	}
	return assigned
}
