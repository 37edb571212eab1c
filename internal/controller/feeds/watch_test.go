package feeds

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/feed"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
)

// scripted is a platform whose content changes once, a while after the start.
type scripted struct {
	mu     sync.Mutex
	waits  []time.Duration
	change time.Time
}

func (*scripted) Read(context.Context) (uint64, []feed.Item, error) {
	return 1, []feed.Item{{Key: "a", Revision: 1}}, nil
}

func (s *scripted) Watch(ctx context.Context, after uint64, wait time.Duration) (uint64, []feed.Item, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	until := time.Until(s.change)
	if after >= 2 || until > wait {
		time.Sleep(wait)
		return after, nil, nil
	}
	time.Sleep(until)
	return 2, []feed.Item{{Key: "a", Revision: 2}}, nil
}

type plainDecoder struct{}

func (plainDecoder) Decode(*feed.Replica, *Content) *Content { return &Content{} }

type fixedRoster struct{ view *roster.View }

func (r fixedRoster) View() *roster.View { return r.view }

// TestWatchWaits guards against watchers that all wait equally long after a
// change, and against a host that takes its knowledge for older than it is: the
// others would watch as well.
func TestWatchWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clk := clock.NewMonotonic()
		source := &scripted{change: time.Now().Add(10 * time.Second)}
		var others []roster.Host
		for _, dc := range []string{"dc1", "dc3", "dc4"} {
			others = append(others, roster.Host{Address: dc, DataCentre: dc})
		}
		c := New(Config{
			Clock: clk, Store: state.NewStore(state.Member{DataCentre: "dc2"}), Source: source, Decoder: plainDecoder{},
			Roster:   fixedRoster{roster.NewView(roster.Host{Address: "self", DataCentre: "dc2"}, others)},
			Counters: metrics.New(), Log: zap.NewNop(), Rand: rand.New(rand.NewPCG(1, 1)),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan bool)
		time.Sleep(time.Millisecond) // time 0 means never
		go func() { c.Run(ctx); done <- true }()
		synctest.Wait()
		is.True(c.confirmed.Load() != 0) // read at once: callers are refused until then
		time.Sleep(20 * time.Second)
		synctest.Wait()
		source.mu.Lock()
		waits := append([]time.Duration{}, source.waits...)
		source.mu.Unlock()
		shorter := 0
		for i, w := range waits {
			if w == feed.FirstWait(1, 4) {
				shorter++
				is.True(i > 0)
				continue
			}
			is.Equal(w, feed.WatchWait(4))
		}
		is.Equal(shorter, 1) // the first one after the change
		for range 30 {
			time.Sleep(200 * time.Millisecond)
			is.True(c.Age(clk.Now()) <= feed.WatchWait(4)+period)
		}
		cancel()
		<-done
	})
}
