package balance

import (
	"math"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// Item is one waiting request.
type Item struct {
	Priority   int // 0 to 9, from the route
	Idempotent bool
	Avoid      []string      // backend servers tried before
	Enqueued   clock.Time    // when it came
	MaxWait    time.Duration // refused at once when the expected wait is longer
	GiveUp     clock.Time    // refused when not granted before this
	Deadline   clock.Time    // must be finished before this
	Ref        any           // for the owner of the queue
	sequence   uint64
}

// Ordering decides which waiting request is served first: the one with the
// highest score, and among equals the one that came first.
type Ordering interface {
	Score(it *Item) float64
}

// Strict serves by route priority.
type Strict struct{}

// Score implements Ordering.
func (Strict) Score(it *Item) float64 { return float64(it.Priority) }

// FIFO serves in order of arrival.
type FIFO struct{}

// Score implements Ordering.
func (FIFO) Score(*Item) float64 { return 0 }

// Refusal is the reason for which a request may not wait.
type Refusal uint8

const (
	// Accepted means that the request waits.
	Accepted Refusal = iota
	// Full means that the queue holds only requests that go before this one.
	Full
	// WontFinish means that the request would wait or run past its limits.
	WontFinish
)

// Queue is the bounded queue of one pool.
type Queue struct {
	items    []*Item
	limit    int
	order    Ordering
	sequence uint64
	hold     float64     // mean time from grant to release, in seconds
	arrivals [10]float64 // offers per second by priority
	at       clock.Time  // of the last offer
}

const (
	// arrivalMemory is the time constant of the arrival rates.
	arrivalMemory = 100 * time.Millisecond
	// alphaHold is the weight of one grant in the mean hold time.
	alphaHold = 0.05
	// leastLeft bounds from below the share of slots left to a priority by the
	// higher ones, so that estimates stay finite.
	leastLeft = 0.05
)

// NewQueue returns a queue of at most limit items.
func NewQueue(limit int, order Ordering) *Queue {
	return &Queue{limit: limit, order: order}
}

// Held takes the time from grant to release of one slot.
func (q *Queue) Held(d time.Duration) {
	if q.hold == 0 {
		q.hold = d.Seconds()
	}
	q.hold += alphaHold * (d.Seconds() - q.hold)
}

// SetLimit changes the bound. Items above it stay until they are served.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Offer adds a request unless its expected wait exceeds MaxWait or it would
// not finish before Deadline. When the queue is full, the item that is served
// last is displaced if it goes after the new one.
func (q *Queue) Offer(it *Item, now clock.Time, slots int) (displaced *Item, r Refusal) {
	q.sequence++
	it.sequence = q.sequence
	q.arrived(it.Priority, now)
	ahead := 0
	for _, other := range q.items {
		if q.before(other, it) {
			ahead++
		}
	}
	wait, ok := q.wait(it, ahead, slots)
	if !ok || wait > it.MaxWait || !now.Add(wait+q.service()).Before(it.Deadline) {
		return nil, WontFinish
	}
	if len(q.items) >= q.limit {
		if ahead >= q.limit || len(q.items) == 0 {
			return nil, Full
		}
		displaced = q.last()
		q.Remove(displaced)
	}
	q.items = append(q.items, it)
	return displaced, Accepted
}

func (q *Queue) arrived(priority int, now clock.Time) {
	f := math.Exp(-now.Sub(q.at).Seconds() / arrivalMemory.Seconds())
	for i := range q.arrivals {
		q.arrivals[i] *= f
	}
	q.at = now
	q.arrivals[priority] += 1 / arrivalMemory.Seconds()
}

// wait estimates the time until it is served with ahead items before it: a
// slot comes free each hold/slots, and part of the slots goes to arrivals that
// will overtake it.
func (q *Queue) wait(it *Item, ahead, slots int) (time.Duration, bool) {
	if slots <= 0 {
		return 0, false
	}
	interval, overtaking := q.hold/float64(slots), 0.0
	score := q.order.Score(it)
	for p, rate := range q.arrivals {
		if q.order.Score(&Item{Priority: p}) > score {
			overtaking += rate
		}
	}
	left := max(leastLeft, 1-overtaking*interval)
	return time.Duration(float64(ahead+1) * interval / left * float64(time.Second)), true
}

func (q *Queue) service() time.Duration { return time.Duration(q.hold * float64(time.Second)) }

// Next returns the item to serve first without removing it, or nil.
func (q *Queue) Next() *Item {
	var first *Item
	for _, it := range q.items {
		if first == nil || q.before(it, first) {
			first = it
		}
	}
	return first
}

func (q *Queue) last() *Item {
	var last *Item
	for _, it := range q.items {
		if last == nil || q.before(last, it) {
			last = it
		}
	}
	return last
}

// Serve refuses the items that can no longer be served in time and serves the
// others in order, until take finds no slot.
func (q *Queue) Serve(now clock.Time, take func(*Item) bool, refuse func(*Item)) {
	for _, it := range q.Expired(now) {
		refuse(it)
	}
	for it := q.Next(); it != nil && take(it); it = q.Next() {
		q.Remove(it)
	}
}

// Granted tells an ordering that counts grants of one more.
func (q *Queue) Granted(it *Item, now clock.Time) {
	if w, ok := q.order.(*Weighted); ok {
		w.Granted(it.Priority, now)
	}
}

// Remove removes an item and reports whether it was waiting.
func (q *Queue) Remove(it *Item) bool {
	for i, other := range q.items {
		if other == it {
			end := len(q.items) - 1
			q.items[i] = q.items[end]
			q.items[end] = nil
			q.items = q.items[:end]
			return true
		}
	}
	return false
}

// Expired removes and returns the items that can no longer be served in time.
func (q *Queue) Expired(now clock.Time) []*Item {
	var out []*Item
	kept := q.items[:0]
	for _, it := range q.items {
		if !now.Before(it.GiveUp) || !now.Add(q.service()).Before(it.Deadline) {
			out = append(out, it)
		} else {
			kept = append(kept, it)
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
	return out
}

// NextGiveUp returns the earliest GiveUp of the items, and false if there are none.
func (q *Queue) NextGiveUp() (clock.Time, bool) {
	var t clock.Time
	for i, it := range q.items {
		if i == 0 || it.GiveUp.Before(t) {
			t = it.GiveUp
		}
	}
	return t, len(q.items) > 0
}

// Drain removes and returns all items.
func (q *Queue) Drain() []*Item {
	out := q.items
	q.items = nil
	return out
}

func (q *Queue) before(a, b *Item) bool {
	sa, sb := q.order.Score(a), q.order.Score(b)
	if sa != sb {
		return sa > sb
	}
	return a.sequence < b.sequence
}
