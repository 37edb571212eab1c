// Package members owns state.Members: which entry hosts exist and which of them
// are alive. Its sources are the manifest, the platform's host list and the
// pings that it sends and replies to. It implements peer.Gossip for the other
// controllers by piggybacking small updates on pings.
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

// Intervals, timeouts and limits of the controller.
const (
	hostListInterval  = 10 * time.Second // between reads of the platform's host list: 6.4 calls/s in a fleet of 64 hosts
	hostListTimeout   = 2 * time.Second
	maxSeeds          = 8   // addresses pinged at start
	maxSuccessors     = 256 // stored successors; about four days of restarts at 60 a day
	wantedJoinReplies = 3   // replies with a member list that a new process requests
	leaveFanOut       = 3   // members pinged immediately on a planned stop
	leavePingTimeout  = 300 * time.Millisecond
)

// Config holds the dependencies and settings of the controller.
type Config struct {
	Clock    clock.Clock
	Store    *state.Store
	Caller   peer.Caller
	Counters *metrics.Counters
	Log      *zap.Logger
	Rand     *rand.Rand // not shared with other users
	// Seeds are peer addresses. Up to maxSeeds of them are pinged at start, and later
	// all of them in turn, except addresses of reachable members.
	Seeds []string
	// Hosts reads the platform's host list. It is nil if there is none.
	Hosts func(ctx context.Context) ([]membership.ListedHost, error)
	// KnowsServers reports whether this host knows which backend servers are cold; nil:
	// never.
	KnowsServers func() bool
}

// Controller owns state.Members.
type Controller struct {
	Config
	mu                sync.Mutex // guards the fields below; taken for control messages only
	detector          *membership.Detector
	manifest          *manifest.Manifest
	platformHosts     []membership.ListedHost
	platformHostsRead bool // the list was read at least once
	successors        []wire.Successor
	joinReplies       int
	seedTicks         int

	handlers   []func(from string, u wire.Update)
	onRevision func(address string, revision uint64)
	onInformed func()

	sent, missed, suspected, dropped, hostErrors *expvar.Int
}

// New returns a controller for the entry host in Members.Self of the store, whose
// incarnation must be random.
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

// Register adds the RPC service of the controller to the server.
func (c *Controller) Register(s *peer.Server) error {
	return s.Register("Member", &service{c})
}

// Handle implements peer.Gossip. The name passed to f is that of the host that
// published the update.
func (c *Controller) Handle(f func(from string, u wire.Update)) {
	c.handlers = append(c.handlers, f)
}

// OnRevision registers f, which is called when another entry host has a newer
// manifest revision than this host. f must not block. Call OnRevision before Run.
func (c *Controller) OnRevision(f func(address string, revision uint64)) { c.onRevision = f }

// OnInformedPeer registers f, which is called at each message of a host that knows which
// backend servers are cold. f must not block. Call OnInformedPeer before Run.
func (c *Controller) OnInformedPeer(f func()) { c.onInformed = f }

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

// Run sends pings until ctx is cancelled.
func (c *Controller) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	if c.Hosts != nil {
		wg.Go(func() { c.pollHosts(ctx) })
	}
	for _, address := range c.Seeds[:min(len(c.Seeds), maxSeeds)] {
		wg.Go(func() { c.pingMember(ctx, membership.Ping{Address: address}) })
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
				wg.Go(func() { c.pingMember(ctx, p) })
			}
		}
	}
}

func (c *Controller) tick() []membership.Ping {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	pings := c.detector.Tick(now)
	if p, ok := c.nextSeed(); ok {
		pings = append(pings, p)
	}
	c.dropped.Set(c.detector.Dropped())
	c.publish()
	return pings
}

// nextSeed returns the seed addresses in turn, one per RetryInterval. It returns
// false instead of the address of this host or of a reachable member.
func (c *Controller) nextSeed() (membership.Ping, bool) {
	c.seedTicks++
	every := int(membership.RetryInterval / membership.PingInterval)
	if len(c.Seeds) == 0 || c.seedTicks%every != 0 {
		return membership.Ping{}, false
	}
	address := c.Seeds[c.seedTicks/every%len(c.Seeds)]
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

// pingMember sends a ping, then indirect pings, and reports to the detector when
// none of them succeeded.
func (c *Controller) pingMember(ctx context.Context, p membership.Ping) {
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
	pingIndirectly := m != nil && m.Status <= membership.Leaving
	helpers := c.detector.RandomMembers(p.Name)
	c.mu.Unlock()
	if !pingIndirectly || ctx.Err() != nil || c.pingVia(ctx, p.Name, helpers) || ctx.Err() != nil {
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
	if c.joinReplies < wantedJoinReplies {
		req.Join = true
		req.Updates = append(req.Updates, c.detector.SelfUpdate())
	}
	c.mu.Unlock()
	reply := &wire.PingReply{}
	if c.Caller.Call(ctx, peer.Control, p.Address, "Member.Ping", req, reply) != nil {
		return false
	}
	if p.Name != "" && reply.From != p.Name {
		// Another entry host replied at this address: the member has moved.
		c.receive(&reply.Header, reply.Updates)
		return false
	}
	c.receive(&reply.Header, reply.Updates)
	if req.Join {
		c.mu.Lock()
		c.joinReplies++
		c.mu.Unlock()
	}
	return true
}

// pingVia asks all helpers concurrently to ping the target and reports whether one
// of them reached it.
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

// receive processes the header and the updates of a message.
func (c *Controller) receive(h *wire.Header, updates []wire.Update) {
	c.mu.Lock()
	now := c.Clock.Now()
	newUpdates := c.detector.Receive(now, updates)
	c.detector.RecordContact(now, h.From, h.Incarnation)
	for _, u := range newUpdates {
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
	for _, u := range newUpdates {
		for _, f := range c.handlers {
			f(u.Origin, u)
		}
	}
	if c.onInformed != nil && h.KnowsServers {
		c.onInformed()
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
	return wire.Header{
		Version: wire.Version, From: self.Name, Incarnation: self.Incarnation, Revision: c.revision(),
		KnowsServers: c.KnowsServers != nil && c.KnowsServers(),
	}
}

// Leave announces a planned stop: immediately to a few members, then with the
// regular messages until Run returns.
func (c *Controller) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leavePingTimeout)
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

// Ping replies to a ping.
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

// PingVia pings the target on behalf of the sender.
func (s *service) PingVia(req *wire.PingRequest, reply *wire.PingReply) error {
	s.c.receive(&req.Header, req.Updates)
	reply.Header = s.c.Header()
	if m := s.c.Store.Load().Members.ByName[req.Target]; m != nil && m.Address != "" {
		reply.OK = s.c.ping(context.Background(), membership.Ping{Name: m.Name, Address: m.Address})
	}
	return nil
}
