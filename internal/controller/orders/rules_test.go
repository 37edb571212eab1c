package orders

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/ledger"
	"github.com/anvilfront/anvilfront/internal/orderkey"
	"github.com/anvilfront/anvilfront/internal/verdict"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// key issues one key at a host.
func (h *host) key() string {
	keys, err := h.ctl.Issue(1)
	if err != nil {
		return ""
	}
	return keys[0]
}

// inBubble runs f with 4 entry hosts in 3 data centres and reports violations.
func inBubble(t *testing.T, f func(is *is.I, w *world, send func(host int, r request) filter.Outcome)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(4)
		defer w.close()
		f(is.New(t), w, func(i int, r request) filter.Outcome {
			if r.path == "" {
				r.path = "/order"
			}
			out, _ := w.send(t.Context(), w.hosts[i], r)
			return out
		})
		for _, v := range w.found() {
			t.Error(v)
		}
	})
}

type want struct {
	verdict verdict.Verdict
	reason  verdict.Reason
	fresh   bool
}

const (
	unknown = verdict.MayHaveRun
	notRun  = verdict.NotRun
	ran     = verdict.Ran
)

var none request

// answerCases are a first request to a host and, unless none, a second one to
// host 2 under the same key. Host 0 issued the key.
var answerCases = map[string]struct {
	host   int
	first  request
	want   want
	second request
	then   want
}{
	"at the owner, again":      {0, request{body: "a"}, want{ran, verdict.ReasonNone, false}, request{body: "a"}, want{ran, verdict.ReasonNone, false}},
	"forwarded, again":         {1, request{body: "a"}, want{ran, verdict.ReasonNone, false}, request{body: "a"}, want{ran, verdict.ReasonNone, false}},
	"another body":             {1, request{body: "a"}, want{ran, verdict.ReasonNone, false}, request{body: "b"}, want{unknown, verdict.ReasonKeyConflict, false}},
	"another route":            {1, request{body: "a"}, want{ran, verdict.ReasonNone, false}, request{path: "/booking", body: "a"}, want{unknown, verdict.ReasonKeyConflict, false}},
	"refused, again":           {0, request{body: "a", admission: "f"}, want{notRun, verdict.ReasonOverload, true}, request{body: "a"}, want{notRun, verdict.ReasonKeyRevoked, true}},
	"refused at the owner":     {1, request{body: "a", admission: "f"}, want{notRun, verdict.ReasonOverload, true}, none, want{}},
	"shed":                     {1, request{body: "a", backend: "ssss"}, want{notRun, verdict.ReasonShed, true}, request{body: "a"}, want{notRun, verdict.ReasonKeyRevoked, true}},
	"connection refused":       {1, request{body: "a", backend: "cccc"}, want{notRun, verdict.ReasonConnectFailed, true}, none, want{}},
	"reset, again":             {0, request{body: "a", backend: "rrrr"}, want{unknown, verdict.ReasonAnswerCut, false}, request{body: "a"}, want{unknown, verdict.ReasonAnswerCut, false}},
	"too large to keep, again": {0, request{body: "a", backend: "LLLL"}, want{ran, verdict.ReasonNone, false}, request{body: "a"}, want{ran, verdict.ReasonNotKept, false}},
	"lost forward, again":      {1, request{body: "a", net: "l"}, want{unknown, verdict.ReasonOwnerUnconfirmed, false}, request{body: "a"}, want{ran, verdict.ReasonNone, false}},
	"lost reply, again":        {1, request{body: "a", net: "r"}, want{unknown, verdict.ReasonOwnerUnconfirmed, false}, request{body: "a"}, want{ran, verdict.ReasonNone, false}},
	"no forward":               {1, request{body: "a", net: "x"}, want{unknown, verdict.ReasonOwnerGone, false}, none, want{}},
	"panic":                    {0, request{body: "a", admission: "p"}, want{unknown, verdict.ReasonInternal, false}, request{body: "a"}, want{unknown, verdict.ReasonInternal, false}},
	"no route, elsewhere":      {1, request{path: "/none"}, want{unknown, verdict.ReasonNoRoute, false}, request{body: "a"}, want{ran, verdict.ReasonNone, false}},
	"no route, at the owner":   {0, request{path: "/none"}, want{notRun, verdict.ReasonNoRoute, true}, request{body: "a"}, want{notRun, verdict.ReasonKeyRevoked, true}},
	"idempotent route":         {0, request{path: "/lookup"}, want{unknown, verdict.ReasonKeyUnexpected, false}, request{body: "a"}, want{ran, verdict.ReasonNone, false}},
	"damaged key":              {1, request{key: "AQ", body: "a"}, want{unknown, verdict.ReasonKeyMalformed, false}, none, want{}},
	"key required":             {1, request{path: "/booking", key: "-"}, want{notRun, verdict.ReasonKeyRequired, true}, none, want{}},
	"no key":                   {1, request{body: "a", key: "-"}, want{ran, verdict.ReasonNone, false}, none, want{}},
	"no key, shed":             {1, request{body: "a", key: "-", backend: "osoo"}, want{notRun, verdict.ReasonShed, false}, none, want{}},
	"no key, reset":            {1, request{body: "a", key: "-", backend: "rrrr"}, want{unknown, verdict.ReasonAnswerCut, false}, none, want{}},
	"in time":                  {1, request{body: "a", deadline: time.Second, admission: "w"}, want{notRun, verdict.ReasonDeadline, true}, request{body: "a"}, want{notRun, verdict.ReasonKeyRevoked, true}},
	"answered late":            {1, request{body: "a", deadline: time.Second, backend: "HHHH"}, want{unknown, verdict.ReasonAnswerTimeout, false}, request{body: "a", deadline: time.Second}, want{unknown, verdict.ReasonAnswerTimeout, false}},
}

