package balance

import "time"

// Candidate is one pool that a request may use.
type Candidate struct {
	Free   int           // free slots by the last known load
	Queued int           // waiting requests by the last known load
	Slots  int           // sum of limits by the last known load; 0 if unknown
	Local  bool          // in the data centre of this entry host
	Age    time.Duration // of the load
}

const (
	// localFullFor is how long a full pool of the own data centre is passed
	// over. Asking it again costs little, and slots come free within milliseconds.
	localFullFor = 2 * time.Millisecond
	// remoteFullFor is the same for other data centres, where each refusal
	// costs a round trip.
	remoteFullFor = time.Second
)

// full reports whether a request sent to the pool is expected to wait or to be refused.
func (c Candidate) full() bool {
	limit := remoteFullFor
	if c.Local {
		limit = localFullFor
	}
	return c.Slots > 0 && c.Free <= 0 && c.Age < limit
}

// weight is the capacity by which a pool is drawn. An unknown pool counts as
// one free slot: it is tried now and then but not preferred.
func (c Candidate) weight() int {
	if c.Slots <= 0 {
		return 1
	}
	return max(c.Free, 1)
}

// ChoosePool returns the index of the pool to ask, or -1 if there is none: a
// pool of the own data centre unless it is full, then the freer one of two
// drawn by free capacity. When every pool is full it is the own one, whose
// holder can refuse without a message to another data centre. skip marks pools
// that were asked before; at most 64 pools are considered. intn returns a
// random number in [0, n).
func ChoosePool(pools []Candidate, skip uint64, intn func(int) int) int {
	local, total, seen := -1, 0, 0
	for i, c := range pools {
		if i >= 64 || skip&(1<<i) != 0 {
			continue
		}
		if c.Local && (local < 0 || c.weight() > pools[local].weight()) {
			local = i
		}
		if !c.full() {
			total += c.weight()
		}
		seen++
	}
	if seen == 0 {
		return -1
	}
	if local >= 0 && (!pools[local].full() || total == 0) {
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

func draw(pools []Candidate, skip uint64, n int) int {
	for i, c := range pools {
		if skip&(1<<i) != 0 || c.full() {
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
