package feed

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrCompacted means that the platform no longer has the requested changes. The
// whole content has to be read again.
var ErrCompacted = errors.New("feed: requested changes are no longer in the platform's history")

// MaxContentBytes bounds the memory of all published items that a host reads at once, from
// the platform or from another host. A configuration has at most 1 MiB, a registration
// some hundred bytes.
const MaxContentBytes = 16 << 20

// itemMemoryBytes is the memory that an item takes up besides its key and value.
const itemMemoryBytes = 128

// ContentBytes returns the memory of items.
func ContentBytes(items []Item) (size int) {
	for i := range items {
		size += items[i].bytes() + itemMemoryBytes
	}
	return size
}

// ErrContentTooLarge means that the published items exceed MaxContentBytes.
var ErrContentTooLarge = errors.New("feed: the published items take up too much memory")

// ErrUnusable means that the platform sent a response that cannot be used: it is too large,
// was cut off or cannot be decoded. The same call would probably get it again.
var ErrUnusable = errors.New("feed: the platform's response cannot be used")

// Source is the service of the platform that publishes the items. Every call has a
// cost and can fail, hang, or be refused. Errors other than ErrCompacted and ErrUnusable
// carry no information about the content.
type Source interface {
	// Read returns the whole content, complete as of position at. Items that
	// change during the call may be newer. All are of one era.
	Read(ctx context.Context) (at Position, items []Item, err error)
	// Watch waits up to wait for changes after the given position and returns those
	// up to position to. It is not an error if there are none within that time. If the
	// platform has another era than after, the events are not those after it.
	Watch(ctx context.Context, after Position, wait time.Duration) (to Position, events []Item, err error)
}

// Timing of the watches of the platform.
const (
	// StandbyTimeout is the age of the newest confirmation after which the next host
	// in rank watches as well. The watchers of all data centres together confirm
	// every watchSpacing; a confirmation arrives by a digest and a heartbeat, within
	// 0.4 s.
	StandbyTimeout = 1200 * time.Millisecond
	// FallbackTimeout is the age of the newest confirmation after which any host
	// watches the platform itself.
	FallbackTimeout = 3 * time.Second
	// minWatchWait and maxWatchWait bound how long one watch waits for changes. A
	// lost response is noticed only after this wait, and a change must be applied
	// within 2 s, so that a longer wait needs watchers in other data centres.
	minWatchWait, maxWatchWait = 2 * time.Second, 3 * time.Second
	// watchSpacing is the time between the responses to the watchers of different
	// data centres while there are no changes.
	watchSpacing = 750 * time.Millisecond
)

// WatchWait returns how long a watch waits for changes when the given number of
// data centres have a watcher.
func WatchWait(dataCentres int) time.Duration {
	return min(max(time.Duration(dataCentres)*watchSpacing, minWatchWait), maxWatchWait)
}

// FirstWait returns how long the first watch after a change waits. A change wakes
// the watchers of all data centres at once; position, the index of the local data
// centre in their order, spaces their next responses.
func FirstWait(position, dataCentres int) time.Duration {
	n := max(dataCentres, 1)
	return WatchWait(n) * time.Duration(min(position, n-1)+1) / time.Duration(n)
}

// ShouldWatch decides whether a host watches the platform. rank is its rank for this
// task in its data centre, negative if the host is leaving; a leaving host watches
// only until its replica is complete. confirmedAge is the age of the newest
// confirmation. unavailable is true if the watches of other hosts are known to fail:
// one more watcher would not change that.
func ShouldWatch(rank int, confirmedAge time.Duration, complete, unavailable bool) bool {
	switch {
	case rank == 0:
		return true
	case rank < 0:
		return !complete
	case unavailable && rank > 1:
		return confirmedAge > time.Duration(rank)*FallbackTimeout
	case confirmedAge > FallbackTimeout:
		return true
	}
	return confirmedAge > time.Duration(rank)*StandbyTimeout
}
