package ledger

import (
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Entry is what a copy of an order meets in the ledger.
type BeginResult uint8

const (
	// EntryExpired means that the key expired, so its record may be gone.
	BeginExpired BeginResult = iota
	// EntryRun means that this copy is the first: run it and call Finish.
	BeginStarted
	// EntryJoin means that the same request is running or finished: wait for the record.
	BeginDuplicate
	// EntryConflict means that another request was sent under the key.
	BeginConflict
	// EntryRevoked means that the key was revoked by an earlier refusal.
	BeginRevoked
	// EntryFull means that there is no room for a record. The key is now revoked.
	BeginFull
	// EntryStopping means that the ledger is sealed and not handed over yet. The key is now revoked.
	BeginStopping
	// EntrySealed means that the right to run the order went to a successor.
	BeginSealed
)

// Begin looks up the key of an order. The record is set for EntryRun and
// EntryJoin. After EntryRun the caller must call Finish exactly once.
func (l *Ledger) Begin(now clock.Time, sequence uint64, expiry clock.Time, fingerprint uint64) (BeginResult, *Record) {
	now = l.local(now)
	if !now.Before(expiry) || sequence < l.first || sequence >= l.next.Load() {
		return BeginExpired, nil
	}
	l.sweep(now, sweepStep)
	s := l.slot(sequence)
	for {
		w := s.word.Load()
		at, st := unpack(w)
		if at != sequence {
			return BeginExpired, nil
		}
		switch st {
		case Issued:
			if e, r, ok := l.open(s, now, sequence, expiry, fingerprint); ok {
				return e, r
			}
		case Revoked:
			return BeginRevoked, nil
		case Moved:
			return BeginSealed, nil
		default:
			if r := s.record.Load(); r != nil && r.sequence == sequence {
				return join(r, fingerprint)
			}
			if s.word.Load() == w { // the record was dropped at expiry
				return BeginExpired, nil
			}
		}
	}
}

func join(r *Record, fingerprint uint64) (BeginResult, *Record) {
	if r.fingerprint != fingerprint {
		return BeginConflict, nil
	}
	return BeginDuplicate, r
}

// open makes the first copy of an order pending. ok is false when the state of
// the key changed meanwhile and has to be read again.
func (l *Ledger) open(s *slot, now clock.Time, sequence uint64, expiry clock.Time, fingerprint uint64) (e BeginResult, r *Record, ok bool) {
	other := s.record.Load()
	if other != nil && other.sequence == sequence {
		e, r = join(other, fingerprint)
		return e, r, true
	}
	// Counted before the seal is read, so that a sealed ledger with no running
	// order stays so.
	l.running.Add(1)
	if l.sealed.Load() {
		l.stopRun()
		return BeginStopping, nil, s.word.CompareAndSwap(word(sequence, Issued), word(sequence, Revoked))
	}
	if !l.reserve(now) {
		l.stopRun()
		return BeginFull, nil, s.word.CompareAndSwap(word(sequence, Issued), word(sequence, Revoked))
	}
	r = &Record{sequence: sequence, expiry: expiry, fingerprint: fingerprint, done: make(chan struct{})}
	r.held.Store(int64(l.cfg.MaxResultBytes))
	if !s.record.CompareAndSwap(other, r) {
		l.unreserve()
		l.stopRun()
		return 0, nil, false
	}
	// The record is published before the state changes, so that a copy that
	// sees Pending always finds it.
	if s.word.CompareAndSwap(word(sequence, Issued), word(sequence, Pending)) {
		return BeginStarted, r, true
	}
	defer l.stopRun()
	l.drop(s, r)
	switch at, st := unpack(s.word.Load()); {
	case at == sequence && st == Revoked:
		r.settle(&Result{Verdict: verdict.NotRun, Reason: verdict.ReasonKeyRevoked})
		return BeginRevoked, nil, true
	case at == sequence && st == Moved:
		r.settle(&Result{Reason: verdict.ReasonOwnerSealed})
		return BeginSealed, nil, true
	default:
		r.settle(&Result{Reason: verdict.ReasonKeyExpired})
		return BeginExpired, nil, true
	}
}

// Dispatch records that the first byte of the order may leave. When it returns
// false, the order must not be sent.
func (l *Ledger) Dispatch(now clock.Time, r *Record) bool {
	if !l.local(now).Before(r.expiry) {
		return false
	}
	return l.change(r, Pending, Dispatched)
}

// Withdraw takes Dispatch back after an attempt that certainly did not run,
// such as one that the backend server shed.
func (l *Ledger) RevertDispatch(r *Record) bool { return l.change(r, Dispatched, Pending) }

func (l *Ledger) change(r *Record, from, to State) bool {
	return l.slot(r.sequence).word.CompareAndSwap(word(r.sequence, from), word(r.sequence, to))
}

// Cancel revokes the key of an order that was not dispatched and settles its
// record with a. It returns false, and changes nothing, if the order was dispatched.
func (l *Ledger) Cancel(r *Record, a Result) bool {
	if !l.change(r, Pending, Revoked) {
		return false
	}
	r.settle(&a)
	l.drop(l.slot(r.sequence), r)
	return true
}

// Finish ends an order with its answer. It keeps the answer if it is small
// enough. A verdict of NotRun revokes the key. Finish does nothing to an order
// that was cancelled. It returns the answer that copies of the order get.
func (l *Ledger) Finish(r *Record, a Result) Result {
	defer l.stopRun()
	s := l.slot(r.sequence)
	if a.Verdict == verdict.Ran && a.size() > l.cfg.MaxResultBytes {
		a.Response, a.Reason = nil, verdict.ReasonNotKept
	}
	final := Unknown
	switch a.Verdict {
	case verdict.Ran:
		final = Done
	case verdict.NotRun:
		final = Revoked
	}
	if !l.change(r, Dispatched, final) && !l.change(r, Pending, final) {
		// Cancel or Export revoked the key before a dispatch.
		if a.Verdict != verdict.NotRun {
			a = Result{Verdict: verdict.NotRun, Reason: verdict.ReasonKeyRevoked}
		}
		r.settle(&a)
		return *r.answer.Load()
	}
	if final == Revoked {
		r.settle(&a)
		l.drop(s, r)
		return a
	}
	size := int64(a.size())
	if r.held.CompareAndSwap(int64(l.cfg.MaxResultBytes), size) {
		l.bytes.Add(size - int64(l.cfg.MaxResultBytes))
	}
	r.settle(&a)
	return a
}

// Revoke makes sure that a key on which no order started never runs one. It
// returns false, and changes nothing, when an order may have started.
func (l *Ledger) Revoke(now clock.Time, sequence uint64, expiry clock.Time) bool {
	if !l.local(now).Before(expiry) || sequence < l.first || sequence >= l.next.Load() {
		return false
	}
	s := l.slot(sequence)
	return s.word.CompareAndSwap(word(sequence, Issued), word(sequence, Revoked)) ||
		s.word.Load() == word(sequence, Revoked)
}

// State returns the state of a key, or Free when it is out of the window.
func (l *Ledger) State(sequence uint64) State {
	if at, st := unpack(l.slot(sequence).word.Load()); at == sequence {
		return st
	}
	return Free
}
