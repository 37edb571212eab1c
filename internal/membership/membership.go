// Package membership is a SWIM-style failure detector: it decides which entry hosts
// are alive and which pings and updates to send, from received messages, ping
// results and times. The members controller calls it. It performs no I/O and is not
// safe for concurrent use.
package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// Status is the state of a member. At equal sequence numbers the higher status
// takes precedence; the member refutes it with a higher sequence number.
type Status uint8

const (
	Alive     Status = iota // responds to pings
	Leaving                 // announced a planned stop, still responds to pings
	Suspected               // did not respond; counts as alive until the suspicion expires
	Failed                  // did not respond and did not refute the suspicion
	Unknown   Status = 255  // listed, but not yet seen in a message; not sent to other hosts
)

// Intervals, timeouts and limits of the failure detector.
const (
	PingInterval        = 200 * time.Millisecond // between pings
	PingTimeout         = 200 * time.Millisecond // for a direct reply, also from another region
	IndirectPingTimeout = 300 * time.Millisecond // for an indirect reply
	// SuspicionTimeout is the time a suspected member has to refute. It is five
	// ping intervals, so that a suspicion and its refutation both reach all hosts
	// of a fleet of 64.
	SuspicionTimeout = time.Second
	// FailedRetention is how long a failed host that is not listed is kept, so
	// that a stale update does not add it again.
	FailedRetention = time.Minute
	// RetryInterval is the time between pings to failed or unknown hosts.
	RetryInterval      = time.Second
	IndirectPings      = 2    // hosts asked to ping on behalf of this one
	MaxUpdates         = 8    // updates per sent message
	MaxReceivedUpdates = 64   // updates processed per received message
	maxJoinUpdates     = 48   // members sent to a new process; fewer than MaxReceivedUpdates together with the other updates
	MaxMembers         = 1024 // members in the table
	maxNameLength      = 128  // bytes of a name, address or data centre
)

// ListedHost is a host that the manifest or the platform lists.
type ListedHost struct {
	Name, Address, DataCentre string
	Leaving                   bool
}

// Member is one other entry host.
type Member struct {
	wire.Member
	Status          Status
	Listed          bool
	ListedLeaving   bool       // the list marks it as leaving
	StatusChangedAt clock.Time // time of the last change of Status
	LeaveAnnounced  bool       // announced a planned stop; stays set while the member is suspected afterwards
	pinged          bool       // at least one ping was sent
	restarted       bool       // a new process that has not yet raised its sequence number
}

// Reachable reports whether the member is alive, leaving or suspected; these count
// as alive.
func (m *Member) Reachable() bool { return m.Status <= Suspected }

// Ping is a request to the caller to ping a member.
type Ping struct {
	Name, Address string
}

// Detector is the failure detector of one entry host.
type Detector struct {
	self      wire.Member
	leaving   bool
	members   map[string]*Member
	order     []string // round-robin order of pings
	lastTick  clock.Time
	lastRetry clock.Time
	queue     *queue
	sequence  uint64 // of the last update passed to Publish
	rand      *rand.Rand
	changed   bool
}

// New returns a detector for the host self, whose name, address, data centre and
// incarnation must be set.
func New(self wire.Member, r *rand.Rand) *Detector {
	d := &Detector{self: self, members: map[string]*Member{}, queue: newQueue(), rand: r, changed: true}
	d.self.Sequence = 1
	d.announce()
	return d
}

// Self returns the record of this host with its current sequence number.
func (d *Detector) Self() wire.Member { return d.self }

// Members returns the other members by name. The caller must not modify them.
func (d *Detector) Members() map[string]*Member { return d.members }

// Changed reports whether a member changed since the last call.
func (d *Detector) Changed() bool {
	c := d.changed
	d.changed = false
	return c
}

// MarkChanged makes the next Changed return true.
func (d *Detector) MarkChanged() { d.changed = true }

