package membership

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"

	"github.com/anvilfront/anvilfront/internal/wire"
)

// Limits of the queue of updates that are piggybacked on pings.
const (
	// Each host that receives an update sends it retransmitFactor times the binary
	// logarithm of the fleet size. With a factor of 3, a host in a fleet of 64
	// spends 9.5 KB/s on pings.
	retransmitFactor = 2
	minTransmissions = 6    // 6 transmissions per host reach 99.7% of a large fleet (epidemic model)
	maxQueued        = 512  // updates
	maxSeen          = 8192 // entries in each of seen and olderSeen
)

// queuedUpdate is an update with its transmission state.
type queuedUpdate struct {
	key      string
	class    int
	update   wire.Update
	sent     int
	priority uint64 // the update queued last has the highest; sent first among equals
}

// queue holds the updates to gossip. Each is sent a bounded number of times, the
// least often sent first. A new update replaces a queued one of the same key.
type queue struct {
	items   map[string]*queuedUpdate
	counter uint64
	dropped int64
	// seen holds the newest sequence number by key and origin process. When it is
	// full, it replaces olderSeen, so that memory is bounded and recent updates
	// stay known.
	seen, olderSeen map[string]uint64
}

func newQueue() *queue {
	return &queue{items: map[string]*queuedUpdate{}, seen: map[string]uint64{}, olderSeen: map[string]uint64{}}
}

// keyOf returns the key and the priority class of an update; lower classes are
// sent first. The key of an update of unknown kind is "".
func keyOf(u *wire.Update) (key string, class int) {
	switch {
	case u.Member != nil:
		return "m/" + u.Member.Name, 0
	case u.Successor != nil:
		return fmt.Sprintf("n/%x", u.Successor.Incarnation), 0
	case u.Suspect != nil:
		return fmt.Sprintf("s/%x/%s", u.Suspect.Fingerprint, u.Origin), 1
	}
	return "", 0
}

// markSeen reports whether u is newer than the last update with the same key from
// the same origin process. If so, it records the sequence number of u.
func (q *queue) markSeen(u *wire.Update) bool {
	key, _ := keyOf(u)
	if key == "" || u.Origin == "" {
		return false
	}
	id := fmt.Sprintf("%s|%s|%x", key, u.Origin, u.Incarnation)
	last, ok := q.seen[id]
	if !ok {
		last, ok = q.olderSeen[id]
	}
	if ok && u.Sequence <= last {
		return false
	}
	if len(q.seen) >= maxSeen {
		q.seen, q.olderSeen = make(map[string]uint64), q.seen
	}
	q.seen[id] = u.Sequence
	return true
}

// push queues u, replacing a queued update of the same key. When the queue is
// full, the oldest update of the highest class is dropped and counted.
func (q *queue) push(u wire.Update) {
	key, class := keyOf(&u)
	if key == "" {
		return
	}
	q.counter++
	if _, ok := q.items[key]; !ok && len(q.items) >= maxQueued {
		q.dropOldest()
	}
	q.items[key] = &queuedUpdate{key: key, class: class, update: u, priority: q.counter}
}

func (q *queue) dropOldest() {
	var victim *queuedUpdate
	for _, i := range q.items {
		if victim == nil || i.class > victim.class || i.class == victim.class && i.priority < victim.priority {
			victim = i
		}
	}
	delete(q.items, victim.key)
	q.dropped++
}

// take returns up to n updates for one message, without those that the receiver
// published itself, and drops updates that were sent often enough.
func (q *queue) take(n, fleetSize int, receiver string) []wire.Update {
	if len(q.items) == 0 || n <= 0 {
		return nil
	}
	list := make([]*queuedUpdate, 0, len(q.items))
	for _, i := range q.items {
		if i.update.Origin != receiver || receiver == "" {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b *queuedUpdate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.sent, b.sent), cmp.Compare(b.priority, a.priority))
	})
	log2Size := bits.Len(uint(max(fleetSize, 1)))
	out := make([]wire.Update, 0, min(n, len(list)))
	for _, i := range list[:min(n, len(list))] {
		out = append(out, i.update)
		if i.sent++; i.sent >= max(retransmitFactor*log2Size, minTransmissions) {
			delete(q.items, i.key)
		}
	}
	return out
}
