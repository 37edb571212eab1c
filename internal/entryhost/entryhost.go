// Package entryhost assembles one entry host from its settings: the controllers,
// the filter chain and the listeners. It runs the life cycle of the host and
// decides when the host is ready for callers. The serve command runs it, and tests
// and examples run several entry hosts in one process.
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
	"github.com/anvilfront/anvilfront/internal/listen"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/operator"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/settings"
	"github.com/anvilfront/anvilfront/internal/state"
)

// maxResponseBytes limits the response body that is read from a backend server.
const maxResponseBytes = 8 << 20

// EntryHost is one entry host. A process may run several of them.
type EntryHost struct {
	log      *zap.Logger
	settings *settings.Settings
	clock    clock.Clock
	counters *metrics.Counters
	store    *state.Store

	callerListener, peerListener, operatorListener net.Listener

	// Controllers. Each is the only writer of its part of the state.
	members        *members.Controller
	manifests      *manifests.Controller
	servers        *servers.Controller
	heartbeats     *heartbeats.Controller
	measures       *measures.Controller
	orders         *orders.Controller
	poisonrequests *poisonrequests.Controller
	alerts         *alerts.Controller
	connections    *connections.Controller
	pauseDetector  *pause.Detector

	// Network clients and servers.
	transport  *backend.Transport
	peerClient *peer.Client
	peerServer *peer.Server
	front      *front.Front
	operator   *operator.Server

	wrapDial func(peer.Dial) peer.Dial // nil: not wrapped

	stopping  *filters.Stopping
	placement *filters.Placement
	stage     atomic.Int32
	abort     context.CancelFunc // makes Run return without waiting; see Abort
	aborted   context.Context
	panicked  chan struct{}                    // closed after a panic of a controller
	recovered atomic.Pointer[panics.Recovered] // the first panic of a controller
	closeOnce sync.Once
	done      chan struct{} // closed when Run returns
}

// Option changes how an entry host is assembled.
type Option func(*EntryHost)

// WithPeerDial wraps the function that opens connections to other entry hosts.
// Tests use it to partition the network.
func WithPeerDial(wrap func(peer.Dial) peer.Dial) Option {
	return func(e *EntryHost) { e.wrapDial = wrap }
}

// New assembles an entry host and opens its listeners. Call Run to start serving.
func New(s *settings.Settings, log *zap.Logger, options ...Option) (*EntryHost, error) {
	e := &EntryHost{log: log, settings: s, clock: clock.NewMonotonic(), counters: metrics.New(), stopping: filters.NewStopping(), done: make(chan struct{}), panicked: make(chan struct{})}
	for _, o := range options {
		o(e)
	}
	e.aborted, e.abort = context.WithCancel(context.Background())
	for _, l := range []struct {
		name, address string
		listener      *net.Listener
	}{{"callers", s.Listen, &e.callerListener}, {"peers", s.Peer, &e.peerListener}, {"operators", s.Operator, &e.operatorListener}} {
		opened, err := listen.TCP(l.address)
		if err != nil {
			e.closeListeners()
			return nil, errors.Wrapf(err, "listen for %s", l.name)
		}
		*l.listener = opened
	}
	if err := e.assemble(); err != nil {
		e.closeListeners()
		return nil, err
	}
	return e, nil
}

func (e *EntryHost) closeListeners() {
	for _, l := range []net.Listener{e.callerListener, e.peerListener, e.operatorListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Address returns the address of the callers' listener.
func (e *EntryHost) Address() string { return e.callerListener.Addr().String() }

// OperatorAddress returns the address of the operators' listener.
func (e *EntryHost) OperatorAddress() string { return e.operatorListener.Addr().String() }

// PeerAddress returns the address of the listener for other entry hosts.
func (e *EntryHost) PeerAddress() string { return e.peerListener.Addr().String() }

// Counters returns the counters of this entry host.
func (e *EntryHost) Counters() *metrics.Counters { return e.counters }

// Store returns the published state, for tests and the demo.
func (e *EntryHost) Store() *state.Store { return e.store }

// ApplyManifest applies a manifest, unless a newer one is already applied.
func (e *EntryHost) ApplyManifest(m *manifest.Manifest) { e.manifests.Apply(m.Raw) }

// Stages of the life cycle.
const (
	stageStarting int32 = iota
	stageServing
	stageNotice   // readiness is false, requests are still served
	stageStopping // new requests are refused
)

// Ready reports whether the balancer of the platform should send callers to this
// host, and if not, the reason.
func (e *EntryHost) Ready() (ready bool, reason string) {
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
	case !e.servers.Settled() || !e.measures.Assigned():
		return false, "which backend servers are cold is not known yet"
	}
	return true, ""
}

func toDuration(d manifest.Duration) time.Duration { return time.Duration(d) }
