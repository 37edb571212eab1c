package filters

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// selection is what a request keeps of the snapshot that it began with.
type selection struct {
	snapshot state.Snapshot // without manifest and backend servers
	route    manifest.Route
	service  manifest.Service
	account  manifest.Account
}

// Route selects the first route of the manifest that matches, the service, and the client
// account that the request belongs to.
type Route struct{}

// noConfigurationRetryAfter is the mean retry delay of callers that a host refuses
// before its first configuration: reading the store or a peer takes some tens of
// milliseconds.
const noConfigurationRetryAfter = 80 * time.Millisecond

// Name implements filter.Filter.
func (Route) Name() string { return "route" }

// Handle implements filter.Filter.
func (Route) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	m := x.Snapshot.Manifest
	if m == nil {
		out := filter.Refuse(verdict.ReasonNoConfiguration, nil)
		out.RetryAfter = withJitter(noConfigurationRetryAfter)
		return out
	}
	route := m.Match(x.Request.Method, x.Request.Host, x.Request.Path)
	if route == nil {
		return filter.Refuse(verdict.ReasonNoRoute, nil)
	}
	service := m.Services[selectService(route)]
	if service == nil {
		return filter.Refuse(verdict.ReasonNoBackend, nil)
	}
	s := &selection{
		snapshot: state.Snapshot{Members: x.Snapshot.Members, PoisonRequests: x.Snapshot.PoisonRequests},
		route:    *route, service: *service,
	}
	x.Snapshot, x.Route, x.Service, x.Revision = &s.snapshot, &s.route, &s.service, m.File.Revision
	if x.Accounts = m.HasAccounts(); x.Accounts && x.Request.Credential != "" {
		if a := m.AccountOf(manifest.HashKey(x.Request.Credential)); a != nil {
			s.account = *a
			s.account.Keys = nil
			x.Account = &s.account
		}
	}
	if x.Route.Deadline > 0 {
		shortenDeadline(x, x.Arrived.Add(time.Duration(x.Route.Deadline)))
	}
	return next.Handle(ctx, x)
}

// selectService returns the service of a request: that of the route, or with a
// traffic split a random one by weight. All attempts of the request use it.
func selectService(r *manifest.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	var total float64
	for i := range r.Split {
		total += r.Split[i].Weight
	}
	remaining := rand.Float64() * total
	for i := range r.Split {
		if remaining -= r.Split[i].Weight; remaining < 0 {
			return r.Split[i].Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
