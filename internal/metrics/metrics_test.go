package metrics

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/verdict"
)

// TestValue guards against alert rules that get no value for a counter that
// /debug/vars shows.
func TestValue(t *testing.T) {
	is := is.New(t)
	c := New()
	c.PublishProcess()
	c.Refusal(verdict.ReasonShed)
	c.Int("suspects.dropped").Add(3)
	for name, minimum := range map[string]int64{
		"refusals.shed": 1, "verdicts.ran": 0, "suspects.dropped": 3,
		"process.goroutines": 1, "process.resident_bytes": 1 << 10, "process.cpu_millis": 0,
	} {
		v, ok := c.Value(name)
		is.True(ok)           // the counter has a value
		is.True(v >= minimum) // the value is plausible
	}
	for _, name := range []string{"", "refusals", "refusals.none.x", "process.", "absent"} {
		_, ok := c.Value(name)
		is.True(!ok) // no such integer counter or gauge
	}
	is.True(strings.Contains(c.Map().String(), `"resident_bytes": `))
}
