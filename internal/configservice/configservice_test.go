package configservice_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/configservice"
	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/metrics"
)

// TestLongPoll guards against a long poll that misses a publication or does not
// return, and against calls that are not counted.
func TestLongPoll(t *testing.T) {
	is := is.New(t)
	p := fake.NewPlatform()
	is.NoErr(p.Start())
	defer func() { _ = p.Stop() }()
	counters := metrics.New()
	c := configservice.New([]string{"http://127.0.0.1:1", p.URL()}, nil, counters)
	ctx := context.Background()
	_, err := c.Manifest(ctx, 0, 0)
	is.True(err != nil) // the first URL does not respond
	raw, err := c.Manifest(ctx, 0, 10*time.Millisecond)
	is.NoErr(err)
	is.True(raw == nil)
	go func() {
		for p.PendingWatches() == 0 {
			time.Sleep(time.Millisecond)
		}
		p.Publish(4, []byte("revision = 4"))
	}()
	raw, err = c.Manifest(ctx, 3, 5*time.Second)
	is.NoErr(err)
	is.Equal(string(raw), "revision = 4")
	raw, err = c.Manifest(ctx, 4, 0)
	is.NoErr(err)
	is.True(raw == nil)
	p.SetHosts([]configservice.Host{{Name: "eh1", Address: "10.0.0.1:7000", DataCentre: "ktm1", State: "live"}})
	list, err := c.Hosts(ctx)
	is.NoErr(err)
	is.Equal(list[0].Address, "10.0.0.1:7000")
	is.Equal(counters.Int("platform_calls").Value(), int64(5))
	is.Equal(counters.Int("platform_failures").Value(), int64(1))
}

// TestMaliciousResponses guards against responses that exhaust memory or time, or
// that are accepted as data.
func TestMaliciousResponses(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"too long", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, configservice.MaxBytes+1)) }},
		{"redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/elsewhere", http.StatusFound) }},
		{"server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }},
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("[]"))
		}},
		{"no response", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
		{"not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("revision = 1")) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(c.handler)
			defer s.Close()
			client := configservice.New([]string{s.URL}, nil, metrics.New())
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, err := client.Hosts(ctx)
			is.True(err != nil)
		})
	}
}

// TestBackoff guards against calls in a tight loop and without jitter.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	b := &configservice.Backoff{Min: time.Second, Max: 8 * time.Second, Rand: rand.New(rand.NewPCG(1, 1))}
	seen := map[time.Duration]bool{}
	for range 20 {
		d := b.Next()
		is.True(d >= time.Second/2 && d <= 8*time.Second)
		seen[d] = true
	}
	is.True(len(seen) > 15)
	b.Reset()
	is.True(b.Next() <= time.Second)
}
