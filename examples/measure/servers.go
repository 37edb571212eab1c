package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
)

// noise describes how the speed of a backend server changes: in each interval, its
// work takes factor times as long with probability share.
type noise struct {
	share, factor float64
	interval      time.Duration
}

// server is a backend server in virtual time. Requests beyond its slots wait in its
// queue; requests beyond the queue get no response. The duration of a request is
// fixed when it starts to run.
type server struct {
	manifest.BackendServer
	service        string
	sim            *simulation
	speed          float64 // current duration of work as a multiple of the usual one, from noisy neighbours; reported in readings
	hiddenSlowdown float64 // further multiple that readings do not report
	running        int
	waiting        []*attempt
}

// attempt is one request at a server.
type attempt struct {
	work      time.Duration
	onDone    func(s *server, took time.Duration)
	cancelled bool
	sentAt    time.Duration // since the start of the run
}

const (
	nearlyFullShare  = 0.8 // share of busy slots above which work takes nearlyFullFactor times as long
	nearlyFullFactor = 1.7
	maxQueueLength   = 8 // waiting requests per server
)

func newServer(sim *simulation, service string, dc, i int) *server {
	s := &server{
		BackendServer: manifest.BackendServer{Name: fmt.Sprintf("%s-%d", service, i), Address: fmt.Sprintf("10.0.%d.%d:80", dc, i), DataCentre: dataCentreName(dc), Slots: sim.site.slots},
		service:       service, sim: sim, speed: 1, hiddenSlowdown: 1,
	}
	n := sim.site.noise
	change := func() {
		s.speed = 1
		if sim.rng.Float64() < n.share {
			s.speed = n.factor
		}
	}
	change()
	sim.every(time.Duration(sim.rng.Int64N(int64(n.interval))), n.interval, change)
	return s
}

// receive starts a request, queues it if all slots are taken, or drops it if the
// queue is full.
func (s *server) receive(r *attempt) {
	if s.running < s.Slots {
		s.start(r)
		return
	}
	if len(s.waiting) < maxQueueLength {
		s.waiting = append(s.waiting, r)
	}
}

func (s *server) start(r *attempt) {
	s.running++
	took := s.duration(r.work, s.running)
	s.sim.after(took, func() {
		s.running--
		r.onDone(s, took)
		for len(s.waiting) > 0 && s.running < s.Slots {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			if !next.cancelled {
				s.start(next)
			}
		}
	})
}

func (s *server) duration(work time.Duration, running int) time.Duration {
	d := float64(work) * s.speed * s.hiddenSlowdown
	if float64(running) > nearlyFullShare*float64(s.Slots) {
		d *= nearlyFullFactor
	}
	return time.Duration(d)
}

// reading returns the load that the server reports now.
func (s *server) reading() load.Reading {
	return load.Reading{At: s.sim.now(), Running: s.running, Waiting: len(s.waiting), Slots: s.Slots, Speed: s.speed}
}

// serversView returns the servers as seen by an entry host of a data centre, with
// its own load state for each.
func (sim *simulation) serversView(dc int) *state.Servers {
	out := &state.Servers{ByName: map[string]*state.Server{}, ByService: map[string][]*state.Server{}, Out: map[string]bool{}}
	for _, s := range sim.servers {
		v := &state.Server{BackendServer: s.BackendServer, Service: s.service, Local: s.DataCentre == dataCentreName(dc), Load: &load.State{}}
		out.ByName[s.Name] = v
		out.ByService[s.service] = append(out.ByService[s.service], v)
	}
	return out
}

func dataCentreName(dc int) string { return fmt.Sprint("dc", dc) }

// drawWork returns a random duration of work with a standard deviation of 30% of
// the mean, and at least 20% of it.
func drawWork(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * max(0.2, 1+0.3*r.NormFloat64()))
}
