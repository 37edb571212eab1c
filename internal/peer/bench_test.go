package peer_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// echo responds to pings.
type echo struct{}

// Ping sets OK.
func (echo) Ping(_ *wire.PingRequest, reply *wire.PingReply) error {
	reply.OK = true
	return nil
}

// BenchmarkConnection measures the heap and stack memory of one connection between entry
// hosts, both ends together, after one call on it, and the CPU time to open it.
func BenchmarkConnection(b *testing.B) {
	secure, err := fake.PeerTLS(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	for name, config := range map[string]*tls.Config{"plain": nil, "tls": secure} {
		for _, n := range []int{16, 64, 256} {
			b.Run(fmt.Sprintf("%s/connections=%d", name, n), func(b *testing.B) {
				for range b.N {
					connections(b, config, n)
				}
			})
		}
	}
}

func connections(b *testing.B, config *tls.Config, n int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := peer.NewServerWithConfig(l, peer.ServerConfig{TLS: config})
	if err := s.Register("Member", echo{}); err != nil {
		b.Fatal(err)
	}
	go s.Serve()
	defer s.Close()
	open := func() *peer.Client {
		c := peer.NewClient(peer.NewDial(config))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := c.Call(ctx, peer.Control, l.Addr().String(), "Member.Ping", &wire.PingRequest{}, &wire.PingReply{}); err != nil {
			b.Fatal(err)
		}
		return c
	}
	defer open().Close() // before the measurement: allocations that happen once per process
	before, cpu := fake.HeapAndStackBytes(), fake.CPUTime()
	for range n {
		defer open().Close()
	}
	b.ReportMetric(float64((fake.CPUTime()-cpu).Microseconds())/float64(n), "cpu-us/connection")
	b.ReportMetric(float64(fake.HeapAndStackBytes()-before)/float64(n), "B/connection")
}
