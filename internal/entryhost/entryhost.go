// Package entryhost assembles one entry host: controllers, the filter chain and
// the listeners, and runs its life cycle.
package entryhost

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/backend"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/controller/pools"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/front"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/settings"
	"github.com/anvilfront/anvilfront/internal/state"
)

// maxAnswerBytes is the largest answer body that is read from a backend server.
const maxAnswerBytes = 8 << 20

// EntryHost is one running entry host.
type EntryHost struct {
	log       *zap.Logger
	settings  *settings.Settings
	store     *state.Store
	pools     *pools.Controller
	front     *front.Front
	listener  net.Listener
	transport *backend.Transport
	stopping  *filters.Stopping
	wg        conc.WaitGroup
}

// New assembles an entry host and opens its listeners.
func New(s *settings.Settings, log *zap.Logger) (*EntryHost, error) {
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	clk := clock.NewMonotonic()
	counters := metrics.New()
	store := state.NewStore(state.Member{Name: s.Name, Address: s.Peer, DataCentre: s.DataCentre, Alive: true})
	p := pools.New(pools.Config{Clock: clk, Store: store, Counters: counters, Log: log})
	transport := backend.New(backend.Options{MaxBody: maxAnswerBytes})
	stopping := filters.NewStopping()
	chain := filter.Chain(
		stopping,
		filters.Deadline{},
		filters.Route{},
		&filters.Retry{Clock: clk, Counters: counters},
		&filters.Selection{Clock: clk},
		&filters.Admission{Clock: clk, Admitter: p},
		&filters.Dispatch{
			Clock: clk, Admitter: p, Transport: transport, Store: store,
			Fresh: func() bool { return !store.Stale() },
		},
	)
	return &EntryHost{
		log: log, settings: s, store: store, pools: p, listener: l, transport: transport, stopping: stopping,
		front: front.New(front.Options{Settings: s, Chain: chain, Store: store, Clock: clk, Counters: counters}, l),
	}, nil
}

// Address returns the address of the callers' listener.
func (e *EntryHost) Address() string { return e.listener.Addr().String() }

// Accept puts a manifest in force. Until the leases controller is assembled,
// this process holds the lease of every pool.
func (e *EntryHost) Accept(m *manifest.Manifest) {
	leases := &state.Leases{Held: map[manifest.PoolID]*state.HeldLease{}, Holders: map[manifest.PoolID]string{}}
	for id := range m.Pools {
		held := &state.HeldLease{Pool: id}
		held.Until.Store(math.MaxInt64)
		leases.Held[id], leases.Holders[id] = held, e.settings.Name
	}
	e.store.Update(func(s *state.Snapshot) { s.Manifest, s.Leases = m, leases })
}

// Run serves until ctx ends, then stops gracefully.
func (e *EntryHost) Run(ctx context.Context) error {
	running, stopPools := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPools()
	e.wg.Go(func() { e.pools.Run(running) })
	<-e.pools.Ready()
	e.wg.Go(func() {
		if err := e.front.Serve(); err != nil {
			e.log.Named("front").Error("Listener failed.", zap.Error(err))
		}
	})
	e.wg.Go(func() { e.transport.Run(running) })
	<-ctx.Done()
	e.stopping.Stop()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(e.settings.StopBound))
	defer cancel()
	err := e.stopping.Drain(stop)
	if err == nil {
		err = e.front.Shutdown(stop)
	}
	stopPools()
	e.wg.Wait()
	return err
}
