package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestStartOfFleet guards against requests of accounts inside their quota that are refused
// because all hosts have just started and none knows the others. An account is to be served
// from 0.3 s after the start of the hosts that it reaches.
func TestStartOfFleet(t *testing.T) {
	const accounts = 74
	s := newSim(rand.New(rand.NewPCG(9, 3)), simConfig{hosts: 100, dataCentres: 4})
	for n := range accounts {
		rate := 2 + 30/float64(n+1)
		s.addAccount(fmt.Sprint("a", n), Limit{rate, rate}, func(time.Duration) float64 { return rate / 1.6 }, zipf(0, 0))
	}
	for _, h := range s.hosts {
		s.after(s.between(0, 500*time.Millisecond), h.start)
	}
	s.load()
	count := func() (offered, refused int) {
		for _, a := range s.accounts {
			offered, refused = offered+a.offered, refused+a.refused
		}
		return offered, refused
	}
	s.runUntil(500*time.Millisecond + simReady)
	offered, refused := count()
	s.runUntil(s.now + 1500*time.Millisecond)
	o, r := count()
	if offered, refused = o-offered, r-refused; refused > offered/10 {
		t.Errorf("%d of %d requests are refused in the 1.5 s after the start", refused, offered)
	}
}
