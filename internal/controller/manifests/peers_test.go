package manifests

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// TestUnpackBounds guards against a reply that decompresses to gigabytes.
func TestUnpackBounds(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestCompression)
	for range 64 {
		_, _ = w.Write(make([]byte, 1<<20))
	}
	_ = w.Close()
	_, err := unpack(b.Bytes())
	is.True(err != nil)
	_, err = unpack([]byte{1, 2, 3})
	is.True(err != nil)
	packed, err := pack([]byte("revision = 1"))
	is.NoErr(err)
	raw, err := unpack(packed)
	is.NoErr(err)
	is.Equal(string(raw), "revision = 1")
}

// unreachable is a peer.Caller whose calls all fail.
type unreachable struct{}

func (unreachable) Call(context.Context, peer.Class, string, string, any, any) error {
	return errors.New("no response")
}

// TestApply guards against a decision that depends on anything but the bytes of
// the manifests, and against hooks that run for a manifest that is not applied.
func TestApply(t *testing.T) {
	counters := metrics.New()
	store := state.NewStore(state.Member{Name: "eh1", Address: "10.0.0.1:7000"})
	c := New(Config{
		Clock: &clock.Manual{}, Store: store, Caller: unreachable{}, Counters: counters, Log: zap.NewNop(),
		Header: func() wire.Header { return wire.Header{} }, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	var hooked []uint64
	c.OnApply(func(m *manifest.Manifest) { hooked = append(hooked, m.File.Revision) })
	for _, step := range []struct {
		raw     string
		applied bool
		counter string
		after   uint64
	}{
		{"revision = 0", false, "manifests_refused", 0},
		{"revision = 2", true, "manifests_accepted", 2},
		{"revision = 2", false, "", 2},
		{"revision = 2 # other", false, "manifests_conflicts", 2},
		{"revision = 1", false, "manifests_outdated", 2},
		{"revision = 9\nunknown = true", false, "manifests_refused", 2},
		{"revision = 3", true, "manifests_accepted", 3},
	} {
		t.Run(step.raw, func(t *testing.T) {
			is := is.New(t)
			before := counters.Int(step.counter).Value()
			is.Equal(c.Apply([]byte(step.raw)), step.applied)
			if step.counter != "" {
				is.Equal(counters.Int(step.counter).Value(), before+1)
			}
			is.Equal(c.revision(), step.after)
		})
	}
	is := is.New(t)
	is.Equal(hooked, []uint64{2, 3})
	is.True(!c.Ready()) // InitialSync has not run yet
	c.InitialSync(context.Background())
	is.True(c.Ready())
}
