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

func detector(name string, incarnation uint64) *Detector {
	return New(wire.Member{Name: name, Address: name, DataCentre: "dc", Incarnation: incarnation}, rand.New(rand.NewPCG(1, incarnation)))
}

// exchange is one heartbeat of a to b with its answer.
func exchange(now clock.Time, a, b *Detector) {
	request := a.Updates(b.self.Name)
	b.Receive(now, request)
	b.RecordContact(now, a.self.Name, a.self.Incarnation)
	answer := b.Updates(a.self.Name)
	if b.Outdated(request) {
		answer = append(answer, b.SelfUpdate())
	}
	a.Receive(now, answer)
	a.RecordContact(now, b.self.Name, b.self.Incarnation)
}

// expire ticks until suspicions have expired.
func expire(d *Detector, now clock.Time) clock.Time {
	for range SuspicionTimeout/PingInterval + 1 {
		now = now.Add(PingInterval)
		d.Tick(now)
	}
	return now
}

// TestRefutation guards against a host that was paused and stays dead: it must
// answer what is believed of it.
func TestRefutation(t *testing.T) {
	is := is.New(t)
	a, b := detector("a", 1), detector("b", 2)
	exchange(0, a, b)
	is.Equal(a.members["b"].Status, Alive)
	now := clock.Time(time.Second)
	a.RecordPingFailure(now, "b")
	is.Equal(a.members["b"].Status, Suspected)
	is.True(a.members["b"].Reachable()) // a suspicion alone takes nobody out
	now = now.Add(5 * time.Second)
	a.Tick(now)
	is.Equal(a.members["b"].Status, Suspected) // a itself was paused
	now = expire(a, now)
	is.Equal(a.members["b"].Status, Failed)
	for range 100 {
		a.Updates("x") // the news of the death is no longer spread
	}
	exchange(now, a, b)
	is.Equal(a.members["b"].Status, Alive) // b heard of its death and refuted it
}

// TestLostRefutation guards against a host that stays dead where the news of
// its refutation was lost.
func TestLostRefutation(t *testing.T) {
	is := is.New(t)
	a, b := detector("a", 1), detector("b", 2)
	exchange(0, a, b)
	a.RecordPingFailure(0, "b")
	expire(a, 0)
	b.self.Sequence = 9 // refuted elsewhere
	exchange(0, a, b)
	is.Equal(a.members["b"].Status, Alive)
}

// TestOldNews guards against news that overtook newer news.
func TestOldNews(t *testing.T) {
	is := is.New(t)
	a, b := detector("a", 1), detector("b", 2)
	exchange(0, a, b)
	old := a.members["b"].Member
	a.RecordPingFailure(0, "b")
	expire(a, 0)
	is.Equal(a.members["b"].Status, Failed)
	a.Receive(0, []wire.Update{{Origin: "c", Member: &old}})
	is.Equal(a.members["b"].Status, Failed)
}

// TestReplacedHost guards against a replaced host whose news is ignored because
// the earlier process had a higher sequence number.
func TestReplacedHost(t *testing.T) {
	is := is.New(t)
	a, b, c := detector("a", 1), detector("b", 2), detector("c", 3)
	b.self.Sequence = 9
	b.announce()
	exchange(0, a, b)
	exchange(0, c, b)
	is.Equal(c.members["b"].Sequence, uint64(9))
	replaced := detector("b", 7)
	exchange(0, replaced, a)
	exchange(0, replaced, a) // a's answer told the new process of sequence 9
	exchange(0, a, c)
	is.Equal(a.members["b"].Incarnation, uint64(7))
	is.Equal(c.members["b"].Incarnation, uint64(7))
	is.True(c.members["b"].Sequence > 9)
}

// TestNewsOnce guards against updates that circulate for ever and against
// older news of an origin that replaces newer.
func TestNewsOnce(t *testing.T) {
	is := is.New(t)
	a := detector("a", 1)
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
	is.Equal(sent, 2*minRetransmit) // own announcement and one suspect, in a fleet of one
}

// TestBounds guards against messages and memory that grow with the fleet or
// with what peers send.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := detector("a", 1)
		for i := range rapid.IntRange(0, 1200).Draw(t, "members") {
			w := wire.Member{Name: fmt.Sprint("h", i), Address: "10.0.0.1:7000", DataCentre: "dc", Incarnation: 5, Sequence: 1}
			d.Receive(0, []wire.Update{{Origin: "x", Member: &w}})
		}
		for i := range rapid.IntRange(0, 1200).Draw(t, "suspects") {
			d.Publish(wire.Update{Suspect: &wire.PoisonUpdate{Fingerprint: uint64(i)}})
		}
		if len(d.members) > MaxMembers || len(d.queue.items) > queueLimit {
			t.Fatalf("%d members, %d updates", len(d.members), len(d.queue.items))
		}
		var b bytes.Buffer
		if err := gob.NewEncoder(&b).Encode(wire.PingRequest{Updates: d.Updates("h1")}); err != nil {
			t.Fatal(err)
		}
		if b.Len() > 3000 {
			t.Fatalf("a message has %d bytes", b.Len())
		}
		if n := len(d.Join()); n > MaxReceivedUpdates {
			t.Fatalf("a member list has %d entries", n)
		}
	})
}

// TestHostileNews guards against news that breaks the table.
func TestHostileNews(t *testing.T) {
	is := is.New(t)
	d := detector("a", 1)
	long := string(make([]byte, maxName+1))
	for _, w := range []wire.Member{{}, {Name: long}, {Name: "x", Address: long}, {Name: "x", Status: 9}, {Name: "x", Status: uint8(Failed)}} {
		d.Receive(0, []wire.Update{{Origin: "b", Member: &w}, {Origin: long, Suspect: &wire.PoisonUpdate{}}, {}})
	}
	is.Equal(len(d.members), 0)
}

// TestLeavingWhileSuspected guards against a host that announced its stop and
// counts as one that stays while it is suspected, as after its end.
func TestLeavingWhileSuspected(t *testing.T) {
	is := is.New(t)
	a, b := detector("a", 1), detector("b", 2)
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
