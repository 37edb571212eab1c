// Package mesh owns this host's roster of entry hosts. It sends and receives
// the beats that carry load readings, the reach of the feed and news of other
// hosts. Within a data centre every host beats to every other; between data
// centres one host of each sends a digest to one host of each other.
package mesh

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	// period is the time between beats without readings. Three of them fit into
	// roster.AliveLocal.
	period = 200 * time.Millisecond
	// digestPeriod is the time between digests to one other data centre.
	digestPeriod = 200 * time.Millisecond
	// seedPeriod is the time between beats to seeds and silent hosts, so that
	// the sides of a healed partition find each other within seconds.
	seedPeriod = time.Second
	// helloPeriod is the time between beats to seeds while no host is known.
	helloPeriod = 150 * time.Millisecond
	// peersPerBeat bounds the hosts named in a beat, peersPerWelcome those in
	// the answer to a new process.
	peersPerBeat    = 2
	peersPerWelcome = 24
	// silentPerPeriod bounds the silent hosts that get a beat in one seedPeriod.
	silentPerPeriod = 4
	// readBuffer holds any datagram; beats have at most wire.MaxBeat bytes.
	readBuffer = 64 << 10
)

// Part contributes to beats and takes what they bring. Its methods are called
// by one goroutine and must not block.
type HeartbeatHandler interface {
	// Fill adds to a beat for this data centre.
	AddToHeartbeat(now clock.Time, b *wire.Heartbeat)
	// FillDigest adds to a digest for another data centre.
	AddToDigest(now clock.Time, b *wire.Heartbeat)
	// Heard takes a beat of another host.
	Received(now clock.Time, b *wire.Heartbeat)
}

// Config holds what the controller needs.
type Config struct {
	Clock    clock.Clock
	Conn     *net.UDPConn
	Self     roster.Host
	Seeds    []string // datagram addresses of hosts to start from
	Rand     *rand.Rand
	Counters *metrics.Counters
	Log      *zap.Logger
}

// Controller is the only writer of the roster.
type Controller struct {
	cfg     Config
	log     *zap.Logger
	parts   []HeartbeatHandler
	view    atomic.Pointer[roster.View]
	flush   atomic.Bool
	leaving atomic.Bool
	seeds   atomic.Pointer[[]string]

	// Used by Run's goroutine only.
	roster     *roster.Roster
	nextBeat   clock.Time
	nextDigest clock.Time
	nextSeed   clock.Time
	nextView   clock.Time
	sent       *expvar.Int
	sentBytes  *expvar.Int
	farBytes   *expvar.Int
	received   *expvar.Int
	malformed  *expvar.Int
}

// New returns a controller that knows this host only.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg, log: cfg.Log.Named("mesh"), roster: roster.New(cfg.Self)}
	c.view.Store(c.roster.View(0))
	c.seeds.Store(&cfg.Seeds)
	c.sent, c.sentBytes = cfg.Counters.Int("mesh.sent"), cfg.Counters.Int("mesh.sent_bytes")
	c.farBytes = cfg.Counters.Int("mesh.sent_bytes_other_data_centres")
	c.received, c.malformed = cfg.Counters.Int("mesh.received"), cfg.Counters.Int("mesh.malformed")
	return c
}

// Add registers a part. Call it before Run.
func (c *Controller) AddHandler(p HeartbeatHandler) { c.parts = append(c.parts, p) }

// View returns the current roster. It is immutable.
func (c *Controller) View() *roster.View { return c.view.Load() }

// SetSeeds replaces the hosts to start from.
func (c *Controller) SetSeeds(addresses []string) { c.seeds.Store(&addresses) }

// Flush makes the next beat leave now, because there are new readings.
func (c *Controller) Flush() {
	c.flush.Store(true)
	_ = c.cfg.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes Run
}

// Leave tells the other hosts of the planned stop.
func (c *Controller) Leave() {
	c.leaving.Store(true)
	c.Flush()
}

