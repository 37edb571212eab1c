package balance

import "time"

// Candidate is one pool that a request may use.
type Candidate struct {
	Free   int           // free slots by the last known load
	Queued int           // waiting requests by the last known load
	Slots  int           // sum of limits by the last known load; 0 if unknown
	Local  bool          // in the data centre of this entry host
	Age    time.Duration // of the load
	Median time.Duration // median service time of its own servers; 0 if unknown
}

const (
	// localFullFor is how long a full pool of the own data centre is passed
	// over. Asking it again costs little, and slots come free within milliseconds.
	localFullFor = 2 * time.Millisecond
	// remoteFullFor is the same for other data centres, where each refusal
	// costs a round trip. At 70% load a pool of 20 slots is full for an instant
	// every few milliseconds; 100 ms kept requests away from pools with room.
	remoteFullFor = 5 * time.Millisecond
	// slowRatio is the ratio of median service times from which a pool of the
	// own data centre is slow, such as one whose servers are all cold.
	slowRatio = 2
	// slowShare is the inverse share of the lookups that a slow pool of the
	// own data centre still gets, so that its servers become warm. 1 in 40
	// keeps them below 1% of a service that stands in four data centres.
	slowShare = 40
)

// full reports whether a request sent to the pool is expected to be refused or
// to wait. In the own data centre a short queue costs less than a round trip
// to another one, so that pool is full only when half as many wait as it has slots.
func (c Candidate) full() bool {
	limit, queued := remoteFullFor, 0
	if c.Local {
		limit, queued = localFullFor, c.Slots/2
	}
	return c.Slots > 0 && c.Free <= 0 && c.Queued >= queued && c.Age < limit
}

// weight is the capacity by which a pool is drawn. An unknown pool counts as
// one free slot: it is tried now and then but not preferred.
func (c Candidate) weight() int {
	if c.Slots <= 0 {
		return 1
	}
	return max(c.Free, 1)
}

// AskLocal returns the skip mask that leaves only pools of the own data centre.
func AskLocal(pools []Candidate, skip uint64) uint64 {
	for i, c := range pools {
		if !c.Local {
			skip |= 1 << i
		}
	}
	return skip
}

// ChoosePool returns the index of the pool to ask, or -1 if there is none: a
// pool of the own data centre unless it is full or slow, then the freer one of
// two drawn by free capacity. When the others are full it is the own one, whose
// holder can refuse without a message to another data centre. skip marks pools
// that were asked before; at most 64 pools are considered. intn returns a
// random number in [0, n).
func ChoosePool(pools []Candidate, skip uint64, idempotent bool, intn func(int) int) int {
	local, total, seen := -1, 0, 0
	for i, c := range pools {
		if i >= 64 || skip&(1<<i) != 0 {
			continue
		}
		seen++
		switch {
		case c.Local && (local < 0 || c.weight() > pools[local].weight()):
			local = i
		case usable(pools, i):
			total += c.weight()
		}
	}
	if seen == 0 {
		return -1
	}
	if local >= 0 && (total == 0 || !pools[local].full() && (!slow(pools, local) || idempotent && intn(slowShare) == 0)) {
		return local
	}
	if total == 0 {
		return nth(pools, skip, intn(seen))
	}
	a, b := draw(pools, skip, intn(total)), draw(pools, skip, intn(total))
	if pools[b].Free-pools[b].Queued > pools[a].Free-pools[a].Queued {
		return b
	}
	return a
}

// usable reports whether pool i of another data centre is neither full nor slow.
func usable(pools []Candidate, i int) bool {
	return !pools[i].Local && !pools[i].full() && !slow(pools, i)
}

// slow reports whether pool i runs much slower than a pool of another data centre.
func slow(pools []Candidate, i int) bool {
	for k, c := range pools {
		if k != i && !c.Local && c.Median > 0 && pools[i].Median > slowRatio*c.Median+transit {
			return true
		}
	}
	return false
}

// Spill reports whether a request that asks pool i leaves a pool of the own
// data centre that is merely full. Its holder then grants only from spare slots.
func Spill(pools []Candidate, i int) bool {
	for k, c := range pools {
		if c.Local && !pools[i].Local && c.Slots > 0 && !slow(pools, k) {
			return true
		}
	}
	return false
}

// draw returns the pool of another data centre that holds slot n of their free slots.
func draw(pools []Candidate, skip uint64, n int) int {
	for i, c := range pools {
		if skip&(1<<i) != 0 || !usable(pools, i) {
			continue
		}
		if n -= c.weight(); n < 0 {
			return i
		}
	}
	return -1
}

func nth(pools []Candidate, skip uint64, n int) int {
	for i := range pools {
		if skip&(1<<i) != 0 {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}
