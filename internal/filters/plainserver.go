package filters

import (
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// What placement does for servers that tell only the requests that run there
// (state.Server.Plain): they refuse what exceeds their slots, and their start has
// to be noticed.

// start counts the request at its server. It reports false when other requests
// of this host took what the server bears.
func (p *Placement) start(s *state.Server, now clock.Time) bool {
	if s.ReportsRunningOnly {
		return s.Load.TryStart(p.limit(s, now))
	}
	s.Load.Start()
	return true
}

// limit returns how many requests of this host may be in flight at a server that
// does not tell its start. After one, only the host that measures it sends to it.
func (p *Placement) limit(s *state.Server, now clock.Time) int {
	slow, r := &s.Load.SlowStart, s.Load.Reading()
	switch {
	case s.Local && p.Cold.MaySendToCold(s):
		return slow.Limit(now, s.Slots)
	case r != nil && now.Before(r.ColdUntil), slow.StartedAt() != 0 && now.Sub(slow.StartedAt()) < load.ColdStartTTL:
		return 0
	}
	return s.Slots
}

// noticeStart takes the signs of a start from what came of a request to a server
// that does not tell it.
func noticeStart(s *state.Server, r *filter.Report, now clock.Time) {
	slow := &s.Load.SlowStart
	if r.Crashed || r.Reason == verdict.ReasonConnectFailed {
		slow.Begin(now)
	}
	if r.Load != nil {
		slow.Instance(now, r.Load.Instance)
	}
	switch {
	case r.Verdict == verdict.Ran && !r.Failed:
		slow.RecordSuccess(s.Slots)
	case r.Failed, r.Reason == verdict.ReasonShed:
		slow.RecordFailure()
	}
}
