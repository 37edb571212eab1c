// Package orders owns the order records of this process: its ledger and
// secret, the books taken over from stopped entry hosts, and copies of finished
// orders for other data centres.
package orders

import (
	"context"
	"expvar"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/ledger"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/orderkey"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// MaxIssue is the largest number of keys issued at a time.
const MaxKeysPerRequest = 64

// Config is what a controller is built from.
type Config struct {
	Clock        clock.Clock
	Store        *state.Store
	Peers        peer.Caller
	Gossip       peer.Gossip
	Counters     *metrics.Counters
	Log          *zap.Logger
	Incarnation  uint64        // of this process, as in state.Member
	Address      string        // IP:port under which peers reach this process
	Ledger       ledger.Config // zero: ledger.DefaultConfig
	MaxCopies    int           // copies kept for others; 0: 16384
	MaxCopyBytes int64         // bytes of copies kept for others; 0: 32 MiB
	QueueLength  int           // copies waiting to be sent; 0: 1024
	PartBytes    int           // of a hand-over in one message; 0: 1 MiB
}

// books are the books by incarnation. A nil book stands for one that was taken
// over and has expired: a late repetition of its transfer is not taken over
// again, because its keys may have been used since.
type books map[uint64]*filters.KeyedLedger

// Controller implements filters.Orders.
type Controller struct {
	cfg      Config
	owner    netip.AddrPort
	own      *filters.KeyedLedger
	books    atomic.Pointer[books]
	moved    atomic.Pointer[map[uint64]string] // incarnation to confirmed successor
	copies   *ledger.Copies
	queue    chan queued
	incoming incoming
	chain    atomic.Pointer[filter.Handler]
	runs     conc.WaitGroup
	dropped  *expvar.Int // copies not sent or not stored
	found    *expvar.Int // orders answered from a copy
	panicks  *expvar.Int
}

// New returns a controller. The address must be an IP address and a port.
func New(cfg Config) (*Controller, error) {
	owner, err := netip.ParseAddrPort(cfg.Address)
	if err != nil || owner.Port() == 0 || owner.Addr().Zone() != "" || owner.Addr().Is4In6() {
		return nil, errors.Errorf("orders: peer address %q is not IP:port", cfg.Address)
	}
	if cfg.Ledger == (ledger.Config{}) {
		cfg.Ledger = ledger.DefaultConfig()
	}
	if cfg.MaxCopies == 0 {
		cfg.MaxCopies = 1 << 14
	}
	if cfg.MaxCopyBytes == 0 {
		cfg.MaxCopyBytes = 32 << 20
	}
	if cfg.QueueLength == 0 {
		cfg.QueueLength = 1 << 10
	}
	if cfg.PartBytes == 0 {
		// Peers refuse messages above 4 MiB, and orders that share the
		// connection wait behind each part.
		cfg.PartBytes = 1 << 20
	}
	c := &Controller{
		cfg: cfg, owner: owner,
		own:      &filters.KeyedLedger{Ledger: ledger.New(cfg.Ledger), Secret: orderkey.NewSecret()},
		copies:   ledger.NewCopies(cfg.MaxCopies, cfg.MaxCopyBytes),
		queue:    make(chan queued, cfg.QueueLength),
		incoming: incoming{parts: map[uint64]*partial{}},
		dropped:  cfg.Counters.Int("orders_copies_dropped"),
		found:    cfg.Counters.Int("orders_answered_from_copy"),
		panicks:  cfg.Counters.Int("orders_panics"),
	}
	c.books.Store(&books{cfg.Incarnation: c.own})
	c.moved.Store(&map[uint64]string{})
	cfg.Counters.Set("orders_ledger", expvar.Func(func() any { return c.own.Usage() }))
	return c, nil
}

// SetChain sets the handler for orders that other entry hosts forward. It is
// the same chain that callers' requests run through. Call it before Register.
func (c *Controller) SetChain(h filter.Handler) { c.chain.Store(&h) }

// Book implements filters.Orders.
func (c *Controller) KeyedLedger(incarnation uint64) *filters.KeyedLedger {
	return (*c.books.Load())[incarnation]
}

// Issue returns n fresh order keys. n is 1 to MaxIssue. Errors are
// *verdict.Error with NotRun: ReasonBadRequest for n, ReasonLedgerFull when too
// many keys are unexpired, ReasonStopping after the ledger was sealed. The
// method is safe for concurrent use.
func (c *Controller) Issue(n int) ([]string, error) {
	if n < 1 || n > MaxKeysPerRequest {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, errors.Errorf("number of keys must be 1 to %d", MaxKeysPerRequest))
	}
	keys := make([]string, n)
	for i := range keys {
		seq, expiry, ok := c.own.Ledger.Issue(c.cfg.Clock.Now())
		if !ok {
			if c.own.Sealed() {
				return nil, verdict.New(verdict.NotRun, verdict.ReasonStopping, nil)
			}
			return nil, verdict.New(verdict.NotRun, verdict.ReasonLedgerFull, nil)
		}
		k := orderkey.Key{Incarnation: c.cfg.Incarnation, Owner: c.owner, Sequence: seq, Expiry: expiry}
		c.own.Secret.Sign(&k)
		keys[i] = k.String()
	}
	return keys, nil
}

// Start implements filters.Orders. A panic of f is logged and counted.
func (c *Controller) Start(f func()) {
	c.runs.Go(func() { c.guard(f) })
}

func (c *Controller) guard(f func()) {
	if p := panics.Try(f); p != nil {
		c.panicks.Add(1)
		c.cfg.Log.Error("Order handler panicked.", zap.Error(p.AsError()))
	}
}

// Header implements filters.Orders.
func (c *Controller) Header(s *state.Snapshot) wire.Header {
	h := wire.Header{Version: wire.Version, From: s.Members.Self.Name, Incarnation: c.cfg.Incarnation}
	if s.Manifest != nil {
		h.Revision = s.Manifest.File.Revision
	}
	return h
}

// Run sends copies of finished orders until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.queue:
			for _, b := range c.batch(first) {
				c.send(ctx, b)
			}
		}
	}
}

// edit replaces the table of books. Writers are the receiver of hand-overs and tests.
func (c *Controller) edit(change func(books) bool) bool {
	for {
		old := c.books.Load()
		next := make(books, len(*old)+1)
		for k, v := range *old {
			next[k] = v
		}
		if !change(next) {
			return false
		}
		if c.books.CompareAndSwap(old, &next) {
			return true
		}
	}
}

// callLimit bounds sending copies to a peer. The longest way between two
// regions is far below it.
const callLimit = time.Second

// transferLimit bounds a hand-over: 32 MiB take under 1 s at 1 Gbit/s.
const transferLimit = 5 * time.Second
