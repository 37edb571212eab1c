package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestJumpIsCold guards against a warm server that becomes cold within the same
// process and keeps its full limit: only its service time tells.
func TestJumpIsCold(t *testing.T) {
	is := is.New(t)
	p, _ := testPool(5, 4, 0)
	warm(p, 20*time.Millisecond, 0)
	for range 1000 {
		p.Observe("b0", success(4*time.Millisecond), 0)
	}
	is.Equal(p.View().Servers[0].Limit, 4)
	for range 40 { // not slow enough for a straggler among the others
		p.Observe("b0", success(49*time.Millisecond), 0)
	}
	is.True(p.View().Servers[0].Limit < 4)
	is.True(!p.View().Servers[0].Warm)
}
