package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/roster"
)

// The fleet of a simulation runs in virtual time: each host has a Node, a roster.Roster
// and a clock of its own, and messages between hosts take time, get lost, are repeated or
// arrive late.

const (
	simRefresh = 200 * time.Millisecond // between two rounds of heartbeats
	simSeeds   = 6                      // hosts that the settings name: the first ones
	simTick    = 100 * time.Millisecond // between two calls of Node.Tick
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1].run = nil
	*e = old[:len(old)-1]
	return x
}

type simConfig struct {
	hosts, dataCentres       int
	loss, late, repeat, shed float64 // probabilities
}

type sim struct {
	simConfig
	rng       *rand.Rand
	now       time.Duration
	seq       int
	queue     events
	hosts     []*simHost
	accounts  []*simAccount
	cut       map[string]bool // data centres that reach no other one
	byAddress map[string]*simHost
	messages  int
	requests  int
}

type simHost struct {
	s           *sim
	i           int
	address, dc string
	node        *Node // nil while the process is down
	roster      *roster.Roster
	view        *roster.View
	shared      map[Key]*Account
	limits      map[Key]Limit
	versions    map[Key]int   // of the limits
	offset      time.Duration // of its clock
	started     time.Duration
	run         int // number of the process; events of former ones are dropped
	paused      bool
	silent      bool
	held        []func() // messages that arrive during a pause
}

type simAccount struct {
	name string
	key  Key
	// limits holds the limits in force, with the time of their publication.
	limits  []simLimit
	demand  func(at time.Duration) float64 // requests per second
	weights []float64                      // of the hosts, accumulated

	sent                    []time.Duration
	offered, refused, given int
	silent                  int
}

type simLimit struct {
	at time.Duration
	Limit
}

func newSim(rng *rand.Rand, c simConfig) *sim {
	s := &sim{simConfig: c, rng: rng, cut: map[string]bool{}, byAddress: map[string]*simHost{}}
	for range c.hosts {
		s.addHost()
	}
	return s
}

func (s *sim) addHost() *simHost {
	i := len(s.hosts)
	h := &simHost{s: s, i: i, address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), dc: fmt.Sprintf("z%d", i%s.dataCentres), limits: map[Key]Limit{}, versions: map[Key]int{}}
	s.hosts = append(s.hosts, h)
	s.byAddress[h.address] = h
	return h
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, f})
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Float64()*float64(high-low))
}

func (h *simHost) clock() clock.Time { return clock.Time(h.s.now + h.offset) }

// start starts the process of a host, which knows nothing.
func (h *simHost) start() {
	s := h.s
	h.run++
	h.started, h.paused, h.held = s.now, false, nil
	h.offset = s.between(0, time.Second) - s.now + time.Millisecond
	self := roster.Host{Address: h.address, DataCentre: h.dc, Incarnation: s.rng.Uint32() | 1}
	h.roster = roster.New(self)
	h.view = h.roster.View(h.clock())
	h.node = NewNode(Config{Self: h.address, Start: h.clock(), Rand: s.rng, Send: h.send})
	h.node.SetFleet(h.clock(), h.fleet(h.clock()), true)
	h.shared = h.node.Configure(h.clock(), h.limits)
	h.every(simRefresh, h.refresh)
	h.every(simTick, func() { h.node.Tick(h.clock()) })
}

func (h *simHost) stop() { h.node, h.run = nil, h.run+1 }

// every runs f at about each interval while the process runs.
func (h *simHost) every(interval time.Duration, f func()) {
	run := h.run
	var again func()
	again = func() {
		if h.run != run {
			return
		}
		if !h.paused {
			f()
		}
		h.s.after(h.s.between(interval*8/10, interval*11/10), again)
	}
	h.s.after(h.s.between(0, interval), again)
}

// running reports whether the process runs and is not paused.
func (h *simHost) running() bool { return h.node != nil && !h.paused }

// reaches reports whether datagrams pass from h to o.
func (h *simHost) reaches(o *simHost) bool {
	return !h.silent && !o.silent && (h.dc == o.dc || !h.s.cut[h.dc] && !h.s.cut[o.dc])
}

