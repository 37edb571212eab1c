package load

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStartup guards against a new process that takes cold servers for warm because it
// knows of no start, against one that tells others so, and against one that waits forever
// for a host that knows the servers.
func TestStartup(t *testing.T) {
	is := is.New(t)
	var alone, informed Startup
	is.True(!alone.Settled(at(10000))) // no server is listed
	alone.Begin(at(10000))
	is.True(!alone.Settled(at(10299)))
	is.True(alone.Settled(at(10300)))
	is.True(!alone.Knows(at(39999))) // a slow start may still be in progress
	is.True(alone.Knows(at(10000).Add(SlowStartTimeout)))

	is.True(informed.Inform(at(10000))) // before the servers are listed
	is.True(!informed.Inform(at(10001)))
	is.True(!informed.Knows(at(10200)))
	informed.Begin(at(10100))
	is.True(!informed.Settled(at(10149))) // cold servers may not be reported yet
	is.True(informed.Settled(at(10150)))
	is.True(informed.Knows(at(10150)))
}

// TestAssumedSlowStart guards against an assumption that outlives the news that the server
// is warm, and against such news that ends a slow start after a sign of a start.
func TestAssumedSlowStart(t *testing.T) {
	is := is.New(t)
	var assumed, observed SlowStart
	assumed.Assume(at(1000))
	is.True(assumed.Assumed())
	is.Equal(assumed.Limit(at(1000), 4), 1)
	for range successesPerStep {
		assumed.RecordSuccess(4)
	}
	is.True(assumed.Assumed())
	is.Equal(assumed.Limit(at(1500), 4), 2)
	assumed.ConfirmWarm()
	is.Equal(assumed.Limit(at(1500), 4), 4)
	is.Equal(assumed.StartedAt(), at(0))

	observed.Assume(at(1000))
	observed.Begin(at(1000).Add(startSignalWindow + time.Millisecond))
	is.True(!observed.Assumed())
	observed.ConfirmWarm()
	is.Equal(observed.Limit(at(1500), 4), 1)
}
