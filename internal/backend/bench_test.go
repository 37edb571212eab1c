package backend

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/anvilfront/anvilfront/internal/fake"
)

// BenchmarkIdle measures the heap and stack memory of idle connections to backend
// servers. The accepted ends, which have no goroutine, are in the same process.
func BenchmarkIdle(b *testing.B) {
	for _, servers := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("servers=%d/connections=16", servers), func(b *testing.B) {
			for range b.N {
				measureIdleMemory(b, servers, 16)
			}
		})
	}
}

func measureIdleMemory(b *testing.B, servers, connections int) {
	t := New(Options{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); t.Run(ctx) }()
	defer func() { cancel(); <-done }()
	before := fake.HeapAndStackBytes()
	list, stop := startListeners(b, servers, connections)
	defer stop()
	t.SetServers(list)
	empty := fake.HeapAndStackBytes()
	for _, s := range list {
		t.Warm(s.Address, connections)
	}
	for _, s := range list {
		for p := t.pool(s.Address); p.idleCount.Load() < int64(connections); {
			time.Sleep(time.Millisecond)
		}
	}
	b.ReportMetric(float64(fake.HeapAndStackBytes()-empty)/float64(servers*connections), "B/connection")
	b.ReportMetric(float64(empty-before)/float64(servers), "B/server")
}

// BenchmarkReopen measures how often connections opened in advance to servers that get
// no requests are closed and reopened, with an idle timeout of 500 ms.
func BenchmarkReopen(b *testing.B) {
	for _, servers := range []int{16, 64, 256} {
		b.Run(fmt.Sprintf("servers=%d/connections=3", servers), func(b *testing.B) {
			for range b.N {
				t := New(Options{IdleTimeout: 500 * time.Millisecond})
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan struct{})
				go func() { defer close(done); t.Run(ctx) }()
				list, stop := startListeners(b, servers, 3)
				t.SetServers(list)
				for _, s := range list {
					t.Warm(s.Address, 3)
				}
				time.Sleep(time.Second)
				dials, cpu := t.dials.Load(), fake.CPUTime()
				time.Sleep(2 * time.Second)
				n := float64(t.dials.Load() - dials)
				b.ReportMetric(n/2*0.5/float64(servers*3), "reopened/idle-limit")
				b.ReportMetric(float64((fake.CPUTime()-cpu).Microseconds())/max(n, 1), "cpu-us/dial")
				cancel()
				<-done
				stop()
			}
		})
	}
}

// startListeners starts servers that accept connections and never read.
func startListeners(b *testing.B, servers, connections int) (list []Server, stop func()) {
	var stops []func()
	for range servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		stops = append(stops, func() { _ = l.Close() })
		go func() {
			var held []net.Conn
			for {
				c, err := l.Accept()
				if err != nil {
					break
				}
				held = append(held, c)
			}
			for _, c := range held {
				_ = c.Close()
			}
		}()
		list = append(list, Server{Address: l.Addr().String(), MaxConnections: connections, DialsPerSecond: 1000})
	}
	return list, func() {
		for _, f := range stops {
			f()
		}
	}
}
