package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// receiver passes on the grants that arrive.
type receiver struct{ grants chan wire.Heartbeat }

func (*receiver) AddToHeartbeat(clock.Time, *wire.Heartbeat) {}
func (*receiver) AddToDigest(clock.Time, *wire.Heartbeat)    {}

func (r *receiver) Received(_ clock.Time, b *wire.Heartbeat) {
	if len(b.QuotaGrants) > 0 {
		r.grants <- *b
	}
}

// TestSendTo guards against races of senders with the goroutine that sends heartbeats, and
// against datagrams that are taken for the state of their sender.
func TestSendTo(t *testing.T) {
	is := is.New(t)
	const senders, each = 4, 10
	r := &receiver{make(chan wire.Heartbeat, senders*each)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	var hosts []*Controller
	for i := range 2 {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		is.NoErr(err)
		c := New(Config{
			Clock: clock.NewMonotonic(), Conn: conn, Rand: rand.New(rand.NewPCG(1, 1)), Counters: metrics.New(), Log: zap.NewNop(),
			Self: roster.Host{Address: conn.LocalAddr().String(), DataCentre: "z1", Incarnation: uint32(i + 1)},
		})
		c.AddHandler(r)
		hosts = append(hosts, c)
		wg.Go(func() { c.Run(ctx) })
	}
	for range senders {
		wg.Go(func() {
			for i := range each {
				hosts[0].SendTo(hosts[1].cfg.Self.Address, &wire.Heartbeat{QuotaGrants: []wire.QuotaGrant{{ID: uint32(i)}}})
			}
		})
	}
	b := <-r.grants // single datagrams may be lost
	is.True(b.Partial)
	is.Equal(b.From.Address, hosts[0].cfg.Self.Address)
	is.Equal(b.From.Incarnation, uint32(1))
}
