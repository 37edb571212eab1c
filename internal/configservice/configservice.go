// Package configservice is a client of the configuration service. It reads the
// manifest by long poll and the list of entry hosts, and never writes. The
// service can be down, slow or stale for long periods. The controllers for
// manifests and members call it.
package configservice

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/responsehead"
)

// MaxBytes is the maximum size of a response, which is the value size limit of
// the service.
const MaxBytes = manifest.MaxBytes

// RevisionHeader carries the revision of the manifest in the response.
const RevisionHeader = "Platform-Revision"

// longPollGrace is added to the wait of a long poll to get the timeout of the
// call.
const longPollGrace = 2 * time.Second

// maxHosts is the maximum length of the host list. The target size has fewer
// than 100 hosts.
const maxHosts = 1024

// Host is one entry of the list of entry hosts, which may lag behind their actual
// state.
type Host struct {
	Name       string `json:"name"`
	Address    string `json:"address"` // IP:port of the peer listener
	DataCentre string `json:"data_centre"`
	State      string `json:"state"` // live or leaving
}

// Client reads the configuration service. It is safe for concurrent use.
type Client struct {
	urls     []string
	http     *http.Client
	urlIndex atomic.Uint64 // of the base URL in use, modulo the number of URLs; advances after a failure
	calls    *expvar.Int
	failures *expvar.Int
}

// New returns a client of the service at the base URLs. If transport is nil, a
// plain HTTP transport is used.
func New(urls []string, transport http.RoundTripper, counters *metrics.Counters) *Client {
	if transport == nil {
		strict := &http.Transport{
			MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4, IdleConnTimeout: time.Minute,
			ResponseHeaderTimeout: time.Minute, MaxResponseHeaderBytes: 16 << 10,
		}
		responsehead.SetDialer(strict, &net.Dialer{})
		transport = strict
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		urls: urls, http: &http.Client{Transport: transport, CheckRedirect: noRedirect},
		calls: counters.Int("platform_calls"), failures: counters.Int("platform_failures"),
	}
}

// Configured reports whether a service is configured.
func (c *Client) Configured() bool { return c != nil && len(c.urls) > 0 }

// Manifest requests a manifest with a revision above after and waits up to wait
// for one. raw is nil if there is none. The revision reported by the service is
// only a hint; the one in raw is authoritative.
func (c *Client) Manifest(ctx context.Context, after uint64, wait time.Duration) (raw []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+longPollGrace)
	defer cancel()
	path := "/v1/manifest?after=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
	return c.get(ctx, path)
}

// Hosts returns the host list.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	raw, err := c.get(ctx, "/v1/hosts")
	if err != nil {
		return nil, err
	}
	var list []Host
	if err := json.Unmarshal(raw, &list); err != nil {
		c.failures.Add(1)
		return nil, errors.Wrap(err, "decode host list")
	}
	if len(list) > maxHosts {
		c.failures.Add(1)
		return nil, errors.Errorf("host list has %d entries, the limit is %d", len(list), maxHosts)
	}
	return list, nil
}

func (c *Client) get(ctx context.Context, path string) (body []byte, err error) {
	if !c.Configured() {
		return nil, errors.New("no configuration service is configured")
	}
	urlIndex := c.urlIndex.Load()
	defer func() {
		if err != nil {
			c.failures.Add(1)
			c.urlIndex.CompareAndSwap(urlIndex, urlIndex+1)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.urls[urlIndex%uint64(len(c.urls))]+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create configuration service request")
	}
	c.calls.Add(1)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call configuration service")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNoContent:
		return nil, nil
	case http.StatusOK:
	default:
		return nil, errors.Errorf("configuration service returned status %d", resp.StatusCode)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed {
		return nil, errors.New("configuration service response has no length: its end cannot be distinguished from truncation")
	}
	body, err = io.ReadAll(io.LimitReader(resp.Body, MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read configuration service response")
	}
	if len(body) > MaxBytes {
		return nil, errors.Errorf("configuration service response exceeds %d bytes", MaxBytes)
	}
	return body, nil
}

// Backoff spaces calls after failures: the wait doubles from Min up to Max. Up to
// half of it is jitter, so that the hosts of a fleet do not retry at the same
// time.
type Backoff struct {
	Min, Max time.Duration
	Rand     *rand.Rand
	mu       sync.Mutex
	next     time.Duration
}

// Next returns the wait before the next call.
func (b *Backoff) Next() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next = min(max(b.next, b.Min), b.Max)
	d := b.next/2 + time.Duration(b.Rand.Int64N(int64(b.next/2)+1))
	b.next *= 2
	return d
}

// Reset sets the next wait back to Min.
func (b *Backoff) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next = b.Min
}
