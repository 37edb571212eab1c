package latencies

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/metrics"
)

// TestDrainAndPublish guards against a report that blocks a request when the queue
// is full, and against published figures that operators cannot read.
func TestDrainAndPublish(t *testing.T) {
	is := is.New(t)
	c := metrics.New()
	l := New(c)
	for i := range queueLength + 10 {
		l.Observe("added", time.Duration(i%100+1)*time.Millisecond)
	}
	is.Equal(l.dropped.Value(), int64(10))
	is.True(l.drain())
	l.publish()
	var got struct{ Latencies map[string]Summary }
	is.NoErr(json.Unmarshal([]byte(c.Map().String()), &got))
	v := got.Latencies["added"]
	is.Equal(v.Count, int64(queueLength))
	is.True(v.P50 > 45_000 && v.P50 < 55_000)
	is.True(v.P99 > 95_000 && v.Max < 102_000)
}
