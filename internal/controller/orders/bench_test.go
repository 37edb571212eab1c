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

// discardGossip is a peer.Gossip without other hosts.
type discardGossip struct{}

func (discardGossip) Publish(wire.Update)              {}
func (discardGossip) Handle(func(string, wire.Update)) {}

// immediateBackend replaces the filters after orderkey and the backend server: it
// returns a response of 256 bytes at once.
type immediateBackend struct{}

func (immediateBackend) Name() string { return "ran" }

func (immediateBackend) Handle(_ context.Context, x *filter.Exchange, _ filter.Handler) filter.Outcome {
	if err := x.BeforeDispatch(); err != nil {
		return filter.Refuse(verdict.ReasonKeyRevoked, err)
	}
	return filter.Outcome{Verdict: verdict.Ran, Response: &filter.Response{
		Status: 200, Headers: []filter.Header{{Name: "Content-Type", Value: "application/json"}}, Body: make([]byte, 256),
	}}
}

// benchHost is one process with real connections to its peers.
type benchHost struct {
	ctl      *Controller
	chain    filter.Handler
	clock    clock.Clock
	store    *state.Store
	counters *fake.ConnCounters
}

// startBenchPair starts two hosts in different data centres, each the copy holder
// of the other.
func startBenchPair(b *testing.B, config *tls.Config) (pair [2]*benchHost) {
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
		h := &benchHost{clock: clock.NewMonotonic(), store: state.NewStore(*self), counters: &fake.ConnCounters{}}
		h.store.Update(func(s *state.Snapshot) { s.Manifest, s.Members = m, &state.Members{Self: *self, ByName: members} })
		client := peer.NewClient(h.counters.Dial(config))
		h.ctl, err = New(Config{
			Clock: h.clock, Store: h.store, Peers: client, Gossip: discardGossip{}, Counters: metrics.New(), Log: zap.NewNop(),
			Incarnation: self.Incarnation, Address: self.Address, MaxCopies: 1 << 18, MaxCopyBytes: 1 << 30, QueueLength: 1 << 14,
			Ledger: ledger.Config{MaxKeys: 1 << 18, MaxRecords: 1 << 18, MaxBytes: 8 << 30, MaxResultBytes: 16 << 10, KeyTTL: time.Minute},
		})
		if err != nil {
			b.Fatal(err)
		}
		h.chain = filter.Chain(filters.Deadline{}, filters.Route{}, &filters.OrderKey{Clock: h.clock, Orders: h.ctl, Peers: client}, immediateBackend{})
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

// sendOrder sends one order with a key of the owner to h.
func (h *benchHost) sendOrder(b *testing.B, owner *benchHost) {
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

// BenchmarkOrder measures a keyed order, from the issue of its key to its copy on a
// peer in another data centre: received by its owner, and received by another host
// that forwards it. Bytes are counted below TLS in both directions, without TCP and
// IP headers.
func BenchmarkOrder(b *testing.B) {
	secure, err := fake.PeerTLS(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	for at, name := range []string{"owner", "forwarded"} {
		for _, callers := range []int{1, 16} {
			b.Run(fmt.Sprintf("%s/callers=%d", name, callers), func(b *testing.B) {
				pair := startBenchPair(b, secure)
				for range 100 {
					pair[at].sendOrder(b, pair[0])
				}
				time.Sleep(20 * time.Millisecond) // until the last copies are sent
				bytes := func(h *benchHost) float64 { return float64(h.counters.Sent.Load() + h.counters.Received.Load()) }
				copies, forwards, cpu := bytes(pair[0]), bytes(pair[1]), fake.CPUTime()
				b.ReportAllocs()
				b.ResetTimer()
				var wg sync.WaitGroup
				for i := range callers {
					wg.Go(func() {
						for range (b.N + callers - 1 - i) / callers {
							pair[at].sendOrder(b, pair[0])
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
				b.ReportMetric(float64(pair[0].ctl.copiesDropped.Value()), "copies-dropped")
			})
		}
	}
}

// BenchmarkIssue measures one call of Issue for 1, 8 and 64 order keys.
func BenchmarkIssue(b *testing.B) {
	for _, n := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			h := startBenchPair(b, nil)[0]
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
