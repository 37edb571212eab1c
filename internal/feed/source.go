package feed

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// ErrHistory means that the platform no longer has the changes asked for. The
// content has to be read again.
var ErrHistory = errors.New("feed: the platform dropped the history asked for")

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
	// in rank watches as well. The first one confirms at least every WatchWait.
	TakeOver = 1200 * time.Millisecond
	// Alone is the age after which any host asks the platform itself.
	Alone = 3 * time.Second
	// WatchWait is how long one watch waits for changes. A watch whose answer is
	// lost is noticed after it.
	WatchWait = 2 * time.Second
)

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
		return confirmed > time.Duration(rank)*Alone
	case confirmed > Alone:
		return true
	}
	return confirmed > time.Duration(rank)*TakeOver
}
