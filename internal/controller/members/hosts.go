package members

import (
	"context"

	"github.com/anvilfront/anvilfront/internal/configservice"
	"github.com/anvilfront/anvilfront/internal/membership"
)

// PlatformHosts returns a function for Config.Hosts that reads the host list from
// the configuration service.
func PlatformHosts(p *configservice.Client) func(ctx context.Context) ([]membership.ListedHost, error) {
	return func(ctx context.Context) ([]membership.ListedHost, error) {
		list, err := p.Hosts(ctx)
		if err != nil {
			return nil, err
		}
		out := make([]membership.ListedHost, 0, len(list))
		for _, h := range list {
			if h.Name != "" && h.Address != "" {
				out = append(out, membership.ListedHost{
					Name: h.Name, Address: h.Address, DataCentre: h.DataCentre, Leaving: h.State == "leaving",
				})
			}
		}
		return out, nil
	}
}
