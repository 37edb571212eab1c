package metrics

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// TestLimitLogsOnce guards against a log line for each connection or request that a crowd
// makes the host refuse, and against refusals that are not counted.
func TestLimitLogsOnce(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	c := New()
	l := c.Limit("callers.test", "Refused.", zap.New(core))
	for n := range 1000 {
		l.Add(clock.Time(n))
	}
	l.Add(clock.Time(limitLogInterval))
	is.Equal(lines.Len(), 2)
	is.Equal(lines.All()[1].ContextMap()["total"], int64(1001))
	n, ok := c.Value("callers.test")
	is.True(ok)
	is.Equal(n, int64(1001))
}
