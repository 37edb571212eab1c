// Package manifests owns Snapshot.Manifest: it decides which manifest is in
// force and spreads manifests among the entry hosts, so that only few of them
// watch the configuration service.
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

// Times and bounds of the spreading.
const (
	watchers      = 2                // per data centre, so that one may fail
	watchWait     = 30 * time.Second // of a long poll
	fallbackEvery = 30 * time.Second // poll of a host that does not watch
	backoffMin    = 500 * time.Millisecond
	backoffMax    = 5 * time.Second // 14 watchers then make 3 to 6 calls a second
	noticeFanOut  = 3
	noticeTimeout = 300 * time.Millisecond
	fetchTimeout  = time.Second
	// StartBound bounds the questions of a new process, ResyncBound those of one
	// that was paused.
	InitialSyncTimeout = 2 * time.Second
	ResyncTimeout      = time.Second
	maxAsked           = 128 // peers asked by one of them
)

// Config holds what the controller needs.
type Config struct {
	Clock    clock.Clock
	Store    *state.Store
	Caller   peer.Caller
	Platform *configservice.Client // nil: peers only
	Header   func() wire.Header
	Counters *metrics.Counters
	Log      *zap.Logger
	Rand     *rand.Rand // not shared with others
	Seeds    []string   // peer addresses to start from
}

// Controller is the owner of Snapshot.Manifest.
type Controller struct {
	Config
	mu      sync.Mutex // serialises decisions; control messages only
	packed  atomic.Pointer[packed]
	hooks   []func(*manifest.Manifest)
	asked   atomic.Bool // the start-up questions are over
	heard   chan heard
	spread  chan struct{}
	randMu  sync.Mutex
	backoff configservice.Backoff

	accepted, refused, conflicts, outdated, fetches, notices *expvar.Int
}

// packed is the manifest in force as peers fetch it.
type packed struct {
	revision uint64
	bytes    []byte
}

// heard is news of a revision at a peer.
type heard struct {
	address  string
	revision uint64
}

// New returns a controller without a manifest.
func New(c Config) *Controller {
	return &Controller{
		Config: c, heard: make(chan heard, 16), spread: make(chan struct{}, 1),
		backoff:  configservice.Backoff{Min: backoffMin, Max: backoffMax, Rand: rand.New(rand.NewPCG(c.Rand.Uint64(), c.Rand.Uint64()))},
		accepted: c.Counters.Int("manifests_accepted"), refused: c.Counters.Int("manifests_refused"),
		conflicts: c.Counters.Int("manifests_conflicts"), outdated: c.Counters.Int("manifests_outdated"),
		fetches: c.Counters.Int("manifests_fetches"), notices: c.Counters.Int("manifests_notices"),
	}
}

// Register adds the message handlers to the server.
func (c *Controller) Register(s *peer.Server) error { return s.Register("Manifest", &service{c}) }

// OnForce registers f to run when a manifest comes into force, before it is
// published in the snapshot. f runs under the lock of decisions, must be short
// and must not call Offer. Call OnForce before Start and Run.
func (c *Controller) OnApply(f func(*manifest.Manifest)) { c.hooks = append(c.hooks, f) }

// Ready reports whether this process may serve: the start-up questions are
// over and a manifest is in force.
func (c *Controller) Ready() bool { return c.asked.Load() && c.Store.Load().Manifest != nil }

func (c *Controller) revision() uint64 {
	if m := c.Store.Load().Manifest; m != nil {
		return m.File.Revision
	}
	return 0
}

func digest(m *manifest.Manifest) uint64 { return binary.BigEndian.Uint64(m.Digest[:]) }

// Offer decides on the bytes of a manifest and reports whether they came into
// force. A manifest that is refused leaves the last one in force.
func (c *Controller) Apply(raw []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, err := manifest.Parse(raw)
	if err != nil {
		c.refused.Add(1)
		c.Log.Warn("Manifest refused.", zap.Error(err))
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
		c.Log.Error("Two manifests have the same revision. The first stays in force.", zap.Uint64("revision", m.File.Revision))
		return false
	default:
		return false
	}
	bytes, err := pack(m.Raw)
	if err != nil {
		c.refused.Add(1)
		c.Log.Error("Manifest not compressed.", zap.Error(err))
		return false
	}
	for _, f := range c.hooks {
		f(m)
	}
	c.packed.Store(&packed{revision: m.File.Revision, bytes: bytes})
	c.Store.Update(func(s *state.Snapshot) { s.Manifest = m })
	c.accepted.Add(1)
	c.Log.Info("Manifest in force.", zap.Uint64("revision", m.File.Revision))
	select {
	case c.spread <- struct{}{}:
	default:
	}
	return true
}

// Heard takes a newer revision at a peer, from a message header. It never
// blocks; when many arrive at once some are dropped, and later messages repeat
// them.
func (c *Controller) HandlePeerRevision(address string, revision uint64) {
	select {
	case c.heard <- heard{address, revision}:
	default:
	}
}

// Run watches the configuration service or polls it slowly, and follows what
// peers tell, until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	if c.Platform.Configured() {
		wg.Go(func() { c.follow(ctx) })
	}
	wg.Go(func() { c.fetchHeard(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.spread:
			c.notify(ctx)
		}
	}
}

// fetchHeard fetches newer manifests from the peers that told of them, one at
// a time. A peer that told of a revision it does not deliver is left out for
// noticeTimeout.
func (c *Controller) fetchHeard(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-c.heard:
			if h.revision <= c.revision() {
				continue
			}
			if c.fetch(ctx, h.address) {
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
