package ledger

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/orderkey"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

var smallConfig = Config{MaxKeys: 4, MaxRecords: 2, MaxBytes: 40, MaxResultBytes: 20, KeyTTL: time.Minute}

func ran(body string) Result {
	return Result{Verdict: verdict.Ran, Response: &filter.Response{Status: 200, Body: []byte(body)}}
}

func refused(r verdict.Reason) Result { return Result{Verdict: verdict.NotRun, Reason: r} }

// TestStates guards against a wrong Begin result for a copy of an order in any state.
func TestStates(t *testing.T) {
	type step = func(l *Ledger, r *Record)
	dispatch := func(l *Ledger, r *Record) { l.Dispatch(0, r) }
	finish := func(res Result) step { return func(l *Ledger, r *Record) { l.Finish(r, res) } }
	for name, c := range map[string]struct {
		steps       []step
		fingerprint uint64
		now         clock.Time
		want        BeginResult
		state       State
	}{
		"pending":         {nil, 1, 0, BeginDuplicate, Pending},
		"dispatched":      {[]step{dispatch}, 1, 0, BeginDuplicate, Dispatched},
		"other request":   {[]step{dispatch}, 2, 0, BeginConflict, Dispatched},
		"ran":             {[]step{dispatch, finish(ran("a"))}, 1, 0, BeginDuplicate, Done},
		"ran, other":      {[]step{dispatch, finish(ran("a"))}, 2, 0, BeginConflict, Done},
		"unknown":         {[]step{dispatch, finish(Result{})}, 1, 0, BeginDuplicate, Unknown},
		"refused":         {[]step{finish(refused(verdict.ReasonOverload))}, 1, 0, BeginRevoked, Revoked},
		"refused, other":  {[]step{finish(refused(verdict.ReasonOverload))}, 2, 0, BeginRevoked, Revoked},
		"shed":            {[]step{dispatch, finish(refused(verdict.ReasonShed))}, 1, 0, BeginRevoked, Revoked},
		"reverted":        {[]step{dispatch, func(l *Ledger, r *Record) { l.RevertDispatch(r) }}, 1, 0, BeginDuplicate, Pending},
		"cancelled":       {[]step{func(l *Ledger, r *Record) { l.Cancel(r, refused(verdict.ReasonDeadline)) }}, 1, 0, BeginRevoked, Revoked},
		"cancelled late":  {[]step{dispatch, func(l *Ledger, r *Record) { l.Cancel(r, refused(verdict.ReasonDeadline)) }}, 1, 0, BeginDuplicate, Dispatched},
		"dispatch late":   {[]step{func(l *Ledger, r *Record) { l.Dispatch(clock.Time(time.Minute), r) }}, 1, 0, BeginDuplicate, Pending},
		"expired, ran":    {[]step{dispatch, finish(ran("a"))}, 1, clock.Time(time.Minute), BeginExpired, Done},
		"expired, shed":   {[]step{finish(refused(verdict.ReasonShed))}, 1, clock.Time(time.Minute), BeginExpired, Revoked},
		"exported":        {[]step{func(l *Ledger, _ *Record) { l.Export(0, orderkey.Secret{}) }}, 1, 0, BeginRevoked, Revoked},
		"exported, sent":  {[]step{dispatch, func(l *Ledger, _ *Record) { l.Export(0, orderkey.Secret{}) }}, 1, 0, BeginDuplicate, Dispatched},
		"cancel and ends": {[]step{func(l *Ledger, r *Record) { l.Cancel(r, refused(verdict.ReasonDeadline)) }, finish(Result{})}, 1, 0, BeginRevoked, Revoked},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := New(smallConfig)
			seq, expiry, ok := l.Issue(0)
			is.True(ok)
			e, r := l.Begin(0, seq, expiry, 1)
			is.Equal(e, BeginStarted)
			for _, s := range c.steps {
				s(l, r)
			}
			got, _ := l.Begin(c.now, seq, expiry, c.fingerprint)
			is.Equal(got, c.want)
			is.Equal(l.State(seq), c.state)
		})
	}
}

