package filters

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/backend"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

type fakeReporter struct {
	retry              bool
	crashed, succeeded int
	server             string
	wantedRetry        bool
}

func (r *fakeReporter) Crashed(_ context.Context, _ uint64, server string, wantRetry bool) bool {
	r.crashed, r.server, r.wantedRetry = r.crashed+1, server, wantRetry
	return r.retry
}

func (r *fakeReporter) Succeeded(uint64) { r.succeeded++ }

// TestPoisonAttempts guards against attempts after a crash that were not allowed,
// and against the verdict "not run" for a request that an earlier attempt may have
// run.
func TestPoisonAttempts(t *testing.T) {
	crash := filter.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonAnswerCut, Crashed: true}
	ran := filter.Outcome{Verdict: verdict.Ran}
	type refusal struct {
		v verdict.Verdict
		r verdict.Reason
	}
	for _, c := range []struct {
		name     string
		retry    bool
		listed   state.PoisonRequest // listed before each attempt
		outcomes []filter.Outcome
		attempts int
		reached  int // attempts that reached a backend server
		last     refusal
	}{
		{"not listed", false, state.PoisonRequest{}, []filter.Outcome{ran}, 1, 1, refusal{verdict.Ran, verdict.ReasonNone}},
		{"refused", false, state.PoisonRequest{Crashes: 1, Refuse: true, Expires: 9}, nil, 1, 0, refusal{verdict.NotRun, verdict.ReasonSuspect}},
		{"refusal expired", false, state.PoisonRequest{Crashes: 2, Refuse: true, Expires: 5}, []filter.Outcome{ran}, 1, 1, refusal{verdict.Ran, verdict.ReasonNone}},
		{"no retry granted", false, state.PoisonRequest{}, []filter.Outcome{crash, ran}, 2, 1, refusal{verdict.MayHaveRun, verdict.ReasonSuspect}},
		{"one retry granted", true, state.PoisonRequest{Crashes: 1, Refuse: true, Expires: 9}, []filter.Outcome{crash, crash, ran}, 3, 2, refusal{verdict.MayHaveRun, verdict.ReasonSuspect}},
		{"second crash elsewhere", true, state.PoisonRequest{Crashes: 2, Refuse: true, Expires: 9}, []filter.Outcome{crash, ran}, 2, 1, refusal{verdict.MayHaveRun, verdict.ReasonSuspect}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			clk, store, rep := &clock.Manual{}, state.NewStore(state.Member{Name: "a"}), &fakeReporter{retry: c.retry}
			clk.Set(5)
			p := &Poison{Clock: clk, Store: store, Reporter: rep}
			x := &filter.Exchange{Request: &filter.Request{Path: "/"}, Route: &manifest.Route{Name: "r", Idempotent: true, Retries: 3}}
			if c.outcomes == nil || !c.outcomes[0].Crashed {
				publishPoisonRequest(store, x, c.listed)
			}
			reached, out := 0, filter.Outcome{}
			next := filter.HandlerFunc(func(_ context.Context, x *filter.Exchange) filter.Outcome {
				x.Grant = &filter.Grant{Server: &manifest.BackendServer{Name: "s1"}}
				publishPoisonRequest(store, x, c.listed)
				reached++
				rep.retry = c.retry && reached == 1
				return c.outcomes[reached-1]
			})
			for range c.attempts {
				out = p.Handle(context.Background(), x, next)
			}
			is.Equal(reached, c.reached)
			is.Equal(refusal{out.Verdict, out.Reason}, c.last)
			if out.Verdict == verdict.NotRun {
				is.Equal(out.RetryAfter, c.listed.Expires.Sub(5)) // until the refusal ends
			}
			if rep.crashed > 0 {
				is.Equal(rep.server, "s1")
				is.True(rep.wantedRetry)
			}
			if out.Verdict == verdict.Ran && c.listed.Crashes > 0 {
				is.Equal(rep.succeeded, 1) // a success is reported, so that the entry can be cleared
			}
		})
	}
}

// TestNoRetryAfterThirdCrash guards against a request that crashed servers, runs again
// when its refusal has ended, and is retried at once when it crashes another one.
func TestNoRetryAfterThirdCrash(t *testing.T) {
	is := is.New(t)
	clk, store := &clock.Manual{}, state.NewStore(state.Member{Name: "a"})
	clk.Set(5)
	p := &Poison{Clock: clk, Store: store, Reporter: &fakeReporter{}, ConfirmsCrashes: true}
	x := &filter.Exchange{Request: &filter.Request{Path: "/"}, Route: &manifest.Route{Idempotent: true, Retries: 3}}
	publishPoisonRequest(store, x, state.PoisonRequest{Crashes: 2, Refuse: true, Expires: 4})
	reached := 0
	next := filter.HandlerFunc(func(context.Context, *filter.Exchange) filter.Outcome {
		reached++
		return filter.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.ReasonAnswerCut, Crashed: true}
	})
	p.Handle(context.Background(), x, next)
	out := p.Handle(context.Background(), x, next)
	is.Equal(reached, 1)
	is.Equal(out.Verdict, verdict.MayHaveRun)
	is.Equal(out.Reason, verdict.ReasonSuspect)
}

