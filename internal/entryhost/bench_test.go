package entryhost_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/localfleet"
)

// BenchmarkRequest measures one lookup through one of two entry hosts. The figures
// include the callers and the fake backend servers.
func BenchmarkRequest(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	f, err := localfleet.Start(ctx, localfleet.Config{DataCentreCount: 1, HostCount: 2, ServerCount: 4, Slots: 64, ServiceTime: time.Microsecond})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	address := f.Host(0).Address()
	cpu := fake.CPUTime()
	b.ResetTimer()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		c := &localfleet.Client{}
		defer c.Close()
		for pb.Next() {
			if resp := c.Do(address, "GET", "/lot/1", "", ""); resp.Status != 200 {
				b.Errorf("status %d, reason %s, error %v", resp.Status, resp.Reason, resp.Err)
				return
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64((fake.CPUTime()-cpu).Nanoseconds())/1000/float64(b.N), "cpu-us/op")
}

// BenchmarkIdleCaller measures the live memory of a caller's idle connection after
// one request. It includes the caller's end, a plain TCP connection in the same
// process.
func BenchmarkIdleCaller(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			f, err := localfleet.Start(ctx, localfleet.Config{DataCentreCount: 1, HostCount: 1, ServerCount: 4, Slots: 64, ServiceTime: time.Microsecond})
			if err != nil {
				b.Fatal(err)
			}
			defer f.Close()
			open := func() {
				c, err := net.Dial("tcp", f.Host(0).Address())
				if err != nil {
					b.Fatal(err)
				}
				b.Cleanup(func() { _ = c.Close() })
				_, _ = c.Write([]byte("GET /lot/1 HTTP/1.1\r\nHost: desk\r\n\r\n"))
				if _, err := c.Read(make([]byte, 1024)); err != nil {
					b.Fatal(err)
				}
			}
			for range b.N {
				open() // before the measurement: allocations that happen once per process
				before := fake.HeapAndStackBytes()
				for range n {
					open()
				}
				b.ReportMetric(float64(fake.HeapAndStackBytes()-before)/float64(n), "B/connection")
			}
		})
	}
}
