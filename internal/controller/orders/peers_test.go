package orders

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

type noGossip struct{}

func (noGossip) Publish(wire.Update)              {}
func (noGossip) Handle(func(string, wire.Update)) {}

// peerHost is one entry host with real connections to its peers.
type peerHost struct {
	ctl   *Controller
	store *state.Store
	chain filter.Handler
}

// startMembers starts eh0 in dc0, and eh1 and eh2 in dc1. run handles their orders.
func startMembers(t *testing.T, run filter.Handler) (hosts []peerHost) {
	is := is.New(t)
	m, err := manifest.Parse([]byte(testManifest))
	is.NoErr(err)
	members := map[string]*state.Member{}
	for i, name := range []string{"eh0", "eh1", "eh2"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		self := state.Member{Name: name, Address: l.Addr().String(), DataCentre: []string{"dc0", "dc1", "dc1"}[i], Incarnation: uint64(i + 1), Alive: true}
		members[name] = &self
		store, clk, client := state.NewStore(self), clock.NewMonotonic(), peer.NewClient(nil)
		ctl, err := New(Config{Clock: clk, Store: store, Peers: client, Gossip: noGossip{}, Counters: metrics.New(),
			Log: zap.NewNop(), Incarnation: self.Incarnation, Address: self.Address})
		is.NoErr(err)
		chain := filter.Chain(&filters.OrderGuard{Clock: clk, Orders: ctl}, filters.Deadline{}, filters.Route{},
			&filters.OrderKey{Clock: clk, Orders: ctl, Peers: client}, lastFilter{run})
		ctl.SetChain(chain)
		server := peer.NewServer(l)
		is.NoErr(ctl.Register(server))
		go server.Serve()
		go ctl.Run(t.Context())
		t.Cleanup(server.Close)
		t.Cleanup(client.Close)
		hosts = append(hosts, peerHost{ctl, store, chain})
	}
	for _, o := range hosts {
		self := o.store.Load().Members.Self
		o.store.Update(func(s *state.Snapshot) { s.Manifest, s.Members = m, &state.Members{Self: self, ByName: members} })
	}
	return hosts
}

// TestOrdersOverRPC guards against messages that gob or net/rpc damages: a
// forwarded order, a copy, a hand-over in several parts, and a forward that
// follows the successor.
func TestOrdersOverRPC(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	var runs atomic.Int32
	hosts := startMembers(t, filter.HandlerFunc(func(_ context.Context, x *filter.Exchange) filter.Outcome {
		if err := x.BeforeDispatch(); err != nil {
			return filter.Refuse(verdict.From(err).Reason, err)
		}
		runs.Add(1)
		return filter.Outcome{Verdict: verdict.Ran, Response: &filter.Response{Status: 201,
			Headers: []filter.Header{{Name: "Location", Value: "/order/7"}}, Body: append([]byte("answer to "), x.Request.Body...)}}
	}))
	send := func(i int, key, body string) filter.Outcome {
		return hosts[i].chain.Handle(ctx, &filter.Exchange{Snapshot: hosts[i].store.Load(), Key: key, Arrived: 0,
			Request: &filter.Request{Method: "POST", Path: "/order", Body: []byte(body), Headers: []filter.Header{{Name: filter.HeaderOrderKey, Value: key}}}})
	}
	keys, err := hosts[0].ctl.Issue(30)
	is.NoErr(err)
	for i := range hosts { // forwarded from eh1 and eh2
		out := send(i, keys[0], "a")
		is.Equal(out.Verdict, verdict.Ran)
		is.Equal(string(out.Response.Body), "answer to a")
		is.Equal(out.Response.Get("Location"), "/order/7")
	}
	is.Equal(runs.Load(), int32(1))
	for _, key := range keys[2:] { // 1.7 MB of responses
		is.Equal(send(1, key, strings.Repeat("x", 60_000)).Verdict, verdict.Ran)
	}
	runs.Store(1)
	is.Equal(hosts[0].ctl.Stop(ctx), int64(0))
	for _, key := range []string{keys[1], keys[1]} { // to eh0, which returns the name of its successor
		out := send(1, key, "b")
		is.Equal(out.Verdict, verdict.Ran)
	}
	is.Equal(runs.Load(), int32(2))
	is.Equal(send(2, keys[0], "a").Verdict, verdict.Ran)
	is.Equal(send(2, keys[0], "other").Reason, verdict.ReasonKeyConflict)
	is.Equal(runs.Load(), int32(2))
	found := false // the copy of the first order is sent by a separate goroutine
	for end := time.Now().Add(5 * time.Second); !found && time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, o := range hosts[1:] {
			_, ok := o.ctl.storedCopy(keys[0], 0)
			found = found || ok
		}
	}
	is.True(found)
}

// lastFilter runs a handler as the last filter.
type lastFilter struct{ filter.Handler }

func (lastFilter) Name() string { return "last" }

func (l lastFilter) Handle(ctx context.Context, x *filter.Exchange, _ filter.Handler) filter.Outcome {
	return l.Handler.Handle(ctx, x)
}
