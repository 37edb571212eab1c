package feed

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrHistory means that the platform no longer has the changes asked for. The
// content has to be read again.
var ErrCompacted = errors.New("feed: the platform dropped the history asked for")

// Source is the platform's service that publishes the items. Every call has a
// price and can fail, hang, or be refused. Errors other than ErrHistory mean
// that nothing was learned.
type Source interface {
	// Read returns the whole content, complete as of revision at. Items that
	// changed meanwhile may be newer.
	Read(ctx context.Context) (at uint64, items []Item, err error)
	// Watch waits up to wait for changes after a revision and returns those up
	// to revision to. No changes within wait is not an error.
	Watch(ctx context.Context, after uint64, wait time.Duration) (to uint64, events []Item, err error)
}

// Duties of watching the platform.
const (
	// TakeOver is the age of the newest confirmation after which the next host
	// in rank watches as well. The watchers of all data centres together confirm
	// every watchSpacing; the news of it takes a digest and a beat, 0.4 s at most.
	StandbyTimeout = 1200 * time.Millisecond
	// Alone is the age after which any host asks the platform itself.
	FallbackTimeout = 3 * time.Second
	// leastWait and mostWait bound how long one watch waits for changes. A watch
	// whose answer is lost is noticed after it, and a change is to be in force
	// within 2 s, so that a longer one needs watchers in other data centres.
	leastWait, mostWait = 2 * time.Second, 3 * time.Second
	// watchSpacing is the time between the answers to the watchers of different
	// data centres while nothing changes.
	watchSpacing = 750 * time.Millisecond
)

// WatchWait returns how long a watch waits for changes where so many data centres
// have a watcher.
func WatchWait(centres int) time.Duration {
	return min(max(time.Duration(centres)*watchSpacing, leastWait), mostWait)
}

// FirstWait returns how long the first watch after a change waits. A change wakes
// the watchers of all data centres at once; place, the order of the own one from
// 0, keeps their next answers apart.
func FirstWait(place, centres int) time.Duration {
	n := max(centres, 1)
	return WatchWait(n) * time.Duration(min(place, n-1)+1) / time.Duration(n)
}

// ShouldWatch decides whether a host watches the platform. rank is its place
// among the hosts of its data centre for this duty; negative means it leaves.
// tried is true when others are known to fail at it, which one more caller
// would not change.
func ShouldWatch(rank int, confirmed time.Duration, complete, tried bool) bool {
	switch {
	case rank == 0:
		return true
	case rank < 0:
		return !complete
	case tried && rank > 1:
		return confirmed > time.Duration(rank)*FallbackTimeout
	case confirmed > FallbackTimeout:
		return true
	}
	return confirmed > time.Duration(rank)*StandbyTimeout
}