// TestBounds guards against a ledger that grows without limit, drops an unexpired
// record, or cannot revoke a key when it is full.
func TestBounds(t *testing.T) {
	is := is.New(t)
	l := New(smallConfig)
	var seqs []uint64
	var expiry clock.Time
	for range smallConfig.MaxKeys {
		seq, e, ok := l.Issue(0)
		is.True(ok)
		seqs, expiry = append(seqs, seq), e
	}
	_, _, ok := l.Issue(clock.Time(time.Minute) - 1)
	is.True(!ok) // MaxKeys keys are unexpired
	_, first := l.Begin(0, seqs[0], expiry, 1)
	is.True(l.Dispatch(0, first))
	kept := l.Finish(first, ran("0123456789"))
	is.Equal(string(kept.Response.Body), "0123456789")
	is.Equal(l.Usage(), Usage{Issued: 4, Records: 1, Bytes: 10})
	e, second := l.Begin(0, seqs[1], expiry, 1)
	is.Equal(e, BeginStarted)
	e, _ = l.Begin(0, seqs[2], expiry, 1)
	is.Equal(e, BeginFull) // third record
	e, _ = l.Begin(0, seqs[2], expiry, 1)
	is.Equal(e, BeginRevoked)
	is.True(l.Dispatch(0, second))
	large := l.Finish(second, ran("012345678901234567890"))
	is.Equal(large.Verdict, verdict.Ran)
	is.Equal(large.Reason, verdict.ReasonNotKept)
	is.True(large.Response == nil)
	is.True(l.Revoke(0, seqs[3], expiry))
	is.True(l.Revoke(0, seqs[3], expiry))  // stays revoked
	is.True(!l.Revoke(0, seqs[0], expiry)) // it ran
	late := clock.Time(time.Minute)
	is.True(!l.Revoke(late, seqs[3], expiry)) // expired
	for range smallConfig.MaxKeys {
		_, _, ok := l.Issue(late)
		is.True(ok)
	}
	is.Equal(l.Usage(), Usage{Issued: 8})
}

// TestRunningOrderKeepsItsSlot guards against a slot that is reused for a new key
// while its order still runs.
func TestRunningOrderKeepsItsSlot(t *testing.T) {
	is := is.New(t)
	l := New(Config{MaxKeys: 1, MaxRecords: 9, MaxBytes: 99, MaxResultBytes: 9, KeyTTL: 1})
	seq, expiry, _ := l.Issue(0)
	_, r := l.Begin(0, seq, expiry, 1)
	is.True(l.Dispatch(0, r))
	_, _, ok := l.Issue(5)
	is.True(!ok)
	l.Finish(r, ran(""))
	_, _, ok = l.Issue(5)
	is.True(ok)
	e, _ := l.Begin(0, seq, expiry, 1) // a request that read the clock before the key expired
	is.Equal(e, BeginExpired)
}

// TestCopiesRace guards against two copies of an order that both run while its key
// is cancelled, revoked and exported concurrently, and against an order that runs
// both here and at the successor.
func TestCopiesRace(t *testing.T) {
	is := is.New(t)
	for range 300 {
		l := New(Config{MaxKeys: 64, MaxRecords: 64, MaxBytes: 1 << 20, MaxResultBytes: 64, KeyTTL: time.Minute})
		var dispatched [64]atomic.Int32
		var seqs [8]uint64
		var expiry clock.Time
		for i := range seqs {
			seqs[i], expiry, _ = l.Issue(0)
		}
		run := func(l *Ledger, seq uint64) {
			e, r := l.Begin(0, seq, expiry, 1)
			if e != BeginStarted {
				return
			}
			res := refused(verdict.ReasonShed)
			if l.Dispatch(0, r) {
				dispatched[seq].Add(1)
				res = ran("x")
			}
			l.Finish(r, res)
		}
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() {
				for _, seq := range seqs {
					run(l, seq)
				}
			})
			wg.Go(func() { l.Revoke(0, seqs[i], expiry); l.Issue(0) })
		}
		var payload []byte
		wg.Go(func() { payload = l.Export(0, orderkey.Secret{}) })
		wg.Wait()
		next, _, err := Import(payload, 0, l.cfg)
		is.NoErr(err)
		for _, seq := range seqs {
			wasRevoked := l.State(seq) == Revoked
			run(next, seq)
			is.True(dispatched[seq].Load() <= 1) // at most one dispatch per key
			is.True(!wasRevoked || dispatched[seq].Load() == 0)
		}
		is.Equal(l.Usage().Running, int64(0))
	}
}

// BenchmarkOrder measures one order from the issue of its key to its result, with
// allocations.
func BenchmarkOrder(b *testing.B) {
	cfg := DefaultConfig()
	cfg.KeyTTL = 1e6 // 1000 orders
	l := New(cfg)
	var now atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			at := clock.Time(now.Add(1000))
			seq, expiry, _ := l.Issue(at)
			if e, r := l.Begin(at, seq, expiry, 1); e == BeginStarted {
				l.Dispatch(at, r)
				l.Finish(r, Result{Verdict: verdict.Ran})
			}
		}
	})
}
