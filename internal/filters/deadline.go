// Package filters holds the filters of the request chain, one per file.
package filters

import (
	"context"
	"strconv"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Deadline sets the absolute deadline of a request from the caller's remaining
// budget. The route filter shortens it to the route's own deadline; nothing
// extends it.
type Deadline struct{}

// Name implements filter.Filter.
func (Deadline) Name() string { return "deadline" }

// maxDeadline bounds what a caller may ask for.
const maxDeadline = 5 * time.Minute

// Handle implements filter.Filter.
func (Deadline) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	x.Deadline = x.Arrived.Add(maxDeadline)
	if text := x.Request.Get(filter.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms < 0 {
			return filter.Refuse(verdict.ReasonBadRequest, err)
		}
		shorten(x, x.Arrived.Add(time.Duration(ms)*time.Millisecond))
	}
	return next.Handle(ctx, x)
}

func shorten(x *filter.Exchange, t clock.Time) {
	if t.Before(x.Deadline) {
		x.Deadline = t
	}
}
