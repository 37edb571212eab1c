package orders

import (
	"context"
	"fmt"
	"math/rand"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/verdict"
)

// stateMachine drives a simulation with random steps. draw returns a number below n.
type stateMachine struct {
	sim           *simulation
	draw          func(n int) int
	keys          []issuedKey
	verdictCounts [3]int
}

type issuedKey struct {
	key, body string
	owner     *host
	expires   time.Time
}

// drawFaults draws n fault letters, most of them 'o' for no fault.
func (m *stateMachine) drawFaults(n int, faults string) string {
	out := make([]byte, n)
	for i := range out {
		if out[i] = 'o'; m.draw(3) == 0 {
			out[i] = faults[m.draw(len(faults))]
		}
	}
	return string(out)
}

func (m *stateMachine) step() {
	switch n := m.draw(100); {
	case n < 50 || len(m.keys) == 0:
		m.issueKey()
	case n < 82:
		m.submit()
	case n < 89:
		m.sim.unblock(m.draw(16))
	case n < 92:
		time.Sleep([]time.Duration{time.Millisecond, time.Second, 3 * time.Second, 40 * time.Second}[m.draw(4)])
	case n < 97:
		m.sim.updateMembers(m.host())
	default:
		m.stopOrCrash(m.host())
	}
	synctest.Wait()
}

func (m *stateMachine) host() *host {
	m.sim.mu.Lock()
	defer m.sim.mu.Unlock()
	return m.sim.hosts[m.draw(len(m.sim.hosts))]
}

func (m *stateMachine) issueKey() {
	h := m.host()
	if keys, err := h.ctl.Issue(1); err == nil && !h.down.Load() {
		m.keys = append(m.keys, issuedKey{key: keys[0], body: fmt.Sprintf("order %d;", len(m.keys)), owner: h, expires: time.Now().Add(time.Minute)})
		if m.draw(3) > 0 {
			m.submitKey(&m.keys[len(m.keys)-1])
		}
	}
}

// submit sends a recent order again, or a different order with the same key.
func (m *stateMachine) submit() {
	k := m.keys[len(m.keys)-1-m.draw(min(len(m.keys), 40))]
	if m.draw(12) == 0 {
		k.body = "other " + k.body
	}
	m.submitKey(&k)
}

func (m *stateMachine) submitKey(k *issuedKey) {
	h := m.host()
	if h.down.Load() || h.stopping.Load() {
		return
	}
	r := request{path: "/order", key: k.key, body: k.body,
		admission: m.drawFaults(1, "wwf"), backend: m.drawFaults(4, "hcusnrHTL"), network: m.drawFaults(1, "xlrtd")}
	if m.draw(8) == 0 {
		r.path = []string{"/lookup", "/none", "/booking"}[m.draw(3)]
	}
	if m.draw(4) == 0 {
		r.deadline = time.Duration(m.draw(50)) * time.Millisecond
	}
	ctx, cancel := context.WithCancel(context.Background())
	if m.draw(6) == 0 {
		time.AfterFunc(time.Duration(m.draw(20))*time.Millisecond, cancel)
	}
	expired := !time.Now().Before(k.expires) && k.owner == h
	go func() {
		defer cancel()
		out, ok := m.sim.send(ctx, h, r)
		m.sim.mu.Lock()
		defer m.sim.mu.Unlock()
		if !ok {
			return
		}
		m.verdictCounts[out.Verdict]++
		if expired && out.Verdict == verdict.NotRun {
			m.sim.recordViolation("key %s: verdict not-run although it expired", k.key)
		}
	}()
}

// stopOrCrash ends a process by a planned stop or a crash and starts a replacement.
func (m *stateMachine) stopOrCrash(h *host) {
	if m.draw(3) > 0 && !h.stopping.Load() {
		h.handOverFault.Store(int32("ooxlrtdRRLTD"[m.draw(12)]))
		h.stopping.Store(true)
		limit := time.Duration(m.draw(3)) * time.Second
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			h.ctl.Stop(ctx)
			m.replace(h)
		}()
		return
	}
	m.replace(h)
}

func (m *stateMachine) replace(h *host) {
	h.down.Store(true)
	h.cancel()
	next := m.sim.startHost(h.index)
	m.sim.mu.Lock()
	if m.sim.hosts[h.index] == h {
		m.sim.hosts[h.index] = next
	} else {
		next.down.Store(true)
		next.cancel()
	}
	m.sim.mu.Unlock()
	m.sim.updateMembers(next)
}

// run takes steps until n orders exist and returns the violations.
func (m *stateMachine) run(n int) []string {
	m.sim = newSimulation(5)
	defer m.sim.close() // also when rapid ends the run early
	m.sim.copyFault = func(n int) byte { return "ooooxltd"[n%8] }
	for len(m.keys) < n && len(m.sim.violationsSoFar()) == 0 {
		m.step()
	}
	m.sim.close()
	return m.sim.violationsSoFar()
}

// tbWithoutDeadline hides the Deadline method of *testing.T from rapid, because
// calling it inside a synctest bubble panics.
type tbWithoutDeadline struct{ testing.TB }

// TestOrdersAtMostOnce guards against a key that is dispatched twice, a verdict
// "not run" that does not stay true, and the response of a different order, under
// lost, late and repeated forwards, pauses, crashes, replaced hosts, hand-over,
// shedding, expiry and callers that disconnect. Failing runs are shrunk.
func TestOrdersAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(tbWithoutDeadline{t}, func(rt *rapid.T) {
			numbers := rapid.IntRange(0, 1<<20)
			m := &stateMachine{draw: func(n int) int { return numbers.Draw(rt, "n") % n }}
			if v := m.run(60); len(v) > 0 {
				rt.Fatalf("%v", v)
			}
		})
	})
}

// TestOrdersAtMostOnceBulk guards against the same failures over 100,000 orders.
func TestOrdersAtMostOnceBulk(t *testing.T) {
	seed := time.Now().UnixNano()
	t.Logf("seed %d", seed)
	const runs, perRun = 100, 1000
	var verdictCounts [3]atomic.Int64
	t.Run("runs", func(t *testing.T) {
		for i := range int64(runs) {
			t.Run(fmt.Sprint(seed+i), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					m := &stateMachine{draw: rand.New(rand.NewSource(seed + i)).Intn}
					for _, v := range m.run(perRun) {
						t.Errorf("seed %d: %s", seed+i, v)
					}
					for v, n := range m.verdictCounts {
						verdictCounts[v].Add(int64(n))
					}
				})
			})
		}
	})
	for v := range verdictCounts {
		n := verdictCounts[v].Load()
		t.Logf("%d outcomes %q", n, verdict.Verdict(v))
		if n < runs*perRun/20 {
			t.Errorf("only %d outcomes %q: the test does not cover its cases", n, verdict.Verdict(v))
		}
	}
}
