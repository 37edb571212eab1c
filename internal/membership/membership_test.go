package membership

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/wire"
)

func newTestDetector(name string, incarnation uint64) *Detector {
	return New(wire.Member{Name: name, Address: name, DataCentre: "dc", Incarnation: incarnation}, rand.New(rand.NewPCG(1, incarnation)))
}

// exchange sends a ping from a to b and the reply back.
func exchange(now clock.Time, a, b *Detector) {
	request := a.Updates(b.self.Name)
	b.Receive(now, request)
	b.RecordContact(now, a.self.Name, a.self.Incarnation)
	reply := b.Updates(a.self.Name)
	if b.Outdated(request) {
		reply = append(reply, b.SelfUpdate())
	}
	a.Receive(now, reply)
	a.RecordContact(now, b.self.Name, b.self.Incarnation)
}

// expire ticks until all suspicions have expired and returns the new time.
func expire(d *Detector, now clock.Time) clock.Time {
	for range SuspicionTimeout/PingInterval + 1 {
		now = now.Add(PingInterval)
		d.Tick(now)
	}
	return now
}

// TestRefutation guards against a host that was declared failed during a pause and
// stays failed: it must receive its own record and refute it.
func TestRefutation(t *testing.T) {
	is := is.New(t)
	a, b := newTestDetector("a", 1), newTestDetector("b", 2)
	exchange(0, a, b)
	is.Equal(a.members["b"].Status, Alive)
	now := clock.Time(time.Second)
	a.RecordPingFailure(now, "b")
	is.Equal(a.members["b"].Status, Suspected)
	is.True(a.members["b"].Reachable()) // a suspicion alone does not exclude a member
	now = now.Add(5 * time.Second)
	a.Tick(now)
	is.Equal(a.members["b"].Status, Suspected) // a itself was paused
	now = expire(a, now)
	is.Equal(a.members["b"].Status, Failed)
	for range 100 {
		a.Updates("x") // the update of the failure is no longer queued
	}
	exchange(now, a, b)
	is.Equal(a.members["b"].Status, Alive) // b received the record of its failure and refuted it
}

// TestLostRefutationRepeated guards against a host that stays failed on hosts that
// did not receive its refutation.
func TestLostRefutationRepeated(t *testing.T) {
	is := is.New(t)
	a, b := newTestDetector("a", 1), newTestDetector("b", 2)
	exchange(0, a, b)
	a.RecordPingFailure(0, "b")
	expire(a, 0)
	b.self.Sequence = 9 // refuted elsewhere
	exchange(0, a, b)
	is.Equal(a.members["b"].Status, Alive)
}

// TestStaleUpdateIgnored guards against a stale update that arrives after a newer
// one and replaces it.
func TestStaleUpdateIgnored(t *testing.T) {
	is := is.New(t)
	a, b := newTestDetector("a", 1), newTestDetector("b", 2)
	exchange(0, a, b)
	old := a.members["b"].Member
	a.RecordPingFailure(0, "b")
	expire(a, 0)
	is.Equal(a.members["b"].Status, Failed)
	a.Receive(0, []wire.Update{{Origin: "c", Member: &old}})
	is.Equal(a.members["b"].Status, Failed)
}

// TestReplacedHost guards against a replaced host whose updates are ignored
// because the earlier process had a higher sequence number.
func TestReplacedHost(t *testing.T) {
	is := is.New(t)
	a, b, c := newTestDetector("a", 1), newTestDetector("b", 2), newTestDetector("c", 3)
	b.self.Sequence = 9
	b.announce()
	exchange(0, a, b)
	exchange(0, c, b)
	is.Equal(c.members["b"].Sequence, uint64(9))
	replaced := newTestDetector("b", 7)
	exchange(0, replaced, a)
	exchange(0, replaced, a) // a's reply sent sequence number 9 to the new process
	exchange(0, a, c)
	is.Equal(a.members["b"].Incarnation, uint64(7))
	is.Equal(c.members["b"].Incarnation, uint64(7))
	is.True(c.members["b"].Sequence > 9)
}

// TestUpdateReceivedOnce guards against updates that circulate forever and against
// older updates of an origin that replace newer ones.
func TestUpdateReceivedOnce(t *testing.T) {
	is := is.New(t)
	a := newTestDetector("a", 1)
	u := wire.Update{Origin: "b", Incarnation: 2, Sequence: 5, Suspect: &wire.PoisonUpdate{Fingerprint: 1}}
	is.Equal(len(a.Receive(0, []wire.Update{u})), 1)
	is.Equal(len(a.Receive(0, []wire.Update{u})), 0)
	u.Sequence = 4
	is.Equal(len(a.Receive(0, []wire.Update{u})), 0)
	u.Sequence = 6
	is.Equal(len(a.Receive(0, []wire.Update{u})), 1)
	sent := 0
	for range 100 {
		sent += len(a.Updates("x"))
	}
	is.Equal(sent, 2*minTransmissions) // the record of a and one poison request, in a fleet of one
}

// TestBounds guards against messages and memory that grow without limit with the
// fleet or with the updates that peers send.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newTestDetector("a", 1)
		for i := range rapid.IntRange(0, 1200).Draw(t, "members") {
			w := wire.Member{Name: fmt.Sprint("h", i), Address: "10.0.0.1:7000", DataCentre: "dc", Incarnation: 5, Sequence: 1}
			d.Receive(0, []wire.Update{{Origin: "x", Member: &w}})
		}
		for i := range rapid.IntRange(0, 1200).Draw(t, "poison requests") {
			d.Publish(wire.Update{Suspect: &wire.PoisonUpdate{Fingerprint: uint64(i)}})
		}
		if len(d.members) > MaxMembers || len(d.queue.items) > maxQueued {
			t.Fatalf("limits exceeded: %d members, %d queued updates", len(d.members), len(d.queue.items))
		}
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(wire.PingRequest{Updates: d.Updates("h1")}); err != nil {
			t.Fatal(err)
		}
		if b.Len() > 3000 {
			t.Fatalf("message has %d bytes, want at most 3000", b.Len())
		}
		if n := len(d.Join()); n > MaxReceivedUpdates {
			t.Fatalf("member list has %d entries", n)
		}
	})
}

// TestInvalidUpdates guards against malformed updates that corrupt the member
// table.
func TestInvalidUpdates(t *testing.T) {
	is := is.New(t)
	d := newTestDetector("a", 1)
	long := string(make([]byte, maxNameLength+1))
	for _, w := range []wire.Member{{}, {Name: long}, {Name: "x", Address: long}, {Name: "x", Status: 9}, {Name: "x", Status: uint8(Failed)}} {
		d.Receive(0, []wire.Update{{Origin: "b", Member: &w}, {Origin: long, Suspect: &wire.PoisonUpdate{}}, {}})
	}
	is.Equal(len(d.members), 0)
}

// TestLeavingWhileSuspected guards against a host that announced a planned stop
// and is no longer treated as leaving while it is suspected, as happens when it
// has stopped.
func TestLeavingWhileSuspected(t *testing.T) {
	is := is.New(t)
	a, b := newTestDetector("a", 1), newTestDetector("b", 2)
	exchange(0, a, b)
	exchange(0, b, a)
	is.True(!a.members["b"].LeaveAnnounced)
	b.Leave()
	exchange(0, b, a)
	is.Equal(a.members["b"].Status, Leaving)
	a.RecordPingFailure(0, "b")
	is.Equal(a.members["b"].Status, Suspected)
	is.True(a.members["b"].LeaveAnnounced)
	a.RecordContact(0, "b", 3) // a new process
	is.True(!a.members["b"].LeaveAnnounced)
}