// TestAnswers guards against a wrong verdict, reason or fresh key for a first
// and a second request.
func TestAnswers(t *testing.T) {
	for name, c := range answerCases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(is *is.I, w *world, send func(int, request) filter.Outcome) {
				// A copy would answer after a lost reply if it came in time; TestOwnerGone covers that.
				w.copyFault = func(int) byte { return 'x' }
				check := func(host int, r request, x want) {
					out := send(host, r)
					is.Equal(want{out.Verdict, out.Reason, out.FreshKey != ""}, x)
				}
				key := w.hosts[0].key()
				switch c.first.key {
				case "":
					c.first.key = key
				case "-":
					c.first.key = ""
				}
				check(c.host, c.first, c.want)
				if c.second.body != "" {
					c.second.key = key
					check(2, c.second, c.then)
				}
			})
		})
	}
}

// TestForgedKeys guards against a forged key that directs an order to an
// address of the caller's choice, or that passes as issued. The world reports
// a violation for a call to an address of no member.
func TestForgedKeys(t *testing.T) {
	inBubble(t, func(is *is.I, w *world, send func(int, request) filter.Outcome) {
		k, err := orderkey.Decode(w.hosts[0].key())
		is.NoErr(err)
		k.Sequence++
		is.Equal(send(1, request{key: k.String()}).Reason, verdict.ReasonKeyInvalid)
		k.Owner = w.hosts[1].ctl.owner
		is.Equal(send(2, request{key: k.String()}).Reason, verdict.ReasonOwnerGone)
		elsewhere, err := orderkey.Decode(w.hosts[0].key())
		is.NoErr(err)
		stranger := w.start(9) // a running process that is no member
		defer stranger.cancel()
		elsewhere.Owner = stranger.ctl.owner
		is.Equal(send(2, request{key: elsewhere.String()}).Reason, verdict.ReasonOwnerGone)
		is.Equal(len(w.ran), 0)
	})
}

