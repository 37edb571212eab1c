package admission

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
)

var testPace = Pace{BytesPerSecond: 32 << 10, After: 500 * time.Millisecond, Grace: 10}

func address(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}) }

// TestShareHolds guards against requests that together take more than the share of their
// listener or of their address when they arrive at the same time, and against memory that
// stays taken.
func TestShareHolds(t *testing.T) {
	const limit = 1 << 20
	s, clients := NewShare(limit, 0.5), []*Client{{}, {}}
	var wg sync.WaitGroup
	for n := range 16 {
		wg.Go(func() {
			c := clients[n%2]
			for i := range 2000 {
				cost := RequestCost(i%16000, i%3000)
				if s.Take(c, cost) != Admitted {
					continue
				}
				// Others that are about to be refused are counted for a moment.
				if used := c.Used(); used > limit/2+16*RequestCost(16000, 3000) {
					t.Errorf("an address takes %d bytes of %d", used, limit/2)
				}
				s.Give(c, cost)
			}
		})
	}
	wg.Wait()
	if s.Used() != 0 || clients[0].Used() != 0 || clients[1].Used() != 0 {
		t.Errorf("%d, %d and %d bytes stay taken", s.Used(), clients[0].Used(), clients[1].Used())
	}
}

// TestShareProperties guards, for any order of requests, against a sum beyond the limits, a
// large request that takes the last quarter, and a usual one that is refused in it.
func TestShareProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1<<20, 64<<20).Draw(t, "limit")
		s, clients := NewShare(limit, 0.8), []*Client{{}, {}, {}}
		type taken struct {
			client *Client
			bytes  int64
		}
		var held []taken
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if len(held) > 0 && rapid.IntRange(0, 2).Draw(t, "ends") == 0 {
				last := held[len(held)-1]
				held = held[:len(held)-1]
				s.Give(last.client, last.bytes)
				continue
			}
			c := clients[rapid.IntRange(0, 2).Draw(t, "client")]
			cost := RequestCost(rapid.IntRange(0, 16<<10).Draw(t, "head"), rapid.IntRange(0, 3200).Draw(t, "lines"))
			before, clientBefore := s.Used(), c.Used()
			verdict := s.Take(c, cost)
			switch {
			case verdict == Admitted:
				held = append(held, taken{c, cost})
			case s.Used() != before || c.Used() != clientBefore:
				t.Fatalf("a refused request takes memory")
			case cost <= LargeRequest && before+cost <= limit && clientBefore+cost <= s.clientLimit:
				t.Fatalf("a request of %d bytes is refused (%d) with %d of %d taken", cost, verdict, before, limit)
			}
			if s.Used() > limit || c.Used() > s.clientLimit {
				t.Fatalf("%d of %d bytes are taken, %d by one address", s.Used(), limit, c.Used())
			}
			if verdict == Admitted && cost > LargeRequest && float64(s.Used()) > largeShare*float64(limit) {
				t.Fatalf("a large request takes the part that is kept for others")
			}
		}
		for _, h := range held {
			s.Give(h.client, h.bytes)
		}
		if s.Used() != 0 {
			t.Fatalf("%d bytes stay taken", s.Used())
		}
	})
}

// TestEvictionOrder guards against a connection that is closed ahead of one that should make
// room first, and against the end of one whose request runs.
func TestEvictionOrder(t *testing.T) {
	is := is.New(t)
	now := clock.Time(10 * time.Second)
	ago := func(d time.Duration) clock.Time { return now.Add(-d) }
	order := []Activity{
		{Idle: ago(2 * time.Second)},
		{Idle: ago(time.Millisecond)},
		{Reading: ago(3 * time.Second)},
		{Reading: ago(time.Second), Served: true},
		{Writing: ago(time.Second), Running: true},
		{Idle: ago(9 * time.Second), Served: true},
		{Idle: ago(time.Second), Served: true},
	}
	for i := range order[1:] {
		is.True(evictionOf(order[i], now, testPace).before(evictionOf(order[i+1], now, testPace)))
	}
	for _, kept := range []Activity{
		{Running: true}, {Running: true, Idle: ago(time.Minute)}, {Running: true, Reading: ago(time.Minute)},
		{Idle: now}, {Idle: now - 9, Served: true}, {Reading: ago(100 * time.Millisecond)}, {Writing: ago(100 * time.Millisecond)},
	} {
		is.Equal(evictionOf(kept, now, testPace).reason, NotEvicted)
	}
}

// TestPace guards against a client that keeps to the least rate and counts as slow, against
// one below it that does not, and against a fast start that excuses a later stop.
func TestPace(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		step  time.Duration
		bytes int
		slow  bool
	}{
		{50 * time.Millisecond, 1, true}, {50 * time.Millisecond, 2 << 10, false}, {100 * time.Millisecond, 64 << 10, false}, {100 * time.Millisecond, 1 << 10, true},
	} {
		now := clock.Time(time.Second)
		connection := &Connection{Client: &Client{}, pace: testPace}
		connection.Reading(now)
		for range 40 {
			now = now.Add(c.step)
			connection.Read(c.bytes, now)
		}
		is.Equal(evictionOf(connection.Activity(), now, testPace).reason == SlowRequest, c.slow)
		is.Equal(evictionOf(connection.Activity(), now.Add(testPace.After), testPace).reason, SlowRequest)
	}
	connection, now := &Connection{Client: &Client{}, pace: testPace}, clock.Time(time.Second)
	connection.Writing(64<<10, now) // 2 s at the least rate
	is.Equal(evictionOf(connection.Activity(), now.Add(2*time.Second), testPace).reason, NotEvicted)
	is.Equal(evictionOf(connection.Activity(), now.Add(2*time.Second+testPace.After), testPace).reason, SlowReader)
	connection.Written()
	is.Equal(connection.Activity().Writing, clock.Time(0))
}

