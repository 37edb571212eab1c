// Package orders owns the order records of this process: its own ledger and
// signing secret, the ledgers taken over from stopped entry hosts, and copies of
// finished orders from other data centres. It is called by the order filters
// (see filters.Orders) and, through the Order RPCs, by other entry hosts.
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

// MaxKeysPerRequest is the largest number of keys that one call of Issue returns.
const MaxKeysPerRequest = 64

// Config holds the settings and dependencies of a Controller.
type Config struct {
	Clock        clock.Clock
	Store        *state.Store
	Peers        peer.Caller
	Gossip       peer.Gossip
	Counters     *metrics.Counters
	Log          *zap.Logger
	Incarnation  uint64        // of this process, as in state.Member
	Address      string        // IP:port at which peers reach this process
	Ledger       ledger.Config // zero: ledger.DefaultConfig
	MaxCopies    int           // copies stored for other entry hosts; 0: 16384
	MaxCopyBytes int64         // bytes of copies stored for other entry hosts; 0: 32 MiB
	QueueLength  int           // copies waiting to be sent; 0: 1024
	PartBytes    int           // hand-over payload per message; 0: 1 MiB
}

// ledgers maps incarnations to their ledgers. A nil entry marks a ledger that was
// taken over and has expired. It prevents a late repetition of the transfer from
// being taken over again, because the keys may have been used since.
type ledgers map[uint64]*filters.KeyedLedger

// Controller implements filters.Orders.
type Controller struct {
	cfg              Config
	owner            netip.AddrPort
	ownLedger        *filters.KeyedLedger
	ledgers          atomic.Pointer[ledgers]
	successors       atomic.Pointer[map[uint64]string] // confirmed successor by incarnation
	copies           *ledger.Copies
	queue            chan queuedCopy
	incoming         incoming
	chain            atomic.Pointer[filter.Handler]
	handlers         conc.WaitGroup
	copiesDropped    *expvar.Int // copies not sent or not stored
	answeredFromCopy *expvar.Int
	panicCount       *expvar.Int
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
		// Peers reject messages above 4 MiB, and orders on the same connection
		// wait behind each part.
		cfg.PartBytes = 1 << 20
	}
	c := &Controller{
		cfg: cfg, owner: owner,
		ownLedger:        &filters.KeyedLedger{Ledger: ledger.New(cfg.Ledger), Secret: orderkey.NewSecret()},
		copies:           ledger.NewCopies(cfg.MaxCopies, cfg.MaxCopyBytes),
		queue:            make(chan queuedCopy, cfg.QueueLength),
		incoming:         incoming{parts: map[uint64]*partialTransfer{}},
		copiesDropped:    cfg.Counters.Int("orders_copies_dropped"),
		answeredFromCopy: cfg.Counters.Int("orders_answered_from_copy"),
		panicCount:       cfg.Counters.Int("orders_panics"),
	}
	c.ledgers.Store(&ledgers{cfg.Incarnation: c.ownLedger})
	c.successors.Store(&map[uint64]string{})
	cfg.Counters.Set("orders_ledger", expvar.Func(func() any { return c.ownLedger.Usage() }))
	return c, nil
}

// SetChain sets the handler for orders that other entry hosts forward. It must
// be the filter chain that also handles callers' requests. Call it before Register.
func (c *Controller) SetChain(h filter.Handler) { c.chain.Store(&h) }

// KeyedLedger implements filters.Orders.
func (c *Controller) KeyedLedger(incarnation uint64) *filters.KeyedLedger {
	return (*c.ledgers.Load())[incarnation]
}

// Issue returns n fresh order keys, for n from 1 to MaxKeysPerRequest. Errors are
// *verdict.Error with NotRun: ReasonBadRequest when n is out of range,
// ReasonLedgerFull when too many keys are unexpired, ReasonStopping after the
// ledger was sealed. The method is safe for concurrent use.
func (c *Controller) Issue(n int) ([]string, error) {
	if n < 1 || n > MaxKeysPerRequest {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, errors.Errorf("number of keys must be 1 to %d", MaxKeysPerRequest))
	}
	keys := make([]string, n)
	for i := range keys {
		seq, expiry, ok := c.ownLedger.Ledger.Issue(c.cfg.Clock.Now())
		if !ok {
			if c.ownLedger.Sealed() {
				return nil, verdict.New(verdict.NotRun, verdict.ReasonStopping, nil)
			}
			return nil, verdict.New(verdict.NotRun, verdict.ReasonLedgerFull, nil)
		}
		k := orderkey.Key{Incarnation: c.cfg.Incarnation, Owner: c.owner, Sequence: seq, Expiry: expiry}
		c.ownLedger.Secret.Sign(&k)
		keys[i] = k.String()
	}
	return keys, nil
}

// Start implements filters.Orders. A panic of f is logged and counted.
func (c *Controller) Start(f func()) {
	c.handlers.Go(func() { c.recoverPanics(f) })
}

func (c *Controller) recoverPanics(f func()) {
	if p := panics.Try(f); p != nil {
		c.panicCount.Add(1)
		c.cfg.Log.Error("Order handler panicked.", zap.Error(p.AsError()))
	}
}

// Header implements filters.Orders.
func (c *Controller) Header() wire.Header {
	s := c.cfg.Store.Load()
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
			for _, b := range c.collectBatch(first) {
				c.sendCopies(ctx, b)
			}
		}
	}
}

// updateLedgers applies change to a copy of the ledger table and publishes the
// copy by compare-and-swap; after a concurrent update it starts again. It returns
// false, and publishes nothing, when change returns false. The callers are Stop
// and the receiver of hand-overs.
func (c *Controller) updateLedgers(change func(ledgers) bool) bool {
	for {
		old := c.ledgers.Load()
		next := make(ledgers, len(*old)+1)
		for k, v := range *old {
			next[k] = v
		}
		if !change(next) {
			return false
		}
		if c.ledgers.CompareAndSwap(old, &next) {
			return true
		}
	}
}

// copySendTimeout limits a call that sends copies to a peer. The longest network
// delay between two regions is far below it.
const copySendTimeout = time.Second

// handOverTimeout limits a hand-over to one peer: 32 MiB take under 1 s at 1 Gbit/s.
const handOverTimeout = 5 * time.Second
