// Package members owns state.Members: which entry hosts exist and which of
// them are alive. It sends and answers heartbeats and spreads small updates on
// them, and is the peer.Gossip of the other controllers.
package members

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/membership"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// Bounds of this controller.
const (
	hostsInterval   = 10 * time.Second // between reads of the platform's host list: 6.4 calls a second in a fleet of 64
	hostsTimeout    = 2 * time.Second
	maxSeeds        = 8   // addresses asked at start
	maxSuccessors   = 256 // remembered; about four days of restarts at 60 a day
	joinsWanted     = 3   // answers with a member list that a new process asks for
	leaveFanOut     = 3   // heartbeats sent at once on a planned stop
	leavePingsBound = 300 * time.Millisecond
)

// Config holds what the controller needs.
type Config struct {
	Clock    clock.Clock
	Store    *state.Store
	Caller   peer.Caller
	Counters *metrics.Counters
	Log      *zap.Logger
	Rand     *rand.Rand // not shared with others
	// Seeds are peer addresses to ask while no member there is known.
	Seeds []string
	// Hosts reads the platform's host list; nil: there is none.
	Hosts func(ctx context.Context) ([]membership.ListedHost, error)
}

// Controller is the owner of state.Members.
type Controller struct {
	Config
	mu         sync.Mutex // guards the fields below; control messages only
	detector   *membership.Detector
	manifest   *manifest.Manifest
	platform   []membership.ListedHost
	listRead   bool // the platform's list was read at least once
	successors []wire.Successor
	joins      int
	seedAt     int

	handlers   []func(from string, u wire.Update)
	onRevision func(address string, revision uint64)

	sent, missed, suspected, dropped, hostErrors *expvar.Int
}

// New returns a controller for the entry host of the store, whose Self must
// carry a random incarnation.
func New(c Config) *Controller {
	self := c.Store.Load().Members.Self
	ctl := &Controller{
		Config: c,
		detector: membership.New(wire.Member{
			Name: self.Name, Address: self.Address, DataCentre: self.DataCentre, Incarnation: self.Incarnation,
		}, c.Rand),
		sent: c.Counters.Int("members_pings"), missed: c.Counters.Int("members_pings_missed"),
		suspected: c.Counters.Int("members_suspected"), dropped: c.Counters.Int("members_updates_dropped"),
		hostErrors: c.Counters.Int("members_host_list_errors"),
	}
	return ctl
}

// Register adds the message handlers to the server.
func (c *Controller) Register(s *peer.Server) error {
	return s.Register("Member", &service{c})
}

// Handle implements peer.Gossip. The name given to f is that of the host that
// published the update.
func (c *Controller) Handle(f func(from string, u wire.Update)) {
	c.handlers = append(c.handlers, f)
}

// OnRevision registers f for manifest revisions of other entry hosts that are
// newer than the one in force here. f must not block. Call it before Run.
func (c *Controller) OnRevision(f func(address string, revision uint64)) { c.onRevision = f }

// Publish implements peer.Gossip.
func (c *Controller) Publish(u wire.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Successor != nil {
		c.addSuccessor(*u.Successor)
	}
	c.detector.Publish(u)
	c.publish()
}

// Run sends heartbeats until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	if c.Hosts != nil {
		wg.Go(func() { c.pollHosts(ctx) })
	}
	for _, address := range c.Seeds[:min(len(c.Seeds), maxSeeds)] {
		wg.Go(func() { c.probe(ctx, membership.Ping{Address: address}) })
	}
	ticker := time.NewTicker(membership.PingInterval)
	defer ticker.Stop()
	for {
		changed := c.Store.Changed()
		c.readManifest()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			for _, p := range c.tick() {
				wg.Go(func() { c.probe(ctx, p) })
			}
		}
	}
}

func (c *Controller) tick() []membership.Ping {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	pings := c.detector.Tick(now)
	if p, ok := c.seed(); ok {
		pings = append(pings, p)
	}
	c.dropped.Set(c.detector.Dropped())
	c.publish()
	return pings
}

// seed returns one start address at which no reachable member is known, in
// turn, once per RetryDead.
func (c *Controller) seed() (membership.Ping, bool) {
	c.seedAt++
	every := int(membership.RetryInterval / membership.PingInterval)
	if len(c.Seeds) == 0 || c.seedAt%every != 0 {
		return membership.Ping{}, false
	}
	address := c.Seeds[c.seedAt/every%len(c.Seeds)]
	if address == c.detector.Self().Address {
		return membership.Ping{}, false
	}
	for _, m := range c.detector.Members() {
		if m.Address == address && m.Reachable() {
			return membership.Ping{}, false
		}
	}
	return membership.Ping{Address: address}, true
}

// probe sends a heartbeat, then indirect ones, and tells the detector when
// none was answered.
func (c *Controller) probe(ctx context.Context, p membership.Ping) {
	if p.Address == c.Store.Load().Members.Self.Address {
		return
	}
	c.sent.Add(1)
	if c.ping(ctx, p) {
		return
	}
	c.missed.Add(1)
	c.mu.Lock()
	m := c.detector.Members()[p.Name]
	ask := m != nil && m.Status <= membership.Leaving
	helpers := c.detector.RandomMembers(p.Name)
	c.mu.Unlock()
	if !ask || ctx.Err() != nil || c.pingVia(ctx, p.Name, helpers) || ctx.Err() != nil {
		return
	}
	c.suspected.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.detector.RecordPingFailure(c.Clock.Now(), p.Name)
	c.publish()
}

