package entryhost_test

import (
	"context"
	"testing"
	"time"

	"github.com/anvilfront/anvilfront/internal/localfleet"
)

// BenchmarkRequest measures one lookup through one entry host, callers and fake
// backend servers included.
func BenchmarkRequest(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	f, err := localfleet.Start(ctx, localfleet.Config{CentreCount: 1, HostCount: 1, ServerCount: 4, Slots: 64, ServiceTime: time.Microsecond})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	address := f.Host(0).Address()
	b.ResetTimer()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		c := &localfleet.Client{}
		defer c.Close()
		for pb.Next() {
			if a := c.Do(address, "GET", "/lot/1", "", ""); a.Status != 200 {
				b.Errorf("status %d, reason %s, error %v", a.Status, a.Reason, a.Err)
				return
			}
		}
	})
}
