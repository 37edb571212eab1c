// Package verdict decides whether a request may have run on a backend server,
// and why, from the facts that were observed during an attempt. The dispatch
// filter calls Decide; every response to a caller carries a Verdict and a Reason.
package verdict

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Verdict says whether a request may have run. The zero value is MayHaveRun,
// so that a forgotten assignment never claims that a request did not run.
type Verdict uint8

const (
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and will never run under its key.
	NotRun
	// Ran means that the request ran and its response is complete.
	Ran
)

// String returns the form used in headers and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict for a header value. Unknown values are MayHaveRun.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Error is an error that is returned to a caller.
type Error struct {
	Verdict Verdict
	Reason  Reason
	Cause   error // may be nil
}

// New returns an Error. cause may be nil.
func New(v Verdict, r Reason, cause error) *Error {
	return &Error{Verdict: v, Reason: r, Cause: cause}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// From returns the Error in err's chain, or an Error with MayHaveRun and
// ReasonInternal when there is none.
func From(err error) *Error {
	if e, ok := errors.Into[*Error](err); ok {
		return e
	}
	return New(MayHaveRun, ReasonInternal, err)
}
