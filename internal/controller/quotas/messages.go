package quotas

import (
	"math"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/quota"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// send sends one ask or grant.
func (c *Controller) send(to string, m quota.Message) {
	b := &wire.Heartbeat{}
	if a := m.Ask; a != nil {
		b.QuotaAsks = []wire.QuotaAsk{{
			ID: a.ID, Account: uint64(a.Account), Waiting: small(a.Waiting), Ahead: small(a.Ahead), Seen: small(a.Seen),
			Returned: small(a.Returned), ReplyTo: a.ReplyTo, Hops: uint8(a.Hops),
		}}
	}
	if g := m.Grant; g != nil {
		b.QuotaGrants = []wire.QuotaGrant{{
			ID: g.ID, Granted: small(g.Granted), HoldMillis: small(ceilMillis(g.Hold)),
			RetryMillis: uint32(ceilMillis(g.RetryAfter)), Excess: small(int(min(g.Excess, 600) * 100)),
		}}
	}
	if h := m.Handover; h != nil {
		b.QuotaHandovers = []wire.QuotaHandover{{ID: h.ID, Account: uint64(h.Account), Tokens: uint32(h.Tokens)}}
	}
	c.cfg.Mesh.SendTo(to, b)
}

func small(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

func ceilMillis(d time.Duration) int { return int((d + time.Millisecond - 1) / time.Millisecond) }

// AddToHeartbeat implements mesh.HeartbeatHandler.
func (c *Controller) AddToHeartbeat(now clock.Time, b *wire.Heartbeat) {
	if len(*c.accounts.Load()) > 0 {
		b.UptimeMillis = uint32(min(now.Sub(c.started), maxUptime)/time.Millisecond) + 1
		b.FleetSize = small(int(c.fleetSize.Load()))
	}
}

// AddToDigest implements mesh.HeartbeatHandler.
func (c *Controller) AddToDigest(now clock.Time, b *wire.Heartbeat) { c.AddToHeartbeat(now, b) }

// Received implements mesh.HeartbeatHandler.
func (c *Controller) Received(now clock.Time, b *wire.Heartbeat) {
	if len(*c.accounts.Load()) == 0 || b.Relayed {
		return
	}
	if up := time.Duration(b.UptimeMillis) * time.Millisecond; up > now.Sub(c.started)+informedMargin {
		c.hearSize(int64(b.FleetSize))
	}
	for i := range b.QuotaAsks {
		a, from := b.QuotaAsks[i], b.From.Address
		c.enqueue(func(now clock.Time) {
			c.node.ReceiveAsk(now, from, quota.Ask{
				ID: a.ID, Account: quota.Key(a.Account), Waiting: int(a.Waiting), Ahead: int(a.Ahead), Seen: int(a.Seen),
				Returned: int(a.Returned), ReplyTo: a.ReplyTo, Hops: int(a.Hops),
			})
		})
	}
	for i := range b.QuotaGrants {
		g := b.QuotaGrants[i]
		c.enqueue(func(now clock.Time) {
			c.node.ReceiveGrant(now, quota.Grant{
				ID: g.ID, Granted: int(g.Granted), Hold: time.Duration(g.HoldMillis) * time.Millisecond,
				RetryAfter: time.Duration(g.RetryMillis) * time.Millisecond, Excess: float64(g.Excess) / 100,
			})
		})
	}
	for i := range b.QuotaHandovers {
		c.handedOver(b.QuotaHandovers[i])
	}
}

// handedOver takes over the tokens of a former owner.
func (c *Controller) handedOver(h wire.QuotaHandover) {
	c.enqueue(func(now clock.Time) {
		c.node.ReceiveHandover(now, quota.Handover{ID: h.ID, Account: quota.Key(h.Account), Tokens: int(min(h.Tokens, math.MaxInt32))})
	})
}

// hearSize keeps the largest size of the fleet that older processes reported since the
// last update.
func (c *Controller) hearSize(size int64) {
	for {
		old := c.olderSize.Load()
		if size <= old || c.olderSize.CompareAndSwap(old, size) {
			return
		}
	}
}
