package filters

import (
	"github.com/cespare/xxhash/v2"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/precedence"
)

// standing returns how a request stands among the others of its service.
func (p *Placement) standing(x *filter.Exchange) precedence.Standing {
	if !x.Accounts {
		return precedence.Standing{Urgency: p.urgency.get(x.Service.Name).observe(x.Route.Priority)}
	}
	// A request without an account, on a public route, stands among accounts as its route
	// stands among routes.
	r := precedence.Request{AccountPriority: x.Route.Priority, RoutePriority: x.Route.Priority}
	if x.Account != nil {
		r.AccountPriority = x.Account.Priority
		if p.Loads != nil {
			r.Heat = p.Loads.Heat(x.Account.Name)
		}
	}
	r.Draw = p.draw(x)
	x.Standing, x.Heat = p.order.get(x.Service.Name).Judge(r), r.Heat
	return x.Standing
}

// draw returns random numbers that are the same for each try of a request with an id.
func (p *Placement) draw(x *filter.Exchange) precedence.Draw {
	if x.Request.ID == "" {
		return precedence.Draw{Exempt: p.random().Float64(), Yield: p.random().Float64()}
	}
	var d xxhash.Digest
	d.Reset()
	writeLengthPrefixed(&d, x.AccountName())
	writeLengthPrefixed(&d, x.Request.ID)
	sum := d.Sum64()
	return precedence.Draw{Exempt: float64(sum>>32) / (1 << 32), Yield: float64(uint32(sum)) / (1 << 32)}
}
