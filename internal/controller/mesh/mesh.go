// Package mesh owns this host's roster. It sends and receives the heartbeats that
// carry load readings, the position in the feed and data about other hosts; each
// HeartbeatHandler adds its data. Every host sends heartbeats to all others of its
// data centre; one of them sends digests to one host of each other data centre.
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
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	// heartbeatInterval is the time between heartbeats without new readings. Three
	// of them fit into roster.LocalAliveTimeout.
	heartbeatInterval = 200 * time.Millisecond
	// digestInterval is the time between digests to one other data centre.
	digestInterval = 200 * time.Millisecond
	// seedInterval is the time between hellos to seeds and hosts that are not alive,
	// so that the sides of a healed partition find each other within seconds. A
	// hello is a heartbeat that asks for a reply with the known hosts.
	seedInterval = time.Second
	// helloInterval is the time between hellos to seeds while no host is known.
	helloInterval = 150 * time.Millisecond
	// peersPerHeartbeat bounds the hosts listed in a heartbeat, peersPerHelloReply
	// those in the reply to a new process.
	peersPerHeartbeat  = 2
	peersPerHelloReply = 24
	// notAlivePerInterval bounds the hosts that are not alive and get a hello in one
	// seedInterval.
	notAlivePerInterval = 4
	// readBufferBytes holds any datagram; heartbeats have at most wire.MaxHeartbeat
	// bytes.
	readBufferBytes = 64 << 10
)

// HeartbeatHandler adds data to heartbeats and processes received ones. One
// goroutine calls AddToHeartbeat and AddToDigest. Received may be called by several
// goroutines at the same time: package heartbeats calls it from the goroutines of
// RPC calls. No method may block.
type HeartbeatHandler interface {
	// AddToHeartbeat adds data to a heartbeat for the local data centre.
	AddToHeartbeat(now clock.Time, b *wire.Heartbeat)
	// AddToDigest adds data to a digest for another data centre.
	AddToDigest(now clock.Time, b *wire.Heartbeat)
	// Received processes a heartbeat of another host.
	Received(now clock.Time, b *wire.Heartbeat)
}

// Config holds the dependencies of a Controller.
type Config struct {
	Clock    clock.Clock
	Conn     *net.UDPConn
	Self     roster.Host
	Seeds    []string // datagram addresses of the hosts to contact first
	Rand     *rand.Rand
	Counters *metrics.Counters
	Log      *zap.Logger
}

// Controller is the only writer of the roster.
type Controller struct {
	cfg      Config
	log      *zap.Logger
	handlers []HeartbeatHandler
	view     atomic.Pointer[roster.View]
	flush    atomic.Bool
	leaving  atomic.Bool
	seeds    atomic.Pointer[[]string]

	// Used by Run's goroutine only.
	roster        *roster.Roster
	nextHeartbeat clock.Time
	nextDigest    clock.Time
	nextSeed      clock.Time
	nextView      clock.Time
	sent          *expvar.Int
	sentBytes     *expvar.Int
	remoteBytes   *expvar.Int
	received      *expvar.Int
	malformed     *expvar.Int
	panics        *expvar.Int
}

// New returns a controller whose roster contains this host only.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg, log: cfg.Log.Named("mesh"), roster: roster.New(cfg.Self)}
	c.view.Store(c.roster.View(0))
	c.seeds.Store(&cfg.Seeds)
	c.sent, c.sentBytes = cfg.Counters.Int("mesh.sent"), cfg.Counters.Int("mesh.sent_bytes")
	c.remoteBytes = cfg.Counters.Int("mesh.sent_bytes_other_data_centres")
	c.received, c.malformed, c.panics = cfg.Counters.Int("mesh.received"), cfg.Counters.Int("mesh.malformed"), cfg.Counters.Int("mesh.panics")
	return c
}

// AddHandler registers a handler. It must be called before Run.
func (c *Controller) AddHandler(h HeartbeatHandler) { c.handlers = append(c.handlers, h) }

// View returns the current view of the roster. It is immutable.
func (c *Controller) View() *roster.View { return c.view.Load() }

// SetSeeds replaces the addresses of the hosts to contact first.
func (c *Controller) SetSeeds(addresses []string) { c.seeds.Store(&addresses) }

// Seeds returns the addresses of the hosts to contact first.
func (c *Controller) Seeds() []string { return *c.seeds.Load() }

// Flush sends the next heartbeat now, because there are new readings.
func (c *Controller) Flush() {
	c.flush.Store(true)
	_ = c.cfg.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes Run
}

// Leave announces the planned stop to the other hosts.
func (c *Controller) Leave() {
	c.leaving.Store(true)
	c.Flush()
}

