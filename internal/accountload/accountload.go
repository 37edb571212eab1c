// Package accountload learns how many requests client accounts usually send, from counts of
// many entry hosts, and finds those that now send many times as many. It reads no clock and
// knows nothing of messages; controller accountloads feeds it.
package accountload

import (
	"math"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

const (
	// currentTime is the time constant of the current rate. An account that begins to send
	// seven times as much is hot after some two seconds.
	currentTime = 3 * time.Second
	// usualTime is the time constant of the usual rate.
	usualTime = 5 * time.Minute
	// period is the time after which the requests of the period before become usual. Without
	// this delay, the first seconds of a high rate would raise the usual rate of a young table
	// before the current rate shows them.
	period = 5 * time.Second
	// learnTime is the time whose requests must be learned before a table judges.
	learnTime = 10 * time.Second
	// risingHeat is the multiple of the usual rate from which on at most learnedShare of the
	// usual rate is learned. An account that goes on sending seven times as much stays hot for
	// some quarter of an hour.
	risingHeat, learnedShare = 1.5, 1.3
	// leastUsualShare is the part of the mean over all accounts that counts as usual at
	// least. Smaller accounts, and new ones, take up little room at many times their rate.
	leastUsualShare = 0.5
	// deviations is how many standard deviations of the count are taken off the current
	// rate, so that a few requests of a small account do not make it hot.
	deviations = 2
	// maxAccounts bounds the table to some 200 KB. Beyond it, the one of a few that sent
	// least makes room.
	maxAccounts = 2048
	// evictionSample is the number of accounts among which that one is chosen.
	evictionSample = 8
	// maxReported bounds the heat that is believed of another host.
	maxReported = 1000
	// MaxHot bounds the accounts that are hot at the same time; the hottest are kept.
	MaxHot = 64
	// reportTime is how long the heat that another host reported counts, in a table that is too
	// young to judge. Hosts repeat it five times a second.
	reportTime = time.Second
	// HotFrom is the multiple of its usual rate from which on an account is hot.
	HotFrom = 2.0
)

// entry holds the load of one account.
type entry struct {
	current, usual   float64 // decayed sums in requests per second; usual is of the time that was learned
	recent, previous float64 // requests of the running period and of the one before, which are not learned yet
	heat             float64 // by the newest Hot
	reported         float64 // by another host
	reportedAt       clock.Time
}

// Table holds the rates of accounts, by the hash of their names. It is not safe for
// concurrent use. The zero value is empty.
type Table struct {
	entries map[uint32]*entry
	began   clock.Time // of the first count; 0: none
	decayed clock.Time // up to which all rates are decayed
	rotated clock.Time // start of the running period
	learned clock.Time // up to which requests are part of the usual rates
}

// Len returns the number of accounts in the table.
func (t *Table) Len() int { return len(t.entries) }

// Add records requests of an account.
func (t *Table) Add(now clock.Time, account uint32, requests int) {
	if requests <= 0 {
		return
	}
	if t.began == 0 {
		t.began, t.decayed, t.rotated, t.learned, t.entries = now, now, now, now, map[uint32]*entry{}
	}
	e := t.entries[account]
	if e == nil {
		if len(t.entries) >= maxAccounts {
			t.evict()
		}
		e = &entry{}
		t.entries[account] = e
	}
	n := float64(requests)
	e.current += n / currentTime.Seconds()
	e.recent += n
}

// Report records the heat of an account as another host judged it. It counts only while the
// table is too young to judge: a host that is restarted while an account is hot would take the
// load of that account for usual.
func (t *Table) Report(now clock.Time, account uint32, heat float64) {
	if e := t.entries[account]; e != nil && heat >= HotFrom && heat <= maxReported {
		e.reported, e.reportedAt = heat, now
	}
}

// Judges reports whether the table has learned for long enough to judge.
func (t *Table) Judges() bool { return t.learned.Sub(t.began) >= learnTime }

// evict removes one account that sends little.
func (t *Table) evict() {
	var least uint32
	lowest, seen := math.Inf(1), 0
	for account, e := range t.entries {
		if rate := e.usual + e.current; rate < lowest {
			least, lowest = account, rate
		}
		if seen++; seen == evictionSample {
			break
		}
	}
	delete(t.entries, least)
}

// decay lowers all rates to those of now, and removes accounts that no longer send.
func (t *Table) decay(now clock.Time) {
	passed := now.Sub(t.decayed)
	if passed <= 0 {
		return
	}
	t.decayed = now
	current := math.Exp(-passed.Seconds() / currentTime.Seconds())
	usual := math.Exp(-passed.Seconds() / usualTime.Seconds())
	for account, e := range t.entries {
		e.current *= current
		e.usual *= usual
		if e.recent+e.previous == 0 && e.usual < 0.01/usualTime.Seconds() { // a hundredth of one request
			delete(t.entries, account)
		}
	}
}

// Hot returns the accounts that send at least HotFrom times their usual rate, with the
// multiple. A growth that all others share, as after the loss of a data centre, is taken
// out. A table that is too young to judge returns what other hosts reported. It returns nil
// if there is none.
func (t *Table) Hot(now clock.Time) map[uint32]float64 {
	if t.began == 0 {
		return nil
	}
	t.decay(now)
	least := t.judge(now)
	if now.Sub(t.rotated) >= period {
		t.rotate(now, least)
	}
	var hot map[uint32]float64
	for account, e := range t.entries {
		if e.heat < HotFrom {
			continue
		}
		if hot == nil {
			hot = map[uint32]float64{}
		}
		hot[account] = e.heat
		if len(hot) > MaxHot {
			removeCoolest(hot)
		}
	}
	return hot
}

// correction returns the factor from a decayed sum of what was learned to a rate: a young table
// has learned only a part of usualTime.
func (t *Table) correction(now clock.Time) float64 {
	decayed := func(since clock.Time) float64 { return math.Exp(-now.Sub(since).Seconds() / usualTime.Seconds()) }
	return 1 / max(decayed(t.learned)-decayed(t.began), 1e-9)
}

// rotate makes the requests of the previous period a part of the usual rates, and begins a new
// period. least is the rate that counts as usual at least.
func (t *Table) rotate(now clock.Time, least float64) {
	correction, length := t.correction(now), now.Sub(t.rotated).Seconds()
	for _, e := range t.entries {
		learned := e.previous
		switch {
		case e.heat < risingHeat:
		case !t.Judges():
			learned /= e.heat
		default:
			learned = min(learned, learnedShare*max(e.usual*correction, least)*length)
		}
		e.usual += learned / usualTime.Seconds()
		e.previous, e.recent = e.recent, 0
	}
	t.learned, t.rotated = t.rotated, now
}

// judge sets the heat of all accounts, and returns the rate that counts as usual at least.
func (t *Table) judge(now clock.Time) (least float64) {
	if !t.Judges() {
		for _, e := range t.entries {
			e.heat = 0
			if e.reportedAt != 0 && now.Sub(e.reportedAt) < reportTime {
				e.heat = e.reported
			}
		}
		return 0
	}
	if len(t.entries) == 0 {
		return 0
	}
	correction := t.correction(now)
	var allCurrent, allUsual float64
	for _, e := range t.entries {
		allCurrent += e.current
		allUsual += e.usual * correction
	}
	least = leastUsualShare * allUsual / float64(len(t.entries))
	for _, e := range t.entries {
		usual := e.usual * correction
		growth := 1.0
		if others := allUsual - usual; others > 0 {
			growth = max(1, (allCurrent-e.current)/others)
		}
		// A decayed sum of a rate r over the time constant T varies by sqrt(r/2T).
		certain := e.current - deviations*math.Sqrt(e.current/(2*currentTime.Seconds()))
		e.heat = certain / max(max(usual, least)*growth, 1e-9)
	}
	return least
}

func removeCoolest(hot map[uint32]float64) {
	var coolest uint32
	lowest := math.Inf(1)
	for account, heat := range hot {
		if heat < lowest {
			coolest, lowest = account, heat
		}
	}
	delete(hot, coolest)
}
