package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
)

var pool = manifest.PoolID{Service: "counter", DataCentre: "ktm1"}

// message is one message on its way between two simulated processes.
type message struct {
	at        clock.Time
	kind      string // ask, answer, release
	from      Process
	to        string
	sequence  uint64
	granted   bool
	successor Process
}

// process is one entry host of the simulation.
type process struct {
	self      Process
	list      []string
	voter     *Voter
	candidate *Candidate
	until     clock.Time
	pausedTo  clock.Time
}

// simulation runs the protocol with lost, late, reordered and repeated
// messages, restarts, pauses and planned stops.
type simulation struct {
	t        *rapid.T
	now      clock.Time
	hosts    map[string]*process
	names    []string
	messages []message
	next     uint64
}

func newSimulation(t *rapid.T, lists map[string][]string) *simulation {
	s := &simulation{t: t, hosts: map[string]*process{}}
	for name := range lists {
		s.names = append(s.names, name)
	}
	slices.Sort(s.names)
	for _, name := range s.names {
		s.start(name, lists[name])
	}
	return s
}

func (s *simulation) start(name string, list []string) {
	s.next++
	s.hosts[name] = &process{
		self: Process{name, s.next}, list: list, voter: NewVoter(s.now, true),
		candidate: NewCandidate(rand.New(rand.NewPCG(1, s.next))),
	}
}

func (s *simulation) send(m message) {
	// Late messages arrive up to two terms after they were sent, some twice.
	for range rapid.SampledFrom([]int{0, 1, 1, 1, 1, 1, 2}).Draw(s.t, "copies") {
		m.at = s.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 300, 1900, 4000}).Draw(s.t, "delay")) * time.Millisecond)
		s.messages = append(s.messages, m)
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(50 * time.Millisecond)
	due := s.messages
	s.messages = nil
	for _, m := range due {
		if h := s.hosts[m.to]; m.at > s.now || h.pausedTo > s.now {
			s.messages = append(s.messages, m)
		} else {
			s.deliver(h, m)
		}
	}
	name := rapid.SampledFrom(s.names).Draw(s.t, "host")
	h := s.hosts[name]
	if h.pausedTo > s.now {
		return
	}
	switch rapid.SampledFrom([]string{"ask", "ask", "ask", "ask", "release", "restart", "pause", "none"}).Draw(s.t, "event") {
	case "ask":
		seq := h.candidate.Start(s.now, []Bid{{Pool: pool, Electorate: h.list}})
		for _, v := range h.list {
			s.send(message{kind: "ask", from: h.self, to: v, sequence: seq})
		}
	case "release":
		if h.until <= s.now {
			return
		}
		h.until = 0
		seq := h.candidate.Release([]manifest.PoolID{pool})
		to := s.hosts[rapid.SampledFrom(s.names).Draw(s.t, "successor")].self
		for _, v := range h.list {
			s.send(message{kind: "release", from: h.self, to: v, sequence: seq, successor: to})
		}
	case "restart":
		s.start(name, h.list)
	case "pause":
		h.pausedTo = s.now.Add(3 * time.Second)
	}
}

func (s *simulation) deliver(h *process, m message) {
	switch m.kind {
	case "ask":
		granted, _ := h.voter.Promise(s.now, m.from, m.sequence, pool, Term)
		s.send(message{kind: "answer", from: h.self, to: m.from.Name, sequence: m.sequence, granted: granted, successor: m.from})
	case "answer":
		if m.successor != h.self {
			return // for an earlier process of the same name
		}
		if until := h.candidate.Answer(m.sequence, m.from.Name, pool, m.granted); until > s.now {
			h.until = until
		}
	case "release":
		h.voter.Release(s.now, m.from, m.sequence, pool, m.successor)
	}
}

func (s *simulation) holders() (names []string) {
	for _, name := range s.names {
		if s.hosts[name].until > s.now {
			names = append(names, name)
		}
	}
	return names
}

// TestOneHolder guards against two valid leases of one pool while lists agree.
func TestOneHolder(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 3, 5}).Draw(t, "hosts")
		lists, all := map[string][]string{}, []string{}
		for i := range n {
			all = append(all, fmt.Sprintf("eh%d", i))
		}
		for _, name := range all {
			lists[name] = all
		}
		s := newSimulation(t, lists)
		for range 150 {
			s.step()
			names := s.holders()
			held += len(names)
			if len(names) > 1 {
				t.Fatalf("at %v: holders %v", time.Duration(s.now), names)
			}
		}
	})
	if held == 0 {
		t.Fatal("no lease was ever held")
	}
}

