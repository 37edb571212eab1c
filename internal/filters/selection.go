package filters

import (
	"context"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Selection chooses the pool of an attempt: the own data centre first.
type Selection struct{}

// Name implements filter.Filter.
func (Selection) Name() string { return "selection" }

// Handle implements filter.Filter.
func (Selection) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	own := x.Snapshot.Members.Self.DataCentre
	for _, p := range x.Snapshot.Manifest.ByName[x.Service.Name] {
		if p.Out {
			continue
		}
		if x.Pool == nil || (x.Pool.ID.DataCentre != own && p.ID.DataCentre == own) {
			x.Pool = p
		}
	}
	if x.Pool == nil {
		return filter.Refuse(verdict.ReasonNoBackend, nil)
	}
	return next.Handle(ctx, x)
}
