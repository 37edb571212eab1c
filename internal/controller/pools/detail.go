package pools

import (
	"github.com/anvilfront/anvilfront/internal/manifest"
)

// Detail is the state of one backend server for operators.
type Detail struct {
	Inflight int  // by this holder's count
	Limit    int  // requests in flight that the server gets now
	Warm     bool // slow start is over
	Ejected  bool // gets only a trickle of requests because it failed
}

// Detail returns the state of a backend server. ok is false when this process
// does not hold the lease of the pool.
func (c *Controller) Detail(id manifest.PoolID, server string) (d Detail, ok bool) {
	h := (*c.holders.Load())[id]
	if h == nil {
		return Detail{}, false
	}
	pub := h.view.Load()
	for i := range pub.view.Servers {
		// The view names a server by its key, which contains the address.
		if s := &pub.view.Servers[i]; pub.servers[i].Name == server {
			return Detail{Inflight: s.Counter.Inflight(), Limit: s.Limit, Warm: s.Warm, Ejected: s.Ejected}, true
		}
	}
	return Detail{}, false
}
