// Package rendezvous ranks entry hosts for a key, so that all hosts with the
// same list choose alike and a change of the list moves few choices.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Score is the weight of name for key. The highest score is chosen first.
func Score(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix is the finaliser of splitmix64. FNV alone ranks names that differ in the
// last byte almost alike for all keys.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Order returns the names in descending order of score for key, equal scores
// by name.
func Order(key string, names []string) []string {
	type ranked struct {
		name  string
		score uint64
	}
	list := make([]ranked, len(names))
	for i, n := range names {
		list[i] = ranked{n, Score(key, n)}
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

// First returns the name with the highest score for key, or "".
func First(key string, names []string) string {
	best, bestScore := "", uint64(0)
	for _, n := range names {
		if s := Score(key, n); best == "" || s > bestScore || s == bestScore && n < best {
			best, bestScore = n, s
		}
	}
	return best
}
