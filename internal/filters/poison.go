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

// Poison refuses poison requests, which crash the backend servers that run them,
// and reports crashes and successes. It runs inside the retry filter, so that it
// checks each attempt: outside, it would see only the last of several crashes.
type Poison struct {
	Clock    clock.Clock
	Store    *state.Store // loaded for each attempt: a crash is newer than the request's snapshot
	Reporter filter.PoisonRequestReporter
	// ConfirmsCrashes is set when the reporter confirms crashes itself, because
	// connections are reset for other reasons as well. A reset alone then does not
	// prevent a retry.
	ConfirmsCrashes bool
}

// Name implements filter.Filter.
func (*Poison) Name() string { return "poison" }

// Handle implements filter.Filter.
func (p *Poison) Handle(ctx context.Context, x *filter.Exchange, next filter.Handler) filter.Outcome {
	if x.Fingerprint == 0 {
		x.Fingerprint = Fingerprint(x)
	}
	if p.shouldRefuse(x) {
		if x.Crashed {
			return filter.Unknown(verdict.ReasonSuspect, nil) // the previous attempt may have run
		}
		out := filter.Refuse(verdict.ReasonSuspect, nil)
		out.RetryAfter = p.Store.Load().PoisonRequests.ByFingerprint[x.Fingerprint].Expires.Sub(p.Clock.Now())
		return out
	}
	x.CrashRetry = false
	listed, wasListed := p.Store.Load().PoisonRequests.ByFingerprint[x.Fingerprint]
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
	case out.Verdict == verdict.Ran && out.Reason != verdict.ReasonBackendError && wasListed:
		// A success proves nothing about crashes that were found after it was sent.
		if p.Store.Load().PoisonRequests.ByFingerprint[x.Fingerprint] == listed {
			p.Reporter.Succeeded(x.Fingerprint)
		}
	}
	return out
}

// shouldRefuse decides from the current poison requests. The one retry after a
// crash is allowed, unless a second crash has become known since.
func (p *Poison) shouldRefuse(x *filter.Exchange) bool {
	if x.Crashed && !x.CrashRetry && !p.ConfirmsCrashes {
		return true
	}
	s, ok := p.Store.Load().PoisonRequests.ByFingerprint[x.Fingerprint]
	if ok && x.Crashed && s.Crashes > 1 {
		return true // its refusal had ended, and it has crashed a server again
	}
	if !ok || !s.Refuse || !p.Clock.Now().Before(s.Expires) {
		return false
	}
	return !x.CrashRetry || s.Crashes > 1
}

// Fingerprint identifies a request by host, caller, method, path, query and body. The
// route is left out: a new manifest may name another one for the same request.
// The order key is left out: otherwise an order that is sent again under a new key
// would crash one more backend server each time. The result is never 0, which
// means "not computed".
func Fingerprint(x *filter.Exchange) uint64 {
	var d xxhash.Digest
	d.Reset()
	r := x.Request
	for _, s := range [...]string{r.Host, r.Caller, r.Method, r.Path, r.Query} {
		writeLengthPrefixed(&d, s)
	}
	_, _ = d.Write(r.Body) // a hash never returns an error
	if sum := d.Sum64(); sum != 0 {
		return sum
	}
	return 1
}

// writeLengthPrefixed writes the length first, so that "ab"+"c" differs from
// "a"+"bc".
func writeLengthPrefixed(d *xxhash.Digest, s string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(s)))
	_, _ = d.Write(size[:])
	_, _ = d.WriteString(s)
}
