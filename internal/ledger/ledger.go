// Package ledger holds the state of the order keys of one incarnation and the
// results of their orders. It decides whether an order may be dispatched. The
// orderkey and orderguard filters and the orders controller call it; it has no
// sockets and starts no goroutines.
//
// Many request goroutines use a ledger concurrently without a mutex. Each key has
// one 64-bit word that holds its sequence number and state, and each state change
// is one compare-and-swap on the word. The sequence number in the word makes a late
// change fail after the slot was reused for a later key. Atomic words are used
// instead of a sharded lock, because the only rule that must be atomic, "at most
// one copy leaves the issued state", concerns a single key. Copies of one order
// share its record: the first copy publishes it, the others wait on its channel.
package ledger

import (
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// State is the state of a key.
type State uint8

const (
	// Free means that the slot was never used.
	Free State = iota
	// Issued means that no order was received under the key yet.
	Issued
	// Pending means that an order is being handled and no byte of it was sent.
	Pending
	// Dispatched means that the first byte of the order may have been sent.
	Dispatched
	// Done means that the order ran.
	Done
	// Unknown means that the order may have run.
	Unknown
	// Revoked means that the order did not run and never will.
	Revoked
	// Moved means that only a successor may run the order.
	Moved
)

// Config bounds a ledger.
type Config struct {
	MaxKeys        int           // unexpired keys
	MaxRecords     int           // orders with a record
	MaxBytes       int64         // kept responses, and bytes reserved for running orders
	MaxResultBytes int           // bytes of one kept response
	KeyTTL         time.Duration // from issue to expiry
}

// DefaultConfig returns the bounds for one entry host: 131072 keys that are valid
// for 5 minutes allow 436 keys per second, in slots of 24 bytes, and 32768 records
// allow 109 orders per second with responses of 1 KiB on average.
func DefaultConfig() Config {
	return Config{MaxKeys: 1 << 17, MaxRecords: 1 << 15, MaxBytes: 32 << 20, MaxResultBytes: 64 << 10, KeyTTL: 5 * time.Minute}
}

// Result is the result of an order.
type Result struct {
	Verdict  verdict.Verdict
	Reason   verdict.Reason
	Response *filter.Response // nil unless the order ran and its response is kept; immutable
	FreshKey string           // with NotRun; may be ""
}

// size returns the number of bytes that count towards the limits for a kept response.
func (r *Result) size() int {
	if r.Response == nil {
		return 0
	}
	n := len(r.Response.Body)
	for _, h := range r.Response.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// Record holds the state of one order that its copies share.
type Record struct {
	sequence      uint64
	expiry        clock.Time
	fingerprint   uint64
	reservedBytes atomic.Int64 // counted in Ledger.bytes
	result        atomic.Pointer[Result]
	done          chan struct{}
}

// Done returns a channel that is closed when the record has a result.
func (r *Record) Done() <-chan struct{} { return r.done }

// Result returns the result, or nil before Done is closed.
func (r *Record) Result() *Result { return r.result.Load() }

// setResult sets the result unless the record already has one.
func (r *Record) setResult(res *Result) {
	if r.result.CompareAndSwap(nil, res) {
		close(r.done)
	}
}

type slot struct {
	word   atomic.Uint64 // sequence number << 8 | State
	record atomic.Pointer[Record]
	expiry atomic.Int64 // clock.Time of the key
}

func word(sequence uint64, s State) uint64 { return sequence<<8 | uint64(s) }

func unpack(w uint64) (sequence uint64, s State) { return w >> 8, State(w) }

// Ledger holds the keys of one incarnation.
type Ledger struct {
	cfg         Config
	slots       []slot
	clockOffset time.Duration // clock of this process minus that of the incarnation
	first       uint64        // lowest sequence number of a key
	last        clock.Time    // imported ledger only: expiry of its last key
	imported    bool          // created by Import; issues no keys
	next        atomic.Uint64 // sequence number of the next key
	swept       atomic.Uint64 // records below this sequence number were dropped
	records     atomic.Int64
	bytes       atomic.Int64
	running     atomic.Int64
	sealed      atomic.Bool
	idle        chan struct{}
}

// New returns an empty ledger.
func New(cfg Config) *Ledger { return newLedger(cfg, cfg.MaxKeys, 1) }

func newLedger(cfg Config, window int, first uint64) *Ledger {
	l := &Ledger{cfg: cfg, slots: make([]slot, window), first: first, idle: make(chan struct{}, 1)}
	l.next.Store(first)
	l.swept.Store(first)
	return l
}

func (l *Ledger) slot(sequence uint64) *slot { return &l.slots[sequence%uint64(len(l.slots))] }

func (l *Ledger) incarnationTime(now clock.Time) clock.Time { return now.Add(-l.clockOffset) }

// sweepStep is the number of slots that each call sweeps. A call issues at most
// one key, so any number above 1 keeps up with the keys issued.
const sweepStep = 8

// Issue returns the sequence number and expiry of a new key. ok is false if
// MaxKeys keys are unexpired, or if the ledger is sealed or imported.
func (l *Ledger) Issue(now clock.Time) (sequence uint64, expiry clock.Time, ok bool) {
	now = l.incarnationTime(now)
	l.sweep(now, sweepStep)
	expiry = now.Add(l.cfg.KeyTTL)
	for !l.imported && !l.sealed.Load() {
		n := l.next.Load()
		s := l.slot(n)
		old := s.word.Load()
		if seq, _ := unpack(old); seq >= n { // issued by another goroutine
			l.next.CompareAndSwap(n, n+1)
			continue
		}
		if !reusable(s, old, now) {
			if l.next.Load() != n {
				continue
			}
			return 0, 0, false
		}
		if s.word.CompareAndSwap(old, word(n, Issued)) {
			s.expiry.Store(int64(expiry))
			if r := s.record.Load(); r != nil && r.sequence != n {
				l.dropRecord(s, r)
			}
			l.next.CompareAndSwap(n, n+1)
			return n, expiry, true
		}
	}
	return 0, 0, false
}

func reusable(s *slot, w uint64, now clock.Time) bool {
	switch _, st := unpack(w); st {
	case Free:
		return true
	case Pending, Dispatched:
		return false
	default:
		return s.expiry.Load() <= int64(now)
	}
}

// sweep drops the records of up to n expired keys, in order of issue.
func (l *Ledger) sweep(now clock.Time, n int) {
	for range n {
		seq := l.swept.Load()
		if seq >= l.next.Load() {
			return
		}
		s := l.slot(seq)
		w := s.word.Load()
		if current, _ := unpack(w); current == seq {
			if !reusable(s, w, now) {
				return
			}
			if r := s.record.Load(); r != nil && r.sequence == seq {
				l.dropRecord(s, r)
			}
		}
		l.swept.CompareAndSwap(seq, seq+1)
	}
}

// dropRecord removes a record from its slot and releases its capacity, once.
func (l *Ledger) dropRecord(s *slot, r *Record) {
	if s.record.CompareAndSwap(r, nil) {
		l.records.Add(-1)
		l.bytes.Add(-r.reservedBytes.Swap(0))
	}
}

// fullSweep is the number of slots that are swept when the limits leave no
// capacity for a record.
const fullSweep = 1 << 12

// reserve reserves capacity for one record and its result. It returns false if
// there is none.
func (l *Ledger) reserve(now clock.Time) bool {
	if l.tryReserve() {
		return true
	}
	l.sweep(now, fullSweep)
	return l.tryReserve()
}

func (l *Ledger) tryReserve() bool {
	if l.records.Add(1) > int64(l.cfg.MaxRecords) {
		l.records.Add(-1)
		return false
	}
	if l.bytes.Add(int64(l.cfg.MaxResultBytes)) > l.cfg.MaxBytes {
		l.bytes.Add(-int64(l.cfg.MaxResultBytes))
		l.records.Add(-1)
		return false
	}
	return true
}

func (l *Ledger) unreserve() {
	l.bytes.Add(-int64(l.cfg.MaxResultBytes))
	l.records.Add(-1)
}

// Usage holds a ledger's use of its limits.
type Usage struct {
	Issued  uint64 // keys issued so far
	Records int64
	Bytes   int64
	Running int64
}

// Usage returns the current usage.
func (l *Ledger) Usage() Usage {
	return Usage{Issued: l.next.Load() - l.first, Records: l.records.Load(), Bytes: l.bytes.Load(), Running: l.running.Load()}
}

// Seal stops the issue of keys and the start of orders. Running orders continue.
func (l *Ledger) Seal() {
	l.sealed.Store(true)
	l.signalIdle()
}

// Sealed reports whether the ledger is sealed.
func (l *Ledger) Sealed() bool { return l.sealed.Load() }

// Idle returns a channel that receives a value when the ledger is sealed and no
// order is running.
func (l *Ledger) Idle() <-chan struct{} { return l.idle }

func (l *Ledger) stopRun() {
	if l.running.Add(-1) == 0 {
		l.signalIdle()
	}
}

func (l *Ledger) signalIdle() {
	if l.sealed.Load() && l.running.Load() == 0 {
		select {
		case l.idle <- struct{}{}:
		default:
		}
	}
}

// Expired reports whether every key of an imported ledger has expired.
func (l *Ledger) Expired(now clock.Time) bool { return l.last <= l.incarnationTime(now) }

// Remaining returns how long a key with the given expiry is still valid.
func (l *Ledger) Remaining(now, expiry clock.Time) time.Duration {
	return expiry.Sub(l.incarnationTime(now))
}