// TestDifferingLists guards against more holders than there are disjoint
// majorities of the lists in use.
func TestDifferingLists(t *testing.T) {
	lists := map[string][]string{
		"eh0": {"eh0", "eh1", "eh2"}, "eh1": {"eh0", "eh1", "eh2"}, "eh2": {"eh0", "eh1", "eh2", "eh3", "eh4"},
		"eh3": {"eh2", "eh3", "eh4"}, "eh4": {"eh2", "eh3", "eh4"},
	}
	// {eh0,eh1} and {eh3,eh4} are disjoint majorities; a third one cannot exist.
	most := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, lists)
		for range 150 {
			s.step()
			names := s.holders()
			most = max(most, len(names))
			if len(names) > 2 {
				t.Fatalf("at %v: holders %v", time.Duration(s.now), names)
			}
		}
	})
	t.Logf("most holders at once: %d", most)
}

// TestVoter guards against promises that a voter must not give.
func TestVoter(t *testing.T) {
	a, a2, b := Process{"a", 1}, Process{"a", 2}, Process{"b", 3}
	for _, c := range []struct {
		name    string
		run     func(v *Voter) bool
		granted bool
	}{
		{"before one term has passed", func(v *Voter) bool { g, _ := v.Promise(clock.Time(Term-1), a, 1, pool, Term); return g }, false},
		{"after one term", func(v *Voter) bool { g, _ := v.Promise(clock.Time(Term), a, 1, pool, Term); return g }, true},
		{"longer than the restart wait", func(v *Voter) bool { g, _ := v.Promise(clock.Time(2*Term), a, 1, pool, Term+1); return g }, false},
		{"to another candidate", func(v *Voter) bool {
			v.Promise(clock.Time(Term), a, 1, pool, Term)
			g, _ := v.Promise(clock.Time(2*Term-1), b, 1, pool, Term)
			return g
		}, false},
		{"to a restarted candidate", func(v *Voter) bool {
			v.Promise(clock.Time(Term), a, 1, pool, Term)
			g, _ := v.Promise(clock.Time(2*Term-1), a2, 1, pool, Term)
			return g
		}, false},
		{"after a late release", func(v *Voter) bool {
			v.Promise(clock.Time(Term), a, 5, pool, Term)
			v.Release(clock.Time(Term), a, 4, pool, Process{})
			g, _ := v.Promise(clock.Time(Term), b, 1, pool, Term)
			return g
		}, false},
		{"after a shorter renewal", func(v *Voter) bool {
			v.Promise(clock.Time(Term), a, 1, pool, Term)
			v.Promise(clock.Time(Term), a, 2, pool, time.Millisecond)
			g, _ := v.Promise(clock.Time(2*Term-1), b, 1, pool, Term)
			return g
		}, false},
		{"after a release", func(v *Voter) bool {
			v.Promise(clock.Time(Term), a, 5, pool, Term)
			v.Release(clock.Time(Term), a, 6, pool, Process{})
			g, _ := v.Promise(clock.Time(Term), b, 1, pool, Term)
			return g
		}, true},
		{"after a release to another successor", func(v *Voter) bool {
			v.Promise(clock.Time(Term), a, 5, pool, Term)
			v.Release(clock.Time(Term), a, 6, pool, a2)
			g, _ := v.Promise(clock.Time(Term), b, 1, pool, Term)
			return g
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.run(NewVoter(0, true)), c.granted)
		})
	}
}

// TestHolderEndsFirst guards against a holder that uses its lease up to or
// beyond the end of the promises, as seen by clocks of slightly different rate,
// and against votes that are counted twice or come from outside.
func TestHolderEndsFirst(t *testing.T) {
	is := is.New(t)
	c := NewCandidate(rand.New(rand.NewPCG(1, 1)))
	sent := clock.Time(time.Second)
	seq := c.Start(sent, []Bid{{Pool: pool, Electorate: []string{"a", "b", "c"}}})
	is.Equal(c.Answer(seq, "a", pool, true), clock.Time(0))
	is.Equal(c.Answer(seq, "a", pool, true), clock.Time(0)) // twice
	is.Equal(c.Answer(seq, "x", pool, true), clock.Time(0)) // not listed
	until := c.Answer(seq, "b", pool, true)
	is.Equal(until, sent.Add(Term-Margin))
	is.True(c.Held(until-1, pool))
	is.True(!c.Held(until, pool))
	c.Release([]manifest.PoolID{pool})
	is.Equal(c.Answer(seq, "c", pool, true), clock.Time(0)) // answers from before the release
}

// TestVoters guards against a renewal that asks fewer than a majority, and
// against one that leaves out voters that answer for ones that do not.
func TestVoters(t *testing.T) {
	for n := 1; n <= 9; n++ {
		is := is.New(t)
		var all []string
		for i := range n {
			all = append(all, fmt.Sprintf("eh%d", i))
		}
		few := Voters("eh0", all, func(name string) bool { return name != "eh1" })
		is.Equal(few[0], "eh0")
		is.Equal(len(few), min(n, n/2+2))
		is.True(n <= 4 || !slices.Contains(few, "eh1"))
	}
}
