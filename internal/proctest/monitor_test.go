package proctest

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/anvilfront/anvilfront/internal/operator/status"
)

// monitor polls the status of all hosts and records violations of invariants.
type monitor struct {
	mu          sync.Mutex
	last        [hostCount]*status.Status // nil: no response
	revision    [hostCount]uint64         // highest revision while ready, including earlier processes of the host
	digest      [hostCount]string         // digest of that revision in this incarnation
	incarnation [hostCount]string         // incarnation at the last poll while ready
	found       []string                  // violations so far
	done        chan struct{}
	wg          sync.WaitGroup
}

func (m *monitor) start(f *fleet) {
	m.done = make(chan struct{})
	for i, p := range f.hosts {
		m.wg.Go(func() {
			for {
				s := p.status()
				p.ready.Store(s != nil && s.Ready)
				m.record(i, p.name, s)
				select {
				case <-m.done:
					return
				case <-time.After(40 * time.Millisecond):
				}
			}
		})
	}
}

func (m *monitor) stop() {
	close(m.done)
	m.wg.Wait()
}

func (m *monitor) record(i int, name string, s *status.Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last[i] = s
	if s == nil || !s.Ready {
		return
	}
	if s.Revision < m.revision[i] {
		m.found = append(m.found, fmt.Sprintf("%s went back from revision %d to %d", name, m.revision[i], s.Revision))
	}
	if s.Revision == m.revision[i] && s.Incarnation == m.incarnation[i] && s.Digest != m.digest[i] {
		m.found = append(m.found, fmt.Sprintf("%s changed the bytes of revision %d", name, s.Revision))
	}
	m.revision[i], m.digest[i], m.incarnation[i] = max(s.Revision, m.revision[i]), s.Digest, s.Incarnation
}

func (m *monitor) violations() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.found...)
}

func (m *monitor) describe() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b strings.Builder
	for i, s := range m.last {
		if s == nil {
			fmt.Fprintf(&b, "eh%d: no response; ", i+1)
			continue
		}
		fmt.Fprintf(&b, "eh%d: ready %t %s revision %d; ", i+1, s.Ready, s.NotReadyReason, s.Revision)
	}
	return b.String()
}

// converged reports whether all hosts are ready, have the same manifest of the current
// revision, and consider each other alive.
func (f *fleet) converged() bool {
	mon := &f.monitor
	mon.mu.Lock()
	defer mon.mu.Unlock()
	for _, s := range mon.last {
		if s == nil || !s.Ready || s.Revision != f.revision || s.Digest != mon.last[0].Digest {
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

// hasRevision reports whether all hosts have applied the revision or a newer one. The
// host with the index except is not checked; -1 means that all are.
func (f *fleet) hasRevision(revision uint64, except int) bool {
	f.monitor.mu.Lock()
	defer f.monitor.mu.Unlock()
	for i, s := range f.monitor.last {
		if i != except && (s == nil || s.Revision < revision) {
			return false
		}
	}
	return true
}

// acceptedAt waits until a host has applied the revision or a newer one, and returns
// the time.
func (f *fleet) acceptedAt(revision uint64) time.Time {
	f.t.Helper()
	f.eventually(10*time.Second, "a host accepts the revision", func() bool {
		f.monitor.mu.Lock()
		defer f.monitor.mu.Unlock()
		for _, s := range f.monitor.last {
			if s != nil && s.Revision >= revision {
				return true
			}
		}
		return false
	})
	return time.Now()
}
