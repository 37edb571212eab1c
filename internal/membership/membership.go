// Package membership decides which entry hosts are alive, in the manner of
// SWIM, and which news to spread. It is pure: inputs are messages and times,
// outputs are actions. It is not safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// Status is the state of a member. At the same sequence number the higher
// status wins; the member itself refutes with a higher sequence number.
type Status uint8

const (
	Alive     Status = iota // answers heartbeats
	Leaving                 // announced a planned stop, still answers
	Suspected               // did not answer; counts as alive until the suspicion expires
	Failed                  // did not answer and did not refute
	Unknown   Status = 255  // listed, never heard of; not sent to others
)

// Periods and bounds of the failure detector.
const (
	PingInterval        = 200 * time.Millisecond // between heartbeats
	PingTimeout         = 200 * time.Millisecond // for a direct answer, also from another region
	IndirectPingTimeout = 300 * time.Millisecond // for an indirect answer
	// SuspectTimeout is the time to refute. It is five periods, so that a
	// suspicion and its refutation both reach a fleet of 64 hosts.
	SuspicionTimeout = time.Second
	// Forget is how long a dead host that no list names is remembered, so that
	// old news does not bring it back.
	FailedRetention = time.Minute
	// RetryDead is the interval of heartbeats to dead or unknown hosts.
	RetryInterval      = time.Second
	IndirectPings      = 2    // hosts asked to ping on behalf of this one
	MaxUpdates         = 8    // updates per message sent
	MaxReceivedUpdates = 64   // updates taken from one message
	maxJoin            = 48   // members told to a new process; with other news below MaxReceive
	MaxMembers         = 1024 // members known
	maxName            = 128  // bytes of a name, address or data centre
)

// Candidate is a host named by the manifest or by the platform.
type ListedHost struct {
	Name, Address, DataCentre string
	Leaving                   bool
}

// Member is one other entry host.
type Member struct {
	wire.Member
	Status          Status
	Listed          bool
	ListedLeaving   bool       // listed as leaving
	StatusChangedAt clock.Time // of Status
	LeaveAnnounced  bool       // announced its stop; also while it is suspected afterwards
	tried           bool       // a heartbeat was sent
	renew           bool       // a new process that has to raise its sequence number
}

// Reachable reports whether the member counts as alive.
func (m *Member) Reachable() bool { return m.Status <= Suspected }

// Ping is the action of sending a heartbeat.
type Ping struct {
	Name, Address string
}

// Detector is the failure detector of one entry host.
type Detector struct {
	self      wire.Member
	leaving   bool
	members   map[string]*Member
	order     []string // round robin of heartbeats to reachable members
	lastTick  clock.Time
	lastRetry clock.Time
	queue     *queue
	sequence  uint64 // of published updates
	rand      *rand.Rand
	changed   bool
}

// New returns a detector for self, which must carry name, address, data centre
// and incarnation.
func New(self wire.Member, r *rand.Rand) *Detector {
	d := &Detector{self: self, members: map[string]*Member{}, queue: newQueue(), rand: r, changed: true}
	d.self.Sequence = 1
	d.announce()
	return d
}

// Self returns the own record with its sequence number.
func (d *Detector) Self() wire.Member { return d.self }

// Members returns the other members by name. The caller must not change them.
func (d *Detector) Members() map[string]*Member { return d.members }

// Changed reports whether members changed since the last call.
func (d *Detector) Changed() bool {
	c := d.changed
	d.changed = false
	return c
}

// MarkChanged makes the next Changed return true.
func (d *Detector) MarkChanged() { d.changed = true }

// IsLeaving reports whether Leave was called.
func (d *Detector) IsLeaving() bool { return d.leaving }

// Dropped returns how many queued updates were dropped.
func (d *Detector) Dropped() int64 { return d.queue.dropped }

func (d *Detector) announce() {
	m := d.self
	m.Status = uint8(Alive)
	if d.leaving {
		m.Status = uint8(Leaving)
	}
	d.queue.push(wire.Update{Origin: m.Name, Incarnation: m.Incarnation, Sequence: m.Sequence, Member: &m})
}

// Leave announces a planned stop.
func (d *Detector) Leave() {
	d.leaving = true
	d.self.Sequence++
	d.announce()
}