// TestOnlyLaterSuccessClears guards against a poison request that is cleared by a
// response that was on its way when its crash was found, or by an error response.
func TestOnlyLaterSuccessClears(t *testing.T) {
	ran := filter.Outcome{Verdict: verdict.Ran}
	known := state.PoisonRequest{Crashes: 1, Expires: 9}
	for name, c := range map[string]struct {
		before, after state.PoisonRequest // listed when the attempt is sent, and when it ends
		out           filter.Outcome
		cleared       int
	}{
		"success":             {known, known, ran, 1},
		"crash found since":   {state.PoisonRequest{}, known, ran, 0},
		"another crash since": {known, state.PoisonRequest{Crashes: 2, Refuse: true, Expires: 9}, ran, 0},
		"error response":      {known, known, filter.Outcome{Verdict: verdict.Ran, Reason: verdict.ReasonBackendError}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			store, rep := state.NewStore(state.Member{Name: "a"}), &fakeReporter{}
			p := &Poison{Clock: &clock.Manual{}, Store: store, Reporter: rep, ConfirmsCrashes: true}
			x := &filter.Exchange{Request: &filter.Request{Path: "/"}, Route: &manifest.Route{Name: "r"}}
			publishPoisonRequest(store, x, c.before)
			p.Handle(context.Background(), x, filter.HandlerFunc(func(context.Context, *filter.Exchange) filter.Outcome {
				publishPoisonRequest(store, x, c.after)
				return c.out
			}))
			is.New(t).Equal(rep.succeeded, c.cleared)
		})
	}
}

func publishPoisonRequest(store *state.Store, x *filter.Exchange, v state.PoisonRequest) {
	store.Update(func(s *state.Snapshot) {
		s.PoisonRequests = &state.PoisonRequests{ByFingerprint: map[uint64]state.PoisonRequest{}}
		if v.Crashes > 0 {
			s.PoisonRequests.ByFingerprint[Fingerprint(x)] = v
		}
	})
}

// TestFingerprint guards against different requests with the same fingerprint, against
// a request that gets another one through a new manifest, and against allocations on the
// path of a request.
func TestFingerprint(t *testing.T) {
	part := rapid.SampledFrom([]string{"", "a", "b", "ab", "ba"})
	draw := rapid.Custom(func(t *rapid.T) [6]string {
		return [6]string{part.Draw(t, "host"), part.Draw(t, "method"), part.Draw(t, "path"), part.Draw(t, "query"), part.Draw(t, "key"), part.Draw(t, "body")}
	})
	exchange := func(p [6]string) *filter.Exchange {
		return &filter.Exchange{Route: &manifest.Route{}, Key: p[4], Request: &filter.Request{Host: p[0], Method: p[1], Path: p[2], Query: p[3], Body: []byte(p[5])}}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := draw.Draw(t, "a"), draw.Draw(t, "b")
		same := a
		same[4] = b[4] // the order key is left out
		if (Fingerprint(exchange(a)) == Fingerprint(exchange(b))) != (same == b) {
			t.Fatalf("%q and %q", a, b)
		}
	})
	x := exchange([6]string{"host", "GET", "/lots/7", "a=b", "", "body"})
	is := is.New(t)
	is.Equal(testing.AllocsPerRun(100, func() { Fingerprint(x) }), 0.0)
	moved := exchange([6]string{"host", "GET", "/lots/7", "a=b", "", "body"})
	moved.Route.Name = "another"
	is.Equal(Fingerprint(moved), Fingerprint(x)) // a new manifest does not make it another request
}

// TestPoisonInsideRetry guards against a route with retries, hedged or not, that
// repeats a poison request more than the one time that is allowed.
func TestPoisonInsideRetry(t *testing.T) {
	for _, hedge := range []float64{0, 100} {
		is := is.New(t)
		rep := &fakeReporter{retry: true}
		p := &Poison{Clock: &clock.Manual{}, Store: state.NewStore(state.Member{Name: "a"}), Reporter: rep}
		reached := -10 // requests that fill the retry budget
		h := filter.Chain(&Retry{Clock: &clock.Manual{}, Counters: metrics.New()}, p,
			handler(func(context.Context, *filter.Exchange) filter.Outcome {
				if reached++; reached <= 0 {
					return filter.Outcome{Verdict: verdict.Ran}
				}
				rep.retry = reached == 1
				out := filter.Unknown(verdict.ReasonAnswerCut, nil)
				out.Crashed = true
				return out
			}))
		var out filter.Outcome
		for range 11 {
			x := exchange(true)
			x.Service.HedgePercent = hedge
			out = h.Handle(context.Background(), x)
		}
		is.Equal(reached, 2)
		is.Equal(out.Verdict, verdict.MayHaveRun)
		is.Equal(out.Reason, verdict.ReasonSuspect)
	}
}

// TestDispatchDetectsCrash guards against a crash that is taken for an ordinary
// failure, and against a response beyond the size limit that is taken for a crash.
func TestDispatchDetectsCrash(t *testing.T) {
	for response, want := range map[string]bool{
		"":               true,
		"HTTP/1.1 200 O": true,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab":                           true,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab":                           false,
		"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + string(make([]byte, 99)): false,
	} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		done := make(chan struct{})
		go func() {
			defer close(done)
			if conn, err := l.Accept(); err == nil {
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = conn.Write([]byte(response))
				_ = conn.Close()
			}
		}()
		clk := clock.NewMonotonic()
		d := &Dispatch{
			Clock: clk, Placement: noopReleaser{}, Transport: backend.New(backend.Options{MaxBody: 50}),
			Fresh: func() bool { return true },
		}
		x := exchange(true)
		x.Deadline = clk.Now().Add(10 * time.Second)
		x.Request = &filter.Request{Method: "GET", Path: "/", Host: "h"}
		x.Grant = &filter.Grant{Server: &manifest.BackendServer{Name: "s", Address: l.Addr().String()}, StartBy: x.Deadline}
		out := d.Handle(context.Background(), x, nil)
		is.Equal(out.Crashed, want) // for this response
		is.NoErr(l.Close())
		<-done
	}
}

type noopReleaser struct{}

func (noopReleaser) Release(*filter.Grant, filter.Report) {}
