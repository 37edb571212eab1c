package ledger

import (
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// BeginResult is the result of Begin. It decides how the caller handles its copy
// of the order.
type BeginResult uint8

const (
	// BeginExpired means that the key has expired, so its record may have been dropped.
	BeginExpired BeginResult = iota
	// BeginStarted means that this copy is the first: run it and call Finish.
	BeginStarted
	// BeginDuplicate means that the same request is running or finished: wait for its record.
	BeginDuplicate
	// BeginConflict means that a different request was sent under the key.
	BeginConflict
	// BeginRevoked means that the key was revoked by an earlier refusal.
	BeginRevoked
	// BeginFull means that the ledger has no capacity for a record. The key is now revoked.
	BeginFull
	// BeginStopping means that the ledger is sealed but not handed over yet. The key is now revoked.
	BeginStopping
	// BeginSealed means that only a successor may run the order.
	BeginSealed
)

// Begin looks up the key of an order and starts the order if this copy is the
// first. The record is set for BeginStarted and BeginDuplicate. After BeginStarted,
// the caller must call Finish exactly once.
func (l *Ledger) Begin(now clock.Time, sequence uint64, expiry clock.Time, fingerprint uint64) (BeginResult, *Record) {
	now = l.incarnationTime(now)
	if !now.Before(expiry) || sequence < l.first || sequence >= l.next.Load() {
		return BeginExpired, nil
	}
	l.sweep(now, sweepStep)
	s := l.slot(sequence)
	for {
		w := s.word.Load()
		current, st := unpack(w)
		if current != sequence {
			return BeginExpired, nil
		}
		switch st {
		case Issued:
			if e, r, ok := l.beginFirst(s, now, sequence, expiry, fingerprint); ok {
				return e, r
			}
		case Revoked:
			return BeginRevoked, nil
		case Moved:
			return BeginSealed, nil
		default:
			if r := s.record.Load(); r != nil && r.sequence == sequence {
				return duplicateOrConflict(r, fingerprint)
			}
			if s.word.Load() == w { // the record was dropped at expiry
				return BeginExpired, nil
			}
		}
	}
}

func duplicateOrConflict(r *Record, fingerprint uint64) (BeginResult, *Record) {
	if r.fingerprint != fingerprint {
		return BeginConflict, nil
	}
	return BeginDuplicate, r
}

// beginFirst changes the key of an order's first copy to Pending. ok is false if
// the state of the key changed concurrently and must be read again.
func (l *Ledger) beginFirst(s *slot, now clock.Time, sequence uint64, expiry clock.Time, fingerprint uint64) (e BeginResult, r *Record, ok bool) {
	other := s.record.Load()
	if other != nil && other.sequence == sequence {
		e, r = duplicateOrConflict(other, fingerprint)
		return e, r, true
	}
	// The run is counted before the seal is read, so that a sealed ledger that has
	// no running order never gets one.
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
	r.reservedBytes.Store(int64(l.cfg.MaxResultBytes))
	if !s.record.CompareAndSwap(other, r) {
		l.unreserve()
		l.stopRun()
		return 0, nil, false
	}
	// The record is published before the state changes, so that a copy that reads
	// Pending always finds it.
	if s.word.CompareAndSwap(word(sequence, Issued), word(sequence, Pending)) {
		return BeginStarted, r, true
	}
	defer l.stopRun()
	l.dropRecord(s, r)
	switch current, st := unpack(s.word.Load()); {
	case current == sequence && st == Revoked:
		r.setResult(&Result{Verdict: verdict.NotRun, Reason: verdict.ReasonKeyRevoked})
		return BeginRevoked, nil, true
	case current == sequence && st == Moved:
		r.setResult(&Result{Reason: verdict.ReasonOwnerSealed})
		return BeginSealed, nil, true
	default:
		r.setResult(&Result{Reason: verdict.ReasonKeyExpired})
		return BeginExpired, nil, true
	}
}

// Dispatch records that the first byte of the order may be sent. If it returns
// false, the order must not be sent.
func (l *Ledger) Dispatch(now clock.Time, r *Record) bool {
	if !l.incarnationTime(now).Before(r.expiry) {
		return false
	}
	return l.transition(r, Pending, Dispatched)
}

// RevertDispatch reverts Dispatch after an attempt that certainly did not run,
// such as one that the backend server shed.
func (l *Ledger) RevertDispatch(r *Record) bool { return l.transition(r, Dispatched, Pending) }

func (l *Ledger) transition(r *Record, from, to State) bool {
	return l.slot(r.sequence).word.CompareAndSwap(word(r.sequence, from), word(r.sequence, to))
}

// Cancel revokes the key of an order that was not dispatched and sets its result to
// res. It returns false, and changes nothing, if the order was dispatched.
func (l *Ledger) Cancel(r *Record, res Result) bool {
	if !l.transition(r, Pending, Revoked) {
		return false
	}
	r.setResult(&res)
	l.dropRecord(l.slot(r.sequence), r)
	return true
}

// Finish ends an order with its result. It keeps the response if it is not larger
// than MaxResultBytes. A verdict of NotRun revokes the key. Finish does not change
// the result of a cancelled order. It returns the result that copies of the order
// receive.
func (l *Ledger) Finish(r *Record, res Result) Result {
	defer l.stopRun()
	s := l.slot(r.sequence)
	if res.Verdict == verdict.Ran && res.size() > l.cfg.MaxResultBytes {
		res.Response, res.Reason = nil, verdict.ReasonNotKept
	}
	final := Unknown
	switch res.Verdict {
	case verdict.Ran:
		final = Done
	case verdict.NotRun:
		final = Revoked
	}
	if !l.transition(r, Dispatched, final) && !l.transition(r, Pending, final) {
		// Cancel or Export revoked the key before a dispatch.
		if res.Verdict != verdict.NotRun {
			res = Result{Verdict: verdict.NotRun, Reason: verdict.ReasonKeyRevoked}
		}
		r.setResult(&res)
		return *r.result.Load()
	}
	if final == Revoked {
		r.setResult(&res)
		l.dropRecord(s, r)
		return res
	}
	size := int64(res.size())
	if r.reservedBytes.CompareAndSwap(int64(l.cfg.MaxResultBytes), size) {
		l.bytes.Add(size - int64(l.cfg.MaxResultBytes))
	}
	r.setResult(&res)
	return res
}

// Revoke revokes a key under which no order has started, so that none ever runs.
// It returns false, and changes nothing, if an order may have started.
func (l *Ledger) Revoke(now clock.Time, sequence uint64, expiry clock.Time) bool {
	if !l.incarnationTime(now).Before(expiry) || sequence < l.first || sequence >= l.next.Load() {
		return false
	}
	s := l.slot(sequence)
	return s.word.CompareAndSwap(word(sequence, Issued), word(sequence, Revoked)) ||
		s.word.Load() == word(sequence, Revoked)
}

// State returns the state of a key, or Free if its slot does not hold the key.
func (l *Ledger) State(sequence uint64) State {
	if current, st := unpack(l.slot(sequence).word.Load()); current == sequence {
		return st
	}
	return Free
}
