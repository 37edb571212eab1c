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

// TestRefusals guards against a poison request that runs a third time, an
// unrelated request that stays refused, and a retry that is granted twice.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	a, b := New(DefaultPolicy(), "a"), New(DefaultPolicy(), "b")
	update, retry := a.Crashed(at(0), 1, "s1", true)
	is.True(retry) // one retry after the first crash
	is.True(b.Apply(at(time.Millisecond), update))
	is.True(!b.Apply(at(time.Millisecond), update)) // a duplicate changes nothing
	is.True(a.Refused(at(time.Second), 1) && b.Refused(at(time.Second), 1))
	is.True(!b.Refused(at(3*time.Second), 1)) // the first refusal is short
	_, retry = b.Crashed(at(time.Second), 1, "s2", true)
	is.True(!retry) // no second retry in the fleet
	is.True(b.Refused(at(119*time.Second), 1))
	is.True(!b.Refused(at(122*time.Second), 1)) // refusal ended, entry kept
	_, retry = b.Crashed(at(122*time.Second), 1, "s3", true)
	is.True(!retry)
	is.True(b.Refused(at(350*time.Second), 1)) // the refusal time doubles
	is.True(b.Expire(at(time.Hour)))
	is.Equal(b.Len(), 0)
}

// TestCrashCountsOnce guards against a frequent request that is refused for
// BaseRefusalTime because several copies were in flight on one crashing server.
func TestCrashCountsOnce(t *testing.T) {
	is := is.New(t)
	a, b := New(DefaultPolicy(), "a"), New(DefaultPolicy(), "b")
	a.Crashed(at(0), 1, "s1", true)
	a.Crashed(at(0), 1, "s1", true)
	update, _ := b.Crashed(at(time.Millisecond), 1, "s1", true)
	a.Apply(at(2*time.Millisecond), update)
	is.True(a.Refused(at(time.Second), 1))
	is.True(!a.Refused(at(3*time.Second), 1))
}

// TestAmbiguousCrash guards against an unrelated request that is refused for
// BaseRefusalTime because it was in flight together with the cause twice.
func TestAmbiguousCrash(t *testing.T) {
	is := is.New(t)
	a := New(DefaultPolicy(), "a")
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

// TestClear guards against a delayed update that refuses a cleared request again,
// and against an old clearing update that cancels a newer crash.
func TestClear(t *testing.T) {
	is := is.New(t)
	a, b, c := New(DefaultPolicy(), "a"), New(DefaultPolicy(), "b"), New(DefaultPolicy(), "c")
	crash, _ := a.Crashed(at(0), 1, "s1", true)
	b.Apply(at(0), crash)
	cleared := b.Succeeded(at(time.Millisecond), 1)
	is.Equal(len(cleared), 1)
	is.Equal(len(b.Succeeded(at(time.Millisecond), 1)), 0) // announced once
	is.True(a.Apply(at(2*time.Millisecond), cleared[0]))
	is.True(!a.Refused(at(3*time.Millisecond), 1))
	is.True(c.Apply(at(0), cleared[0]))
	is.True(!c.Apply(at(0), crash)) // delayed update
	is.True(!c.Refused(at(0), 1))
	newer, _ := a.Crashed(at(time.Second), 1, "s2", false)
	is.True(c.Apply(at(time.Second), newer))
	is.True(!c.Apply(at(time.Second), cleared[0])) // old clearing update
	is.True(c.Refused(at(time.Second), 1))
}

// TestBounds guards against a table that grows without limit, and against hosts
// that disagree on a refusal after they received the same updates in different
// orders.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := DefaultPolicy()
		policy.Capacity = 4
		tables := []*Table{New(policy, "a"), New(policy, "b"), New(policy, "c")}
		now := clock.Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			fp := uint64(rapid.IntRange(1, 8).Draw(t, "fp"))
			from := rapid.IntRange(0, 2).Draw(t, "from")
			var updates []Update
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				updates = tables[from].Succeeded(now, fp)
			} else {
				u, _ := tables[from].Crashed(now, fp, fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "server")), true)
				updates = []Update{u}
			}
			for i, table := range tables {
				for _, u := range updates {
					if i != from {
						table.Apply(now, u)
					}
					if !u.Cleared && !table.Refused(now, fp) {
						t.Fatalf("host %d does not refuse the request after a crash", i)
					}
				}
				if table.Len() > policy.Capacity {
					t.Fatalf("table has %d entries, limit is %d", table.Len(), policy.Capacity)
				}
				table.PoisonRequests(func(fp uint64, e *Entry) {
					if e.RefuseUntil.Sub(e.LastCrash) > policy.MaxRefusalTime || e.Expires.Before(e.RefuseUntil) {
						t.Fatalf("refusal or expiry time out of range: %+v", e)
					}
				})
			}
		}
	})
}