func (c *Controller) ping(ctx context.Context, p membership.Ping) bool {
	ctx, cancel := context.WithTimeout(ctx, membership.PingTimeout)
	defer cancel()
	c.mu.Lock()
	req := &wire.PingRequest{Header: c.header(), Target: p.Name, Updates: c.detector.Updates(p.Name)}
	if c.joins < joinsWanted {
		req.Join = true
		req.Updates = append(req.Updates, c.detector.SelfUpdate())
	}
	c.mu.Unlock()
	reply := &wire.PingReply{}
	if c.Caller.Call(ctx, peer.Control, p.Address, "Member.Ping", req, reply) != nil {
		return false
	}
	if p.Name != "" && reply.From != p.Name {
		// Another entry host answers at this address: the member has moved.
		c.receive(&reply.Header, reply.Updates)
		return false
	}
	c.receive(&reply.Header, reply.Updates)
	if req.Join {
		c.mu.Lock()
		c.joins++
		c.mu.Unlock()
	}
	return true
}

// pingVia asks the helpers at the same time and reports whether one of them
// reached the target.
func (c *Controller) pingVia(ctx context.Context, target string, helpers []membership.Ping) bool {
	ctx, cancel := context.WithTimeout(ctx, membership.IndirectPingTimeout)
	defer cancel()
	results := make(chan bool, len(helpers))
	var wg conc.WaitGroup
	for _, h := range helpers {
		wg.Go(func() {
			req, reply := &wire.PingRequest{Header: c.Header(), Target: target}, &wire.PingReply{}
			err := c.Caller.Call(ctx, peer.Control, h.Address, "Member.PingVia", req, reply)
			results <- err == nil && reply.OK
		})
	}
	reached := false
	for range helpers {
		if <-results {
			reached = true
			cancel()
			break
		}
	}
	wg.Wait()
	return reached
}

// receive takes the header and the news of a message.
func (c *Controller) receive(h *wire.Header, updates []wire.Update) {
	c.mu.Lock()
	now := c.Clock.Now()
	news := c.detector.Receive(now, updates)
	c.detector.RecordContact(now, h.From, h.Incarnation)
	for _, u := range news {
		if u.Successor != nil {
			c.addSuccessor(*u.Successor)
		}
	}
	m := c.detector.Members()[h.From]
	address := ""
	if m != nil {
		address = m.Address
	}
	c.publish()
	c.mu.Unlock()
	for _, u := range news {
		for _, f := range c.handlers {
			f(u.Origin, u)
		}
	}
	if c.onRevision != nil && address != "" && h.Revision > c.revision() {
		c.onRevision(address, h.Revision)
	}
}

func (c *Controller) addSuccessor(s wire.Successor) {
	c.successors = append(c.successors, s)
	if len(c.successors) > maxSuccessors {
		c.successors = c.successors[1:]
	}
	c.detector.MarkChanged()
}

func (c *Controller) revision() uint64 {
	if m := c.Store.Load().Manifest; m != nil {
		return m.File.Revision
	}
	return 0
}

// Header returns the header of messages from this entry host.
func (c *Controller) Header() wire.Header { return c.header() }

func (c *Controller) header() wire.Header {
	self := c.Store.Load().Members.Self
	return wire.Header{Version: wire.Version, From: self.Name, Incarnation: self.Incarnation, Revision: c.revision()}
}

// Leave announces a planned stop: at once to a few members, then with each
// message until Run ends.
func (c *Controller) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leavePingsBound)
	defer cancel()
	c.mu.Lock()
	c.detector.Leave()
	targets := c.detector.RandomMembers("")
	for len(targets) < leaveFanOut {
		more := c.detector.RandomMembers("")
		if len(more) == 0 {
			break
		}
		targets = append(targets, more...)
	}
	c.publish()
	c.mu.Unlock()
	var wg conc.WaitGroup
	for _, p := range targets[:min(len(targets), leaveFanOut)] {
		wg.Go(func() { c.ping(ctx, p) })
	}
	wg.Wait()
}

type service struct{ c *Controller }

// Ping answers a heartbeat.
func (s *service) Ping(req *wire.PingRequest, reply *wire.PingReply) error {
	s.c.receive(&req.Header, req.Updates)
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	reply.Header = s.c.header()
	reply.OK = true
	reply.Updates = s.c.detector.Updates(req.From)
	if s.c.detector.Outdated(req.Updates) {
		reply.Updates = append(reply.Updates, s.c.detector.SelfUpdate())
	}
	if req.Join {
		reply.Updates = append(reply.Updates, s.c.detector.Join()...)
	}
	return nil
}

// PingVia sends a heartbeat on behalf of the sender.
func (s *service) PingVia(req *wire.PingRequest, reply *wire.PingReply) error {
	s.c.receive(&req.Header, req.Updates)
	reply.Header = s.c.Header()
	if m := s.c.Store.Load().Members.ByName[req.Target]; m != nil && m.Address != "" {
		reply.OK = s.c.ping(context.Background(), membership.Ping{Name: m.Name, Address: m.Address})
	}
	return nil
}