// Run beats until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.cfg.Conn.Close() })
	defer stop()
	buf := make([]byte, readBuffer)
	for ctx.Err() == nil {
		now := c.cfg.Clock.Now()
		c.tick(now)
		wait := min(c.nextBeat, c.nextSeed, c.nextView).Sub(now)
		_ = c.cfg.Conn.SetReadDeadline(time.Now().Add(max(wait, time.Millisecond)))
		if c.flush.Load() {
			continue // set between tick and the deadline
		}
		n, _, err := c.cfg.Conn.ReadFromUDPAddrPort(buf)
		if err == nil {
			c.receive(buf[:n])
			continue
		}
		if e, ok := errors.Into[net.Error](err); !ok || !e.Timeout() {
			if ctx.Err() != nil {
				return
			}
			c.log.Warn("Receive failed.", zap.Error(err))
			pause := time.NewTimer(viewPeriod) // an error that stays must not spin
			select {
			case <-pause.C:
			case <-ctx.Done():
				pause.Stop()
			}
		}
	}
}

func (c *Controller) receive(raw []byte) {
	c.received.Add(1)
	b, err := wire.DecodeHeartbeat(raw)
	if err != nil {
		c.malformed.Add(1)
		return
	}
	now := c.cfg.Clock.Now()
	from := fromWire(b.From, now)
	if b.Relayed {
		c.roster.ReceivedIndirect(from)
	} else if c.roster.Received(now, from) {
		c.log.Info("Heard a new process.", zap.String("peer", from.Address), zap.String("data_centre", from.DataCentre))
		c.nextView = now
		if !b.Hello {
			c.send(from, &wire.Heartbeat{Hello: true}, now)
		}
	}
	for _, p := range b.Peers {
		c.roster.ReceivedIndirect(fromWire(p, now))
	}
	if b.Hello && !b.Relayed {
		c.welcome(now, from)
	}
	for _, p := range c.parts {
		p.Received(now, b)
	}
	if b.Digest && !b.Relayed {
		c.relay(b)
	}
}

// relay passes a digest of another data centre on to the hosts of the own one.
func (c *Controller) relay(b *wire.Heartbeat) {
	b.Relayed, b.Hello = true, false
	raw, err := wire.EncodeHeartbeat(b)
	if err != nil {
		return
	}
	for _, h := range c.view.Load().Local {
		c.write(h, raw)
	}
}

// tick sends what is due and publishes the view.
func (c *Controller) tick(now clock.Time) {
	if c.leaving.Load() && !c.roster.Self().Leaving {
		c.roster.Leave()
		c.nextView = now
	}
	if !now.Before(c.nextView) {
		c.publish(now)
	}
	v := c.view.Load()
	if c.flush.Swap(false) || !now.Before(c.nextBeat) {
		c.nextBeat = now.Add(period)
		c.beat(now, v)
	}
	if !now.Before(c.nextDigest) {
		c.nextDigest = now.Add(digestPeriod)
		c.digest(now, v)
	}
	if !now.Before(c.nextSeed) {
		c.seed(now, v)
	}
}

// viewPeriod is how often the view is published: a seventh of the silence after
// which a host of the data centre counts as gone.
const viewPeriod = 100 * time.Millisecond

func (c *Controller) publish(now clock.Time) {
	c.nextView = now.Add(viewPeriod)
	c.roster.Expire(now)
	c.view.Store(c.roster.View(now))
}

func (c *Controller) beat(now clock.Time, v *roster.View) {
	if len(v.Local) == 0 {
		return
	}
	b := &wire.Heartbeat{}
	c.addPeers(now, v, b, peersPerBeat)
	for _, p := range c.parts {
		p.AddToHeartbeat(now, b)
	}
	raw, ok := c.encode(now, b)
	if !ok {
		return
	}
	for _, h := range v.Local {
		c.write(h, raw)
	}
}

// digest is sent by one host of the data centre to one of each other.
func (c *Controller) digest(now clock.Time, v *roster.View) {
	if len(v.Remote) == 0 || !v.IsOwner("digest") {
		return
	}
	b := &wire.Heartbeat{Digest: true}
	c.addPeers(now, v, b, peersPerBeat)
	for _, p := range c.parts {
		p.AddToDigest(now, b)
	}
	raw, ok := c.encode(now, b)
	if !ok {
		return
	}
	for dc := range v.Remote {
		if h, ok := v.Pick(dc, c.cfg.Rand); ok {
			c.write(h, raw)
		}
	}
}

