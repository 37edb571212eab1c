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

// Platform is a fake configuration service. After Start it serves over TCP. It is also
// an http.RoundTripper that needs no sockets, for tests in a synctest bubble.
type Platform struct {
	mu             sync.Mutex
	raw            []byte
	revision       uint64
	hosts          []configservice.Host
	down           bool
	stale          []byte // returned instead of the manifest, for any requested revision
	delay          time.Duration
	changed        chan struct{}
	calls          atomic.Int64
	pendingWatches atomic.Int64
	server         *http.Server
	listener       net.Listener
}

// NewPlatform returns a service without a manifest.
func NewPlatform() *Platform { return &Platform{changed: make(chan struct{})} }

func (p *Platform) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Publish sets the manifest and its revision.
func (p *Platform) Publish(revision uint64, raw []byte) {
	p.update(func() { p.revision, p.raw = revision, raw })
}

// SetDown makes calls fail until it is called with false. Pending watches end with an
// error.
func (p *Platform) SetDown(down bool) { p.update(func() { p.down = down }) }

// SetStale makes every manifest call return raw at once; nil: normal responses.
func (p *Platform) SetStale(raw []byte) { p.update(func() { p.stale = raw }) }

// SetDelay delays each response.
func (p *Platform) SetDelay(d time.Duration) { p.update(func() { p.delay = d }) }

// SetHosts replaces the host list.
func (p *Platform) SetHosts(list []configservice.Host) { p.update(func() { p.hosts = list }) }

// Calls returns the number of calls, including watches.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// PendingWatches returns the number of watches that are pending.
func (p *Platform) PendingWatches() int64 { return p.pendingWatches.Load() }

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
	resp := w.Result()
	resp.ContentLength = int64(w.Body.Len()) // as a server over HTTP states it
	return resp, nil
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls.Add(1)
	p.mu.Lock()
	delay, down := p.delay, p.down
	p.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
	}
	switch {
	case down:
		w.WriteHeader(http.StatusBadGateway)
	case r.URL.Path == "/v1/manifest":
		p.serveManifest(w, r)
	case r.URL.Path == "/v1/hosts":
		p.mu.Lock()
		defer p.mu.Unlock()
		_ = json.NewEncoder(w).Encode(p.hosts)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (p *Platform) serveManifest(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	p.pendingWatches.Add(1)
	defer p.pendingWatches.Add(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
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
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}
