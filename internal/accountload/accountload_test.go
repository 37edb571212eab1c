package accountload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// replay feeds a table with requests at random times, and calls Hot every 200 ms as the
// controller does. rate gives the requests of an account in a second.
func replay(rng *rand.Rand, t *Table, accounts int, from, to time.Duration, rate func(account int, at time.Duration) float64, hot func(at time.Duration, hot map[uint32]float64)) {
	const step = 10 * time.Millisecond
	for at := from; at < to; at += step {
		now := clock.Time(time.Second).Add(at)
		for a := range accounts {
			for r := rate(a, at) * step.Seconds(); r > 0; r-- {
				if rng.Float64() < r {
					t.Add(now, uint32(a), 1)
				}
			}
		}
		if at%(200*time.Millisecond) == 0 {
			hot(at, t.Hot(now))
		}
	}
}

// TestHot guards against an account that sends seven times its usual load and is not found
// within four seconds or is taken for usual within a minute; and against other accounts that
// are found: those with few requests, new ones, and all when all of them send more.
func TestHot(t *testing.T) {
	const accounts = 74
	for seed := range uint64(5) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 3))
		// The requests of a data centre with 30 hosts, spread unevenly over the accounts.
		usual := func(a int) float64 {
			if a == accounts {
				return 0 // the new account
			}
			return 90 * 2 * float64(a+1) / accounts / (accounts + 1)
		}
		var table Table
		for _, c := range []struct {
			what     string
			from, to time.Duration
			rate     func(a int, at time.Duration) float64
			hot      int // the account that must be hot after four seconds, or -1
		}{
			{"calm", 0, 60 * time.Second, func(a int, _ time.Duration) float64 { return usual(a) }, -1},
			{"one account", 60 * time.Second, 120 * time.Second, func(a int, _ time.Duration) float64 {
				if a == 40 {
					return 7 * usual(a)
				}
				return usual(a)
			}, 40},
			{"calm again", 130 * time.Second, 160 * time.Second, func(a int, _ time.Duration) float64 { return usual(a) }, -1},
			{"all accounts", 160 * time.Second, 200 * time.Second, func(a int, _ time.Duration) float64 { return 2.5 * usual(a) }, -1},
			{"a new account", 220 * time.Second, 260 * time.Second, func(a int, _ time.Duration) float64 {
				if a == accounts {
					return 90.0 / accounts // the mean
				}
				return usual(a)
			}, -1},
		} {
			wrong, missed := 0, 0
			replay(rng, &table, accounts+1, c.from, c.to, c.rate, func(at time.Duration, hot map[uint32]float64) {
				for a := range hot {
					if int(a) != c.hot {
						wrong++
					}
				}
				if c.hot >= 0 && at-c.from > 4*time.Second && hot[uint32(c.hot)] < HotFrom {
					missed++
				}
			})
			t.Logf("seed %d, %s: %d times wrong, %d times missed", seed, c.what, wrong, missed)
			is.Equal(missed, 0)
			is.True(wrong <= 5) // of hundreds of judgements over 74 accounts
		}
	}
}

// TestYoungTable guards against accounts that are judged before their usual load is known, and
// against one that becomes usual while the table is young.
func TestYoungTable(t *testing.T) {
	is := is.New(t)
	var table Table
	is.Equal(len(table.Hot(1)), 0) // nothing was counted yet
	rng := rand.New(rand.NewPCG(1, 4))
	replay(rng, &table, 20, 0, 60*time.Second, func(a int, at time.Duration) float64 {
		if a == 0 && (at > 4*time.Second && at < 6*time.Second || at > 15*time.Second) {
			return 42
		}
		return 6
	}, func(at time.Duration, hot map[uint32]float64) {
		if at < learnTime {
			is.Equal(len(hot), 0)
		}
		if at > 20*time.Second {
			is.True(hot[0] >= HotFrom)
			is.Equal(len(hot), 1)
		}
	})
}

// TestRestartWhileHot guards against a host that is restarted while an account is hot and takes
// its load for usual; and against reports that count in a table that judges for itself.
func TestRestartWhileHot(t *testing.T) {
	is := is.New(t)
	var young, old Table
	rng := rand.New(rand.NewPCG(1, 6))
	const start, hotFrom = 120 * time.Second, 100 * time.Second
	replay(rng, &old, 20, 0, start, func(a int, at time.Duration) float64 {
		if a == 0 && at > hotFrom {
			return 42
		}
		return 6
	}, func(time.Duration, map[uint32]float64) {})
	replay(rng, &young, 20, start, start+90*time.Second, func(a int, _ time.Duration) float64 {
		if a == 0 {
			return 42
		}
		return 6
	}, func(at time.Duration, hot map[uint32]float64) {
		now := clock.Time(time.Second).Add(at)
		if !young.Judges() {
			young.Report(now, 0, 6)
			young.Report(now, 1, 1e9)  // not believed
			young.Report(now, 99, 1e9) // not known
		} else {
			young.Report(now, 1, 6) // it judges for itself
		}
		if at > start+time.Second {
			is.True(hot[0] >= HotFrom)
			is.Equal(len(hot), 1)
		}
	})
	is.True(old.Hot(clock.Time(time.Second).Add(start))[0] >= HotFrom)
	is.True(young.Judges())
}

// TestBounds guards against memory that grows with the number of accounts, against counts that
// are no numbers, and against idle accounts that are kept.
func TestBounds(t *testing.T) {
	is := is.New(t)
	var table Table
	now := clock.Time(time.Second)
	for i := range uint32(50_000) {
		now = now.Add(time.Millisecond)
		table.Add(now, i, 1)
		table.Add(now, 7, 40) // an account that sends much is not the one that makes room
		table.Add(now, i, -3)
		if i%200 == 0 {
			is.True(len(table.Hot(now)) <= MaxHot)
		}
		is.True(len(table.entries) <= maxAccounts)
	}
	is.True(table.entries[7] != nil)
	for _, h := range table.Hot(now) {
		is.True(h > 0 && !math.IsInf(h, 0) && !math.IsNaN(h))
	}
	for day := range 4 {
		is.Equal(len(table.Hot(now.Add(time.Duration(day+1)*24*time.Hour))), 0)
	}
	is.Equal(len(table.entries), 0)
	table.Hot(now) // a clock that seems to go back
}
