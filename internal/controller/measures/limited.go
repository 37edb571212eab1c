package measures

import (
	"slices"
	"time"

	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
)

// limitedSendDelay is the time after the start of the process during which it sends
// nothing to servers with a rate limit: it does not know the other hosts yet.
const limitedSendDelay = 500 * time.Millisecond

// limitedServers holds which servers with a rate limit this host may send to. It is
// immutable.
type limitedServers struct {
	servers *state.Servers
	view    *roster.View
	owned   map[string]bool // by server name
}

// MaySendToLimited implements filters.LimitedSender. A limit holds for all hosts
// together, and is often below one request per second and host, so that shares of it
// would be of no use: one host of the server's data centre uses it all. The hosts
// share the servers of a service evenly.
func (c *Controller) MaySendToLimited(s *state.Server) bool {
	return c.cfg.Clock.Now().Sub(0) >= limitedSendDelay && c.limited.Load().owned[s.Name]
}

// assignLimited decides which servers of the local data centre this host may send to
// while they have a rate limit.
func (c *Controller) assignLimited(servers *state.Servers, v *roster.View) {
	old := c.limited.Load()
	if countLimited(servers) == 0 {
		if old.servers != nil {
			c.limited.Store(&limitedServers{})
		}
		return
	}
	if old.servers == servers && old.view.SameOwners(v) {
		return
	}
	next := &limitedServers{servers: servers, view: v, owned: map[string]bool{}}
	now := c.cfg.Clock.Now()
	for _, list := range servers.ByService {
		var names []string
		for _, s := range list {
			if s.Local {
				names = append(names, s.Name)
			}
		}
		slices.Sort(names)
		for _, name := range v.OwnedShare(names) {
			next.owned[name] = true
			s := servers.ByName[name]
			if r := s.Load.Reading(); r != nil && r.RateLimit > 0 && !old.owned[name] {
				s.Load.RateLimiter.Restart(now, r.RateLimit) // another host may just have sent
			}
		}
	}
	c.limited.Store(next)
}

// countLimited returns the number of servers whose newest reading has a rate limit.
func countLimited(servers *state.Servers) (n int64) {
	for _, s := range servers.ByName {
		if r := s.Load.Reading(); r != nil && r.RateLimit > 0 {
			n++
		}
	}
	return n
}
