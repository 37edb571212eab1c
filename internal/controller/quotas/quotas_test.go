package quotas

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/quota"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// network carries encoded messages between controllers in the time of the test's bubble.
type network struct {
	t        *testing.T
	hosts    map[string]*host
	messages atomic.Int64
	bytes    atomic.Int64
	silent   sync.Map // addresses that neither send nor receive
}

type host struct {
	*Controller
	net   *network
	self  roster.Host
	view  atomic.Pointer[roster.View]
	store *state.Store
}

func (h *host) View() *roster.View { return h.view.Load() }
func (h *host) Seeds() []string    { return nil }

func (h *host) SendTo(address string, b *wire.Heartbeat) {
	b.From = wire.Peer{Address: h.self.Address, DataCentre: h.self.DataCentre, Incarnation: h.self.Incarnation}
	raw, err := wire.EncodeHeartbeat(b)
	if err != nil {
		h.net.t.Error(err)
		return
	}
	h.net.messages.Add(1)
	h.net.bytes.Add(int64(len(raw)))
	_, from := h.net.silent.Load(h.self.Address)
	_, to := h.net.silent.Load(address)
	target := h.net.hosts[address]
	if from || to || target == nil {
		return
	}
	time.AfterFunc(time.Millisecond, func() {
		decoded, err := wire.DecodeHeartbeat(raw)
		if err != nil {
			h.net.t.Error(err)
			return
		}
		target.Received(target.cfg.Clock.Now(), decoded)
	})
}

func newNetwork(t *testing.T, n int) *network {
	net := &network{t: t, hosts: map[string]*host{}}
	var all []roster.Host
	for i := range n {
		all = append(all, roster.Host{Address: fmt.Sprintf("10.0.0.%d:7000", i), DataCentre: "z1", Incarnation: uint32(i + 1)})
	}
	for i, self := range all {
		h := &host{net: net, self: self, store: state.NewStore(state.Member{Name: self.Address})}
		others := append(append([]roster.Host{}, all[:i]...), all[i+1:]...)
		h.view.Store(roster.NewView(self, others))
		h.Controller = New(Config{Clock: clock.NewMonotonic(), Store: h.store, Mesh: h, Rand: rand.New(rand.NewPCG(1, uint64(i))), Counters: metrics.New(), Log: zap.NewNop()})
		net.hosts[self.Address] = h
	}
	return net
}

func (n *network) configure(accounts ...manifest.Account) {
	for _, h := range n.hosts {
		h.store.Update(func(s *state.Snapshot) { s.Manifest = manifest.Compile(&manifest.File{Accounts: accounts}) })
	}
}

// start runs the controllers until the returned function is called.
func (n *network) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, h := range n.hosts {
		wg.Go(func() { h.Run(ctx) })
	}
	return func() { cancel(); wg.Wait() }
}

// other returns a host that does not own the account, and the owner.
func (n *network) other(account string) (other, owner *host) {
	for _, h := range n.hosts {
		if address := h.View().FleetOwner(quota.KeyOf(account), ""); address != h.self.Address {
			return h, n.hosts[address]
		}
	}
	return nil, nil
}

var limited = manifest.Account{Name: "a1", Rate: 10, Burst: 10}

// TestNothingWithoutLimits guards against messages, fields of heartbeats and refusals when
// no account has a rate.
func TestNothingWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork(t, 3)
		defer net.start()()
		account := manifest.Account{Name: "a1"}
		net.configure(account)
		time.Sleep(time.Second)
		for _, h := range net.hosts {
			is.True(h.Take(context.Background(), &account).Admitted)
			b := &wire.Heartbeat{}
			h.AddToHeartbeat(h.cfg.Clock.Now(), b)
			is.Equal(b.UptimeMillis, uint32(0))
		}
		is.Equal(net.messages.Load(), int64(0))
	})
}

// TestTakeFromOwner guards against a request inside the quota that is refused, or waits for
// long, since another host owns the account, and against large messages.
func TestTakeFromOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork(t, 3)
		defer net.start()()
		net.configure(limited)
		time.Sleep(3 * time.Second)
		h, _ := net.other(limited.Name)
		for range 10 {
			start := h.cfg.Clock.Now()
			is.True(h.Take(context.Background(), &limited).Admitted)
			is.True(h.cfg.Clock.Now().Sub(start) <= 2*time.Millisecond)
			time.Sleep(110 * time.Millisecond)
		}
		t.Logf("%d messages of %d bytes", net.messages.Load(), net.bytes.Load()/net.messages.Load())
		is.True(net.messages.Load() <= 20)
		is.True(net.bytes.Load() <= 120*net.messages.Load())
	})
}

// TestConcurrentRequests guards against races between requests and the controller, and
// against more admitted requests than the quota has: 400 at once.
func TestConcurrentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork(t, 4)
		defer net.start()()
		net.configure(limited)
		time.Sleep(3 * time.Second)
		var admitted, refused atomic.Int64
		var wg sync.WaitGroup
		for _, h := range net.hosts {
			for range 100 {
				wg.Go(func() {
					d := h.Take(context.Background(), &limited)
					if d.Admitted {
						admitted.Add(1)
						return
					}
					refused.Add(1)
					if d.Refusal.RetryAfter <= 0 {
						t.Error("no time at which there is room")
					}
				})
			}
		}
		wg.Wait()
		t.Logf("%d admitted, %d refused", admitted.Load(), refused.Load())
		is.True(admitted.Load() >= 10 && admitted.Load() <= 15)
	})
}

// TestSilentOwner guards against requests that wait for long, or without end, for an owner
// that does not answer, and against a caller that has left and takes a token with it.
func TestSilentOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork(t, 2)
		defer net.start()()
		net.configure(limited)
		time.Sleep(3 * time.Second)
		h, owner := net.other(limited.Name)
		net.silent.Store(owner.self.Address, true)
		start := h.cfg.Clock.Now()
		d := h.Take(context.Background(), &limited)
		if !d.Admitted { // the fallback share may have a token
			is.True(d.Refusal.Silent)
		}
		is.True(h.cfg.Clock.Now().Sub(start) <= 130*time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		is.True(!h.Take(ctx, &limited).Admitted)
		net.silent.Delete(owner.self.Address)
		time.Sleep(time.Second)
		is.True(h.Take(context.Background(), &limited).Admitted)
	})
}

// TestAccountLosesLimit guards against requests that stay refused, and against one that
// waits, when the account's rate is taken out of the configuration.
func TestAccountLosesLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork(t, 2)
		defer net.start()()
		net.configure(limited)
		time.Sleep(3 * time.Second)
		h, owner := net.other(limited.Name)
		net.silent.Store(owner.self.Address, true)
		time.AfterFunc(10*time.Millisecond, func() { net.configure(manifest.Account{Name: "a1"}) })
		is.True(h.Take(context.Background(), &limited).Admitted)
		is.True(h.Take(context.Background(), &limited).Admitted)
	})
}
