package filters

import (
	"testing"

	"github.com/matryer/is"
)

// TestSlackShareOfManyHosts guards against a fleet in which no host may retry or hedge,
// because the share of each is less than one token, and against shares that exceed the
// slack together.
func TestSlackShareOfManyHosts(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		slack float64
		known int
	}{{430, 312}, {430, 344}, {206, 133}, {206, 145}, {264, 161}, {264, 190}, {166, 110}} {
		share := SlackShare(c.slack, c.known)
		is.True(share >= 1)                        // a host can retry
		is.True(share*float64(c.known) <= c.slack) // all of them together
		b := &budget{}
		for range 20 {
			b.deposit(20, share)
		}
		is.True(b.tryWithdraw())
	}
	is.True(SlackShare(100, 200) < 1) // less than one token for each host
}
