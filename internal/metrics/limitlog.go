package metrics

import (
	"expvar"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// limitLogInterval is the least time between two log lines of one limit, since clients
// decide how often a limit is reached.
const limitLogInterval = 10 * time.Second

// Limit counts what one limit on clients refused or closed, and logs it, at most once in
// limitLogInterval. Add takes no lock unless it logs.
type Limit struct {
	log     *zap.Logger
	message string
	count   *expvar.Int
	next    atomic.Int64 // time of the next log line
}

// Limit returns the limit whose counter has the given name.
func (c *Counters) Limit(name, message string, log *zap.Logger) *Limit {
	return &Limit{log: log, message: message, count: c.Int(name)}
}

// Add counts one refusal or closed connection.
func (l *Limit) Add(now clock.Time) {
	l.count.Add(1)
	next := l.next.Load()
	if int64(now) >= next && l.next.CompareAndSwap(next, int64(now.Add(limitLogInterval))) {
		l.log.Warn(l.message, zap.Int64("total", l.count.Value()))
	}
}
