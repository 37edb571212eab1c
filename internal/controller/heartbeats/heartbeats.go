// Package heartbeats tells the entry hosts of a fleet what backend servers said of
// their load, over the connections that the hosts have to each other. Every host
// tells those of its data centre; one of them tells one of each other data
// centre, which passes it on.
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
	// period is the time between two beats: that between two measurements of a
	// server at the highest rate.
	period = 100 * time.Millisecond
	// digestPeriod is the time between two digests to another data centre.
	digestPeriod = 200 * time.Millisecond
	// maxRelays bounds the digests that wait to be passed on. Each other data
	// centre sends one in digestPeriod; a lost one is followed by a newer one.
	maxRelays = 8
	// callLimit bounds a beat. The next one to the same host waits for its end.
	callLimit = 500 * time.Millisecond
)

// Config holds what the controller needs.
type Config struct {
	Clock    clock.Clock
	Store    *state.Store
	Caller   peer.Caller
	Header   func() wire.Header
	Counters *metrics.Counters
	Log      *zap.Logger
	Rand     *rand.Rand // not shared with others
}

// Controller sends and receives beats.
type Controller struct {
	cfg   Config
	part  mesh.HeartbeatHandler
	view  atomic.Pointer[viewed]
	flush chan struct{}
	relay chan *wire.Heartbeat // digests to pass on; dropped when full

	pending map[string]*atomic.Bool // beats under way, by address; used by Run's goroutine only

	sent, failed *expvar.Int
}

// viewed is the view that was made of members.
type viewed struct {
	members *state.Members
	view    *roster.View
}

// New returns a controller. SetPart comes before Run and Register.
func New(cfg Config) *Controller {
	return &Controller{
		cfg: cfg, flush: make(chan struct{}, 1), relay: make(chan *wire.Heartbeat, maxRelays), pending: map[string]*atomic.Bool{},
		sent: cfg.Counters.Int("beats.sent"), failed: cfg.Counters.Int("beats.failed"),
	}
}

// SetPart names the part that fills beats.
func (c *Controller) SetHandler(p mesh.HeartbeatHandler) { c.part = p }

// Register adds the message handlers to the server.
func (c *Controller) Register(s *peer.Server) error { return s.Register("Beats", &service{c}) }

// View returns the members that are alive. It is immutable, and the same until
// the members change.
func (c *Controller) View() *roster.View {
	m := c.cfg.Store.Load().Members
	if v := c.view.Load(); v != nil && v.members == m {
		return v.view
	}
	v := &viewed{m, viewOf(m)}
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
	self.Leaving = false // it keeps its duties until it ends; the others take over meanwhile
	return roster.NewView(self, hosts)
}

// Flush makes the next beat leave now, because there are new readings.
func (c *Controller) Flush() {
	select {
	case c.flush <- struct{}{}:
	default:
	}
}

// Run beats until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var digested clock.Time
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
			if c.part.AddToHeartbeat(now, b); len(b.Readings) > 0 || len(b.Outcomes) > 0 {
				for _, h := range view.Local {
					c.send(ctx, &wg, h.Address, b)
				}
			}
		}
		if now.Sub(digested) >= digestPeriod {
			digested = now
			c.digest(ctx, &wg, view, now)
		}
	}
}

func (c *Controller) digest(ctx context.Context, wg *conc.WaitGroup, view *roster.View, now clock.Time) {
	if len(view.Remote) == 0 || !view.IsOwner("digest") {
		return
	}
	b := &wire.Heartbeat{Digest: true}
	if c.part.AddToDigest(now, b); len(b.Readings) == 0 {
		return
	}
	for dc := range view.Remote {
		if h, ok := view.Pick(dc, c.cfg.Rand); ok {
			c.send(ctx, wg, h.Address, b)
		}
	}
}

// send sends a beat unless the one before is still under way: a host that does
// not answer gets the next one when the call has ended.
func (c *Controller) send(ctx context.Context, wg *conc.WaitGroup, address string, b *wire.Heartbeat) {
	busy := c.pending[address]
	if busy == nil {
		busy = &atomic.Bool{}
		c.pending[address] = busy
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
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	c.sent.Add(1)
	req := &wire.HeartbeatRequest{Header: c.cfg.Header(), Beat: *b}
	if err := c.cfg.Caller.Call(ctx, peer.Data, address, "Beats.Take", req, &wire.HeartbeatReply{}); err != nil {
		c.failed.Add(1)
		c.cfg.Log.Debug("Beat not sent.", zap.String("peer", address), zap.Error(err))
	}
}

type service struct{ c *Controller }

// Take takes a beat of another host.
func (s *service) Take(req *wire.HeartbeatRequest, reply *wire.HeartbeatReply) error {
	c, b := s.c, &req.Beat
	c.part.Received(c.cfg.Clock.Now(), b)
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
