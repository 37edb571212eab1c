package membership

import (
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// Publish spreads news of another kind than Member from this host.
func (d *Detector) Publish(u wire.Update) {
	d.sequence++
	u.Origin, u.Incarnation, u.Sequence = d.self.Name, d.self.Incarnation, d.sequence
	d.queue.fresh(&u)
	d.queue.push(u)
}

// Receive takes the news of one message and returns the updates of other kinds
// than Member that are new here.
func (d *Detector) Receive(now clock.Time, updates []wire.Update) []wire.Update {
	var out []wire.Update
	for _, u := range updates[:min(len(updates), MaxReceivedUpdates)] {
		switch {
		case len(u.Origin) > maxName:
		case u.Member != nil:
			d.receiveMember(now, u)
		case u.Origin != d.self.Name && d.queue.fresh(&u):
			d.queue.push(u)
			out = append(out, u)
		}
	}
	return out
}

func (d *Detector) receiveMember(now clock.Time, u wire.Update) {
	w := *u.Member
	if w.Name == "" || len(w.Name) > maxName || len(w.Address) > maxName || len(w.DataCentre) > maxName || w.Status > uint8(Failed) {
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
	m.Member, m.renew = w, false
	d.set(m, Status(w.Status), now)
	d.queue.push(u)
}

// newer orders news of one member by sequence number, then status, then
// incarnation. Incarnations are random, so the last comparison only makes all
// hosts agree until the member itself raises its sequence number.
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

// refute answers news of this host that is wrong or that names an earlier
// process of the same name.
func (d *Detector) refute(w wire.Member) {
	want := Alive
	if d.leaving {
		want = Leaving
	}
	right := w.Incarnation == d.self.Incarnation && Status(w.Status) == want && w.Address == d.self.Address
	if w.Sequence < d.self.Sequence || right && w.Sequence == d.self.Sequence {
		return
	}
	d.self.Sequence = w.Sequence + 1
	d.announce()
}

// Updates returns the news for one message to the named member. What this host
// believes of the receiver goes first when the receiver may have to refute it.
func (d *Detector) Updates(receiver string) []wire.Update {
	m := d.members[receiver]
	n := MaxUpdates
	var out []wire.Update
	if m != nil && (m.Status == Suspected || m.Status == Failed || m.renew) {
		w := m.Member
		out = append(out, wire.Update{Origin: d.self.Name, Incarnation: d.self.Incarnation, Sequence: w.Sequence, Member: &w})
		n--
	}
	if m != nil && !m.Reachable() {
		return out // sends that are not heard would use up the news
	}
	return append(out, d.queue.take(n, len(d.members)+1, receiver)...)
}

// Join returns the records of up to maxJoin reachable members, this host
// first, for a process that has just started.
func (d *Detector) Join() []wire.Update {
	out := []wire.Update{d.SelfUpdate()}
	for _, name := range d.order { // shuffled
		if m := d.members[name]; m.Reachable() && m.Sequence > 0 && len(out) < maxJoin {
			w := m.Member
			out = append(out, wire.Update{Origin: d.self.Name, Incarnation: d.self.Incarnation, Sequence: w.Sequence, Member: &w})
		}
	}
	return out
}

// Outdated reports whether the updates of a message tell something of this host
// that is not so. The sender is then answered with SelfUpdate: it may have
// missed a refutation that is no longer spread.
func (d *Detector) Outdated(updates []wire.Update) bool {
	now := d.SelfUpdate().Member
	for _, u := range updates[:min(len(updates), MaxReceivedUpdates)] {
		if u.Member != nil && u.Member.Name == d.self.Name && *u.Member != *now {
			return true
		}
	}
	return false
}

// SelfUpdate returns the own record, for a receiver that does not know it.
func (d *Detector) SelfUpdate() wire.Update {
	m := d.self
	if d.leaving {
		m.Status = uint8(Leaving)
	}
	return wire.Update{Origin: m.Name, Incarnation: m.Incarnation, Sequence: m.Sequence, Member: &m}
}
