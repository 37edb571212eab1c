package filters

import (
	"context"
	"time"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Route finds the first route of the manifest that matches.
type Route struct{}

// Name implements filter.Filter.
func (Route) Name() string { return "route" }

// Handle implements filter.Filter.
func (Route) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	m := x.Snapshot.Manifest
	if m == nil {
		return filter.Refuse(verdict.ReasonNoRoute, nil)
	}
	x.Route = m.Match(x.Request.Method, x.Request.Host, x.Request.Path)
	if x.Route == nil {
		return filter.Refuse(verdict.ReasonNoRoute, nil)
	}
	x.Service = m.Services[x.Route.Service]
	shorten(x, x.Arrived.Add(time.Duration(x.Route.Deadline)))
	return next.Handle(ctx, x)
}
