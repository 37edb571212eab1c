package callers

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/admission"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

var (
	errNoRoom      = errors.New("the requests of callers take up too much memory")
	errClientLimit = errors.New("the requests of the client address take up too much memory")
)

// pressureShare is the share of the memory for requests from which on slow connections are
// closed, so that what they hold is free before requests have to be refused.
const pressureShare = 0.75

// limitLog has the counters and log lines of the limits on callers.
type limitLog struct {
	connectionNoRoom, connectionOfClient *metrics.Limit // new connections that were closed unread
	requestNoRoom, requestOfClient       *metrics.Limit // refused requests
	closed                               [admission.NumEvictionReasons]*metrics.Limit
}

func newLimitLog(c *metrics.Counters, log *zap.Logger) limitLog {
	l := limitLog{
		connectionNoRoom:   c.Limit("callers.connections_refused", "Connections are closed unread, since all allowed ones run requests.", log),
		connectionOfClient: c.Limit("callers.client_connections_refused", "Connections are closed unread, since their client address has as many as one may have.", log),
		requestNoRoom:      c.Limit("callers.memory_refused", "Requests are refused, since those in flight take up the memory for requests.", log),
		requestOfClient:    c.Limit("callers.client_memory_refused", "Requests are refused, since those of their client address take up as much memory as one may.", log),
	}
	for r := admission.Unused; r < admission.NumEvictionReasons; r++ {
		l.closed[r] = c.Limit("callers.closed_"+r.String(), "Connections are closed to make room for others. Reason: "+r.String()+".", log)
	}
	return l
}

// admitWait is how long a new connection waits once for one that may be closed, when all are
// in use. It is at least the time for which an unused connection is kept.
const admitWait = 50 * time.Millisecond

// admitConnection decides on a new connection and reports whether it is served.
func (s *Server) admitConnection(c *conn) bool {
	v := s.tryAdmit(c)
	if v != admission.Admitted {
		timer := time.NewTimer(admitWait)
		<-timer.C
		v = s.tryAdmit(c)
	}
	switch v {
	case admission.NoRoom:
		s.limitLog.connectionNoRoom.Add(s.Clock.Now())
	case admission.ClientLimit:
		s.limitLog.connectionOfClient.Add(s.Clock.Now())
	case admission.Admitted:
	}
	return v == admission.Admitted
}

func (s *Server) tryAdmit(c *conn) admission.Verdict {
	now := s.Clock.Now()
	admitted, closed, v := s.Connections.Admit(c.address, now, c.evict)
	s.countClosed(closed, now)
	c.admitted = admitted
	return v
}

func (s *Server) countClosed(reason admission.EvictionReason, now clock.Time) {
	if reason != admission.NotEvicted {
		s.limitLog.closed[reason].Add(now)
	}
}

// evict ends the connection to make room for others.
func (c *conn) evict() {
	c.cancel()
	_ = c.netConn.Close()
}

// admitRequest takes the memory of a request whose head has arrived. The result is nil, or
// the outcome that refuses the request, which has not run.
func (c *conn) admitRequest(cost int64) *filter.Outcome {
	s := c.server
	v := s.Requests.Take(c.admitted.Client, cost)
	pressed := s.Requests.Used() > int64(pressureShare*float64(s.Requests.Limit()))
	if v == admission.Admitted {
		c.inFlightBytes.Add(cost)
		if !pressed {
			return nil
		}
	}
	now := s.Clock.Now()
	s.countClosed(s.Connections.EvictSlow(now), now)
	var out *filter.Outcome
	switch v {
	case admission.Admitted:
		return nil
	case admission.NoRoom:
		s.limitLog.requestNoRoom.Add(now)
		out = refusal(verdict.ReasonMemory, errNoRoom)
	case admission.ClientLimit:
		s.limitLog.requestOfClient.Add(now)
		out = refusal(verdict.ReasonClientLimit, errClientLimit)
	}
	out.RetryAfter = memoryRetryAfter/2 + rand.N(memoryRetryAfter)
	return out
}

// awaitPipelineRoom waits until the requests of this connection that are in flight leave
// room for one more, or have all ended.
func (c *conn) awaitPipelineRoom(cost int64) {
	if c.lastDone != nil && c.inFlightBytes.Load()+cost > c.server.PipelineBytes {
		<-c.lastDone
	}
}
