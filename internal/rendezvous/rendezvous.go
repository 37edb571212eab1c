// Package rendezvous ranks entry hosts for a key, so that all hosts with the
// same list choose alike and a change of the list moves few choices.
package rendezvous

import (
	"cmp"
	"slices"
)

// FNV-1a parameters for 64 bits.
const (
	offset = 14695981039346656037
	prime  = 1099511628211
)

// Key is the hash of a key, for callers that rank often.
type Key uint64

// NewKey hashes a key.
func NewKey(key string) Key { return Key(hash(offset, key)) }

func hash(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * prime
	}
	return h
}

// Score is the weight of name for the key. The highest score is chosen first.
func (k Key) Score(name string) uint64 { return mix(hash(uint64(k)*prime, name)) }

// mix is the finaliser of splitmix64. FNV alone ranks names that differ in the
// last byte almost alike for all keys.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Order returns the names in descending order of score, equal scores by name.
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

// First returns the name with the highest score, or "".
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
