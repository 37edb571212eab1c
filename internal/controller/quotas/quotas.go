// Package quotas runs the decisions of package quota on one host: it carries asks and
// grants between hosts over the mesh's socket, and lets requests wait for their tokens.
// Without an account with a rate it sends nothing and keeps no state.
package quotas

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/quota"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	// queueLength bounds the queued messages and requests; more are dropped and counted.
	queueLength = 1024
	// viewInterval is the time between two looks at the view of the hosts, which changes
	// as often.
	viewInterval = 100 * time.Millisecond
	// maxWait bounds the wait of a request, also when the controller gets no processor time.
	maxWait = 200 * time.Millisecond
	// informedMargin is how much older another process must be to know the fleet.
	informedMargin = time.Second
	// maxUptime bounds the age of a process in heartbeats.
	maxUptime = time.Hour
)

// Mesh sends datagrams and knows the other hosts.
type Mesh interface {
	View() *roster.View
	Seeds() []string
	SendTo(address string, b *wire.Heartbeat)
}

// Config holds the dependencies of a Controller.
type Config struct {
	Clock    clock.Clock
	Store    *state.Store
	Mesh     Mesh
	Rand     *rand.Rand
	Counters *metrics.Counters
	Log      *zap.Logger
}

// Controller is the only writer of a quota.Node. It implements mesh.HeartbeatHandler and
// filters.Quotas.
type Controller struct {
	cfg      Config
	log      *zap.Logger
	started  clock.Time
	queue    chan func(now clock.Time)
	accounts atomic.Pointer[map[string]*account] // with a limit, by name; immutable

	// Used by Run's goroutine only.
	node     *quota.Node
	manifest *manifest.Manifest // whose accounts are in accounts
	view     *roster.View
	names    map[quota.Key]string
	last     quota.Counts
	share    float64 // of the quotas that this host hands out, as logged last

	fleetSize                          atomic.Int64 // for heartbeats
	olderSize                          atomic.Int64 // of the fleet, as older processes reported it since the last update
	admitted, refused, silent, dropped *expvar.Int
	counted                            [quota.NumCounts]*expvar.Int
}

// account is what the requests of one account share.
type account struct {
	*quota.Account
	rate float64
}

// New returns a controller for a process that has just started.
func New(cfg Config) *Controller {
	c := &Controller{
		cfg: cfg, log: cfg.Log.Named("quotas"), started: cfg.Clock.Now(), queue: make(chan func(clock.Time), queueLength),
		admitted: cfg.Counters.Int("quotas.admitted"), refused: cfg.Counters.Int("quotas.refused"),
		silent: cfg.Counters.Int("quotas.refused_owner_silent"), dropped: cfg.Counters.Int("quotas.dropped"),
	}
	c.accounts.Store(&map[string]*account{})
	c.node = quota.NewNode(quota.Config{Self: cfg.Mesh.View().Self.Address, Start: c.started, Rand: cfg.Rand, Send: c.send})
	for i, name := range quota.CountNames {
		c.counted[i] = cfg.Counters.Int("quotas." + name)
	}
	c.publishAccounts()
	return c
}

// enqueue has Run's goroutine execute f. It reports false if the queue is full.
func (c *Controller) enqueue(f func(now clock.Time)) bool {
	select {
	case c.queue <- f:
		return true
	default:
		c.dropped.Add(1)
		return false
	}
}

// Run decides until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		changed := c.cfg.Store.Changed()
		now := c.cfg.Clock.Now()
		c.update(now)
		c.schedule(timer, now)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case f := <-c.queue:
			f(c.cfg.Clock.Now())
		case <-timer.C:
			c.node.Tick(c.cfg.Clock.Now())
		}
	}
}

// schedule sets the timer to the next time at which something is due. Without limited
// accounts nothing ever is.
func (c *Controller) schedule(timer *time.Timer, now clock.Time) {
	if len(*c.accounts.Load()) == 0 {
		timer.Stop()
		return
	}
	wait := viewInterval
	if due, ok := c.node.Next(); ok {
		wait = min(wait, max(due.Sub(now), 0))
	}
	timer.Reset(wait)
}

// update takes over a new configuration and a new view of the hosts.
func (c *Controller) update(now clock.Time) {
	if m := c.cfg.Store.Load().Manifest; m != c.manifest {
		c.manifest = m
		c.configure(now, m)
	}
	if len(*c.accounts.Load()) == 0 {
		c.view = nil
		return
	}
	if v := c.cfg.Mesh.View(); v != c.view {
		changed := c.view == nil || !v.SameFleetOwners(c.view)
		c.view = v
		if size := c.olderSize.Swap(0); size > 0 {
			c.node.Informed(now, int(size))
		}
		c.node.SetFleet(now, fleet{view: v, seeds: c.otherSeeds(v), now: now}, changed)
		c.report(now)
	}
}

// configure replaces the accounts that have a limit.
func (c *Controller) configure(now clock.Time, m *manifest.Manifest) {
	limits, names := map[quota.Key]quota.Limit{}, map[quota.Key]string{}
	if m != nil {
		for i := range m.File.Accounts {
			if a := &m.File.Accounts[i]; a.Limited() {
				k := quota.KeyOf(a.Name)
				limits[k], names[k] = quota.Limit{Rate: a.Rate, Burst: a.Burst}, a.Name
			}
		}
	}
	if len(limits) == 0 && len(c.names) == 0 {
		return
	}
	accounts := make(map[string]*account, len(limits))
	for k, shared := range c.node.Configure(now, limits) {
		accounts[names[k]] = &account{shared, limits[k].Rate}
	}
	c.names = names
	c.accounts.Store(&accounts)
}

// fleet is the view of the hosts for the decisions.
type fleet struct {
	view  *roster.View
	seeds []string   // without this host
	now   clock.Time // at which the view was taken
}

func (c *Controller) otherSeeds(v *roster.View) (others []string) {
	for _, s := range c.cfg.Mesh.Seeds() {
		if s != v.Self.Address {
			others = append(others, s)
		}
	}
	return others
}

// Owner implements quota.Fleet.
func (f fleet) Owner(k quota.Key, avoid string) string { return f.view.FleetOwner(k, avoid) }

// Size implements quota.Fleet.
func (f fleet) Size() quota.Size {
	reachable, known := f.view.FleetSize(f.now)
	return quota.Size{Known: known, Reachable: reachable, Seeds: len(f.seeds), Unheard: f.view.NeverHeard(f.seeds)}
}
