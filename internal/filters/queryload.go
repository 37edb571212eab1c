package filters

import (
	"context"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/placement"
	"github.com/anvilfront/anvilfront/internal/state"
)

const (
	// recentReadingAge is the age up to which a reading is used without a query. The
	// speed of servers changes several times a second.
	recentReadingAge = 10 * time.Millisecond
	// maxQueries bounds the servers that are queried for one request. When readings are
	// some 100 ms old and a third of the servers are slow or busy, three of them disappoint
	// for one request in eight, which was then placed by an old reading.
	maxQueries = 8
	// maxQueryTimeShare is the share of the objective that queries for one request may take.
	maxQueryTimeShare = 0.1
	// minTimeForQueries is the time that must be left until the deadline.
	minTimeForQueries = 100 * time.Millisecond
)

// QueryResult is the result of a query for the load of a backend server.
type QueryResult uint8

const (
	// NotQueried means that the budget of queries is used up.
	NotQueried QueryResult = iota
	// NoLoad means that the server did not respond in time, or not with its load.
	NoLoad
	// Updated means that the reading of the server is recent now.
	Updated
)

// LoadQuerier queries the load of a backend server now, and records the reading.
type LoadQuerier interface {
	QueryLoad(ctx context.Context, s *state.Server) QueryResult
}

// queried holds the names of the servers that were queried for one request.
type queried struct{ updated, unresponsive []string }

// queryBest queries the server that would be chosen, unless its reading is recent, and
// then the one that would be chosen instead. It answers a load under which many hosts
// choose the same servers by the same old readings.
func (p *Placement) queryBest(ctx context.Context, servers []*state.Server, x *filter.Exchange, requirements placement.Requirements, now clock.Time) (q queried) {
	if p.Load == nil || requirements.TimeLeft < minTimeForQueries {
		return q
	}
	end := now.Add(time.Duration(maxQueryTimeShare * float64(requirements.TotalObjective)))
	for n := 0; n < maxQueries && (n == 0 || now.Before(end)); n++ {
		warm, _, _ := p.compare(servers, x, q, requirements, now)
		best := &warm.Best
		if !best.Found || best.Load.Age <= recentReadingAge {
			return q
		}
		s := servers[best.Index]
		if r := s.Load.Reading(); r == nil || r.Slots == 0 {
			return q // it does not report its load, and a query would wait for a slot
		}
		switch p.Load.QueryLoad(ctx, s) {
		case NotQueried:
			return q
		case NoLoad:
			q.unresponsive = append(q.unresponsive, s.Name)
		case Updated:
			q.updated = append(q.updated, s.Name)
		}
		now = p.Clock.Now()
	}
	return q
}
