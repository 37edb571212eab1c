// Package entryhost assembles one entry host: controllers, the filter chain and
// the listeners, and runs its life cycle.
package entryhost

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/backend"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/controller/alerts"
	"github.com/anvilfront/anvilfront/internal/controller/connections"
	"github.com/anvilfront/anvilfront/internal/controller/heartbeats"
	"github.com/anvilfront/anvilfront/internal/controller/manifests"
	"github.com/anvilfront/anvilfront/internal/controller/measures"
	"github.com/anvilfront/anvilfront/internal/controller/members"
	"github.com/anvilfront/anvilfront/internal/controller/orders"
	"github.com/anvilfront/anvilfront/internal/controller/pause"
	"github.com/anvilfront/anvilfront/internal/controller/poisonrequests"
	"github.com/anvilfront/anvilfront/internal/controller/servers"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/front"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/operator"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/settings"
	"github.com/anvilfront/anvilfront/internal/state"
)

// maxAnswerBytes is the largest answer body that is read from a backend server.
const maxAnswerBytes = 8 << 20

// EntryHost is one running entry host. Several may run in one process.
type EntryHost struct {
	log      *zap.Logger
	settings *settings.Settings
	clock    clock.Clock
	counters *metrics.Counters
	store    *state.Store

	callers, peers, operators net.Listener

	// Controllers. Each is the only writer of its part of the state.
	members     *members.Controller
	manifests   *manifests.Controller
	servers     *servers.Controller
	beats       *heartbeats.Controller
	measures    *measures.Controller
	orders      *orders.Controller
	suspects    *poisonrequests.Controller
	alerts      *alerts.Controller
	connections *connections.Controller
	guard       *pause.Detector

	// Edges of the process.
	transport  *backend.Transport
	peerClient *peer.Client
	peerServer *peer.Server
	front      *front.Front
	operator   *operator.Server

	wrapDial func(peer.Dial) peer.Dial // nil: none

	stopping  *filters.Stopping
	placement *filters.Placement
	stage     atomic.Int32
	abort     context.CancelFunc // ends Run without waiting for anything
	aborted   context.Context
	broken    chan struct{}                    // closed when a controller panicked
	fault     atomic.Pointer[panics.Recovered] // what it panicked with
	closing   sync.Once
	done      chan struct{} // closed when Run returns
}

// Option changes how an entry host is assembled.
type Option func(*EntryHost)

// WithPeerDial wraps the function that opens connections to other entry hosts,
// so that tests can cut them.
func WithPeerDial(wrap func(peer.Dial) peer.Dial) Option {
	return func(e *EntryHost) { e.wrapDial = wrap }
}

// New assembles an entry host and opens its listeners. Run comes next.
func New(s *settings.Settings, log *zap.Logger, options ...Option) (*EntryHost, error) {
	e := &EntryHost{log: log, settings: s, clock: clock.NewMonotonic(), counters: metrics.New(), stopping: filters.NewStopping(), done: make(chan struct{}), broken: make(chan struct{})}
	for _, o := range options {
		o(e)
	}
	e.aborted, e.abort = context.WithCancel(context.Background())
	for _, l := range []struct {
		name, address string
		to            *net.Listener
	}{{"callers", s.Listen, &e.callers}, {"peers", s.Peer, &e.peers}, {"operators", s.Operator, &e.operators}} {
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			e.closeListeners()
			return nil, errors.Wrapf(err, "listen for %s", l.name)
		}
		*l.to = opened
	}
	if err := e.assemble(); err != nil {
		e.closeListeners()
		return nil, err
	}
	return e, nil
}

func (e *EntryHost) closeListeners() {
	for _, l := range []net.Listener{e.callers, e.peers, e.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Address returns the address of the callers' listener.
func (e *EntryHost) Address() string { return e.callers.Addr().String() }

// OperatorAddress returns the address of the operators' listener.
func (e *EntryHost) OperatorAddress() string { return e.operators.Addr().String() }

// PeerAddress returns the address of the listener for other entry hosts.
func (e *EntryHost) PeerAddress() string { return e.peers.Addr().String() }

// Counters returns the counters of this entry host.
func (e *EntryHost) Counters() *metrics.Counters { return e.counters }

// Store returns the published state, for tests and the demo.
func (e *EntryHost) Store() *state.Store { return e.store }

// Accept puts a manifest in force, unless a newer one is.
func (e *EntryHost) ApplyManifest(m *manifest.Manifest) { e.manifests.Apply(m.Raw) }

// Stages of the life cycle.
const (
	stageStarting int32 = iota
	stageServing
	stageNotice   // readiness is false, requests are still served
	stageStopping // new requests are refused
)

// Ready reports whether the platform's balancer should send callers here, and
// why not.
func (e *EntryHost) Ready() (ready bool, why string) {
	switch {
	case e.stage.Load() == stageStarting:
		return false, "starting"
	case e.stage.Load() > stageServing:
		return false, "stopping"
	case !e.manifests.Ready():
		return false, "no manifest in force"
	case !pause.Fresh(e.store, e.clock.Now()):
		return false, "the process was paused and refreshes its state"
	case !e.servers.Ready():
		return false, "the backend servers of the manifest are not known yet"
	}
	return true, ""
}

func bound(d manifest.Duration) time.Duration { return time.Duration(d) }
