package orders

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/ledger"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// silentGossip is a peer.Gossip without other hosts.
type silentGossip struct{}

func (silentGossip) Publish(wire.Update)              {}
func (silentGossip) Handle(func(string, wire.Update)) {}

// ranAtOnce stands for what follows orderkey: a backend server that answers at
// once with 256 bytes.
type ranAtOnce struct{}

func (ranAtOnce) Name() string { return "ran" }

func (ranAtOnce) Handle(_ context.Context, x *filter.Exchange, _ filter.Handler) filter.Outcome {
	if err := x.BeforeDispatch(); err != nil {
		return filter.Refuse(verdict.ReasonKeyRevoked, err)
	}
	return filter.Outcome{Verdict: verdict.Ran, Response: &filter.Response{
		Status: 200, Headers: []filter.Header{{Name: "Content-Type", Value: "application/json"}}, Body: make([]byte, 256),
	}}
}

// benchHost is one process with real connections to its peers.
type benchHost struct {
	ctl   *Controller
	chain filter.Handler
	clock clock.Clock
	store *state.Store
	wire  *fake.ConnCounters
}

// benchPair starts two hosts in different data centres, each the copy holder
// of the other.
func benchPair(b *testing.B, config *tls.Config) (pair [2]*benchHost) {
	m, err := manifest.Parse([]byte(testManifest))
	if err != nil {
		b.Fatal(err)
	}
	members := map[string]*state.Member{}
	var listeners [2]net.Listener
	for i := range pair {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
		name := fmt.Sprintf("eh%d", i)
		members[name] = &state.Member{Name: name, Address: listeners[i].Addr().String(), DataCentre: fmt.Sprintf("dc%d", i), Incarnation: uint64(i + 1), Alive: true}
	}
	for i := range pair {
		self := members[fmt.Sprintf("eh%d", i)]
		h := &benchHost{clock: clock.NewMonotonic(), store: state.NewStore(*self), wire: &fake.ConnCounters{}}
		h.store.Update(func(s *state.Snapshot) { s.Manifest, s.Members = m, &state.Members{Self: *self, ByName: members} })
		client := peer.NewClient(h.wire.Dial(config))
		h.ctl, err = New(Config{
			Clock: h.clock, Store: h.store, Peers: client, Gossip: silentGossip{}, Counters: metrics.New(), Log: zap.NewNop(),
			Incarnation: self.Incarnation, Address: self.Address, MaxCopies: 1 << 18, MaxCopyBytes: 1 << 30, QueueLength: 1 << 14,
			Ledger: ledger.Config{MaxKeys: 1 << 18, MaxRecords: 1 << 18, MaxBytes: 8 << 30, MaxResultBytes: 16 << 10, KeyTTL: time.Minute},
		})
		if err != nil {
			b.Fatal(err)
		}
		h.chain = filter.Chain(filters.Deadline{}, filters.Route{}, &filters.OrderKey{Clock: h.clock, Orders: h.ctl, Peers: client}, ranAtOnce{})
		h.ctl.SetChain(h.chain)
		server := peer.NewServerWithConfig(listeners[i], peer.ServerConfig{TLS: config})
		if err := h.ctl.Register(server); err != nil {
			b.Fatal(err)
		}
		go server.Serve()
		ctx, cancel := context.WithCancel(context.Background())
		go h.ctl.Run(ctx)
		b.Cleanup(func() { cancel(); client.Close(); server.Close() })
		pair[i] = h
	}
	return pair
}

// order sends one order with a key of the owner to h.
func (h *benchHost) order(b *testing.B, owner *benchHost) {
	keys, err := owner.ctl.Issue(1)
	if err != nil {
		b.Error(err)
		return
	}
	out := h.chain.Handle(context.Background(), &filter.Exchange{
		Snapshot: h.store.Load(), Arrived: h.clock.Now(), Key: keys[0], Request: &filter.Request{
			Method: "POST", Host: "desk", Path: "/order", Body: make([]byte, 256),
			Headers: []filter.Header{{Name: "Content-Type", Value: "application/json"}, {Name: filter.HeaderOrderKey, Value: keys[0]}},
		},
	})
	if out.Verdict != verdict.Ran {
		b.Errorf("%v %v", out.Verdict, out.Reason)
	}
}

// BenchmarkOrder measures a keyed order, from the issue of its key to its copy
// at a peer in another data centre: at its owner, and sent to another host that
// forwards it. Bytes are those below TLS, both directions, without TCP and IP.
func BenchmarkOrder(b *testing.B) {
	secure, err := fake.PeerTLS(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	for at, name := range []string{"owner", "forwarded"} {
		for _, callers := range []int{1, 16} {
			b.Run(fmt.Sprintf("%s/callers=%d", name, callers), func(b *testing.B) {
				pair := benchPair(b, secure)
				for range 100 {
					pair[at].order(b, pair[0])
				}
				time.Sleep(20 * time.Millisecond) // the last copies
				bytes := func(h *benchHost) float64 { return float64(h.wire.Sent.Load() + h.wire.Received.Load()) }
				copies, forwards, cpu := bytes(pair[0]), bytes(pair[1]), fake.CPUTime()
				b.ReportAllocs()
				b.ResetTimer()
				var wg sync.WaitGroup
				for i := range callers {
					wg.Go(func() {
						for range (b.N + callers - 1 - i) / callers {
							pair[at].order(b, pair[0])
						}
					})
				}
				wg.Wait()
				b.StopTimer()
				time.Sleep(50 * time.Millisecond)
				n := float64(b.N)
				b.ReportMetric(float64((fake.CPUTime()-cpu).Nanoseconds())/1000/n, "cpu-us/op")
				b.ReportMetric((bytes(pair[0])-copies)/n, "copy-B/op")
				b.ReportMetric((bytes(pair[1])-forwards)/n, "forward-B/op")
				b.ReportMetric(float64(pair[0].ctl.dropped.Value()), "copies-dropped")
			})
		}
	}
}

// BenchmarkIssue measures issuing order keys.
func BenchmarkIssue(b *testing.B) {
	for _, n := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			h := benchPair(b, nil)[0]
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := h.ctl.Issue(n); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
