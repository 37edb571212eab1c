package feedhost

import (
	"time"

	"github.com/sourcegraph/conc"
)

// controllersTimeout bounds the wait for controllers that do not end at once, such as for a
// call to a platform that does not respond.
const controllersTimeout = 100 * time.Millisecond

// waitControllers waits until the controllers have ended, or controllersTimeout has passed:
// what they still do is of no use to a host that has stopped.
func (h *Host) waitControllers(wg *conc.WaitGroup) {
	ended := make(chan struct{})
	go func() { defer close(ended); wg.Wait() }()
	timer := time.NewTimer(controllersTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		h.log.Named("host").Warn("Controllers are still running when the process ends.")
	}
}
