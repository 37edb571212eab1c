package ledger

import (
	"encoding/binary"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/orderkey"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// ErrPayload means that a hand-over payload cannot be decoded or exceeds the bounds.
var ErrInvalidPayload = errors.New("ledger: hand-over payload refused")

const payloadVersion = 1

// maxField bounds one name or value in a payload, in bytes.
const maxField = 1 << 16

// Export seals the ledger and returns its unexpired keys and records with the
// secret, for one successor. Each issued key moves by one compare-and-swap, so
// that an order that starts here at the same moment is not also left to the
// successor. Pending orders are revoked; dispatched ones are exported as
// unknown, even if they finish here later.
func (l *Ledger) Export(now clock.Time, secret orderkey.Secret) []byte {
	l.Seal()
	now = l.local(now)
	next := l.next.Load()
	first := l.oldest(now, next)
	states := make([]byte, 0, next-first)
	var records []byte
	var count uint32
	last := l.last
	for seq := first; seq < next; seq++ {
		s := l.slot(seq)
		last = max(last, clock.Time(s.expiry.Load()))
		st := l.moveOut(s, seq)
		states = append(states, byte(st))
		if r := s.record.Load(); r != nil && r.sequence == seq && (st == Done || st == Unknown) {
			records = appendRecord(records, r, st)
			count++
		}
	}
	b := append([]byte{payloadVersion}, secret[:]...)
	for _, v := range [...]uint64{uint64(now), uint64(last), first, uint64(len(states))} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(b, states...)
	b = binary.BigEndian.AppendUint32(b, count)
	return append(b, records...)
}

// oldest returns the lowest sequence number that may be unexpired.
func (l *Ledger) oldest(now clock.Time, next uint64) uint64 {
	first := max(l.first, l.swept.Load())
	for first < next && l.slot(first).expiry.Load() <= int64(now) {
		first++
	}
	return first
}

// moveOut takes a key away from this process and returns its state for the successor.
func (l *Ledger) moveOut(s *slot, seq uint64) State {
	for {
		w := s.word.Load()
		at, st := unpack(w)
		switch {
		case at != seq:
			return Unknown // not possible while unexpired; never claims that it did not run
		case st == Issued:
			if s.word.CompareAndSwap(w, word(seq, Moved)) {
				return Issued
			}
		case st == Pending:
			if s.word.CompareAndSwap(w, word(seq, Revoked)) {
				return Revoked
			}
		case st == Dispatched || st == Moved:
			return Unknown
		case st == Done && answered(s, seq) || st != Done:
			return st
		default:
			return Unknown // the answer is being set at this moment
		}
	}
}

func answered(s *slot, seq uint64) bool {
	r := s.record.Load()
	return r == nil || r.sequence == seq && r.Result() != nil
}

func appendRecord(b []byte, r *Record, st State) []byte {
	a := r.Result()
	if a == nil || (st == Done) != (a.Verdict == verdict.Ran) {
		a = &Result{Reason: verdict.ReasonOwnerSealed}
	}
	for _, v := range [...]uint64{r.sequence, uint64(r.expiry), r.fingerprint} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(b, byte(a.Verdict))
	b = appendField(b, a.Reason.String())
	if a.Response == nil {
		return append(b, 0)
	}
	b = append(b, 1)
	b = binary.BigEndian.AppendUint16(b, uint16(a.Response.Status))
	b = binary.BigEndian.AppendUint16(b, uint16(len(a.Response.Headers)))
	for _, h := range a.Response.Headers {
		b = appendField(appendField(b, h.Name), h.Value)
	}
	return appendField(b, string(a.Response.Body))
}

func appendField(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// Import returns the ledger and secret in a payload. The clock of the
// incarnation goes on from the moment of the export, so the transfer time only
// prolongs the life of its keys. A payload beyond the bounds of cfg is refused.
func Import(payload []byte, now clock.Time, cfg Config) (*Ledger, orderkey.Secret, error) {
	var secret orderkey.Secret
	in := reader{b: payload}
	if in.u8() != payloadVersion {
		return nil, secret, errors.Wrap(ErrInvalidPayload, "version")
	}
	copy(secret[:], in.take(len(secret)))
	exported, last, first, n := clock.Time(in.u64()), clock.Time(in.u64()), in.u64(), in.u64()
	if in.bad || first == 0 || first >= 1<<55 || n > uint64(cfg.MaxKeys) || n > uint64(len(in.b)) ||
		exported < 0 || last < 0 || last.Sub(exported) > cfg.KeyTTL {
		return nil, secret, errors.Wrap(ErrInvalidPayload, "header")
	}
	l := newLedger(cfg, int(max(n, 1)), first)
	l.offset, l.last, l.foreign = now.Sub(exported), last, true
	l.next.Store(first + n)
	for i, st := range in.take(int(n)) {
		switch State(st) {
		case Issued, Done, Unknown, Revoked:
		default:
			return nil, secret, errors.Wrap(ErrInvalidPayload, "state")
		}
		s := l.slot(first + uint64(i))
		s.word.Store(word(first+uint64(i), State(st)))
		s.expiry.Store(int64(last))
	}
	for range in.u32() {
		if !l.importRecord(&in) {
			return nil, secret, errors.Wrap(ErrInvalidPayload, "record")
		}
	}
	if in.bad || len(in.b) != 0 {
		return nil, secret, errors.Wrap(ErrInvalidPayload, "length")
	}
	return l, secret, nil
}

func (l *Ledger) importRecord(in *reader) bool {
	r := &Record{sequence: in.u64(), expiry: clock.Time(in.u64()), fingerprint: in.u64(), done: make(chan struct{})}
	a := &Result{Verdict: verdict.Verdict(in.u8())}
	a.Reason, _ = verdict.ParseReason(in.field(maxField))
	if in.u8() == 1 {
		a.Response = &filter.Response{Status: int(in.u16())}
		for range in.u16() {
			h := filter.Header{Name: in.field(maxField), Value: in.field(maxField)}
			if in.bad {
				return false
			}
			a.Response.Headers = append(a.Response.Headers, h)
		}
		a.Response.Body = []byte(in.field(l.cfg.MaxResultBytes))
	}
	st := l.State(r.sequence)
	ran := st == Done && a.Verdict == verdict.Ran
	unknown := st == Unknown && a.Verdict == verdict.MayHaveRun && a.Response == nil
	s := l.slot(r.sequence)
	if in.bad || !ran && !unknown || s.record.Load() != nil || a.size() > l.cfg.MaxResultBytes {
		return false
	}
	r.held.Store(int64(a.size()))
	r.settle(a)
	s.record.Store(r)
	return l.records.Add(1) <= int64(l.cfg.MaxRecords) && l.bytes.Add(int64(a.size())) <= l.cfg.MaxBytes
}

// reader decodes a payload. After the first error every value is zero.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if r.bad || n > len(r.b) {
		r.b, r.bad = nil, true
		return nil
	}
	out := r.b[:n:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) u8() (v uint8) {
	if b := r.take(1); b != nil {
		v = b[0]
	}
	return v
}

func (r *reader) u16() (v uint16) {
	if b := r.take(2); b != nil {
		v = binary.BigEndian.Uint16(b)
	}
	return v
}

func (r *reader) u32() (v uint32) {
	if b := r.take(4); b != nil {
		v = binary.BigEndian.Uint32(b)
	}
	return v
}

func (r *reader) u64() (v uint64) {
	if b := r.take(8); b != nil {
		v = binary.BigEndian.Uint64(b)
	}
	return v
}

func (r *reader) field(limit int) string {
	n := r.u32()
	if n > uint32(limit) {
		r.b, r.bad = nil, true
	}
	return string(r.take(int(n)))
}
