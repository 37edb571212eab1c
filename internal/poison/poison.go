// Package poison decides which requests are refused because backend servers
// died while running them. It has no goroutines, sockets or codecs.
//
// A request is known by its fingerprint. After one death it is refused for a
// short probation, except for one repetition in the whole fleet; after two it
// is refused for the window. A success clears it. When the refusal has ended,
// the entry stays for one more window on parole: the request runs again, and
// one more death refuses it for longer.
package poison

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// Rules are the times and bounds of the decisions.
type Policy struct {
	// Probation is the refusal after one death. It ends soon because most
	// requests in flight on a dying server only stood beside the cause.
	FirstRefusalTime time.Duration
	// Window is the refusal after two deaths; it doubles with each further one.
	BaseRefusalTime time.Duration
	// Contested replaces Window while another request has its second death on
	// the same server: one of them may have been in flight by chance.
	AmbiguousRefusalTime time.Duration
	// Longest bounds the doubled window.
	MaxRefusalTime time.Duration
	// Together is how far apart two reports of one server's death may arrive.
	SameCrashWindow time.Duration
	// Capacity is the largest number of entries.
	Capacity int
}

// DefaultRules returns the rules in use. With them a request that kills every
// server runs once, is repeated once, and is then refused for two minutes.
func DefaultPolicy() Policy {
	return Policy{
		FirstRefusalTime: 2 * time.Second, BaseRefusalTime: 2 * time.Minute, AmbiguousRefusalTime: 10 * time.Second,
		MaxRefusalTime: 16 * time.Minute, SameCrashWindow: time.Second, Capacity: 1024,
	}
}

// News is what entry hosts tell each other about a fingerprint.
type Update struct {
	Fingerprint uint64
	Origin      string // entry host that saw the death
	Sequence    uint64 // per origin, grows with each death it saw
	Crashes     int    // deaths known to the sender, this one included
	RetryUsed   bool   // the one repetition is taken
	Cleared     bool   // the request succeeded: deaths up to Sequence are void
	Server      string // backend server that died
}

// maxOrigins bounds the origins remembered for one fingerprint.
const maxOrigins = 32

// Entry is the state of one fingerprint.
type Entry struct {
	Crashes     int        // deaths of different servers; 0 after a success
	RetryUsed   bool       // the one repetition is taken
	Server      string     // that died last
	LastCrash   clock.Time // when this host heard of the last death
	RefuseUntil clock.Time
	Expires     clock.Time        // end of parole
	seen        map[string]uint64 // latest sequence by origin
}

// Table holds the suspects known to one entry host. It is not safe for
// concurrent use.
type Table struct {
	rules    Policy
	self     string
	sequence uint64
	entries  map[uint64]*Entry
	evicted  int
}

// New returns an empty table for the entry host self. first must be above the
// sequences that an earlier process of the same name used.
func New(rules Policy, self string, first uint64) *Table {
	return &Table{rules: rules, self: self, sequence: first, entries: map[uint64]*Entry{}}
}

// Crashed records that server died while it ran the request. retry says whether
// the request may be sent once more, as far as this host knows.
func (t *Table) Crashed(now clock.Time, fingerprint uint64, server string, wantRetry bool) (n Update, retry bool) {
	t.Expire(now)
	e := t.entry(now, fingerprint)
	retry = wantRetry && e.Crashes == 0
	t.sequence++
	n = Update{Fingerprint: fingerprint, Origin: t.self, Sequence: t.sequence, Server: server, RetryUsed: e.RetryUsed || retry}
	t.death(now, e, n)
	n.Crashes = e.Crashes
	return n, retry
}

// Succeeded records that the request ran to its end on a server that lived. It
// returns the news that clear it, or none if it is no suspect.
func (t *Table) Succeeded(now clock.Time, fingerprint uint64) []Update {
	t.Expire(now)
	e := t.entries[fingerprint]
	if e == nil || e.Crashes == 0 {
		return nil
	}
	news := make([]Update, 0, len(e.seen))
	for origin, sequence := range e.seen {
		news = append(news, Update{Fingerprint: fingerprint, Origin: origin, Sequence: sequence, Cleared: true})
	}
	t.clear(now, e)
	return news
}

// Apply takes news from another entry host. It returns false when the news
// changes nothing, such as a repetition.
func (t *Table) Apply(now clock.Time, n Update) bool {
	t.Expire(now)
	e := t.entries[n.Fingerprint]
	if e != nil && n.Sequence <= e.seen[n.Origin] && !(n.Cleared && n.Sequence == e.seen[n.Origin] && e.Crashes > 0) {
		return false
	}
	e = t.entry(now, n.Fingerprint)
	if n.Cleared {
		e.note(n)
		t.clear(now, e)
		return true
	}
	t.death(now, e, n)
	return true
}

