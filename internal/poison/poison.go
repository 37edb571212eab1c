// Package poison decides which requests are refused as poison requests because
// backend servers crashed while running them. Its inputs are crashes, successes
// and updates from other entry hosts; the controllers poisonrequests and crashes
// call it. It has no goroutines, sockets or codecs.
//
// A request is identified by its fingerprint. After one crash it is refused for
// FirstRefusalTime, except for one retry in the whole fleet; after two it is
// refused for BaseRefusalTime. A success clears it. When the refusal has ended,
// the entry is kept for another BaseRefusalTime: the request runs again, and one
// more crash refuses it for longer.
package poison

import (
	"strconv"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// Policy holds the times and limits of the decisions.
type Policy struct {
	// FirstRefusalTime is the refusal after one crash. It is short because most
	// requests in flight on a crashing server are not the cause.
	FirstRefusalTime time.Duration
	// BaseRefusalTime is the refusal after two crashes; it doubles with each
	// further crash.
	BaseRefusalTime time.Duration
	// AmbiguousRefusalTime replaces BaseRefusalTime when another request has its
	// second crash on the same server at about the same time: one of them may
	// have been in flight by chance.
	AmbiguousRefusalTime time.Duration
	// MaxRefusalTime is the upper limit of the doubled refusal time.
	MaxRefusalTime time.Duration
	// SameCrashWindow is the time within which reports of a crash of the same
	// server are taken for the same crash.
	SameCrashWindow time.Duration
	// Capacity is the largest number of entries.
	Capacity int
}

// DefaultPolicy returns the policy in use. With it, a request that crashes every
// server runs once, is retried once, and is then refused for two minutes.
func DefaultPolicy() Policy {
	return Policy{
		FirstRefusalTime: 2 * time.Second, BaseRefusalTime: 2 * time.Minute, AmbiguousRefusalTime: 10 * time.Second,
		MaxRefusalTime: 16 * time.Minute, SameCrashWindow: time.Second, Capacity: 1024,
	}
}

// Update is one item of gossip state about a fingerprint.
type Update struct {
	Fingerprint uint64
	Origin      string        // process of the entry host that observed the crash; see Origin
	Sequence    uint64        // per origin, increases with each crash it observed
	Crashes     int           // crashes known to the sender, including this one
	RetryUsed   bool          // the single retry is used up
	Cleared     bool          // the request succeeded: crashes up to Sequence no longer count
	Server      string        // backend server that crashed
	Age         time.Duration // since the crash
}

// maxOrigins is the maximum number of origins stored for one fingerprint.
const maxOrigins = 32

// Entry is the state of one fingerprint.
type Entry struct {
	Crashes     int        // crashes of different servers; 0 after a success
	RetryUsed   bool       // the single retry is used up
	Server      string     // server that crashed last
	LastCrash   clock.Time // when the last server crashed
	RefuseUntil clock.Time
	Expires     clock.Time        // when the entry is removed
	sequences   map[string]uint64 // latest sequence number by origin
	last        Update            // that reported the last crash
}

// Table holds the poison requests known to one entry host. It is not safe for
// concurrent use.
type Table struct {
	policy   Policy
	self     string
	sequence uint64
	entries  map[uint64]*Entry
	evicted  int
}

// New returns an empty table for the process self, an Origin.
func New(policy Policy, self string) *Table {
	return &Table{policy: policy, self: self, entries: map[uint64]*Entry{}}
}

// Origin returns the name of one process of an entry host. The updates of a process
// are numbered from 1: by the host's name alone, other hosts would take those of a
// restarted process for old ones, and it would take reports of its own crashes before
// the restart for known.
func Origin(host string, incarnation uint64) string {
	return host + "/" + strconv.FormatUint(incarnation, 16)
}

// MaxOriginSuffix is the length in bytes that Origin adds to the name of a host.
const MaxOriginSuffix = 17

// Crashed records that server crashed while it ran the request. retry reports
// whether the request may be retried once, as far as this host knows.
func (t *Table) Crashed(now clock.Time, fingerprint uint64, server string, wantRetry bool) (u Update, retry bool) {
	t.Expire(now)
	e := t.entry(now, fingerprint)
	retry = wantRetry && e.Crashes == 0
	t.sequence++
	u = Update{Fingerprint: fingerprint, Origin: t.self, Sequence: t.sequence, Server: server, RetryUsed: e.RetryUsed || retry}
	t.recordCrash(now, e, u)
	u.Crashes = e.Crashes
	return u, retry
}

// Succeeded records that the request completed without a crash of the server. It
// returns the updates that clear it, or none if it is not a poison request.
func (t *Table) Succeeded(now clock.Time, fingerprint uint64) []Update {
	t.Expire(now)
	e := t.entries[fingerprint]
	if e == nil || e.Crashes == 0 {
		return nil
	}
	updates := make([]Update, 0, len(e.sequences))
	for origin, sequence := range e.sequences {
		updates = append(updates, Update{Fingerprint: fingerprint, Origin: origin, Sequence: sequence, Cleared: true})
	}
	t.clear(now, e)
	return updates
}

// Apply processes an update from another entry host. It returns false when the
// update changes nothing, for example a duplicate.
func (t *Table) Apply(now clock.Time, u Update) bool {
	t.Expire(now)
	if t.outdated(u) {
		return false
	}
	e := t.entries[u.Fingerprint]
	if e != nil && u.Sequence <= e.sequences[u.Origin] && !(u.Cleared && u.Sequence == e.sequences[u.Origin] && e.Crashes > 0) {
		return false
	}
	e = t.entry(now, u.Fingerprint)
	if u.Cleared {
		e.recordSequence(u)
		t.clear(now, e)
		return true
	}
	t.recordCrash(now.Add(-u.Age), e, u)
	return true
}

// outdated reports whether an entry with this update as its last crash would have
// been removed. Without this check, hosts that receive an old update would repeat it
// to those that have forgotten it, and the request would stay refused.
func (t *Table) outdated(u Update) bool {
	return u.Age > 0 && u.Age >= t.refusalTime(u.Crashes, false)+t.policy.BaseRefusalTime
}

// Refusals calls yield with one update for each request that is refused after two
// or more crashes, and with the end of the refusal. The update tells hosts of it
// that have not received those about the crashes.
func (t *Table) Refusals(now clock.Time, yield func(u Update, until clock.Time)) {
	for _, e := range t.entries {
		if e.Crashes < 2 || !now.Before(e.RefuseUntil) {
			continue
		}
		u := e.last
		u.Crashes, u.RetryUsed, u.Age = e.Crashes, e.RetryUsed, now.Sub(e.LastCrash)
		yield(u, e.RefuseUntil)
	}
}

// Known returns the state of a fingerprint as updates, for a reply to another
// entry host, or none when it is not a poison request.
func (t *Table) Known(now clock.Time, fingerprint uint64) []Update {
	t.Expire(now)
	e := t.entries[fingerprint]
	if e == nil || e.Crashes == 0 {
		return nil
	}
	updates := make([]Update, 0, len(e.sequences))
	for origin, sequence := range e.sequences {
		updates = append(updates, Update{
			Fingerprint: fingerprint, Origin: origin, Sequence: sequence,
			Crashes: e.Crashes, RetryUsed: e.RetryUsed, Server: e.Server,
		})
	}
	return updates
}

// Refused reports whether the request is refused at now.
func (t *Table) Refused(now clock.Time, fingerprint uint64) bool {
	e := t.entries[fingerprint]
	return e != nil && e.Crashes > 0 && now.Before(e.RefuseUntil)
}

// PoisonRequests calls yield for each entry with at least one crash.
func (t *Table) PoisonRequests(yield func(fingerprint uint64, e *Entry)) {
	for fp, e := range t.entries {
		if e.Crashes > 0 {
			yield(fp, e)
		}
	}
}

// Len returns the number of entries, including cleared ones.
func (t *Table) Len() int { return len(t.entries) }

// Evicted returns how many entries were dropped because the table was full.
func (t *Table) Evicted() int { return t.evicted }

// Expire removes entries that have expired and reports whether there were any.
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

// entry returns the entry of a fingerprint and creates it if necessary. When the
// table is full, it evicts the entry with the fewest crashes, and of these the
// one that expires first.
func (t *Table) entry(now clock.Time, fingerprint uint64) *Entry {
	if e := t.entries[fingerprint]; e != nil {
		return e
	}
	if len(t.entries) >= t.policy.Capacity {
		var victimFingerprint uint64
		var victim *Entry
		for fp, e := range t.entries {
			if victim == nil || e.Crashes < victim.Crashes || e.Crashes == victim.Crashes && e.Expires.Before(victim.Expires) {
				victimFingerprint, victim = fp, e
			}
		}
		delete(t.entries, victimFingerprint)
		t.evicted++
	}
	e := &Entry{sequences: map[string]uint64{}, Expires: now.Add(t.policy.FirstRefusalTime)}
	t.entries[fingerprint] = e
	return e
}

func (e *Entry) recordSequence(u Update) {
	if _, ok := e.sequences[u.Origin]; ok || len(e.sequences) < maxOrigins {
		e.sequences[u.Origin] = max(e.sequences[u.Origin], u.Sequence)
	}
}

// recordCrash counts the crash of a server at the given time. Several requests with
// the same fingerprint may have been in flight on it, also from several entry hosts;
// they count as one crash.
func (t *Table) recordCrash(at clock.Time, e *Entry, u Update) {
	e.recordSequence(u)
	e.RetryUsed = e.RetryUsed || u.RetryUsed
	duplicate := e.Crashes > 0 && e.Server == u.Server && at.Sub(e.LastCrash).Abs() < t.policy.SameCrashWindow
	crashes := e.Crashes
	if !duplicate {
		crashes++
	}
	crashes = max(crashes, u.Crashes)
	if crashes == e.Crashes {
		return
	}
	first := e.Crashes == 0
	e.Crashes = crashes
	if first || e.LastCrash.Before(at) {
		e.Server, e.LastCrash, e.last = u.Server, at, u
	}
	t.setRefusal(e)
}

// setRefusal sets the refusal and expiry times of e, and of the entries whose
// second crash is the same as that of e.
func (t *Table) setRefusal(e *Entry) {
	shared := []*Entry{e}
	if e.Crashes == 2 {
		for _, o := range t.entries {
			interval := e.LastCrash.Sub(o.LastCrash).Abs()
			if o != e && o.Crashes == 2 && o.Server == e.Server && interval < t.policy.SameCrashWindow {
				shared = append(shared, o)
			}
		}
	}
	for _, s := range shared {
		s.RefuseUntil = s.LastCrash.Add(t.refusalTime(s.Crashes, len(shared) > 1))
		s.Expires = s.RefuseUntil.Add(t.policy.BaseRefusalTime)
	}
}

func (t *Table) refusalTime(crashes int, ambiguous bool) time.Duration {
	switch {
	case crashes < 2:
		return t.policy.FirstRefusalTime
	case ambiguous:
		return t.policy.AmbiguousRefusalTime
	}
	w := t.policy.BaseRefusalTime
	for i := 2; i < crashes && w < t.policy.MaxRefusalTime; i++ {
		w *= 2
	}
	return min(w, t.policy.MaxRefusalTime)
}

// clear ends the refusal. The entry is kept for as long as updates about the
// crashes may be delayed, so that they do not refuse the request again.
func (t *Table) clear(now clock.Time, e *Entry) {
	e.Crashes, e.RetryUsed, e.Server, e.RefuseUntil, e.last = 0, false, "", 0, Update{}
	e.Expires = now.Add(t.policy.BaseRefusalTime)
}
