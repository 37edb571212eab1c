package quota

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

const (
	tokenSlots = 4 // grants whose tokens are held at the same time
	countBits  = 24
	countMask  = 1<<countBits - 1
)

// Account is the part of an account's state that the requests of a host share. It is
// lock-free and safe for concurrent use.
type Account struct {
	Key Key
	// slots hold the tokens of several grants: expiry in ms, and count in the low
	// countBits.
	slots     [tokenSlots]atomic.Uint64
	seen      atomic.Int64 // requests since the last ask
	heldUntil atomic.Int64 // clock.Time until which requests are refused without asking
	roomAt    atomic.Int64 // clock.Time at which a refused caller finds room
	target    atomic.Int64 // tokens that an ask covers ahead
	nudged    atomic.Bool  // the node was told that tokens run out
	excess    atomic.Uint64
	admitted  atomic.Int64
	refused   atomic.Int64
}

// Result is the immediate decision on a request.
type Result uint8

const (
	Wait     Result = iota // the node must ask the owner
	Admitted               // the request has a token
	Refused                // the account is over its quota
)

// Try decides on a request without waiting. low reports that the node should ask for more
// tokens now.
func (a *Account) Try(now clock.Time) (r Result, t Token, low bool) {
	a.seen.Add(1)
	if t, left, ok := a.take(now); ok {
		low = left <= a.target.Load()/2 && a.target.Load() > 0 && a.nudged.CompareAndSwap(false, true)
		return Admitted, t, low
	}
	if now < clock.Time(a.heldUntil.Load()) {
		return Refused, Token{}, false
	}
	return Wait, Token{}, false
}

// RetryAfter returns when a caller that is refused now finds room.
func (a *Account) RetryAfter(now clock.Time) time.Duration {
	return max(clock.Time(a.roomAt.Load()).Sub(now), minHold)
}

// Excess returns the demand of the account over all hosts as a multiple of its usual
// demand, as its owner last reported it; 1 if unknown.
func (a *Account) Excess() float64 {
	if v := math.Float64frombits(a.excess.Load()); v > 0 {
		return v
	}
	return 1
}

// Count counts a decided request.
func (a *Account) Count(admitted bool) {
	if admitted {
		a.admitted.Add(1)
	} else {
		a.refused.Add(1)
	}
}

// Counts returns how many requests were admitted and refused.
func (a *Account) Counts() (admitted, refused int64) { return a.admitted.Load(), a.refused.Load() }

// Return gives back the token of a request that was not sent. It reports whether another
// request of this host may still use it.
func (a *Account) Return(now clock.Time, t Token) bool {
	return t.Expires > millis(now) && a.add(now, 1, t.Expires)
}

// take takes the token that expires first.
func (a *Account) take(now clock.Time) (t Token, left int64, ok bool) {
	ms := millis(now)
	for {
		best, bestValue := -1, uint64(math.MaxUint64)
		left = 0
		for i := range a.slots {
			v := a.slots[i].Load()
			if v&countMask == 0 || int64(v>>countBits) <= ms {
				continue
			}
			left += int64(v & countMask)
			if v < bestValue {
				best, bestValue = i, v
			}
		}
		if best < 0 {
			return Token{}, 0, false
		}
		if a.slots[best].CompareAndSwap(bestValue, bestValue-1) {
			return Token{Expires: int64(bestValue >> countBits)}, left - 1, true
		}
	}
}

// add adds tokens. If no slot is free, they expire with older ones. It reports whether
// they were added.
func (a *Account) add(now clock.Time, n int64, expires int64) bool {
	ms := millis(now)
	for {
		free, older := -1, -1
		var freeValue, olderValue uint64
		for i := range a.slots {
			v := a.slots[i].Load()
			at := int64(v >> countBits)
			switch {
			case v&countMask == 0 || at <= ms:
				free, freeValue = i, v
			case at <= expires && v > olderValue:
				older, olderValue = i, v
			}
		}
		if older >= 0 && (free < 0 || int64(olderValue>>countBits) == expires) {
			if a.slots[older].CompareAndSwap(olderValue, olderValue+uint64(min(n, countMask-int64(olderValue&countMask)))) {
				return true
			}
			continue
		}
		if free < 0 {
			return false
		}
		if a.slots[free].CompareAndSwap(freeValue, uint64(expires)<<countBits|uint64(min(n, countMask))) {
			return true
		}
	}
}

// takeExpired removes the tokens that expired unspent and returns their number.
func (a *Account) takeExpired(now clock.Time) (n int64) {
	ms := millis(now)
	for i := range a.slots {
		v := a.slots[i].Load()
		if v&countMask > 0 && int64(v>>countBits) <= ms && a.slots[i].CompareAndSwap(v, 0) {
			n += int64(v & countMask)
		}
	}
	return n
}

func millis(t clock.Time) int64 { return int64(t) / int64(time.Millisecond) }
