package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/orderkey"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

var mediumConfig = Config{MaxKeys: 16, MaxRecords: 16, MaxBytes: 1 << 10, MaxResultBytes: 32, KeyTTL: time.Minute}

// TestHandOver guards against a successor that loses or changes the state or result
// of a key.
func TestHandOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(mediumConfig)
		l.clockOffset = time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "offset"))
		start := clock.Time(0).Add(l.clockOffset)
		want := map[uint64]BeginResult{}
		bodies := map[uint64]string{}
		var expiry clock.Time
		for range rapid.IntRange(0, 16).Draw(t, "keys") {
			var seq uint64
			seq, expiry, _ = l.Issue(start)
			stage := rapid.IntRange(0, 4).Draw(t, "stage")
			want[seq] = BeginStarted
			if stage == 0 {
				continue
			}
			_, r := l.Begin(start, seq, expiry, seq)
			want[seq] = BeginRevoked
			if stage == 1 {
				continue
			}
			l.Dispatch(start, r)
			want[seq] = BeginDuplicate
			if stage == 3 {
				bodies[seq] = rapid.StringN(0, 16, 16).Draw(t, "body")
				l.Finish(r, ran(bodies[seq]))
			} else if stage == 4 {
				l.Finish(r, Result{Reason: verdict.ReasonAnswerCut})
			}
		}
		passed := time.Duration(rapid.Int64Range(0, int64(time.Minute)-1).Draw(t, "passed"))
		secret := orderkey.NewSecret()
		payload := l.Export(start.Add(passed), secret)
		arrival := clock.Time(rapid.Int64Range(0, 1e12).Draw(t, "arrival"))
		next, got, err := Import(payload, arrival, mediumConfig)
		if err != nil || got != secret {
			t.Fatalf("import: %v", err)
		}
		for seq, e := range want {
			begun, r := next.Begin(arrival, seq, expiry, seq)
			if begun != e {
				t.Fatalf("key %d: Begin returned %d, want %d", seq, begun, e)
			}
			if e != BeginDuplicate {
				continue
			}
			body, ok := bodies[seq]
			if res := r.Result(); ok != (res.Verdict == verdict.Ran) || ok && string(res.Response.Body) != body {
				t.Fatalf("key %d: result %+v, want body %q", seq, res, body)
			}
		}
		left := time.Minute - passed
		if !next.Expired(arrival.Add(left)) || len(want) > 0 && next.Expired(arrival.Add(left-1)) {
			t.Fatal("hand-over changed the expiry of the last key")
		}
		if _, _, ok := next.Issue(arrival.Add(time.Hour)); ok {
			t.Fatal("successor issues keys of the old incarnation")
		}
	})
}

// FuzzImport guards against a panic, and against a payload that exceeds the bounds.
func FuzzImport(f *testing.F) {
	l := New(mediumConfig)
	for i := range 3 {
		seq, expiry, _ := l.Issue(0)
		_, r := l.Begin(0, seq, expiry, 7)
		if i > 0 {
			l.Dispatch(0, r)
		}
		if i > 1 {
			l.Finish(r, Result{Verdict: verdict.Ran, Response: &filter.Response{Status: 201, Headers: []filter.Header{{Name: "A", Value: "b"}}, Body: []byte("c")}})
		}
	}
	l.Issue(0)
	f.Add(l.Export(1, orderkey.Secret{1}))
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, payload []byte) {
		l, secret, err := Import(payload, 5, mediumConfig)
		if err != nil {
			return
		}
		u := l.Usage()
		if u.Issued > uint64(mediumConfig.MaxKeys) || u.Records > int64(mediumConfig.MaxRecords) || u.Bytes > mediumConfig.MaxBytes {
			t.Fatalf("bounds exceeded: %+v", u)
		}
		if _, _, err := Import(l.Export(5, secret), 5, mediumConfig); err != nil {
			t.Fatalf("second export: %v", err)
		}
	})
}

// TestCopiesBounded guards against copies that exceed their bounds, are returned
// after their expiry or replace each other.
func TestCopiesBounded(t *testing.T) {
	is := is.New(t)
	s := NewCopies(16, 100)
	put := func(now clock.Time, key string, res Result) bool {
		return s.Put(now, &Copy{Key: key, Result: res, Expires: 10})
	}
	is.True(put(0, "k1", ran("first")))
	is.True(put(0, "k1", ran("second")))
	is.Equal(string(s.Get(9, "k1").Result.Response.Body), "first")
	is.True(s.Get(10, "k1") == nil)                       // expired
	is.True(!put(0, "k2", refused(verdict.ReasonShed)))   // a copy is never "not run"
	is.True(!put(0, "k3", ran(string(make([]byte, 99))))) // exceeds the byte limit
	for i := range 100 {
		put(0, string(rune(0x61+i)), ran("x"))
		is.True(s.Bytes() <= 100)
	}
	for range 16 {
		is.True(!put(10, "k4", ran("late")))
		s.Put(10, &Copy{Key: "k5", Result: ran(""), Expires: 11})
	}
	is.Equal(s.Bytes(), int64(2)) // expired copies are evicted
}