// refresh takes in the heartbeats of other hosts: all of the local data centre, and a few
// of each other one, as digests bring them.
func (h *simHost) refresh() {
	s, now := h.s, h.clock()
	olderSize := 0
	hears := func(o *simHost) bool {
		// Processes find each other within fractions of a second.
		known := max(h.started, o.started) + time.Duration(uint64(h.i*7919+o.i*104729)%600)*time.Millisecond
		return o != h && o.running() && o.reaches(h) && s.now >= known
	}
	for _, o := range s.hosts {
		if hears(o) && (o.dc == h.dc || s.rng.IntN(len(s.hosts)) < 3*s.dataCentres) && s.rng.Float64() >= s.loss {
			self := o.roster.Self()
			self.Received = now
			if o.dc == h.dc {
				h.roster.Received(now, self)
			} else {
				h.roster.ReceivedIndirect(self)
			}
			if o.started+time.Second < h.started {
				olderSize = max(olderSize, o.node.FleetSize(o.clock()))
			}
		}
	}
	if olderSize > 0 {
		h.node.Informed(now, olderSize)
	}
	h.roster.Expire(now)
	v := h.roster.View(now)
	changed := !v.SameFleetOwners(h.view)
	h.view = v
	h.node.SetFleet(now, h.fleet(now), changed)
}

type simFleet struct {
	view  *roster.View
	seeds []string
	now   clock.Time
}

func (h *simHost) fleet(now clock.Time) simFleet {
	var seeds []string
	for i, o := range h.s.hosts[:min(len(h.s.hosts), simSeeds)] {
		if i != h.i {
			seeds = append(seeds, o.address)
		}
	}
	return simFleet{h.view, seeds, now}
}

func (f simFleet) Owner(k Key, avoid string) string { return f.view.FleetOwner(k, avoid) }

func (f simFleet) Size() Size {
	reachable, known := f.view.FleetSize(f.now)
	return Size{Known: known, Reachable: reachable, Seeds: len(f.seeds), Unheard: f.view.NeverHeard(f.seeds)}
}

// send sends a message to another host.
func (h *simHost) send(to string, m Message) {
	s := h.s
	s.messages++
	if m.Ask != nil {
		a := *m.Ask
		m.Ask = &a
	}
	target := s.byAddress[to]
	copies := 1
	if s.rng.Float64() < s.repeat {
		copies = 2
	}
	for range copies {
		if target == nil || !h.reaches(target) || s.rng.Float64() < s.loss {
			continue
		}
		delay := s.between(100*time.Microsecond, 300*time.Microsecond)
		if h.dc != target.dc {
			delay = s.between(900*time.Microsecond, 1500*time.Microsecond)
		}
		if s.rng.Float64() < s.late {
			delay += s.between(0, time.Second)
		}
		s.after(delay, func() { target.deliver(h, m) })
	}
}

func (h *simHost) deliver(from *simHost, m Message) {
	if h.node == nil || !from.reaches(h) {
		return
	}
	if h.paused {
		h.held = append(h.held, func() { h.deliver(from, m) })
		return
	}
	switch {
	case m.Ask != nil:
		h.node.ReceiveAsk(h.clock(), from.address, *m.Ask)
	case m.Grant != nil:
		h.node.ReceiveGrant(h.clock(), *m.Grant)
	default:
		h.node.ReceiveHandover(h.clock(), *m.Handover)
	}
	h.schedule()
}

// schedule runs Node.Tick when it is due.
func (h *simHost) schedule() {
	if h.node == nil {
		return
	}
	if due, ok := h.node.Next(); ok {
		run := h.run
		h.s.after(max(due.Sub(h.clock()), 0), func() {
			if h.run == run && h.running() {
				h.node.Tick(h.clock())
			}
		})
	}
}

func (h *simHost) pause(d time.Duration) {
	h.paused = true
	run := h.run
	h.s.after(d, func() {
		if h.run != run {
			return
		}
		h.paused = false
		held := h.held
		h.held = nil
		for _, f := range held {
			f()
		}
	})
}
