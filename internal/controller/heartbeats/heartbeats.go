// Package heartbeats exchanges the load readings of backend servers between entry
// hosts, over the peer connections. Every host sends heartbeats to the others of its
// data centre; one of them sends digests to one host of each other data centre,
// which relays them there. A mesh.HeartbeatHandler fills and processes heartbeats.
package heartbeats

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/controller/mesh"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	// heartbeatInterval is the time between heartbeats that are sent without a call
	// of Flush. It equals the longest probe interval: package measures probes every
	// 35 to 100 ms, and calls Flush when the probes in flight have ended.
	heartbeatInterval = 100 * time.Millisecond
	// digestInterval is the time between two digests to another data centre.
	digestInterval = 200 * time.Millisecond
	// maxRelays bounds the digests that wait to be relayed. Each other data centre
	// sends one per digestInterval; a lost one is followed by a newer one.
	maxRelays = 8
	// callTimeout bounds the call that sends a heartbeat. The next heartbeat to the
	// same host waits for its end.
	callTimeout = 500 * time.Millisecond
)

// Config holds the dependencies of a Controller.
type Config struct {
	Clock    clock.Clock
	Store    *state.Store
	Caller   peer.Caller
	Header   func() wire.Header
	Counters *metrics.Counters
	Log      *zap.Logger
	Rand     *rand.Rand // not shared with others
}

// Controller sends and receives heartbeats.
type Controller struct {
	cfg     Config
	handler mesh.HeartbeatHandler
	view    atomic.Pointer[cachedView]
	flush   chan struct{}
	relay   chan *wire.Heartbeat // digests to relay to the local data centre; dropped when full

	inFlight map[string]*atomic.Bool // whether a call is in flight, by address; used by Run's goroutine only

	sent, failed *expvar.Int
}

// cachedView is the view that was built from members.
type cachedView struct {
	members *state.Members
	view    *roster.View
}

// New returns a controller. SetHandler must be called before Run and Register.
func New(cfg Config) *Controller {
	return &Controller{
		cfg: cfg, flush: make(chan struct{}, 1), relay: make(chan *wire.Heartbeat, maxRelays), inFlight: map[string]*atomic.Bool{},
		sent: cfg.Counters.Int("beats.sent"), failed: cfg.Counters.Int("beats.failed"),
	}
}

// SetHandler sets the handler that fills and processes heartbeats.
func (c *Controller) SetHandler(h mesh.HeartbeatHandler) { c.handler = h }

// Register adds the RPC service Beats to s.
func (c *Controller) Register(s *peer.Server) error { return s.Register("Beats", &service{c}) }

// View returns the view of the members that are alive. It is immutable, and the
// same value until the members change.
func (c *Controller) View() *roster.View {
	m := c.cfg.Store.Load().Members
	if v := c.view.Load(); v != nil && v.members == m {
		return v.view
	}
	v := &cachedView{m, viewOf(m)}
	c.view.Store(v)
	return v.view
}

func viewOf(m *state.Members) *roster.View {
	host := func(v *state.Member) roster.Host {
		return roster.Host{Address: v.Address, DataCentre: v.DataCentre, Leaving: v.Leaving}
	}
	var hosts []roster.Host
	for _, v := range m.ByName {
		if v.Alive && v.Name != m.Self.Name {
			hosts = append(hosts, host(v))
		}
	}
	self := host(&m.Self)
	self.Leaving = false // this host keeps its assigned tasks until it stops; the others take over meanwhile
	return roster.NewView(self, hosts)
}

// Flush sends the next heartbeat now, because there are new readings.
func (c *Controller) Flush() {
	select {
	case c.flush <- struct{}{}:
	default:
	}
}

// Run sends heartbeats and digests until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var lastDigest clock.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.flush:
		case b := <-c.relay:
			for _, h := range c.View().Local {
				wg.Go(func() { c.call(ctx, h.Address, b) })
			}
			continue
		}
		now, view := c.cfg.Clock.Now(), c.View()
		if len(view.Local) > 0 {
			b := &wire.Heartbeat{}
			if c.handler.AddToHeartbeat(now, b); len(b.Readings) > 0 || len(b.Outcomes) > 0 {
				for _, h := range view.Local {
					c.send(ctx, &wg, h.Address, b)
				}
			}
		}
		if now.Sub(lastDigest) >= digestInterval {
			lastDigest = now
			c.sendDigests(ctx, &wg, view, now)
		}
	}
}

func (c *Controller) sendDigests(ctx context.Context, wg *conc.WaitGroup, view *roster.View, now clock.Time) {
	if len(view.Remote) == 0 || !view.IsOwner("digest") {
		return
	}
	b := &wire.Heartbeat{Digest: true}
	if c.handler.AddToDigest(now, b); len(b.Readings) == 0 {
		return
	}
	for dc := range view.Remote {
		if h, ok := view.Pick(dc, c.cfg.Rand); ok {
			c.send(ctx, wg, h.Address, b)
		}
	}
}

// send sends a heartbeat unless the previous one to the host is still in flight: a
// host that does not respond gets the next one when the call has ended.
func (c *Controller) send(ctx context.Context, wg *conc.WaitGroup, address string, b *wire.Heartbeat) {
	busy := c.inFlight[address]
	if busy == nil {
		busy = &atomic.Bool{}
		c.inFlight[address] = busy
	}
	if busy.Swap(true) {
		return
	}
	wg.Go(func() {
		defer busy.Store(false)
		c.call(ctx, address, b)
	})
}

func (c *Controller) call(ctx context.Context, address string, b *wire.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.sent.Add(1)
	req := &wire.HeartbeatRequest{Header: c.cfg.Header(), Beat: *b}
	if err := c.cfg.Caller.Call(ctx, peer.Data, address, "Beats.Take", req, &wire.HeartbeatReply{}); err != nil {
		c.failed.Add(1)
		c.cfg.Log.Debug("Heartbeat not sent.", zap.String("peer", address), zap.Error(err))
	}
}

type service struct{ c *Controller }

// Take handles a heartbeat of another host, and relays a digest that came from
// another data centre.
func (s *service) Take(req *wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	c, b := s.c, &req.Beat
	c.handler.Received(c.cfg.Clock.Now(), b)
	if b.Digest && !b.Relayed {
		relayed := *b
		relayed.Relayed = true
		select {
		case c.relay <- &relayed:
		default:
		}
	}
	reply.Header = c.cfg.Header()
	return nil
}