// Run sends and receives heartbeats until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.cfg.Conn.Close() }) // ends a pending read
	defer func() {
		stop()
		_ = c.cfg.Conn.Close() // stop may have prevented the close above
	}()
	buf := make([]byte, readBufferBytes)
	for ctx.Err() == nil {
		now := c.cfg.Clock.Now()
		c.sendDue(now)
		wait := min(c.nextHeartbeat, c.nextSeed, c.nextView).Sub(now)
		_ = c.cfg.Conn.SetReadDeadline(time.Now().Add(max(wait, time.Millisecond)))
		if c.flush.Load() {
			continue // set between sendDue and the deadline
		}
		n, _, err := c.cfg.Conn.ReadFromUDPAddrPort(buf)
		if err == nil {
			if p := panics.Try(func() { c.receive(buf[:n]) }); p != nil {
				// A message must not end this host: each other host gets it as well.
				c.panics.Add(1)
				c.log.Error("Processing a heartbeat panicked. It is dropped.", zap.Error(p.AsError()))
			}
			continue
		}
		if e, ok := errors.Into[net.Error](err); !ok || !e.Timeout() {
			if ctx.Err() != nil {
				return
			}
			c.log.Warn("Receiving a datagram failed; retrying after a pause.", zap.Error(err))
			backoff := time.NewTimer(viewInterval) // a persistent error must not cause a busy loop
			select {
			case <-backoff.C:
			case <-ctx.Done():
				backoff.Stop()
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
		c.log.Info("Received the first heartbeat of a new process.", zap.String("peer", from.Address), zap.String("data_centre", from.DataCentre))
		c.nextView = now
		if !b.Hello {
			c.send(from, &wire.Heartbeat{Hello: true}, now)
		}
	}
	for _, p := range b.Peers {
		c.roster.ReceivedIndirect(fromWire(p, now))
	}
	if b.Hello && !b.Relayed {
		c.replyToHello(now, from)
	}
	for _, handler := range c.handlers {
		handler.Received(now, b)
	}
	if b.Digest && !b.Relayed {
		c.relay(b)
	}
}

// relay forwards a digest of another data centre to the hosts of the local one.
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

// sendDue sends the messages that are due, and publishes the view when that is due.
func (c *Controller) sendDue(now clock.Time) {
	if c.leaving.Load() && !c.roster.Self().Leaving {
		c.roster.Leave()
		c.nextView = now
	}
	if !now.Before(c.nextView) {
		c.publish(now)
	}
	v := c.view.Load()
	if c.flush.Swap(false) || !now.Before(c.nextHeartbeat) {
		c.nextHeartbeat = now.Add(heartbeatInterval)
		c.sendHeartbeats(now, v)
	}
	if !now.Before(c.nextDigest) {
		c.nextDigest = now.Add(digestInterval)
		c.sendDigests(now, v)
	}
	if !now.Before(c.nextSeed) {
		c.sendHellos(now, v)
	}
}

// viewInterval is the time between two publications of the view: a seventh of
// roster.LocalAliveTimeout.
const viewInterval = 100 * time.Millisecond

func (c *Controller) publish(now clock.Time) {
	c.nextView = now.Add(viewInterval)
	c.roster.Expire(now)
	c.view.Store(c.roster.View(now))
}

func (c *Controller) sendHeartbeats(now clock.Time, v *roster.View) {
	if len(v.Local) == 0 {
		return
	}
	b := &wire.Heartbeat{}
	c.addPeers(now, v, b, peersPerHeartbeat)
	for _, handler := range c.handlers {
		handler.AddToHeartbeat(now, b)
	}
	raw, ok := c.encode(now, b)
	if !ok {
		return
	}
	for _, h := range v.Local {
		c.write(h, raw)
	}
}

// sendDigests sends a digest to one host of each other data centre. One host of a
// data centre does so.
func (c *Controller) sendDigests(now clock.Time, v *roster.View) {
	if len(v.Remote) == 0 || !v.IsOwner("digest") {
		return
	}
	b := &wire.Heartbeat{Digest: true}
	c.addPeers(now, v, b, peersPerHeartbeat)
	for _, handler := range c.handlers {
		handler.AddToDigest(now, b)
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

// sendHellos sends hellos to seeds and to hosts that are not alive, so that a new
// process or a healed partition is noticed.
func (c *Controller) sendHellos(now clock.Time, v *roster.View) {
	c.nextSeed = now.Add(seedInterval)
	noLocal := len(v.Local) == 0
	if noLocal && len(v.Remote) == 0 {
		c.nextSeed = now.Add(helloInterval)
	}
	hello := &wire.Heartbeat{Hello: true}
	for _, handler := range c.handlers {
		handler.AddToHeartbeat(now, hello)
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
	for range min(notAlivePerInterval, len(v.NotAlive)) {
		if h := v.NotAlive[c.cfg.Rand.IntN(len(v.NotAlive))]; !known[h.Address] {
			known[h.Address] = true
			c.send(h, hello, now)
		}
	}
}

// replyToHello sends a new process the known hosts, those of its data centre first.
func (c *Controller) replyToHello(now clock.Time, to roster.Host) {
	v := c.view.Load()
	b := &wire.Heartbeat{}
	hosts := append([]roster.Host{}, v.Local...)
	for _, remote := range v.Remote {
		for _, h := range remote {
			if h.DataCentre == to.DataCentre {
				hosts = append([]roster.Host{h}, hosts...)
			} else {
				hosts = append(hosts, h)
			}
		}
	}
	for _, h := range hosts[:min(len(hosts), peersPerHelloReply)] {
		b.Peers = append(b.Peers, toWire(h, now))
	}
	for _, handler := range c.handlers {
		handler.AddToHeartbeat(now, b)
	}
	b.Readings, b.Outcomes = nil, nil
	c.send(to, b, now)
}

// addPeers lists random hosts that are alive: up to n of the local data centre, and
// one of each of up to n other data centres.
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
		c.log.Error("Heartbeat cannot be encoded; it is not sent.", zap.Error(err))
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
	// A datagram that cannot be sent now is dropped, like one lost in the network.
	if _, err := c.cfg.Conn.WriteToUDPAddrPort(raw, address); err != nil {
		c.log.Debug("Heartbeat not sent.", zap.String("peer", to.Address), zap.Error(err))
		return
	}
	c.sent.Add(1)
	c.sentBytes.Add(int64(len(raw)))
	if to.DataCentre != c.cfg.Self.DataCentre {
		c.remoteBytes.Add(int64(len(raw)))
	}
}
