package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/clock"
)

func at(ms int) clock.Time { return clock.Time(ms) * clock.Time(time.Millisecond) }

// TestHeldRemovals guards against a live server that is taken for gone because
// its registration lapsed while the platform was away, and against a server
// that left and is kept because a single host had no contact.
func TestHeldRemovals(t *testing.T) {
	is := is.New(t)
	var c PlatformAvailability
	for ms := 1000; ms <= 9000; ms += 2000 { // one watcher, nothing happens
		c.RecordResponse(at(ms))
		_, held := c.HoldRemovalsUntil(at(ms))
		is.True(!held)
	}
	is.True(!c.Unavailable(at(11000)))
	is.True(c.Unavailable(at(12000)))
	c.RecordResponse(at(13500)) // back after 4.5 s
	until, held := c.HoldRemovalsUntil(at(13500))
	is.True(held)
	is.Equal(until, at(16000))
	c.RecordResponse(at(9500)) // late news of an older answer
	_, held = c.HoldRemovalsUntil(at(15900))
	is.True(held)
	c.RecordResponse(at(15500))
	_, held = c.HoldRemovalsUntil(at(16000))
	is.True(!held) // still missing: gone
}
