package mesh

import (
	"time"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// SendTo sends one datagram that carries only what b holds. It may be called by any
// goroutine. Like every datagram it may be lost.
func (c *Controller) SendTo(address string, b *wire.Heartbeat) {
	v := c.view.Load()
	b.Partial, b.From = true, toWire(v.Self, c.cfg.Clock.Now())
	raw, err := wire.EncodeHeartbeat(b)
	if err != nil {
		c.log.Error("Datagram cannot be encoded; it is not sent.", zap.Error(err))
		return
	}
	c.write(roster.Host{Address: address, DataCentre: v.DataCentreOf(address)}, raw)
}

func fromWire(p wire.Peer, now clock.Time) roster.Host {
	return roster.Host{
		Address: p.Address, DataCentre: p.DataCentre, Incarnation: p.Incarnation, Leaving: p.Leaving,
		Received: now.Add(-time.Duration(p.AgeMillis) * time.Millisecond),
	}
}

func toWire(h roster.Host, now clock.Time) wire.Peer {
	p := wire.Peer{Address: h.Address, DataCentre: h.DataCentre, Incarnation: h.Incarnation, Leaving: h.Leaving}
	if h.Received != 0 {
		// Rounded up: an age must not shrink while several hosts pass it on.
		p.AgeMillis = uint32(now.Sub(h.Received)/time.Millisecond) + 1
	}
	return p
}