// Known returns news that describe what this host knows of a fingerprint, or
// none when it is no suspect. The answer to another host's question.
func (t *Table) Known(now clock.Time, fingerprint uint64) []Update {
	t.Expire(now)
	e := t.entries[fingerprint]
	if e == nil || e.Crashes == 0 {
		return nil
	}
	news := make([]Update, 0, len(e.seen))
	for origin, sequence := range e.seen {
		news = append(news, Update{
			Fingerprint: fingerprint, Origin: origin, Sequence: sequence,
			Crashes: e.Crashes, RetryUsed: e.RetryUsed, Server: e.Server,
		})
	}
	return news
}

// Refused reports whether the request is refused at now.
func (t *Table) Refused(now clock.Time, fingerprint uint64) bool {
	e := t.entries[fingerprint]
	return e != nil && e.Crashes > 0 && now.Before(e.RefuseUntil)
}

// Suspects calls yield for each entry with a death.
func (t *Table) PoisonRequests(yield func(fingerprint uint64, e *Entry)) {
	for fp, e := range t.entries {
		if e.Crashes > 0 {
			yield(fp, e)
		}
	}
}

// Len returns the number of entries, cleared ones included.
func (t *Table) Len() int { return len(t.entries) }

// Evicted returns how many entries were dropped because the table was full.
func (t *Table) Evicted() int { return t.evicted }

// Expire removes entries whose parole has ended and reports whether there were any.
func (t *Table) Expire(now clock.Time) bool {
	before := len(t.entries)
	for fp, e := range t.entries {
		if !now.Before(e.Expires) {
			delete(t.entries, fp)
		}
	}
	return len(t.entries) != before
}

// NextExpiry returns when the next entry expires. ok is false for an empty table.
func (t *Table) NextExpiry() (at clock.Time, ok bool) {
	for _, e := range t.entries {
		if !ok || e.Expires.Before(at) {
			at, ok = e.Expires, true
		}
	}
	return at, ok
}

// entry returns the entry of a fingerprint, creating it if need be. A full
// table drops the entry with the fewest deaths that expires first.
func (t *Table) entry(now clock.Time, fingerprint uint64) *Entry {
	if e := t.entries[fingerprint]; e != nil {
		return e
	}
	if len(t.entries) >= t.rules.Capacity {
		var drop uint64
		var worst *Entry
		for fp, e := range t.entries {
			if worst == nil || e.Crashes < worst.Crashes || e.Crashes == worst.Crashes && e.Expires.Before(worst.Expires) {
				drop, worst = fp, e
			}
		}
		delete(t.entries, drop)
		t.evicted++
	}
	e := &Entry{seen: map[string]uint64{}, Expires: now.Add(t.rules.FirstRefusalTime)}
	t.entries[fingerprint] = e
	return e
}

func (e *Entry) note(n Update) {
	if _, ok := e.seen[n.Origin]; ok || len(e.seen) < maxOrigins {
		e.seen[n.Origin] = max(e.seen[n.Origin], n.Sequence)
	}
}

// death counts the death of a server. Several requests of one fingerprint may
// have been in flight on it, also from several entry hosts: they count once.
func (t *Table) death(now clock.Time, e *Entry, n Update) {
	e.note(n)
	e.RetryUsed = e.RetryUsed || n.RetryUsed
	same := e.Crashes > 0 && e.Server == n.Server && now.Sub(e.LastCrash) < t.rules.SameCrashWindow
	crashes := e.Crashes
	if !same {
		crashes++
	}
	crashes = max(crashes, n.Crashes)
	if crashes == e.Crashes {
		return
	}
	e.Crashes, e.Server, e.LastCrash = crashes, n.Server, now
	t.refuse(e)
}

// refuse sets the times of e, and of entries that share its second death.
func (t *Table) refuse(e *Entry) {
	shared := []*Entry{e}
	if e.Crashes == 2 {
		for _, o := range t.entries {
			apart := e.LastCrash.Sub(o.LastCrash).Abs()
			if o != e && o.Crashes == 2 && o.Server == e.Server && apart < t.rules.SameCrashWindow {
				shared = append(shared, o)
			}
		}
	}
	for _, s := range shared {
		s.RefuseUntil = s.LastCrash.Add(t.window(s.Crashes, len(shared) > 1))
		s.Expires = s.RefuseUntil.Add(t.rules.BaseRefusalTime)
	}
}

func (t *Table) window(crashes int, contested bool) time.Duration {
	switch {
	case crashes < 2:
		return t.rules.FirstRefusalTime
	case contested:
		return t.rules.AmbiguousRefusalTime
	}
	w := t.rules.BaseRefusalTime
	for i := 2; i < crashes && w < t.rules.MaxRefusalTime; i++ {
		w *= 2
	}
	return min(w, t.rules.MaxRefusalTime)
}

// clear ends the suspicion. The entry stays for the time that late news of the
// deaths may take, so that they do not raise it again.
func (t *Table) clear(now clock.Time, e *Entry) {
	e.Crashes, e.RetryUsed, e.Server, e.RefuseUntil = 0, false, "", 0
	e.Expires = now.Add(t.rules.BaseRefusalTime)
}