// SetCandidates replaces the hosts that the lists name.
func (d *Detector) SetListedHosts(now clock.Time, list []ListedHost) {
	listed := map[string]bool{}
	for _, c := range list {
		if c.Name == d.self.Name || c.Name == "" {
			continue
		}
		listed[c.Name] = true
		m := d.members[c.Name]
		if m == nil {
			m = d.add(wire.Member{Name: c.Name, Address: c.Address, DataCentre: c.DataCentre}, Unknown, now)
			if m == nil {
				continue
			}
		}
		if !m.Reachable() && m.Address != c.Address {
			m.Address, d.changed = c.Address, true
		}
		if !m.Listed || m.ListedLeaving != c.Leaving {
			m.Listed, m.ListedLeaving, d.changed = true, c.Leaving, true
		}
	}
	for name, m := range d.members {
		if m.Listed && !listed[name] {
			m.Listed, m.ListedLeaving, d.changed = false, false, true
			if m.Status == Unknown {
				d.remove(name)
			}
		}
	}
}

func (d *Detector) add(w wire.Member, s Status, now clock.Time) *Member {
	if len(d.members) >= MaxMembers {
		return nil
	}
	m := &Member{Member: w, Status: s, StatusChangedAt: now}
	d.members[w.Name] = m
	at := d.rand.IntN(len(d.order) + 1)
	d.order = slices.Insert(d.order, at, w.Name)
	d.changed = true
	return m
}

func (d *Detector) remove(name string) {
	delete(d.members, name)
	if i := slices.Index(d.order, name); i >= 0 {
		d.order = slices.Delete(d.order, i, i+1)
	}
	d.changed = true
}

// Tick runs once per Period. It expires suspicions and returns the heartbeats
// to send: one to a reachable member and, once per RetryDead, one to a member
// that is not.
func (d *Detector) Tick(now clock.Time) []Ping {
	paused := now.Sub(d.lastTick) >= SuspicionTimeout
	d.lastTick = now
	for name, m := range d.members {
		switch {
		case m.Status == Suspected && paused:
			m.StatusChangedAt = now // this host may have missed the refutation
		case m.Status == Suspected && now.Sub(m.StatusChangedAt) >= SuspicionTimeout:
			d.set(m, Failed, now)
			d.spread(m)
		case m.Status == Failed && !m.Listed && now.Sub(m.StatusChangedAt) >= FailedRetention:
			d.remove(name)
		}
	}
	var out []Ping
	if m := d.next(func(m *Member) bool { return m.Reachable() || !m.tried }); m != nil {
		m.tried = true
		out = append(out, Ping{m.Name, m.Address})
	}
	if now.Sub(d.lastRetry) >= RetryInterval || d.lastRetry == 0 {
		d.lastRetry = now
		if m := d.next(func(m *Member) bool { return !m.Reachable() }); m != nil {
			out = append(out, Ping{m.Name, m.Address})
		}
	}
	return out
}

// next takes the first member in the round robin that matches and moves it to
// a random place in the last half, so that the order is shuffled but no member
// waits longer than one and a half rounds.
func (d *Detector) next(match func(*Member) bool) *Member {
	for i, name := range d.order {
		if m := d.members[name]; match(m) {
			d.order = slices.Delete(d.order, i, i+1)
			half := len(d.order) / 2
			at := half + d.rand.IntN(len(d.order)-half+1)
			d.order = slices.Insert(d.order, at, name)
			return m
		}
	}
	return nil
}

// Helpers returns up to Indirect reachable members other than target.
func (d *Detector) RandomMembers(target string) []Ping {
	var all []string
	for name, m := range d.members {
		if name != target && m.Status <= Leaving {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	d.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var out []Ping
	for _, name := range all[:min(IndirectPings, len(all))] {
		out = append(out, Ping{name, d.members[name].Address})
	}
	return out
}

// Missed takes the failure of a heartbeat, direct and indirect.
func (d *Detector) RecordPingFailure(now clock.Time, name string) {
	if m := d.members[name]; m != nil && m.Status <= Leaving {
		d.set(m, Suspected, now)
		d.spread(m)
	}
}

// Heard takes a message or an answer that came from the member itself. A member
// that is suspected or dead returns by refuting what Updates tells it.
func (d *Detector) RecordContact(now clock.Time, from string, incarnation uint64) {
	m := d.members[from]
	if m == nil || incarnation == 0 {
		return
	}
	switch {
	case m.Status == Unknown, m.Incarnation != incarnation:
		// The process was replaced. It raises its sequence number when it hears
		// what was known of the earlier one.
		m.renew = m.Sequence > 0
		m.Incarnation = incarnation
		d.set(m, Alive, now)
		d.changed = true
	}
}

func (d *Detector) set(m *Member, s Status, now clock.Time) {
	if s == Leaving || s == Alive {
		m.LeaveAnnounced = s == Leaving
	}
	if m.Status != s {
		m.Status, m.StatusChangedAt, d.changed = s, now, true
	}
	m.Member.Status = uint8(s)
}

func (d *Detector) spread(m *Member) {
	w := m.Member
	d.queue.push(wire.Update{Origin: d.self.Name, Incarnation: d.self.Incarnation, Sequence: w.Sequence, Member: &w})
}
