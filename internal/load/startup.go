package load

import (
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

const (
	// assumeColdAfter is how long a new process waits for another host that knows which
	// backend servers are cold. It spans a ping and its reply; a host that nobody tells
	// is ready after it.
	assumeColdAfter = 300 * time.Millisecond
	// coldReportWait is how long a process that found such a host waits for the reports
	// of cold servers, which each host sends every 100 ms.
	coldReportWait = 150 * time.Millisecond
)

// Startup decides what a new process believes of backend servers of which it has observed
// nothing: they are warm, except those reported as cold, if another host knows them, and
// cold otherwise. It is for servers that do not report a cold start. It is safe for
// concurrent use.
type Startup struct {
	begun    atomic.Int64 // clock.Time at which the servers were listed first; 0: not yet
	informed atomic.Int64 // clock.Time of the first message of a host that knows the servers; 0: none
}

// Begin records that the servers are listed at now.
func (s *Startup) Begin(now clock.Time) { s.begun.CompareAndSwap(0, max(int64(now), 1)) }

// Inform records a message of another host that knows the servers. It reports whether it
// was the first one.
func (s *Startup) Inform(now clock.Time) bool {
	return s.informed.CompareAndSwap(0, max(int64(now), 1))
}

// Informed reports whether another host knows the servers.
func (s *Startup) Informed() bool { return s.informed.Load() != 0 }

// Settled reports whether the process has decided what it believes.
func (s *Startup) Settled(now clock.Time) bool {
	begun, informed := s.begun.Load(), s.informed.Load()
	return begun != 0 && (now.Sub(clock.Time(begun)) >= assumeColdAfter || informed != 0 && now.Sub(clock.Time(informed)) >= coldReportWait)
}

// Knows reports whether this process knows the servers well enough to inform others:
// another host informed it, or a slow start of all servers would have ended by now.
func (s *Startup) Knows(now clock.Time) bool {
	begun := s.begun.Load()
	return s.Settled(now) && (s.Informed() || now.Sub(clock.Time(begun)) >= SlowStartTimeout)
}