// IsLeaving reports whether Leave was called.
func (d *Detector) IsLeaving() bool { return d.leaving }

// Dropped returns the number of updates dropped because the queue was full.
func (d *Detector) Dropped() int64 { return d.queue.dropped }

func (d *Detector) announce() {
	m := d.self
	m.Status = uint8(Alive)
	if d.leaving {
		m.Status = uint8(Leaving)
	}
	d.queue.push(wire.Update{Origin: m.Name, Incarnation: m.Incarnation, Sequence: m.Sequence, Member: &m})
}

// Leave announces a planned stop of this host.
func (d *Detector) Leave() {
	d.leaving = true
	d.self.Sequence++
	d.announce()
}

// SetListedHosts replaces the list of hosts from the manifest and the platform.
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

// Tick runs once per PingInterval. It expires suspicions and returns the pings to
// send: one to a reachable member and, once per RetryInterval, one to a member
// that is not reachable.
func (d *Detector) Tick(now clock.Time) []Ping {
	paused := now.Sub(d.lastTick) >= SuspicionTimeout
	d.lastTick = now
	for name, m := range d.members {
		switch {
		case m.Status == Suspected && paused:
			m.StatusChangedAt = now // this host was paused and may have missed the refutation
		case m.Status == Suspected && now.Sub(m.StatusChangedAt) >= SuspicionTimeout:
			d.setStatus(m, Failed, now)
			d.enqueue(m)
		case m.Status == Failed && !m.Listed && now.Sub(m.StatusChangedAt) >= FailedRetention:
			d.remove(name)
		}
	}
	var out []Ping
	if m := d.nextMatching(func(m *Member) bool { return m.Reachable() || !m.pinged }); m != nil {
		m.pinged = true
		out = append(out, Ping{m.Name, m.Address})
	}
	if now.Sub(d.lastRetry) >= RetryInterval || d.lastRetry == 0 {
		d.lastRetry = now
		if m := d.nextMatching(func(m *Member) bool { return !m.Reachable() }); m != nil {
			out = append(out, Ping{m.Name, m.Address})
		}
	}
	return out
}

// nextMatching returns the first matching member of the round-robin order and
// moves it to a random position in the second half. This shuffles the order, but
// no member waits longer than one and a half rounds.
func (d *Detector) nextMatching(match func(*Member) bool) *Member {
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

// RandomMembers returns up to IndirectPings random members other than target that are
// alive or leaving.
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

// RecordPingFailure marks a member as suspected that responded neither to a direct
// nor to an indirect ping.
func (d *Detector) RecordPingFailure(now clock.Time, name string) {
	if m := d.members[name]; m != nil && m.Status <= Leaving {
		d.setStatus(m, Suspected, now)
		d.enqueue(m)
	}
}

// RecordContact records a message or reply that came from the member itself. It
// does not clear a suspicion or failure of the same process: the member refutes
// the record that Updates sends it.
func (d *Detector) RecordContact(now clock.Time, from string, incarnation uint64) {
	m := d.members[from]
	if m == nil || incarnation == 0 {
		return
	}
	switch {
	case m.Status == Unknown, m.Incarnation != incarnation:
		// The process was replaced. It raises its sequence number when it receives
		// the record of the earlier process.
		m.restarted = m.Sequence > 0
		m.Incarnation = incarnation
		d.setStatus(m, Alive, now)
		d.changed = true
	}
}

func (d *Detector) setStatus(m *Member, s Status, now clock.Time) {
	if s == Leaving || s == Alive {
		m.LeaveAnnounced = s == Leaving
	}
	if m.Status != s {
		m.Status, m.StatusChangedAt, d.changed = s, now, true
	}
	m.Member.Status = uint8(s)
}

func (d *Detector) enqueue(m *Member) {
	w := m.Member
	d.queue.push(wire.Update{Origin: d.self.Name, Incarnation: d.self.Incarnation, Sequence: w.Sequence, Member: &w})
}
