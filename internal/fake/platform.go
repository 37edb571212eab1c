package fake

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/configservice"
)

// Platform is a fake configuration service. It answers over TCP after Start,
// and as an http.RoundTripper without sockets, for tests in a synctest bubble.
type Platform struct {
	mu       sync.Mutex
	raw      []byte
	revision uint64
	hosts    []configservice.Host
	down     bool
	stale    []byte // answered instead of the manifest, with any revision asked for
	slow     time.Duration
	changed  chan struct{}
	calls    atomic.Int64
	waiting  atomic.Int64
	server   *http.Server
	listener net.Listener
}

// NewPlatform returns a service without a manifest.
func NewPlatform() *Platform { return &Platform{changed: make(chan struct{})} }

func (p *Platform) edit(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Publish makes raw the manifest with the given revision.
func (p *Platform) Publish(revision uint64, raw []byte) {
	p.edit(func() { p.revision, p.raw = revision, raw })
}

// SetDown makes calls fail until it is called with false. Pending watches end
// with an error.
func (p *Platform) SetDown(down bool) { p.edit(func() { p.down = down }) }

// SetStale makes every call answer raw at once; nil: answer normally.
func (p *Platform) SetStale(raw []byte) { p.edit(func() { p.stale = raw }) }

// SetSlow delays each answer.
func (p *Platform) SetDelay(d time.Duration) { p.edit(func() { p.slow = d }) }

// SetHosts replaces the host list.
func (p *Platform) SetHosts(list []configservice.Host) { p.edit(func() { p.hosts = list }) }

// Calls returns how many calls were made, watches included.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// Waiting returns how many watches are pending.
func (p *Platform) PendingWatches() int64 { return p.waiting.Load() }

// Start listens on a free loopback port.
func (p *Platform) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.listener, p.server = l, &http.Server{Handler: p}
	go func() { _ = p.server.Serve(l) }()
	return nil
}

// URL returns the base URL after Start.
func (p *Platform) URL() string { return "http://" + p.listener.Addr().String() }

// Stop closes the listener and all connections.
func (p *Platform) Stop() error { return p.server.Close() }

// RoundTrip implements http.RoundTripper.
func (p *Platform) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if w.Code == http.StatusBadGateway {
		return nil, errors.New("connection refused")
	}
	return w.Result(), nil
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls.Add(1)
	p.mu.Lock()
	slow, down := p.slow, p.down
	p.mu.Unlock()
	if slow > 0 {
		select {
		case <-time.After(slow):
		case <-r.Context().Done():
			return
		}
	}
	switch {
	case down:
		w.WriteHeader(http.StatusBadGateway)
	case r.URL.Path == "/v1/manifest":
		p.manifest(w, r)
	case r.URL.Path == "/v1/hosts":
		p.mu.Lock()
		defer p.mu.Unlock()
		_ = json.NewEncoder(w).Encode(p.hosts)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (p *Platform) manifest(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		p.mu.Lock()
		raw, revision, stale, down, changed := p.raw, p.revision, p.stale, p.down, p.changed
		p.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusBadGateway)
			return
		case stale != nil:
			_, _ = w.Write(stale)
			return
		case raw != nil && revision > after:
			w.Header().Set(configservice.RevisionHeader, strconv.FormatUint(revision, 10))
			_, _ = w.Write(raw)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}
