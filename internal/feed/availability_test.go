package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/clock"
)

func at(ms int) clock.Time { return clock.Time(ms) * clock.Time(time.Millisecond) }

// TestHeldRemovals guards against removing a running server because its
// registration expired while the platform was unavailable, and against keeping a
// server that left because a single host had lost its connection to the platform.
func TestHeldRemovals(t *testing.T) {
	is := is.New(t)
	var a PlatformAvailability
	for ms := 1000; ms <= 9000; ms += 2000 { // one watcher, no changes
		a.RecordResponse(at(ms))
		_, held := a.HoldRemovalsUntil(at(ms))
		is.True(!held)
	}
	is.True(!a.Unavailable(at(11000)))
	is.True(a.Unavailable(at(12000)))
	a.RecordResponse(at(13500)) // available again after 4.5 s
	until, held := a.HoldRemovalsUntil(at(13500))
	is.True(held)
	is.Equal(until, at(16000))
	a.RecordResponse(at(9500)) // late report of an older response
	_, held = a.HoldRemovalsUntil(at(15900))
	is.True(held)
	a.RecordResponse(at(15500))
	_, held = a.HoldRemovalsUntil(at(16000))
	is.True(!held) // still missing: removed
}
