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

// withSimulation runs f in a synctest bubble with 4 entry hosts in 3 data centres
// and reports violations.
func withSimulation(t *testing.T, f func(is *is.I, sim *simulation, send func(host int, r request) filter.Outcome)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(4)
		defer sim.close()
		f(is.New(t), sim, func(i int, r request) filter.Outcome {
			if r.path == "" {
				r.path = "/order"
			}
			out, _ := sim.send(t.Context(), sim.hosts[i], r)
			return out
		})
		for _, v := range sim.violationsSoFar() {
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
	mayHaveRun = verdict.MayHaveRun
	notRun     = verdict.NotRun
	ran        = verdict.Ran
)

var noRequest request

// verdictCases hold a first request to a host and, unless it is noRequest, a second
// one to host 2 with the same key. Host 0 issued the key.
var verdictCases = map[string]struct {
	host       int
	first      request
	want       want
	second     request
	wantSecond want
}{
	"at the owner, repeated":      {0, request{body: "a"}, want{ran, verdict.ReasonNone, false}, request{body: "a"}, want{ran, verdict.ReasonNone, false}},
	"forwarded, repeated":         {1, request{body: "a"}, want{ran, verdict.ReasonNone, false}, request{body: "a"}, want{ran, verdict.ReasonNone, false}},
	"another body":                {1, request{body: "a"}, want{ran, verdict.ReasonNone, false}, request{body: "b"}, want{mayHaveRun, verdict.ReasonKeyConflict, false}},
	"another route":               {1, request{body: "a"}, want{ran, verdict.ReasonNone, false}, request{path: "/booking", body: "a"}, want{mayHaveRun, verdict.ReasonKeyConflict, false}},
	"refused, repeated":           {0, request{body: "a", admission: "f"}, want{notRun, verdict.ReasonOverload, true}, request{body: "a"}, want{notRun, verdict.ReasonKeyRevoked, true}},
	"refused at the owner":        {1, request{body: "a", admission: "f"}, want{notRun, verdict.ReasonOverload, true}, noRequest, want{}},
	"shed":                        {1, request{body: "a", backend: "ssss"}, want{notRun, verdict.ReasonShed, true}, request{body: "a"}, want{notRun, verdict.ReasonKeyRevoked, true}},
	"connection refused":          {1, request{body: "a", backend: "cccc"}, want{notRun, verdict.ReasonConnectFailed, true}, noRequest, want{}},
	"reset, repeated":             {0, request{body: "a", backend: "rrrr"}, want{mayHaveRun, verdict.ReasonAnswerCut, false}, request{body: "a"}, want{mayHaveRun, verdict.ReasonAnswerCut, false}},
	"too large to keep, repeated": {0, request{body: "a", backend: "LLLL"}, want{ran, verdict.ReasonNone, false}, request{body: "a"}, want{ran, verdict.ReasonNotKept, false}},
	"lost forward, repeated":      {1, request{body: "a", network: "l"}, want{mayHaveRun, verdict.ReasonOwnerUnconfirmed, false}, request{body: "a"}, want{ran, verdict.ReasonNone, false}},
	"lost reply, repeated":        {1, request{body: "a", network: "r"}, want{mayHaveRun, verdict.ReasonOwnerUnconfirmed, false}, request{body: "a"}, want{ran, verdict.ReasonNone, false}},
	"forward not sent":            {1, request{body: "a", network: "x"}, want{mayHaveRun, verdict.ReasonOwnerGone, false}, noRequest, want{}},
	"panic":                       {0, request{body: "a", admission: "p"}, want{mayHaveRun, verdict.ReasonInternal, false}, request{body: "a"}, want{mayHaveRun, verdict.ReasonInternal, false}},
	"no route, elsewhere":         {1, request{path: "/none"}, want{mayHaveRun, verdict.ReasonNoRoute, false}, request{body: "a"}, want{ran, verdict.ReasonNone, false}},
	"no route, at the owner":      {0, request{path: "/none"}, want{notRun, verdict.ReasonNoRoute, true}, request{body: "a"}, want{notRun, verdict.ReasonKeyRevoked, true}},
	"idempotent route":            {0, request{path: "/lookup"}, want{mayHaveRun, verdict.ReasonKeyUnexpected, false}, request{body: "a"}, want{ran, verdict.ReasonNone, false}},
	"malformed key":               {1, request{key: "AQ", body: "a"}, want{mayHaveRun, verdict.ReasonKeyMalformed, false}, noRequest, want{}},
	"key required":                {1, request{path: "/booking", key: "-"}, want{notRun, verdict.ReasonKeyRequired, true}, noRequest, want{}},
	"no key":                      {1, request{body: "a", key: "-"}, want{ran, verdict.ReasonNone, false}, noRequest, want{}},
	"no key, shed":                {1, request{body: "a", key: "-", backend: "osoo"}, want{notRun, verdict.ReasonShed, false}, noRequest, want{}},
	"no key, reset":               {1, request{body: "a", key: "-", backend: "rrrr"}, want{mayHaveRun, verdict.ReasonAnswerCut, false}, noRequest, want{}},
	"deadline before dispatch":    {1, request{body: "a", deadline: time.Second, admission: "w"}, want{notRun, verdict.ReasonDeadline, true}, request{body: "a"}, want{notRun, verdict.ReasonKeyRevoked, true}},
	"deadline after dispatch":     {1, request{body: "a", deadline: time.Second, backend: "HHHH"}, want{mayHaveRun, verdict.ReasonAnswerTimeout, false}, request{body: "a", deadline: time.Second}, want{mayHaveRun, verdict.ReasonAnswerTimeout, false}},
}

// TestVerdicts guards against a wrong verdict, reason or fresh key for the first
// and the second request with a key.
func TestVerdicts(t *testing.T) {
	for name, c := range verdictCases {
		t.Run(name, func(t *testing.T) {
			withSimulation(t, func(is *is.I, sim *simulation, send func(int, request) filter.Outcome) {
				// Copies are not sent, because one that arrives in time would supply the
				// response after a lost reply. TestOwnerGone covers that.
				sim.copyFault = func(int) byte { return 'x' }
				check := func(host int, r request, x want) {
					out := send(host, r)
					is.Equal(want{out.Verdict, out.Reason, out.FreshKey != ""}, x)
				}
				key := sim.hosts[0].key()
				switch c.first.key {
				case "":
					c.first.key = key
				case "-":
					c.first.key = ""
				}
				check(c.host, c.first, c.want)
				if c.second.body != "" {
					c.second.key = key
					check(2, c.second, c.wantSecond)
				}
			})
		})
	}
}

// TestForgedKeys guards against a forged key that directs an order to an address of
// the caller's choice, or that is accepted as issued. The simulation records a
// violation when a host calls an address that is not a member's.
func TestForgedKeys(t *testing.T) {
	withSimulation(t, func(is *is.I, sim *simulation, send func(int, request) filter.Outcome) {
		k, err := orderkey.Decode(sim.hosts[0].key())
		is.NoErr(err)
		k.Sequence++
		is.Equal(send(1, request{key: k.String()}).Reason, verdict.ReasonKeyInvalid)
		k.Owner = sim.hosts[1].ctl.owner
		is.Equal(send(2, request{key: k.String()}).Reason, verdict.ReasonOwnerGone)
		redirected, err := orderkey.Decode(sim.hosts[0].key())
		is.NoErr(err)
		nonMember := sim.startHost(9) // a running process that is not a member
		defer nonMember.cancel()
		redirected.Owner = nonMember.ctl.owner
		is.Equal(send(2, request{key: redirected.String()}).Reason, verdict.ReasonOwnerGone)
		is.Equal(len(sim.ranBody), 0)
	})
}

// TestCallerGone guards against a dispatched order that is cancelled when its caller
// disconnects, and against a queued order that still runs afterwards.
func TestCallerGone(t *testing.T) {
	withSimulation(t, func(is *is.I, sim *simulation, send func(int, request) filter.Outcome) {
		sent, queued := sim.hosts[0].key(), sim.hosts[0].key()
		for _, r := range []request{{path: "/order", key: sent, body: "s", backend: "HHHH"}, {path: "/order", key: queued, body: "q", admission: "w"}} {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(time.Millisecond, cancel)
			out, _ := sim.send(ctx, sim.hosts[0], r)
			is.Equal(out.Reason, verdict.ReasonCallerGone)
			sim.unblock(0)
		}
		synctest.Wait()
		is.Equal(string(send(1, request{key: sent, body: "s"}).Response.Body), "answer to s")
		is.Equal(send(1, request{key: queued, body: "q"}).Reason, verdict.ReasonKeyRevoked)
	})
}

// TestOwnerGone guards against the verdict "not run" or the response of a different
// order after the owner crashed, and against a copy that is not found. The owner,
// host 0, is replaced.
func TestOwnerGone(t *testing.T) {
	withSimulation(t, func(is *is.I, sim *simulation, send func(int, request) filter.Outcome) {
		used, unused := sim.hosts[0].key(), sim.hosts[0].key()
		is.Equal(send(0, request{key: used, body: "a"}).Verdict, verdict.Ran)
		synctest.Wait() // the copy is sent
		sim.hosts[0].down.Store(true)
		for _, listed := range []bool{false, true} { // the replacement is listed late
			out := send(1, request{key: used, body: "a"})
			is.Equal(out.Verdict, verdict.Ran)
			is.Equal(string(out.Response.Body), "answer to a")
			is.Equal(send(2, request{key: used, body: "b"}).Reason, verdict.ReasonKeyConflict)
			out = send(3, request{key: unused, body: "a"})
			is.Equal(out.Verdict, verdict.MayHaveRun)
			is.Equal(out.Reason, verdict.ReasonOwnerGone)
			if !listed {
				sim.hosts[0].cancel()
				sim.hosts[0] = sim.startHost(0)
				for _, h := range sim.hosts {
					sim.updateMembers(h)
				}
			}
		}
	})
}

// TestPlannedStop guards against a successor that loses the records of orders that
// ran or refuses unused keys, and against a transfer to a second host after an
// unconfirmed one.
func TestPlannedStop(t *testing.T) {
	for fault, accepted := range map[byte]bool{'o': true, 'x': true, 'r': true, 'l': true, 'X': true, 'R': true, 'L': false} {
		withSimulation(t, func(is *is.I, sim *simulation, send func(int, request) filter.Outcome) {
			h := sim.hosts[0]
			used, unused, running := h.key(), h.key(), h.key()
			is.Equal(send(0, request{key: used, body: "a"}).Verdict, verdict.Ran)
			go send(0, request{key: running, body: "r", backend: "HHHH"})
			synctest.Wait()
			h.handOverFault.Store(int32(fault))
			time.AfterFunc(time.Second, func() { sim.unblock(0) })
			is.Equal(h.ctl.Stop(context.Background()), int64(0)) // waits for the running order
			_, err := h.ctl.Issue(1)
			is.Equal(verdict.From(err).Reason, verdict.ReasonStopping)
			out := send(1, request{key: used, body: "a"}) // still forwarded to host 0
			is.Equal(out.Verdict, verdict.Ran)
			// A refusal by another filter also names the successor.
			is.Equal(send(0, request{path: "/none", key: used}).Reason, verdict.ReasonOwnerSealed)
			h.down.Store(true)
			for _, o := range sim.hosts {
				sim.updateMembers(o)
			}
			holders := 0
			for _, o := range sim.hosts[1:] {
				if o.ctl.KeyedLedger(h.incarnation) != nil {
					holders++
				}
			}
			is.True(holders <= 1)
			is.Equal(holders == 1, accepted)
			for i := 1; accepted && i < 4; i++ {
				is.Equal(string(send(i, request{key: used, body: "a"}).Response.Body), "answer to a")
				is.Equal(string(send(i, request{key: running, body: "r"}).Response.Body), "answer to r")
				is.Equal(string(send(i, request{key: unused, body: "u"}).Response.Body), "answer to u")
			}
			if !accepted {
				is.Equal(send(1, request{key: unused, body: "u"}).Verdict, verdict.MayHaveRun)
			}
		})
	}
}

// TestHandOverRepeatedAfterExpiry guards against a host that takes over a ledger
// again when its transfer is repeated after the expiry: its keys would run again.
func TestHandOverRepeatedAfterExpiry(t *testing.T) {
	withSimulation(t, func(is *is.I, sim *simulation, send func(int, request) filter.Outcome) {
		old := sim.hosts[0]
		key := old.key()
		keyedLedger := old.ctl.ownLedger
		transfer := &wire.HandOverRequest{Owner: old.incarnation, Payload: keyedLedger.Export(old.clock.Now(), keyedLedger.Secret)}
		accept := func(r *wire.HandOverRequest) bool {
			r.Parts = max(r.Parts, 1)
			reply := &wire.HandOverReply{}
			is.NoErr(sim.hosts[1].ctl.Service().HandOver(r, reply))
			return reply.Accepted
		}
		is.True(accept(transfer))
		is.True(accept(transfer)) // confirmed again
		is.Equal(send(1, request{key: key, body: "a"}).Verdict, verdict.Ran)
		time.Sleep(sim.ledgerConfig.KeyTTL)
		is.True(accept(&wire.HandOverRequest{Owner: 1 << 60, Payload: ledger.New(sim.ledgerConfig).Export(0, keyedLedger.Secret)}))
		is.True(accept(transfer))
		is.True(sim.hosts[1].ctl.KeyedLedger(old.incarnation) == nil)
		is.True(!accept(&wire.HandOverRequest{Owner: sim.hosts[1].incarnation, Payload: transfer.Payload})) // a host never takes over its own ledger
	})
}

// TestHandOverParts guards against a transfer that is assembled from parts in the
// wrong order, from parts of two senders, or without a size limit.
func TestHandOverParts(t *testing.T) {
	is := is.New(t)
	in := incoming{parts: map[uint64]*partialTransfer{}}
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
		is.True(len(in.parts) <= maxIncomingTransfers)
	}
	_, ok := in.add(99, 1, 3, []byte("long"), 3)
	is.True(!ok) // over the limit
}

// TestIssue guards against issuing too many keys in one call or in total.
func TestIssue(t *testing.T) {
	withSimulation(t, func(is *is.I, sim *simulation, _ func(int, request) filter.Outcome) {
		for n, reason := range map[int]verdict.Reason{0: verdict.ReasonBadRequest, 65: verdict.ReasonBadRequest} {
			_, err := sim.hosts[0].ctl.Issue(n)
			is.Equal(verdict.From(err).Reason, reason)
			is.Equal(verdict.From(err).Verdict, verdict.NotRun)
		}
		for range sim.ledgerConfig.MaxKeys / MaxKeysPerRequest {
			keys, err := sim.hosts[0].ctl.Issue(MaxKeysPerRequest)
			is.NoErr(err)
			is.Equal(len(keys), MaxKeysPerRequest)
		}
		_, err := sim.hosts[0].ctl.Issue(1)
		is.Equal(verdict.From(err).Reason, verdict.ReasonLedgerFull)
		time.Sleep(sim.ledgerConfig.KeyTTL)
		_, err = sim.hosts[0].ctl.Issue(MaxKeysPerRequest)
		is.NoErr(err)
	})
}