// seed greets seeds and silent hosts, so that a new process and a healed
// partition are noticed.
func (c *Controller) seed(now clock.Time, v *roster.View) {
	c.nextSeed = now.Add(seedPeriod)
	alone := len(v.Local) == 0
	if alone && len(v.Remote) == 0 {
		c.nextSeed = now.Add(helloPeriod)
	}
	hello := &wire.Heartbeat{Hello: true}
	for _, p := range c.parts {
		p.AddToHeartbeat(now, hello)
	}
	hello.Readings, hello.Outcomes = nil, nil
	known := map[string]bool{c.cfg.Self.Address: true}
	for _, h := range v.Local {
		known[h.Address] = true
	}
	for _, hosts := range v.Remote {
		for _, h := range hosts {
			known[h.Address] = true
		}
	}
	for _, s := range *c.seeds.Load() {
		if !known[s] {
			known[s] = true
			c.send(roster.Host{Address: s}, hello, now)
		}
	}
	for range min(silentPerPeriod, len(v.NotAlive)) {
		if h := v.NotAlive[c.cfg.Rand.IntN(len(v.NotAlive))]; !known[h.Address] {
			known[h.Address] = true
			c.send(h, hello, now)
		}
	}
}

// welcome tells a new process of the hosts of its data centre first.
func (c *Controller) welcome(now clock.Time, to roster.Host) {
	v := c.view.Load()
	b := &wire.Heartbeat{}
	hosts := append([]roster.Host{}, v.Local...)
	for _, others := range v.Remote {
		for _, h := range others {
			if h.DataCentre == to.DataCentre {
				hosts = append([]roster.Host{h}, hosts...)
			} else {
				hosts = append(hosts, h)
			}
		}
	}
	for _, h := range hosts[:min(len(hosts), peersPerWelcome)] {
		b.Peers = append(b.Peers, toWire(h, now))
	}
	for _, p := range c.parts {
		p.AddToHeartbeat(now, b)
	}
	b.Readings, b.Outcomes = nil, nil
	c.send(to, b, now)
}

// addPeers names up to n random hosts that are alive.
func (c *Controller) addPeers(now clock.Time, v *roster.View, b *wire.Heartbeat, n int) {
	for range min(n, len(v.Local)) {
		b.Peers = append(b.Peers, toWire(v.Local[c.cfg.Rand.IntN(len(v.Local))], now))
	}
	for _, hosts := range v.Remote {
		if n--; n < 0 {
			return
		}
		b.Peers = append(b.Peers, toWire(hosts[c.cfg.Rand.IntN(len(hosts))], now))
	}
}

func (c *Controller) encode(now clock.Time, b *wire.Heartbeat) ([]byte, bool) {
	b.From = toWire(c.roster.Self(), now)
	raw, err := wire.EncodeHeartbeat(b)
	if err != nil {
		c.log.Error("Beat cannot be encoded.", zap.Error(err))
	}
	return raw, err == nil
}

func (c *Controller) send(to roster.Host, b *wire.Heartbeat, now clock.Time) {
	if raw, ok := c.encode(now, b); ok {
		c.write(to, raw)
	}
}

func (c *Controller) write(to roster.Host, raw []byte) {
	address, err := netip.ParseAddrPort(to.Address)
	if err != nil {
		return
	}
	// A datagram that cannot be sent now is lost like one that is lost on its way.
	if _, err := c.cfg.Conn.WriteToUDPAddrPort(raw, address); err != nil {
		c.log.Debug("Beat not sent.", zap.String("peer", to.Address), zap.Error(err))
		return
	}
	c.sent.Add(1)
	c.sentBytes.Add(int64(len(raw)))
	if to.DataCentre != c.cfg.Self.DataCentre {
		c.farBytes.Add(int64(len(raw)))
	}
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
		// Rounded up: an age must not shrink on its way through several hosts.
		p.AgeMillis = uint32(now.Sub(h.Received)/time.Millisecond) + 1
	}
	return p
}
