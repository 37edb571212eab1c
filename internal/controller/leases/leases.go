// Package leases owns state.Leases: it asks for and renews the leases of pools,
// votes on those of others and hands leases over on a planned stop.
package leases

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/lease"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// Bounds of this controller.
const (
	promiseTimeout = 400 * time.Millisecond // below a renewal period
	releaseTimeout = 500 * time.Millisecond
	// holderNews is the interval at which a holder tells again which pools it
	// holds. A host that missed it asks the candidate, which redirects. At 30 s
	// the news of 196 pools took half of the heartbeat bytes of 64 hosts.
	holderNews = 2 * time.Minute
	maxPools   = 4096 // pools in one message
	startBound = time.Second
)

// adoptedRetries are the extra rounds after a release named this host: the
// other voters may hear of it later than this host asks them.
var adoptedRetries = []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond}

// Config holds what the controller needs.
type Config struct {
	Clock    clock.Clock
	Store    *state.Store
	Caller   peer.Caller
	Gossip   peer.Gossip
	Header   func() wire.Header // of messages from this entry host
	Handover lease.Handover     // nil: in-flight counts are not handed over
	Counters *metrics.Counters
	Log      *zap.Logger
	Rand     *rand.Rand // not shared with others
	// Alone reports whether this host is certain to be the only one. Then it takes
	// its leases without the one-term wait. nil: it always waits.
	Alone func() bool
}

// Controller is the owner of state.Leases.
type Controller struct {
	Config
	start clock.Time
	kick  chan struct{}
	first chan struct{} // closed after the first round

	mu        sync.Mutex // guards the fields below; control messages only
	voter     *lease.Voter
	candidate *lease.Candidate
	held      map[manifest.PoolID]*state.HeldLease
	learned   map[manifest.PoolID]string // holders heard of
	adopted   map[manifest.PoolID]clock.Time
	stopping  bool
	begun     bool                  // first is closed
	told      clock.Time            // of the last holder news
	answered  map[string]clock.Time // last answer of each voter
	view      *view
	dirty     bool // held, learned or view changed since the last publish

	acquired, lost, refused, messages *expvar.Int
}

// New returns a controller. The one-term wait of its voter starts now.
func New(c Config) *Controller {
	now := c.Clock.Now()
	ctl := &Controller{
		Config: c, start: now, kick: make(chan struct{}, 1), first: make(chan struct{}),
		voter: lease.NewVoter(now, true), candidate: lease.NewCandidate(c.Rand),
		held: map[manifest.PoolID]*state.HeldLease{}, learned: map[manifest.PoolID]string{},
		adopted:  map[manifest.PoolID]clock.Time{},
		answered: map[string]clock.Time{},
		acquired: c.Counters.Int("leases_acquired"), lost: c.Counters.Int("leases_lost"),
		refused: c.Counters.Int("leases_refused"), messages: c.Counters.Int("leases_messages"),
	}
	c.Gossip.Handle(ctl.hear)
	return ctl
}

// Register adds the message handlers to the server.
func (c *Controller) Register(s *peer.Server) error { return s.Register("Lease", &service{c}) }

// hear takes over which host holds a pool.
func (c *Controller) hear(from string, u wire.Update) {
	if u.Holder == nil || u.Holder.Name != from {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known(u.Holder.Pool) {
		c.learn(u.Holder.Pool, from)
		c.publish()
	}
}

func (c *Controller) known(id manifest.PoolID) bool {
	m := c.Store.Load().Manifest
	return m != nil && m.Pools[id] != nil
}

// Run renews and asks for leases until ctx ends. Held leases then expire,
// unless Stop released them before.
func (c *Controller) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(lease.Renew)
	defer ticker.Stop()
	var known *manifest.Manifest
	for {
		changed := c.Store.Changed()
		if m := c.Store.Load().Members.Manifest; m != known {
			known = m
			c.Kick()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			c.refresh()
			continue
		case <-ticker.C:
		case <-c.kick:
		}
		c.round(ctx, &wg)
	}
}

