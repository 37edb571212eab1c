package filters

import (
	"context"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Poison refuses requests that are suspected of crashing backend servers, and
// reports crashes and successes. It stands inside the retry filter, so that it
// judges each attempt: outside, it would see only the last of several crashes.
type Poison struct {
	Clock    clock.Clock
	Store    *state.Store // read again for each attempt: a crash is younger than the request's snapshot
	Reporter filter.PoisonRequestReporter
	// Confirmed is set where the reporter confirms crashes by itself, because
	// connections are reset for other reasons as well. A reset alone then stops
	// no repetition.
	ConfirmsCrashes bool
}

// Name implements filter.Filter.
func (*Poison) Name() string { return "poison" }

// Handle implements filter.Filter.
func (p *Poison) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	if x.Fingerprint == 0 {
		x.Fingerprint = Fingerprint(x)
	}
	if p.refuses(x) {
		if x.Crashed {
			return filter.Unknown(verdict.ReasonSuspect, nil) // the attempt before may have run
		}
		return filter.Refuse(verdict.ReasonSuspect, nil)
	}
	x.CrashRetry = false
	out := next.Handle(ctx, x)
	switch {
	case out.Crashed:
		x.Crashed = true
		server := ""
		if x.Grant != nil {
			server = x.Grant.Server.Name
		}
		wantRetry := x.Route.Idempotent && x.Route.Retries > 0 && !x.Nested
		x.CrashRetry = p.Reporter.Crashed(ctx, x.Fingerprint, server, wantRetry)
	case out.Verdict == verdict.Ran:
		if _, ok := p.Store.Load().PoisonRequests.ByFingerprint[x.Fingerprint]; ok {
			p.Reporter.Succeeded(x.Fingerprint)
		}
	}
	return out
}

// refuses decides from the suspects of now. The one repetition after a crash
// passes, unless a second crash became known since.
func (p *Poison) refuses(x *filter.Exchange) bool {
	if x.Crashed && !x.CrashRetry && !p.ConfirmsCrashes {
		return true
	}
	s, ok := p.Store.Load().PoisonRequests.ByFingerprint[x.Fingerprint]
	if !ok || !s.Refuse || !p.Clock.Now().Before(s.Expires) {
		return false
	}
	return !x.CrashRetry || s.Crashes > 1
}

// Fingerprint identifies a request by route, caller, method, path, query and
// body. The
// order key is left out: an order that is sent again under a fresh key would
// otherwise crash one more backend server each time. It is never 0, which
// stands for "not computed".
func Fingerprint(x *filter.Exchange) uint64 {
	var d xxhash.Digest
	d.Reset()
	r := x.Request
	for _, s := range [...]string{x.Route.Name, r.Caller, r.Method, r.Path, r.Query} {
		writeSized(&d, s)
	}
	_, _ = d.Write(r.Body) // a hash does not fail
	if sum := d.Sum64(); sum != 0 {
		return sum
	}
	return 1
}

// writeSized writes the length first, so that "ab"+"c" differs from "a"+"bc".
func writeSized(d *xxhash.Digest, s string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
	_, _ = d.Write(size[:])
	_, _ = d.WriteString(s)
}
