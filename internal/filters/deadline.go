// Package filters contains the filters of the request chain. They decide whether,
// where and how often a request is sent, from the request, the current snapshot
// and the results of earlier attempts. The front end and the order controller run
// requests through the chain.
package filters

import (
	"context"
	"strconv"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Deadline sets the absolute deadline of a request from the remaining time that
// the caller gives. The route filter shortens it to the deadline of the route;
// nothing extends it.
type Deadline struct{}

// Name implements filter.Filter.
func (Deadline) Name() string { return "deadline" }

// maxDeadline bounds the deadline that a caller may set.
const maxDeadline = 5 * time.Minute

// Handle implements filter.Filter.
func (Deadline) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	x.Deadline = x.Arrived.Add(maxDeadline)
	if text := x.Request.Get(filter.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms < 0 {
			return filter.Refuse(verdict.ReasonBadRequest, err)
		}
		shortenDeadline(x, x.Arrived.Add(time.Duration(ms)*time.Millisecond))
	}
	return next.Handle(ctx, x)
}

func shortenDeadline(x *filter.Exchange, t clock.Time) {
	if t.Before(x.Deadline) {
		x.Deadline = t
	}
}
