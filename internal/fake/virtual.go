package fake

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/anvilfront/anvilfront/internal/balance"
	"github.com/anvilfront/anvilfront/internal/clock"
)

// Events runs functions in virtual time, in order of their time.
type Events struct {
	Now  clock.Time
	list []event
}

type event struct {
	at clock.Time
	f  func()
}

// After runs f after d. Functions of the same time run in the order of the calls.
func (e *Events) After(d time.Duration, f func()) {
	at := e.Now.Add(d)
	i, _ := slices.BinarySearchFunc(e.list, at+1, func(e event, t clock.Time) int { return cmp.Compare(e.at, t) })
	e.list = slices.Insert(e.list, i, event{at, f})
}

// Every runs f now and then each d.
func (e *Events) Every(d time.Duration, f func()) {
	f()
	e.After(d, func() { e.Every(d, f) })
}

// Until runs all functions before end.
func (e *Events) Until(end clock.Time) {
	for len(e.list) > 0 && e.list[0].at < end {
		next := e.list[0]
		e.list, e.Now = e.list[1:], next.at
		next.f()
	}
}

// Reply is the answer of a VirtualServer as it leaves the server. notRun says
// that the request certainly did not run.
type Reply func(o balance.Observation, notRun bool)

// VirtualServer is a backend server in virtual time. Above its slots it queues,
// and above its backlog it sheds. Cold it runs up to four times slower, and it
// crashes on more than twice of what it can carry, which grows with its runs.
type VirtualServer struct {
	Events      *Events
	Slots       int
	Backlog     int           // requests queued above Slots
	WarmRuns    int           // runs until it is warm
	Slow        float64       // factor on run times
	ReportDelay time.Duration // age of the load in its answers
	Runs        int           // since the start, up to WarmRuns
	Down        bool
	Most        int // most requests in flight so far
	instance    int
	reported    int
	in          []*virtualRun
}

type virtualRun struct {
	base    time.Duration
	reply   Reply
	running bool
}

var noReport = balance.Report{Inflight: -1}

// capacity is how many requests the server can carry now.
func (s *VirtualServer) capacity() float64 {
	return 1 + float64((s.Slots-1)*s.Runs)/float64(s.WarmRuns)
}

// Do lets a request in that runs for base on a warm server.
func (s *VirtualServer) Do(base time.Duration, reply Reply) {
	switch {
	case s.Down:
		reply(balance.Observation{Kind: balance.Failure, Load: noReport}, true)
		return
	case len(s.in) >= s.Slots+s.Backlog:
		reply(balance.Observation{Kind: balance.Shed, Load: noReport}, true)
		return
	}
	s.in = append(s.in, &virtualRun{base: base, reply: reply})
	s.Most = max(s.Most, len(s.in))
	if s.Runs < s.WarmRuns && float64(len(s.in)) > 2*s.capacity()+1 {
		s.Restart(200 * time.Millisecond)
	}
	s.start()
}

func (s *VirtualServer) start() {
	for i, r := range s.in[:min(s.Slots, len(s.in))] {
		if r.running {
			continue
		}
		r.running = true
		instance, at := s.instance, s.Events.Now
		cold := 4 - 3*float64(s.Runs)/float64(s.WarmRuns)
		d := float64(r.base) * s.Slow * cold * max(1, float64(i+1)/s.capacity())
		s.Events.After(time.Duration(d), func() {
			if s.instance == instance {
				s.end(r, at)
			}
		})
	}
}

func (s *VirtualServer) end(r *virtualRun, at clock.Time) {
	o := balance.Observation{ServiceTime: s.Events.Now.Sub(at), Instance: strconv.Itoa(s.instance)}
	if o.Load.Inflight = len(s.in); s.ReportDelay > 0 {
		n := len(s.in)
		o.Load.Inflight = s.reported
		s.Events.After(s.ReportDelay, func() { s.reported = n })
	}
	s.in = slices.DeleteFunc(s.in, func(x *virtualRun) bool { return x == r })
	s.Runs = min(s.Runs+1, s.WarmRuns)
	s.start()
	r.reply(o, false)
}

// Restart crashes the server. It is back, cold, after down.
func (s *VirtualServer) Restart(down time.Duration) {
	dead := s.in
	s.in, s.Runs, s.Down = nil, 0, true
	s.instance++
	for _, r := range dead {
		r.reply(balance.Observation{Kind: balance.Crash, Load: noReport}, false)
	}
	s.Events.After(down, func() { s.Down = false })
}
