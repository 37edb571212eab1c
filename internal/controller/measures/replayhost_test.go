package measures

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/roster"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// replayServer is a backend server in virtual time. It runs its slots, queues twice as
// many requests and sheds the others.
type replayServer struct {
	dataCentre int
	slots      int
	mu         sync.Mutex
	running    int
	queue      []chan struct{}
}

func (s *replayServer) load() *filter.ServerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &filter.ServerLoad{Running: s.running, Waiting: len(s.queue), Slots: s.slots, Speed: 1}
}

// run runs a request, until it ends or ctx does. It returns false if the queue is full.
func (s *replayServer) run(ctx context.Context, work time.Duration) bool {
	s.mu.Lock()
	if s.running == s.slots {
		if len(s.queue) >= 2*s.slots {
			s.mu.Unlock()
			return false
		}
		next := make(chan struct{})
		s.queue = append(s.queue, next)
		s.mu.Unlock()
		<-next // the request that ended passes on its slot
		s.mu.Lock()
	} else {
		s.running++
	}
	if float64(s.running) > restartNearFull*float64(s.slots) {
		work = time.Duration(restartSlowdown * float64(work))
	}
	s.mu.Unlock()
	end := time.NewTimer(work)
	defer end.Stop()
	select {
	case <-end.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = s.queue[1:]
		return true
	}
	s.running--
	return true
}

// replayHost is an entry host of the replay, and its mesh.
type replayHost struct {
	*Controller
	day        *restartReplay
	address    string
	dataCentre int
	startAt    time.Duration
	store      *state.Store
	placement  *filters.Placement
	chain      filter.Handler
	view       atomic.Pointer[roster.View]
	flush      chan struct{}
	cpuMu      sync.Mutex
	busyUntil  time.Time
	idle       []int // connections, by server
	isReady    atomic.Bool
}

func (h *replayHost) View() *roster.View { return h.view.Load() }
func (h *replayHost) Flush() {
	select {
	case h.flush <- struct{}{}:
	default:
	}
}

// work waits until the processor of the host, which does one thing after the other, has
// done work that takes a whole core for d.
func (h *replayHost) work(d time.Duration) { time.Sleep(h.queueWork(d)) }

func (h *replayHost) queueWork(d time.Duration) time.Duration {
	h.cpuMu.Lock()
	defer h.cpuMu.Unlock()
	now := time.Now()
	if h.busyUntil.Before(now) {
		h.busyUntil = now
	}
	h.busyUntil = h.busyUntil.Add(time.Duration(float64(d) / restartCores))
	return h.busyUntil.Sub(now)
}

// dial returns the work for a connection to a server, unless one is idle.
func (h *replayHost) dial(n int, begin bool) time.Duration {
	h.cpuMu.Lock()
	defer h.cpuMu.Unlock()
	if !begin {
		h.idle[n]++
		return 0
	}
	if h.idle[n] > 0 {
		h.idle[n]--
		return 0
	}
	return restartCostDial
}

// Do implements filter.Transport.
func (h *replayHost) Do(ctx context.Context, a *filter.Attempt) filter.Result {
	var n int
	_, _ = fmt.Sscanf(a.Instance, "b%d", &n)
	s, rtt := h.day.servers[n], restartLocalRTT
	if s.dataCentre != h.dataCentre {
		rtt = restartRemoteRTT
	}
	cost := restartCostRequest
	if a.Probe {
		cost = restartCostProbe
	}
	h.work(cost/2 + h.dial(n, true))
	defer h.dial(n, false)
	if a.BeforeFirstByte != nil {
		if err := a.BeforeFirstByte(); err != nil {
			return filter.Result{Err: err}
		}
	}
	time.Sleep(rtt / 2)
	if a.Probe {
		h.day.probes.Add(1)
		l := s.load()
		time.Sleep(rtt / 2)
		h.work(cost / 2)
		return filter.Result{Response: &filter.Response{Status: 200}, Load: l, Facts: verdict.Facts{Connected: true, FirstByte: true, ResponseState: verdict.ResponseComplete}}
	}
	begun := time.Now()
	ran := s.run(ctx, h.day.drawWork())
	l := s.load()
	time.Sleep(rtt / 2)
	h.work(cost / 2)
	res := filter.Result{Response: &filter.Response{Status: 200}, Load: l, ServiceTime: time.Since(begun), Facts: verdict.Facts{Connected: true, FirstByte: true, ResponseState: verdict.ResponseComplete}}
	if !ran {
		h.day.shed.Add(1)
		res.Response.Status, res.Facts.ResponseState = 503, verdict.ResponseShed
	}
	return res
}

// runMesh updates the view and sends heartbeats and digests as package mesh does.
func (h *replayHost) runMesh(ctx context.Context, clk clock.Clock) {
	views, beats := time.NewTicker(100*time.Millisecond), time.NewTicker(200*time.Millisecond)
	defer views.Stop()
	defer beats.Stop()
	for {
		digest := false
		select {
		case <-ctx.Done():
			return
		case <-views.C:
			h.view.Store(h.day.viewOf(h, time.Since(h.day.begun)))
			continue
		case <-h.flush:
		case <-beats.C:
			digest = true
		}
		v, b := h.View(), &wire.Heartbeat{}
		h.AddToHeartbeat(clk.Now(), b)
		for _, o := range v.Local {
			h.day.deliver(o.Address, b, false)
		}
		if digest && v.IsOwner("digest") {
			for dc := range v.Remote {
				d := &wire.Heartbeat{Digest: true}
				h.AddToDigest(clk.Now(), d)
				if o, ok := v.Pick(dc, rand.New(rand.NewPCG(1, 1))); ok {
					h.day.deliver(o.Address, d, true)
				}
			}
		}
	}
}
