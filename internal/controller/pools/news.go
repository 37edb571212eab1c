package pools

import (
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// poolNews is what this process last heard of a pool.
type poolNews struct {
	load atomic.Pointer[state.PoolLoad] // published in state.Pools
	last atomic.Pointer[wire.PoolLoad]
}

// heard takes gossip of other entry hosts. It does not block. News of a pool
// that is held here come from its holder alone.
func (c *Controller) heard(_ string, u wire.Update) {
	if u.Load != nil && (*c.holders.Load())[u.Load.Pool] == nil {
		c.note(*u.Load)
	}
}

// note takes the load of a pool, from gossip, from a reply or from a holder
// here.
func (c *Controller) note(l wire.PoolLoad) {
	n := (*c.news.Load())[l.Pool]
	if n == nil {
		return
	}
	n.last.Store(&l)
	n.load.Store(&state.PoolLoad{Free: l.Free, Queued: l.Queued, Slots: l.Slots, Median: time.Duration(l.MedianMicros) * time.Microsecond, At: c.clock.Now()})
	c.noteWarm(&l)
}
