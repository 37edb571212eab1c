package verdict

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestDecideNeverClaimsNotRunAfterFirstByte guards against the verdict "not run"
// for a request that the backend server may have read.
func TestDecideNeverClaimsNotRunAfterFirstByte(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := Facts{
			Connected:              rapid.Bool().Draw(rt, "connected"),
			ConnectionLimitReached: rapid.Bool().Draw(rt, "connectionLimitReached"),
			FirstByte:              rapid.Bool().Draw(rt, "firstByte"),
			Written:                rapid.Bool().Draw(rt, "written"),
			TimedOut:               rapid.Bool().Draw(rt, "timedOut"),
			Cancelled:              rapid.Bool().Draw(rt, "cancelled"),
			ResponseState:          ResponseState(rapid.IntRange(0, int(ResponseShed)).Draw(rt, "responseState")),
		}
		v, r := Decide(f)
		sent := f.FirstByte || f.Written
		if v == NotRun && sent && f.ResponseState != ResponseShed {
			rt.Fatalf("not-run after the first byte: %+v", f)
		}
		if v == Ran && f.ResponseState != ResponseComplete {
			rt.Fatalf("ran without a complete response: %+v", f)
		}
		if v != Ran && r == ReasonNone {
			rt.Fatalf("no reason given: %+v", f)
		}
	})
}

// TestReasonTable guards against a reason without a name, status or help line.
func TestReasonTable(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, r := range Reasons() {
		is.True(r.String() != "") // reason has a name
		is.True(r.Status() >= 200)
		is.True(r.Help() != "")
		is.True(!seen[r.String()]) // name is unique
		seen[r.String()] = true
		parsed, ok := ParseReason(r.String())
		is.True(ok)
		is.Equal(parsed, r)
	}
	is.Equal(From(New(NotRun, ReasonShed, nil)).Verdict, NotRun)
	is.Equal(From(nil).Verdict, MayHaveRun)
}
