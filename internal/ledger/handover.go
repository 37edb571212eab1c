package ledger

import (
	"encoding/binary"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/orderkey"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// ErrInvalidPayload means that a hand-over payload cannot be decoded or exceeds
// the configured bounds.
var ErrInvalidPayload = errors.New("ledger: invalid hand-over payload")

const payloadVersion = 1

// maxField is the largest size in bytes of one name or value in a payload.
const maxField = 1 << 16

// Export seals the ledger and returns its unexpired keys and records and the
// secret, encoded for one successor. One compare-and-swap moves each issued key,
// so that an order that starts here at the same time cannot also run at the
// successor. Keys of pending orders are revoked; dispatched orders are exported as
// Unknown, even if they finish here later.
func (l *Ledger) Export(now clock.Time, secret orderkey.Secret) []byte {
	l.Seal()
	now = l.incarnationTime(now)
	next := l.next.Load()
	first := l.oldest(now, next)
	states := make([]byte, 0, next-first)
	var records []byte
	var count uint32
	last := l.last
	for seq := first; seq < next; seq++ {
		s := l.slot(seq)
		last = max(last, clock.Time(s.expiry.Load()))
		st := l.moveKey(s, seq)
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

// oldest returns the lowest sequence number whose key may be unexpired.
func (l *Ledger) oldest(now clock.Time, next uint64) uint64 {
	first := max(l.first, l.swept.Load())
	for first < next && l.slot(first).expiry.Load() <= int64(now) {
		first++
	}
	return first
}

// moveKey takes a key from this process and returns its state for the successor.
func (l *Ledger) moveKey(s *slot, seq uint64) State {
	for {
		w := s.word.Load()
		current, st := unpack(w)
		switch {
		case current != seq:
			return Unknown // impossible for an unexpired key; must not claim that the order did not run
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
		case st == Done && hasResult(s, seq) || st != Done:
			return st
		default:
			return Unknown // another goroutine is about to set the result
		}
	}
}

func hasResult(s *slot, seq uint64) bool {
	r := s.record.Load()
	return r == nil || r.sequence == seq && r.Result() != nil
}

func appendRecord(b []byte, r *Record, st State) []byte {
	res := r.Result()
	if res == nil || (st == Done) != (res.Verdict == verdict.Ran) {
		res = &Result{Reason: verdict.ReasonOwnerSealed}
	}
	for _, v := range [...]uint64{r.sequence, uint64(r.expiry), r.fingerprint} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(b, byte(res.Verdict))
	b = appendField(b, res.Reason.String())
	if res.Response == nil {
		return append(b, 0)
	}
	b = append(b, 1)
	b = binary.BigEndian.AppendUint16(b, uint16(res.Response.Status))
	b = binary.BigEndian.AppendUint16(b, uint16(len(res.Response.Headers)))
	for _, h := range res.Response.Headers {
		b = appendField(appendField(b, h.Name), h.Value)
	}
	return appendField(b, string(res.Response.Body))
}

func appendField(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

// Import decodes a payload of Export into a ledger and its secret. The clock of the
// incarnation continues from the time of the export, so the transfer time extends
// the validity of its keys. A payload that exceeds the bounds of cfg is rejected.
func Import(payload []byte, now clock.Time, cfg Config) (*Ledger, orderkey.Secret, error) {
	var secret orderkey.Secret
	in := reader{b: payload}
	if in.u8() != payloadVersion {
		return nil, secret, errors.Wrap(ErrInvalidPayload, "unsupported version")
	}
	copy(secret[:], in.take(len(secret)))
	exported, last, first, n := clock.Time(in.u64()), clock.Time(in.u64()), in.u64(), in.u64()
	if in.failed || first == 0 || first >= 1<<55 || n > uint64(cfg.MaxKeys) || n > uint64(len(in.b)) ||
		exported < 0 || last < 0 || last.Sub(exported) > cfg.KeyTTL {
		return nil, secret, errors.Wrap(ErrInvalidPayload, "header truncated or out of bounds")
	}
	l := newLedger(cfg, int(max(n, 1)), first)
	l.clockOffset, l.last, l.imported = now.Sub(exported), last, true
	l.next.Store(first + n)
	for i, st := range in.take(int(n)) {
		switch State(st) {
		case Issued, Done, Unknown, Revoked:
		default:
			return nil, secret, errors.Wrap(ErrInvalidPayload, "key state not allowed in a payload")
		}
		s := l.slot(first + uint64(i))
		s.word.Store(word(first+uint64(i), State(st)))
		s.expiry.Store(int64(last))
	}
	for range in.u32() {
		if !l.importRecord(&in) {
			return nil, secret, errors.Wrap(ErrInvalidPayload, "record invalid, or records exceed the bounds")
		}
	}
	if in.failed || len(in.b) != 0 {
		return nil, secret, errors.Wrap(ErrInvalidPayload, "truncated or followed by extra bytes")
	}
	return l, secret, nil
}

func (l *Ledger) importRecord(in *reader) bool {
	r := &Record{sequence: in.u64(), expiry: clock.Time(in.u64()), fingerprint: in.u64(), done: make(chan struct{})}
	res := &Result{Verdict: verdict.Verdict(in.u8())}
	res.Reason, _ = verdict.ParseReason(in.field(maxField))
	if in.u8() == 1 {
		res.Response = &filter.Response{Status: int(in.u16())}
		for range in.u16() {
			h := filter.Header{Name: in.field(maxField), Value: in.field(maxField)}
			if in.failed {
				return false
			}
			res.Response.Headers = append(res.Response.Headers, h)
		}
		res.Response.Body = []byte(in.field(l.cfg.MaxResultBytes))
	}
	st := l.State(r.sequence)
	ran := st == Done && res.Verdict == verdict.Ran
	unknown := st == Unknown && res.Verdict == verdict.MayHaveRun && res.Response == nil
	s := l.slot(r.sequence)
	if in.failed || !ran && !unknown || s.record.Load() != nil || res.size() > l.cfg.MaxResultBytes {
		return false
	}
	r.reservedBytes.Store(int64(res.size()))
	r.setResult(res)
	s.record.Store(r)
	return l.records.Add(1) <= int64(l.cfg.MaxRecords) && l.bytes.Add(int64(res.size())) <= l.cfg.MaxBytes
}

// reader decodes a payload. After the first error, all values are zero.
type reader struct {
	b      []byte
	failed bool
}

func (r *reader) take(n int) []byte {
	if r.failed || n > len(r.b) {
		r.b, r.failed = nil, true
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
		r.b, r.failed = nil, true
	}
	return string(r.take(int(n)))
}
