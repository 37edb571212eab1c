package filters

import (
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// This file has the parts of Placement for servers that report only how many
// requests run there (state.Server.ReportsRunningOnly). They refuse requests
// beyond their slots, and their start has to be detected.

// tryStart counts the request as in flight at its server. It returns false when
// other requests of this host have reached the limit of the server.
func (p *Placement) tryStart(s *state.Server, now clock.Time) bool {
	if s.ReportsRunningOnly {
		return s.Load.TryStart(p.requestLimit(s, now))
	}
	s.Load.Start()
	return true
}

// requestLimit returns how many requests of this host may be in flight at a server
// that does not report its start. After a start only the host that probes the
// server sends to it.
func (p *Placement) requestLimit(s *state.Server, now clock.Time) int {
	slow, r := &s.Load.SlowStart, s.Load.Reading()
	switch {
	case s.Local && p.Cold.MaySendToCold(s):
		return slow.Limit(now, s.Slots)
	case r != nil && now.Before(r.ColdUntil), slow.StartedAt() != 0 && now.Sub(slow.StartedAt()) < load.ColdStartTTL:
		return 0
	}
	return s.Slots
}

// detectProcessStart looks for signs of a process start in the result of a request
// to a server that does not report its start.
func detectProcessStart(s *state.Server, r *filter.Report, now clock.Time) {
	slow := &s.Load.SlowStart
	if r.Crashed || r.Reason == verdict.ReasonConnectFailed {
		slow.Begin(now)
	}
	if r.Load != nil {
		slow.ObserveInstance(now, r.Load.Instance)
	}
	switch {
	case r.Verdict == verdict.Ran && !r.Failed:
		slow.RecordSuccess(s.Slots)
	case r.Failed, r.Reason == verdict.ReasonShed:
		slow.RecordFailure()
	}
}