// Start returns after the first round, startBound at the latest, or at once if
// no manifest is in force. From then on requests find a believed holder, and a
// host that is alone holds its pools. Run must be running.
func (c *Controller) Start(ctx context.Context) {
	if c.Store.Load().Manifest == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	select {
	case <-c.first:
	case <-ctx.Done():
	}
}

// Kick starts a round without waiting for the next renewal.
func (c *Controller) Kick() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// refresh publishes holders after a change of the members, and starts a round
// when that made it certain that this host is alone.
func (c *Controller) refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publish()
	if c.Clock.Now().Sub(c.start) < lease.Term && c.Alone != nil && c.Alone() {
		c.Kick()
	}
}

// round sends one batch of requests to each voter.
func (c *Controller) round(ctx context.Context, wg *conc.WaitGroup) {
	snap := c.Store.Load()
	if snap.Manifest == nil || snap.Members.Manifest != snap.Manifest {
		return // the members follow the manifest within milliseconds
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	if now.Sub(c.start) < lease.Term && c.Alone != nil && c.Alone() {
		c.voter, c.start = lease.NewVoter(now, false), now.Add(-lease.Term)
	}
	c.expire(now, snap.Manifest)
	clear(c.look(snap).few)
	bids := c.bids(now, snap)
	if len(bids) > 0 {
		sequence := c.candidate.Start(now, bids)
		for voter, pools := range batches(bids) {
			if voter == snap.Members.Self.Name {
				c.vote(now, sequence, pools)
				continue
			}
			if m := snap.Members.ByName[voter]; m != nil && m.Alive {
				wg.Go(func() { c.ask(ctx, m, sequence, pools) })
			}
		}
	}
	c.tell(now)
	c.publish()
	if !c.begun {
		c.begun = true
		close(c.first)
	}
}

// expire drops leases that ended and those of pools that no longer exist.
func (c *Controller) expire(now clock.Time, m *manifest.Manifest) {
	c.voter.Expire(now)
	for id, h := range c.held {
		if !h.Valid(now) || m.Pools[id] == nil {
			h.Until.Store(0)
			delete(c.held, id)
			c.dirty = true
			c.lost.Add(1)
		}
	}
	for name, at := range c.answered {
		if now.Sub(at) >= lease.Term {
			delete(c.answered, name)
		}
	}
	for id, until := range c.adopted {
		if !now.Before(until) {
			delete(c.adopted, id)
		}
	}
	for id := range c.learned {
		if m.Pools[id] == nil {
			c.learn(id, "")
		}
	}
}

// bids returns the pools to ask for: those held, those handed to this host and
// those whose first candidate it is.
func (c *Controller) bids(now clock.Time, snap *state.Snapshot) []lease.Bid {
	if c.stopping || now.Sub(c.start) < lease.Term {
		return nil
	}
	v := c.look(snap)
	var out []lease.Bid
	for id := range snap.Manifest.Pools {
		if c.wants(now, v, id) {
			electorate := v.electorates[id.DataCentre]
			bid := lease.Bid{Pool: id, Electorate: electorate, Ask: electorate}
			if c.renewed(now, id) {
				bid.Ask = c.few(now, v, id.DataCentre)
			}
			out = append(out, bid)
		}
	}
	return out
}

// renewed reports whether the last round renewed the lease of the pool.
func (c *Controller) renewed(now clock.Time, id manifest.PoolID) bool {
	h := c.held[id]
	return h != nil && clock.Time(h.Until.Load()).Sub(now) > lease.Term-lease.Margin-2*lease.Renew
}

// few returns the voters for a renewal, the same for all pools of a data
// centre, so that their requests share messages.
func (c *Controller) few(now clock.Time, v *view, dataCentre string) []string {
	if list, ok := v.few[dataCentre]; ok {
		return list
	}
	list := lease.Voters(v.members.Self.Name, v.electorates[dataCentre], func(name string) bool {
		_, ok := c.answered[name] // within a term, see expire
		m := v.members.ByName[name]
		return ok && m != nil && m.Alive
	})
	v.few[dataCentre] = list
	return list
}

func (c *Controller) wants(now clock.Time, v *view, id manifest.PoolID) bool {
	if c.held[id] != nil {
		return true
	}
	if _, ok := c.adopted[id]; ok {
		return true
	}
	if v.first[id] != v.members.Self.Name {
		return false
	}
	if holder := v.members.ByName[c.learned[id]]; holder != nil && !holder.Alive {
		c.candidate.Resume(id)
	}
	return !c.candidate.Paused(now, id)
}

func batches(bids []lease.Bid) map[string][]manifest.PoolID {
	out := map[string][]manifest.PoolID{}
	for _, b := range bids {
		for _, voter := range b.Ask {
			out[voter] = append(out[voter], b.Pool)
		}
	}
	return out
}

// vote asks the voter of this process. Callers hold mu.
func (c *Controller) vote(now clock.Time, sequence uint64, pools []manifest.PoolID) {
	self := c.self()
	for _, id := range pools {
		granted, holder := c.voter.Promise(now, self, sequence, id, lease.Term)
		c.answer(sequence, self.Name, id, granted, holder)
	}
}

func (c *Controller) self() lease.Process {
	m := c.Store.Load().Members.Self
	return lease.Process{Name: m.Name, Incarnation: m.Incarnation}
}

func (c *Controller) ask(ctx context.Context, voter *state.Member, sequence uint64, pools []manifest.PoolID) {
	ctx, cancel := context.WithTimeout(ctx, promiseTimeout)
	defer cancel()
	c.messages.Add(1)
	req := &wire.PromiseRequest{Header: c.Header(), Sequence: sequence, Pools: pools, TermMillis: lease.Term.Milliseconds()}
	reply := &wire.PromiseReply{}
	if err := c.Caller.Call(ctx, peer.Control, voter.Address, "Lease.Promise", req, reply); err != nil {
		return
	}
	if reply.From != voter.Name {
		return // another host answers at this address
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered[voter.Name] = c.Clock.Now()
	for i, id := range pools {
		holder := ""
		if i < len(reply.Holders) {
			holder = reply.Holders[i]
		}
		c.answer(sequence, voter.Name, id, i < len(reply.Granted) && reply.Granted[i], holder)
	}
	c.publish()
}

// answer takes one vote. Callers hold mu.
func (c *Controller) answer(sequence uint64, voter string, id manifest.PoolID, granted bool, holder string) {
	now := c.Clock.Now()
	if !granted && holder != "" && holder != c.self().Name {
		c.refused.Add(1)
		c.learn(id, holder)
		if m := c.Store.Load().Members.ByName[holder]; m != nil && m.Alive && c.held[id] == nil {
			c.candidate.Refused(now, id)
		}
	}
	until := c.candidate.Answer(sequence, voter, id, granted)
	if until == 0 || !now.Before(until) || c.stopping {
		return
	}
	h := c.held[id]
	if h != nil && h.Valid(now) {
		h.Until.Store(int64(until))
		return
	}
	// A lease that lapsed is a new one: its pool may have been held elsewhere.
	h = &state.HeldLease{Pool: id}
	h.Until.Store(int64(until))
	c.held[id], c.dirty = h, true
	delete(c.adopted, id)
	c.acquired.Add(1)
	c.publish()
	c.Gossip.Publish(wire.Update{Holder: &wire.Holder{Pool: id, Name: c.self().Name}})
}

// tell spreads once per holderNews which pools this host holds.
func (c *Controller) tell(now clock.Time) {
	if now.Sub(c.told) < holderNews {
		return
	}
	c.told = now
	for id := range c.held {
		c.Gossip.Publish(wire.Update{Holder: &wire.Holder{Pool: id, Name: c.self().Name}})
	}
}
