// Package manifests owns Snapshot.Manifest: it decides which manifest applies
// and distributes manifests among the entry hosts, so that only a few of them
// watch the configuration service. Manifests arrive from that service and from
// peers. Package entryhost runs the controller.
package manifests

import (
	"context"
	"encoding/binary"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/configservice"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// Intervals and limits of the distribution of manifests.
const (
	watchersPerDataCentre = 2 // one of them may fail
	longPollWait          = 30 * time.Second
	pollInterval          = 30 * time.Second // of hosts that are not watchers
	backoffMin            = 500 * time.Millisecond
	backoffMax            = 5 * time.Second // 14 watchers then make 3 to 6 calls per second
	noticeFanOut          = 3
	noticeTimeout         = 300 * time.Millisecond
	fetchTimeout          = time.Second
	// InitialSyncTimeout limits the synchronization of a new process,
	// ResyncTimeout that of a process that was paused.
	InitialSyncTimeout = 2 * time.Second
	ResyncTimeout      = time.Second
	maxQueriedPeers    = 128 // per synchronization
)

// Config holds the dependencies of the controller.
type Config struct {
	Clock    clock.Clock
	Store    *state.Store
	Caller   peer.Caller
	Platform *configservice.Client // nil: manifests come from peers only
	Header   func() wire.Header
	Counters *metrics.Counters
	Log      *zap.Logger
	Rand     *rand.Rand // must not be shared
	Seeds    []string   // addresses of the first peers to contact
}

// Controller is the only writer of Snapshot.Manifest.
type Controller struct {
	Config
	mu              sync.Mutex // serialises Apply; taken for control messages only
	packed          atomic.Pointer[packed]
	hooks           []func(*manifest.Manifest)
	initialSyncDone atomic.Bool
	peerRevisions   chan peerRevision
	notifyPending   chan struct{}
	randMu          sync.Mutex
	backoff         configservice.Backoff

	accepted, refused, conflicts, outdated, fetches, notices *expvar.Int
}

// packed is the current manifest, compressed for peers that fetch it.
type packed struct {
	revision uint64
	bytes    []byte
}

// peerRevision is the manifest revision that a peer reported.
type peerRevision struct {
	address  string
	revision uint64
}

// New returns a controller without a manifest.
func New(c Config) *Controller {
	return &Controller{
		Config: c, peerRevisions: make(chan peerRevision, 16), notifyPending: make(chan struct{}, 1),
		backoff:  configservice.Backoff{Min: backoffMin, Max: backoffMax, Rand: rand.New(rand.NewPCG(c.Rand.Uint64(), c.Rand.Uint64()))},
		accepted: c.Counters.Int("manifests_accepted"), refused: c.Counters.Int("manifests_refused"),
		conflicts: c.Counters.Int("manifests_conflicts"), outdated: c.Counters.Int("manifests_outdated"),
		fetches: c.Counters.Int("manifests_fetches"), notices: c.Counters.Int("manifests_notices"),
	}
}

// Register adds the RPC handlers to the server.
func (c *Controller) Register(s *peer.Server) error { return s.Register("Manifest", &service{c}) }

// OnApply registers f to run when a manifest is applied, before it is published
// in the snapshot. f runs with the lock of Apply held, must be short and must
// not call Apply. Call OnApply before InitialSync and Run.
func (c *Controller) OnApply(f func(*manifest.Manifest)) { c.hooks = append(c.hooks, f) }

// Ready reports whether this process may serve requests: InitialSync has
// finished and there is a current manifest.
func (c *Controller) Ready() bool { return c.initialSyncDone.Load() && c.Store.Load().Manifest != nil }

func (c *Controller) revision() uint64 {
	if m := c.Store.Load().Manifest; m != nil {
		return m.File.Revision
	}
	return 0
}

func digest(m *manifest.Manifest) uint64 { return binary.BigEndian.Uint64(m.Digest[:]) }

// Apply parses a manifest, applies it if its revision is higher than the
// current one, and reports whether it was applied. The current manifest is kept
// when a manifest is refused.
func (c *Controller) Apply(raw []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, err := manifest.Parse(raw)
	if err != nil {
		c.refused.Add(1)
		c.Log.Warn("Manifest refused because it is invalid.", zap.Error(err))
		return false
	}
	current := c.Store.Load().Manifest
	switch {
	case current == nil || m.File.Revision > current.File.Revision:
	case m.File.Revision < current.File.Revision:
		c.outdated.Add(1)
		return false
	case m.Digest != current.Digest:
		c.conflicts.Add(1)
		c.Log.Error("Manifest refused because it differs from the current manifest of the same revision.", zap.Uint64("revision", m.File.Revision))
		return false
	default:
		return false
	}
	bytes, err := pack(m.Raw)
	if err != nil {
		c.refused.Add(1)
		c.Log.Error("Manifest refused because its compression failed.", zap.Error(err))
		return false
	}
	for _, f := range c.hooks {
		f(m)
	}
	c.packed.Store(&packed{revision: m.File.Revision, bytes: bytes})
	c.Store.Update(func(s *state.Snapshot) { s.Manifest = m })
	c.accepted.Add(1)
	c.Log.Info("Manifest applied.", zap.Uint64("revision", m.File.Revision))
	select {
	case c.notifyPending <- struct{}{}:
	default:
	}
	return true
}

// HandlePeerRevision queues a fetch of a newer revision that a peer reported in
// a message header. It never blocks: reports are dropped while the queue is
// full, and later messages repeat them.
func (c *Controller) HandlePeerRevision(address string, revision uint64) {
	select {
	case c.peerRevisions <- peerRevision{address, revision}:
	default:
	}
}

// Run watches or polls the configuration service, fetches newer manifests from
// peers and notifies peers of applied ones, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	if c.Platform.Configured() {
		wg.Go(func() { c.pollService(ctx) })
	}
	wg.Go(func() { c.fetchFromPeers(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.notifyPending:
			c.notifyPeers(ctx)
		}
	}
}

// fetchFromPeers fetches newer manifests from the peers that reported them, one
// at a time. It waits noticeTimeout after a peer did not deliver the revision
// that it reported.
func (c *Controller) fetchFromPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-c.peerRevisions:
			if r.revision <= c.revision() {
				continue
			}
			if c.fetch(ctx, r.address) {
				continue
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(noticeTimeout):
			}
		}
	}
}
