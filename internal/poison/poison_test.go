package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
)

func at(d time.Duration) clock.Time { return clock.Time(d) }

// TestRefusals guards against a deadly request that runs a third time, a
// bystander that stays refused, and a repetition that is granted twice.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	a, b := New(DefaultPolicy(), "a", 0), New(DefaultPolicy(), "b", 0)
	news, retry := a.Crashed(at(0), 1, "s1", true)
	is.True(retry) // one repetition after the first death
	is.True(b.Apply(at(time.Millisecond), news))
	is.True(!b.Apply(at(time.Millisecond), news)) // a repetition changes nothing
	is.True(a.Refused(at(time.Second), 1) && b.Refused(at(time.Second), 1))
	is.True(!b.Refused(at(3*time.Second), 1)) // probation is short
	_, retry = b.Crashed(at(time.Second), 1, "s2", true)
	is.True(!retry) // no second repetition in the fleet
	is.True(b.Refused(at(119*time.Second), 1))
	is.True(!b.Refused(at(122*time.Second), 1)) // parole
	_, retry = b.Crashed(at(122*time.Second), 1, "s3", true)
	is.True(!retry)
	is.True(b.Refused(at(350*time.Second), 1)) // the window doubles
	is.True(b.Expire(at(time.Hour)))
	is.Equal(b.Len(), 0)
}

// TestOneDeathCountsOnce guards against a popular request that is refused for
// the long window because several copies were in flight on one dying server.
func TestOneDeathCountsOnce(t *testing.T) {
	is := is.New(t)
	a, b := New(DefaultPolicy(), "a", 0), New(DefaultPolicy(), "b", 0)
	a.Crashed(at(0), 1, "s1", true)
	a.Crashed(at(0), 1, "s1", true)
	news, _ := b.Crashed(at(time.Millisecond), 1, "s1", true)
	a.Apply(at(2*time.Millisecond), news)
	is.True(a.Refused(at(time.Second), 1))
	is.True(!a.Refused(at(3*time.Second), 1))
}

// TestContested guards against a bystander that is refused for the long window
// because it stood beside the cause twice.
func TestContested(t *testing.T) {
	is := is.New(t)
	a := New(DefaultPolicy(), "a", 0)
	for _, server := range []string{"s1", "s2"} {
		a.Crashed(at(0), 1, server, true)
		a.Crashed(at(0), 2, server, true)
	}
	is.True(a.Refused(at(9*time.Second), 1) && a.Refused(at(9*time.Second), 2))
	is.True(!a.Refused(at(11*time.Second), 1) && !a.Refused(at(11*time.Second), 2))
	is.Equal(len(a.Succeeded(at(11*time.Second), 2)), 1)
	a.Crashed(at(11*time.Second), 1, "s3", true)
	is.True(a.Refused(at(2*time.Minute), 1))
	is.True(!a.Refused(at(12*time.Second), 2))
}

// TestClear guards against late news that raise a cleared suspicion again, and
// against an old clearing that voids a newer death.
func TestClear(t *testing.T) {
	is := is.New(t)
	a, b, c := New(DefaultPolicy(), "a", 0), New(DefaultPolicy(), "b", 0), New(DefaultPolicy(), "c", 0)
	death, _ := a.Crashed(at(0), 1, "s1", true)
	b.Apply(at(0), death)
	cleared := b.Succeeded(at(time.Millisecond), 1)
	is.Equal(len(cleared), 1)
	is.Equal(len(b.Succeeded(at(time.Millisecond), 1)), 0) // told once
	is.True(a.Apply(at(2*time.Millisecond), cleared[0]))
	is.True(!a.Refused(at(3*time.Millisecond), 1))
	is.True(c.Apply(at(0), cleared[0]))
	is.True(!c.Apply(at(0), death)) // late news
	is.True(!c.Refused(at(0), 1))
	newer, _ := a.Crashed(at(time.Second), 1, "s2", false)
	is.True(c.Apply(at(time.Second), newer))
	is.True(!c.Apply(at(time.Second), cleared[0])) // old clearing
	is.True(c.Refused(at(time.Second), 1))
}

// TestBounds guards against a table that grows without bound, and against
// hosts that disagree after they heard the same news in different orders.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := DefaultPolicy()
		rules.Capacity = 4
		tables := []*Table{New(rules, "a", 0), New(rules, "b", 0), New(rules, "c", 0)}
		now := clock.Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			fp := uint64(rapid.IntRange(1, 8).Draw(t, "fp"))
			from := rapid.IntRange(0, 2).Draw(t, "from")
			var news []Update
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				news = tables[from].Succeeded(now, fp)
			} else {
				n, _ := tables[from].Crashed(now, fp, fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "server")), true)
				news = []Update{n}
			}
			for i, table := range tables {
				for _, n := range news {
					if i != from {
						table.Apply(now, n)
					}
					if !n.Cleared && !table.Refused(now, fp) {
						t.Fatalf("host %d does not refuse after a death", i)
					}
				}
				if table.Len() > rules.Capacity {
					t.Fatalf("%d entries, the limit is %d", table.Len(), rules.Capacity)
				}
				table.PoisonRequests(func(fp uint64, e *Entry) {
					if e.RefuseUntil.Sub(e.LastCrash) > rules.MaxRefusalTime || e.Expires.Before(e.RefuseUntil) {
						t.Fatalf("times out of bounds: %+v", e)
					}
				})
			}
		}
	})
}
