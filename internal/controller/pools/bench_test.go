package pools

import (
	"context"
	"testing"
	"time"
)

func benchHost(b *testing.B) *host {
	h := newHost(b, "eh1", nil, nil)
	h.accept(parse(b, 1, 16, false, ""))
	h.warm(16, 0, 0)
	h.hold()
	for len(*h.holders.Load()) == 0 {
		time.Sleep(time.Millisecond)
	}
	return h
}

// BenchmarkAcquireRelease measures the path of a request to a pool of 16
// servers that is held here, without waiting.
func BenchmarkAcquireRelease(b *testing.B) {
	h := benchHost(b)
	defer h.stop()
	pool := h.store.Load().Manifest.Pools[poolID]
	b.ReportAllocs()
	for b.Loop() {
		if g, err := h.Acquire(context.Background(), pool, ask); err == nil {
			h.Release(g, ran)
		}
	}
}

// BenchmarkAcquireReleaseParallel is the same from all processors.
func BenchmarkAcquireReleaseParallel(b *testing.B) {
	h := benchHost(b)
	defer h.stop()
	pool := h.store.Load().Manifest.Pools[poolID]
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if g, err := h.Acquire(context.Background(), pool, ask); err == nil {
				h.Release(g, ran)
			}
		}
	})
}