// TestCallerGone guards against a dispatched order that its caller's departure
// cancels, and against an order in a queue that runs after its caller left.
func TestCallerGone(t *testing.T) {
	inBubble(t, func(is *is.I, w *world, send func(int, request) filter.Outcome) {
		sent, queued := w.hosts[0].key(), w.hosts[0].key()
		for _, r := range []request{{path: "/order", key: sent, body: "s", backend: "HHHH"}, {path: "/order", key: queued, body: "q", admission: "w"}} {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(time.Millisecond, cancel)
			out, _ := w.send(ctx, w.hosts[0], r)
			is.Equal(out.Reason, verdict.ReasonCallerGone)
			w.release(0)
		}
		synctest.Wait()
		is.Equal(string(send(1, request{key: sent, body: "s"}).Response.Body), "answer to s")
		is.Equal(send(1, request{key: queued, body: "q"}).Reason, verdict.ReasonKeyRevoked)
	})
}

// TestOwnerGone guards against "not run" or another order's answer when the
// owner crashed, and against a copy that is not found. Host 0 is replaced.
func TestOwnerGone(t *testing.T) {
	inBubble(t, func(is *is.I, w *world, send func(int, request) filter.Outcome) {
		used, unused := w.hosts[0].key(), w.hosts[0].key()
		is.Equal(send(0, request{key: used, body: "a"}).Verdict, verdict.Ran)
		synctest.Wait() // the copy is sent
		w.hosts[0].dead.Store(true)
		for _, listed := range []bool{false, true} { // the replacement is heard of late
			out := send(1, request{key: used, body: "a"})
			is.Equal(out.Verdict, verdict.Ran)
			is.Equal(string(out.Response.Body), "answer to a")
			is.Equal(send(2, request{key: used, body: "b"}).Reason, verdict.ReasonKeyConflict)
			out = send(3, request{key: unused, body: "a"})
			is.Equal(out.Verdict, verdict.MayHaveRun)
			is.Equal(out.Reason, verdict.ReasonOwnerGone)
			if !listed {
				w.hosts[0].cancel()
				w.hosts[0] = w.start(0)
				for _, h := range w.hosts {
					w.refresh(h)
				}
			}
		}
	})
}

// TestPlannedStop guards against a successor that forgets what ran or refuses
// unused keys, and against a transfer to a second host after an unconfirmed one.
func TestPlannedStop(t *testing.T) {
	for fault, answered := range map[byte]bool{'o': true, 'x': true, 'r': true, 'l': true, 'X': true, 'R': true, 'L': false} {
		inBubble(t, func(is *is.I, w *world, send func(int, request) filter.Outcome) {
			h := w.hosts[0]
			used, unused, running := h.key(), h.key(), h.key()
			is.Equal(send(0, request{key: used, body: "a"}).Verdict, verdict.Ran)
			go send(0, request{key: running, body: "r", backend: "HHHH"})
			synctest.Wait()
			h.transfer.Store(int32(fault))
			time.AfterFunc(time.Second, func() { w.release(0) })
			is.Equal(h.ctl.Stop(context.Background()), int64(0)) // waits for the running order
			_, err := h.ctl.Issue(1)
			is.Equal(verdict.From(err).Reason, verdict.ReasonStopping)
			out := send(1, request{key: used, body: "a"}) // still forwarded to host 0
			is.Equal(out.Verdict, verdict.Ran)
			// A refusal by another filter names the successor, too.
			is.Equal(send(0, request{path: "/none", key: used}).Reason, verdict.ReasonOwnerSealed)
			h.dead.Store(true)
			for _, o := range w.hosts {
				w.refresh(o)
			}
			holders := 0
			for _, o := range w.hosts[1:] {
				if o.ctl.KeyedLedger(h.inc) != nil {
					holders++
				}
			}
			is.True(holders <= 1)
			is.Equal(holders == 1, answered)
			for i := 1; answered && i < 4; i++ {
				is.Equal(string(send(i, request{key: used, body: "a"}).Response.Body), "answer to a")
				is.Equal(string(send(i, request{key: running, body: "r"}).Response.Body), "answer to r")
				is.Equal(string(send(i, request{key: unused, body: "u"}).Response.Body), "answer to u")
			}
			if !answered {
				is.Equal(send(1, request{key: unused, body: "u"}).Verdict, verdict.MayHaveRun)
			}
		})
	}
}

