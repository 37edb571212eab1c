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

// machine drives a world with random steps. draw returns a number below n.
type machine struct {
	w        *world
	draw     func(n int) int
	keys     []issued
	answered [3]int
}

type issued struct {
	key, body string
	owner     *host
	expires   time.Time
}

// letters draws a plan of n letters, each "no fault" in most cases.
func (m *machine) letters(n int, faults string) string {
	out := make([]byte, n)
	for i := range out {
		if out[i] = 'o'; m.draw(3) == 0 {
			out[i] = faults[m.draw(len(faults))]
		}
	}
	return string(out)
}

func (m *machine) step() {
	switch n := m.draw(100); {
	case n < 50 || len(m.keys) == 0:
		m.issue()
	case n < 82:
		m.submit()
	case n < 89:
		m.w.release(m.draw(16))
	case n < 92:
		time.Sleep([]time.Duration{time.Millisecond, time.Second, 3 * time.Second, 40 * time.Second}[m.draw(4)])
	case n < 97:
		m.w.refresh(m.host())
	default:
		m.end(m.host())
	}
	synctest.Wait()
}

func (m *machine) host() *host {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	return m.w.hosts[m.draw(len(m.w.hosts))]
}

func (m *machine) issue() {
	h := m.host()
	if keys, err := h.ctl.Issue(1); err == nil && !h.dead.Load() {
		m.keys = append(m.keys, issued{key: keys[0], body: fmt.Sprintf("order %d;", len(m.keys)), owner: h, expires: time.Now().Add(time.Minute)})
		if m.draw(3) > 0 {
			m.submitKey(&m.keys[len(m.keys)-1])
		}
	}
}

// submit sends a copy of a recent order, or another order under its key.
func (m *machine) submit() {
	k := m.keys[len(m.keys)-1-m.draw(min(len(m.keys), 40))]
	if m.draw(12) == 0 {
		k.body = "other " + k.body
	}
	m.submitKey(&k)
}

func (m *machine) submitKey(k *issued) {
	h := m.host()
	if h.dead.Load() || h.stopping.Load() {
		return
	}
	r := request{path: "/order", key: k.key, body: k.body,
		admission: m.letters(1, "wwf"), backend: m.letters(4, "hcusnrHTL"), net: m.letters(1, "xlrtd")}
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
		out, ok := m.w.send(ctx, h, r)
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if !ok {
			return
		}
		m.answered[out.Verdict]++
		if expired && out.Verdict == verdict.NotRun {
			m.w.violate("key %s: not-run although it expired", k.key)
		}
	}()
}

// end stops a process in order or by a crash, and starts another in its place.
func (m *machine) end(h *host) {
	if m.draw(3) > 0 && !h.stopping.Load() {
		h.transfer.Store(int32("ooxlrtdRRLTD"[m.draw(12)]))
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

func (m *machine) replace(h *host) {
	h.dead.Store(true)
	h.cancel()
	next := m.w.start(h.index)
	m.w.mu.Lock()
	if m.w.hosts[h.index] == h {
		m.w.hosts[h.index] = next
	} else {
		next.dead.Store(true)
		next.cancel()
	}
	m.w.mu.Unlock()
	m.w.refresh(next)
}

// run takes steps until n orders exist and returns what went wrong.
func (m *machine) run(n int) []string {
	m.w = newWorld(5)
	defer m.w.close() // also when rapid ends the run early
	m.w.copyFault = func(n int) byte { return "ooooxltd"[n%8] }
	for len(m.keys) < n && len(m.w.found()) == 0 {
		m.step()
	}
	m.w.close()
	return m.w.found()
}

// bubble hides *testing.T from rapid, which would ask for the test's deadline;
// inside a synctest bubble that is a panic.
type bubble struct{ testing.TB }

// TestOrdersAtMostOnce guards against a key that is dispatched twice, a "not
// run" that does not stay true, and an answer of another order, under lost,
// late and repeated forwards, pauses, crashes, replaced hosts, hand-over,
// shedding, expiry and callers that go away. It shrinks what it finds.
func TestOrdersAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(rt *rapid.T) {
			numbers := rapid.IntRange(0, 1<<20)
			m := &machine{draw: func(n int) int { return numbers.Draw(rt, "n") % n }}
			if v := m.run(60); len(v) > 0 {
				rt.Fatalf("%v", v)
			}
		})
	})
}

// TestOrdersAtMostOnceBulk guards against the same faults over 100,000 orders.
func TestOrdersAtMostOnceBulk(t *testing.T) {
	seed := time.Now().UnixNano()
	t.Logf("seed %d", seed)
	const runs, perRun = 100, 1000
	var answered [3]atomic.Int64
	t.Run("runs", func(t *testing.T) {
		for i := range int64(runs) {
			t.Run(fmt.Sprint(seed+i), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					m := &machine{draw: rand.New(rand.NewSource(seed + i)).Intn}
					for _, v := range m.run(perRun) {
						t.Errorf("seed %d: %s", seed+i, v)
					}
					for v, n := range m.answered {
						answered[v].Add(int64(n))
					}
				})
			})
		}
	})
	for v := range answered {
		n := answered[v].Load()
		t.Logf("%d answers %q", n, verdict.Verdict(v))
		if n < runs*perRun/20 {
			t.Errorf("only %d answers %q: the test does not reach its cases", n, verdict.Verdict(v))
		}
	}
}