// TestConnectionsProperties guards, for any sequence of connections, against more of them
// than the limit or than one address may have, against one that is refused although another
// could make room, against the end of one whose request runs, and against a count that stays.
func TestConnectionsProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, sampleSize).Draw(t, "limit")
		s := NewConnections(limit, 0.8, testPace)
		now := clock.Time(time.Second)
		open := map[*Connection]bool{} // true: a request runs
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			for c := range open {
				switch rapid.IntRange(0, 9).Draw(t, "does") {
				case 0:
					c.Reading(now)
				case 1:
					if !open[c] {
						open[c] = true
						c.Running()
					}
				case 2:
					if open[c] {
						open[c] = false
						c.Ended(now)
					}
				case 3:
					delete(open, c)
					s.Done(c)
				}
			}
			var c *Connection
			from := address(rapid.IntRange(0, 2).Draw(t, "address"))
			var verdict Verdict
			c, _, verdict = s.Admit(from, now, func() {})
			closed := map[*Connection]bool{}
			for o := range open {
				if _, stays := s.open[o]; !stays {
					closed[o] = true
				}
			}
			for o := range closed {
				if open[o] {
					t.Fatalf("a connection whose request runs is closed")
				}
				delete(open, o)
			}
			switch {
			case c != nil:
				open[c] = false
			default:
				for o := range s.open {
					mayClose := evictionOf(o.Activity(), now, testPace).reason != NotEvicted
					if mayClose && (verdict == NoRoom || o.address == from) {
						t.Fatalf("a connection is refused (%d) although another could make room: %+v", verdict, o.Activity())
					}
				}
			}
			if len(closed) > 1 || s.Open() > limit || s.Open() != len(open) {
				t.Fatalf("%d connections are open, %d counted, limit %d, %d closed", len(open), s.Open(), limit, len(closed))
			}
			if n := s.clients[from]; n != nil && n.connections > s.clientLimit {
				t.Fatalf("an address has %d connections, limit %d", n.connections, s.clientLimit)
			}
		}
		for c := range open {
			s.Done(c)
			s.Done(c) // has no further effect
		}
		if s.Open() != 0 || len(s.clients) != 0 {
			t.Fatalf("%d connections and %d addresses stay", s.Open(), len(s.clients))
		}
	})
}

// TestFullOfUnused guards against a listener full of silent connections that refuses a new
// one: the platform's readiness checks and ordinary callers come on new connections.
func TestFullOfUnused(t *testing.T) {
	is := is.New(t)
	s := NewConnections(8, 1, testPace)
	var closed []int
	for n := range 8 {
		_, _, verdict := s.Admit(address(1), clock.Time(n+1), func() { closed = append(closed, n) })
		is.Equal(verdict, Admitted)
	}
	_, _, verdict := s.Admit(address(2), 10, func() {})
	is.Equal(verdict, NoRoom) // all have just been opened
	c, reason, verdict := s.Admit(address(2), 100, func() {})
	is.Equal(verdict, Admitted)
	is.Equal(reason, Unused)
	is.Equal(closed, []int{0}) // the oldest
	is.Equal(s.Open(), 8)
	c.Running()
	for n := range 8 {
		if o, _, _ := s.Admit(address(1), clock.Time(200+n), func() {}); o != nil {
			o.Running()
		}
	}
	_, _, verdict = s.Admit(address(1), 300, func() {})
	is.Equal(verdict, NoRoom) // all run requests
}

// TestPlan guards against limits that together exceed the memory or the descriptors of a
// host, and against hosts without figures that admit nothing.
func TestPlan(t *testing.T) {
	shares := Shares{BodyMemory: 0.25, RequestMemory: 0.12, ConnectionMemory: 0.10, Descriptors: 0.45}
	for _, c := range []struct {
		memoryMB    int64
		descriptors int
	}{{136, 2870}, {184, 4100}, {64, 512}, {0, 0}, {4096, 1 << 20}} {
		l := Plan(c.memoryMB<<20, c.descriptors, 2500, shares)
		memory := c.memoryMB << 20
		if memory == 0 {
			memory = defaultMemory
		}
		all := l.RequestBytes + l.BodyBytes + int64(l.Connections)*connectionBytes
		if all > memory*55/100 {
			t.Errorf("%d MB: %d bytes may be taken", c.memoryMB, all)
		}
		if c.descriptors > 0 && l.Connections > c.descriptors/2 {
			t.Errorf("%d descriptors: %d connections", c.descriptors, l.Connections)
		}
		if l.Connections < 16 || l.RequestBytes < RequestCost(16<<10, 3100) || l.PipelineBytes < 2*requestBytes {
			t.Errorf("%d MB: %+v leaves no room for a single request", c.memoryMB, l)
		}
	}
}