// TestHandOverRepeatedLate guards against a transfer that is delivered again
// after its book expired, which would run its keys again.
func TestHandOverRepeatedLate(t *testing.T) {
	inBubble(t, func(is *is.I, w *world, send func(int, request) filter.Outcome) {
		old := w.hosts[0]
		key := old.key()
		b := old.ctl.own
		again := &wire.HandOverRequest{Owner: old.inc, Payload: b.Export(old.clock.Now(), b.Secret)}
		accept := func(r *wire.HandOverRequest) bool {
			r.Parts = max(r.Parts, 1)
			reply := &wire.HandOverReply{}
			is.NoErr(w.hosts[1].ctl.Service().HandOver(r, reply))
			return reply.Accepted
		}
		is.True(accept(again))
		is.True(accept(again)) // confirmed again
		is.Equal(send(1, request{key: key, body: "a"}).Verdict, verdict.Ran)
		time.Sleep(w.ledger.KeyTTL)
		is.True(accept(&wire.HandOverRequest{Owner: 1 << 60, Payload: ledger.New(w.ledger).Export(0, b.Secret)}))
		is.True(accept(again))
		is.True(w.hosts[1].ctl.KeyedLedger(old.inc) == nil)
		is.True(!accept(&wire.HandOverRequest{Owner: w.hosts[1].inc, Payload: again.Payload})) // never its own
	})
}

// TestParts guards against a transfer that is put together from parts in the
// wrong order, of two senders or without bound.
func TestParts(t *testing.T) {
	is := is.New(t)
	in := incoming{parts: map[uint64]*partial{}}
	add := func(owner uint64, part int) string {
		p, ok := in.add(owner, part, 3, []byte{byte('a' + part)}, 3)
		if !ok {
			return "refused"
		}
		return string(p)
	}
	is.Equal(add(1, 1), "refused") // no first part
	is.Equal(add(1, 0), "")
	is.Equal(add(2, 0), "")
	is.Equal(add(1, 2), "refused") // part 1 is missing
	is.Equal(add(1, 1), "")
	is.Equal(add(1, 1), "refused") // repeated
	is.Equal(add(1, 2), "abc")
	is.Equal(add(1, 2), "refused") // repeated after the end
	for owner := range uint64(100) {
		is.Equal(add(owner, 0), "")
		is.True(len(in.parts) <= maxIncoming)
	}
	_, ok := in.add(99, 1, 3, []byte("long"), 3)
	is.True(!ok) // over the limit
}

// TestIssue guards against issuing too many keys at a time or altogether.
func TestIssue(t *testing.T) {
	inBubble(t, func(is *is.I, w *world, _ func(int, request) filter.Outcome) {
		for n, reason := range map[int]verdict.Reason{0: verdict.ReasonBadRequest, 65: verdict.ReasonBadRequest} {
			_, err := w.hosts[0].ctl.Issue(n)
			is.Equal(verdict.From(err).Reason, reason)
			is.Equal(verdict.From(err).Verdict, verdict.NotRun)
		}
		for range w.ledger.MaxKeys / MaxKeysPerRequest {
			keys, err := w.hosts[0].ctl.Issue(MaxKeysPerRequest)
			is.NoErr(err)
			is.Equal(len(keys), MaxKeysPerRequest)
		}
		_, err := w.hosts[0].ctl.Issue(1)
		is.Equal(verdict.From(err).Reason, verdict.ReasonLedgerFull)
		time.Sleep(w.ledger.KeyTTL)
		_, err = w.hosts[0].ctl.Issue(MaxKeysPerRequest)
		is.NoErr(err)
	})
}
