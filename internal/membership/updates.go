package membership

import (
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// Publish queues an update of this host other than a Member update.
func (d *Detector) Publish(u wire.Update) {
	d.sequence++
	u.Origin, u.Incarnation, u.Sequence = d.self.Name, d.self.Incarnation, d.sequence
	d.queue.markSeen(&u)
	d.queue.push(u)
}

// Receive processes the updates of one message and returns those, other than
// Member updates, that are new to this host.
func (d *Detector) Receive(now clock.Time, updates []wire.Update) []wire.Update {
	var out []wire.Update
	for _, u := range updates[:min(len(updates), MaxReceivedUpdates)] {
		switch {
		case len(u.Origin) > maxNameLength:
		case u.Member != nil:
			d.receiveMember(now, u)
		case u.Origin != d.self.Name && d.queue.markSeen(&u):
			d.queue.push(u)
			out = append(out, u)
		}
	}
	return out
}

func (d *Detector) receiveMember(now clock.Time, u wire.Update) {
	w := *u.Member
	if w.Name == "" || len(w.Name) > maxNameLength || len(w.Address) > maxNameLength || len(w.DataCentre) > maxNameLength || w.Status > uint8(Failed) {
		return
	}
	if w.Name == d.self.Name {
		d.refute(w)
		return
	}
	m := d.members[w.Name]
	if m == nil {
		if Status(w.Status) == Failed {
			return
		}
		if m = d.add(w, Status(w.Status), now); m != nil {
			d.queue.push(u)
		}
		return
	}
	if !newer(w, m) {
		return
	}
	if m.Address != w.Address || m.Incarnation != w.Incarnation {
		d.changed = true
	}
	m.Member, m.restarted = w, false
	d.setStatus(m, Status(w.Status), now)
	d.queue.push(u)
}

// newer reports whether w supersedes m. Records of a member are ordered by
// sequence number, then by incarnation, then by status. Incarnations are random:
// comparing them only makes all hosts agree until the member itself raises its
// sequence number.
func newer(w wire.Member, m *Member) bool {
	switch {
	case m.Status == Unknown:
		return Status(w.Status) != Failed
	case w.Sequence != m.Sequence:
		return w.Sequence > m.Sequence
	case w.Incarnation != m.Incarnation:
		return w.Incarnation > m.Incarnation
	}
	return w.Status > uint8(m.Status)
}

// refute raises the sequence number of this host and announces it when w is a
// wrong record of this host or a record of an earlier process of the same name.
func (d *Detector) refute(w wire.Member) {
	want := Alive
	if d.leaving {
		want = Leaving
	}
	correct := w.Incarnation == d.self.Incarnation && Status(w.Status) == want && w.Address == d.self.Address
	if w.Sequence < d.self.Sequence || correct && w.Sequence == d.self.Sequence {
		return
	}
	d.self.Sequence = w.Sequence + 1
	d.announce()
}

// Updates returns the updates for one message to the named member. The record of
// the receiver itself comes first when the receiver may have to refute it.
func (d *Detector) Updates(receiver string) []wire.Update {
	m := d.members[receiver]
	n := MaxUpdates
	var out []wire.Update
	if m != nil && (m.Status == Suspected || m.Status == Failed || m.restarted) {
		w := m.Member
		out = append(out, wire.Update{Origin: d.self.Name, Incarnation: d.self.Incarnation, Sequence: w.Sequence, Member: &w})
		n--
	}
	if m != nil && !m.Reachable() {
		return out // transmissions that are not received would use up the queued updates
	}
	return append(out, d.queue.take(n, len(d.members)+1, receiver)...)
}

// Join returns the member list for a process that has just started: up to
// maxJoinUpdates records of reachable members, with that of this host first.
func (d *Detector) Join() []wire.Update {
	out := []wire.Update{d.SelfUpdate()}
	for _, name := range d.order { // shuffled
		if m := d.members[name]; m.Reachable() && m.Sequence > 0 && len(out) < maxJoinUpdates {
			w := m.Member
			out = append(out, wire.Update{Origin: d.self.Name, Incarnation: d.self.Incarnation, Sequence: w.Sequence, Member: &w})
		}
	}
	return out
}

// Outdated reports whether a message contains a stale or wrong record of this
// host. The reply must then include SelfUpdate, since the sender may have missed
// a refutation that is no longer queued.
func (d *Detector) Outdated(updates []wire.Update) bool {
	current := d.SelfUpdate().Member
	for _, u := range updates[:min(len(updates), MaxReceivedUpdates)] {
		if u.Member != nil && u.Member.Name == d.self.Name && *u.Member != *current {
			return true
		}
	}
	return false
}

// SelfUpdate returns the record of this host as an update, for a receiver that
// does not have it.
func (d *Detector) SelfUpdate() wire.Update {
	m := d.self
	if d.leaving {
		m.Status = uint8(Leaving)
	}
	return wire.Update{Origin: m.Name, Incarnation: m.Incarnation, Sequence: m.Sequence, Member: &m}
}
