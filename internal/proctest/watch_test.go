package proctest

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/anvilfront/anvilfront/internal/operator/status"
)

// watch polls the state of all hosts and notes what must never happen.
type watch struct {
	mu       sync.Mutex
	last     [hostCount]*status.Status // nil: no answer
	revision [hostCount]uint64         // highest seen while ready, also of earlier processes
	digest   [hostCount]string         // of that revision in this incarnation
	process  [hostCount]string         // incarnation
	broken   []string
	end      chan struct{}
	wg       sync.WaitGroup
}

func (w *watch) start(f *fleet) {
	w.end = make(chan struct{})
	for i, p := range f.hosts {
		w.wg.Go(func() {
			for {
				s := p.status()
				p.ready.Store(s != nil && s.Ready)
				w.note(i, p.name, s)
				select {
				case <-w.end:
					return
				case <-time.After(40 * time.Millisecond):
				}
			}
		})
	}
}

func (w *watch) stop() {
	close(w.end)
	w.wg.Wait()
}

func (w *watch) note(i int, name string, s *status.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last[i] = s
	if s == nil || !s.Ready {
		return
	}
	if s.Revision < w.revision[i] {
		w.broken = append(w.broken, fmt.Sprintf("%s went back from revision %d to %d", name, w.revision[i], s.Revision))
	}
	if s.Revision == w.revision[i] && s.Incarnation == w.process[i] && s.Digest != w.digest[i] {
		w.broken = append(w.broken, fmt.Sprintf("%s changed the bytes of revision %d", name, s.Revision))
	}
	w.revision[i], w.digest[i], w.process[i] = max(s.Revision, w.revision[i]), s.Digest, s.Incarnation
}

func (w *watch) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.broken...)
}

func (w *watch) describe() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	for i, s := range w.last {
		if s == nil {
			fmt.Fprintf(&b, "eh%d: no answer; ", i+1)
			continue
		}
		fmt.Fprintf(&b, "eh%d: ready %t %s revision %d; ", i+1, s.Ready, s.NotReadyReason, s.Revision)
	}
	return b.String()
}

// settled reports whether all hosts are ready, agree on revision and bytes, and
// see each other alive.
func (f *fleet) settled() bool {
	w := &f.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.last {
		if s == nil || !s.Ready || s.Revision != f.revision || s.Digest != w.last[0].Digest {
			return false
		}
		alive := 0
		for _, m := range s.Members {
			if m.State == "alive" {
				alive++
			}
		}
		if alive != hostCount {
			return false
		}
	}
	return true
}

// inForce reports whether the hosts have the revision in force, but for except.
func (f *fleet) inForce(revision uint64, except int) bool {
	f.watch.mu.Lock()
	defer f.watch.mu.Unlock()
	for i, s := range f.watch.last {
		if i != except && (s == nil || s.Revision < revision) {
			return false
		}
	}
	return true
}

// accepted waits until some host has the revision in force.
func (f *fleet) accepted(revision uint64) time.Time {
	f.t.Helper()
	f.eventually(10*time.Second, "a host accepts the revision", func() bool {
		f.watch.mu.Lock()
		defer f.watch.mu.Unlock()
		for _, s := range f.watch.last {
			if s != nil && s.Revision >= revision {
				return true
			}
		}
		return false
	})
	return time.Now()
}
