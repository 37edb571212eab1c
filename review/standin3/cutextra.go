package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The largest dose of garble "extra late" in the site file: share 0.6, x 0.03, for 5 s. It
// comes more than once.
const (
	cutShare   = 0.6
	cutAnswers = 0.03
	cutWindow  = 5 * time.Second
	cutPause   = 2 * time.Second
	cutWindows = 12
)

const (
	cutClients   = 100
	cutThinkTime = 150 * time.Millisecond // mean time between two orders of a client
	cutDeadline  = 5 * time.Second
)

// cutExtra lets some endpoints begin to send some of their answers a second time, late: the
// bytes arrive at the point where the next answer on the connection is expected, and break
// off at a random place of the head.
func cutExtra(f *fleet, trouble bool) (bool, error) {
	f.workTime = 60 * time.Millisecond
	if err := f.deploy(4, 10, 2, 1); err != nil {
		return false, err
	}
	var on atomic.Bool
	garbled := int(cutShare * float64(len(f.endpoints)))
	for _, e := range f.endpoints[:garbled] {
		e.setFault(func(c *endpointConn, _ int, answer []byte) []byte {
			if on.Load() && rand.Float64() < cutAnswers {
				c.late = beginning(answer)
			}
			return answer
		})
	}
	end := time.Now().Add(cutWindows * (cutWindow + cutPause))
	var wg sync.WaitGroup
	for n := range cutClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%04x%012x", n, i)
				f.exchange(f.hosts[rand.IntN(len(f.hosts))], "POST", unsafePrefix+"2f", id, cutDeadline, []byte("order "+id))
				time.Sleep(time.Duration(2 * rand.Float64() * float64(cutThinkTime)))
			}
		}()
	}
	for range cutWindows {
		f.log.add("garble", fmt.Sprint(trouble), fmt.Sprint(garbled), "endpoints")
		on.Store(trouble)
		time.Sleep(cutWindow)
		on.Store(false)
		f.log.add("garble", "ends")
		time.Sleep(cutPause)
	}
	wg.Wait()
	return f.refusedAfterRun() > 0, nil
}

// beginning returns the beginning of an answer, up to a random place of its head.
func beginning(answer []byte) []byte {
	head := bytes.Index(answer, []byte("\r\n\r\n"))
	return bytes.Clone(answer[:1+rand.IntN(head)])
}

// refusedAfterRun counts the unsafe requests that were answered with a status that promises
// that they have not run, and that have run. It also reports those that ran more than once.
func (f *fleet) refusedAfterRun() (refused int) {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	twice := 0
	for id, endpoints := range f.log.runs {
		if status := f.log.answers[id]; promisesNotRun(status) {
			refused++
			f.log.write("REFUSED", id, fmt.Sprint(status), "run by", strings.Join(endpoints, " "))
		}
		if len(endpoints) > 1 {
			twice++
			f.log.write("TWICE", id, "run by", strings.Join(endpoints, " "))
		}
	}
	fmt.Printf("%d unsafe requests ran; %d of them were answered as not run; %d of them ran more than once\n", len(f.log.runs), refused, twice)
	return refused
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
