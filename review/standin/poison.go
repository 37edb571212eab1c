package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case "poison": a request crashes each endpoint that begins to run it, and comes
// again. A crashed endpoint sends nothing until it is back.
const (
	poisonPath  = "/status/poison"
	backAfter   = 4 * time.Second
	poisonTime  = 45 * time.Second
	poisonPause = time.Second
	contactTime = 3 * time.Second // contact_ms
	lateAllowed = 3
)

// poisonState counts what the poison request does.
type poisonState struct {
	mu      sync.Mutex
	crashes int
	third   time.Time // when the third endpoint crashed
	late    int       // arrivals later than contactTime after it
}

func (p *poisonState) arrived() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashes++; p.crashes == 3 {
		p.third = time.Now()
	}
	if p.crashes > 3 && time.Since(p.third) > contactTime {
		p.late++
	}
}

func poisonCase(d *deployment, trouble bool) (int, error) {
	if err := d.startEndpoints("counter-app", 16, 4, 220*time.Millisecond); err != nil {
		return 0, err
	}
	d.store.put("op/config", map[string]any{
		"version": "r1",
		"routes": []any{map[string]any{
			"name": "r-confirm", "host": "shop.example", "prefix": "/confirm/", "kind": "unsafe", "timeout_ms": 2500,
			"target_latency_ms": 800, "priority": 1, "service": "counter-app", "max_attempts": 2,
		}, map[string]any{
			"name": "r-status", "host": "shop.example", "prefix": "/status/", "kind": "safe", "timeout_ms": 2000,
			"target_latency_ms": 600, "priority": 2, "service": "counter-app", "max_attempts": 2,
		}},
		"services": []any{map[string]any{
			"name": "counter-app", "health_check_path": "/health", "max_connections": 240, "protocol": "h1", "tls": false,
			"cold_start_s": 3.0, "cold_per_s": 6.3,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	state := &poisonState{}
	for _, e := range d.endpoints {
		e.onRun = func(r *http.Request) bool {
			if !trouble || r.URL.Path != poisonPath {
				return false
			}
			state.arrived()
			d.record.printf("endpoint  %s crashes of %s and sends nothing more", e.id, r.Header.Get("X-Request-Id"))
			e.crash(d, backAfter)
			return true
		}
	}
	if err := d.startHosts(4, 2, 284, false); err != nil {
		return 0, err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	served, ranUnanswered := 0, 0
	start := time.Now()
	for i, h := range d.hosts {
		for range 4 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for time.Since(start) < poisonTime {
					id, status := d.order(h)
					mu.Lock()
					if status == http.StatusOK {
						served++
					} else if d.record.runsOf(id) > 0 {
						ranUnanswered++
					}
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
		if i > 0 {
			continue
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; time.Since(start) < poisonTime; n++ {
				d.lookup(d.hosts[n%len(d.hosts)], poisonPath)
				time.Sleep(poisonPause)
			}
		}()
	}
	clients.Wait()
	state.mu.Lock()
	defer state.mu.Unlock()
	d.record.printf("%d endpoints crashed of the request; ordinary orders: %d served, %d ran and were not answered with success", state.crashes, served, ranUnanswered)
	d.record.printf("BUDGET: it reached endpoints %d times later than %v after it had crashed the third, at most %d allowed", state.late, contactTime, lateAllowed)
	if state.late > lateAllowed {
		return 1, nil
	}
	return 0, nil
}

// lookup sends one safe request on a new connection.
func (d *deployment) lookup(h *host, path string) answer {
	q := &request{id: newID("g"), method: "GET", host: "shop.example", path: path, deadline: 4 * time.Second}
	c, err := dial(h.front)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	d.record.printf("sent      %s %s to %s", q.id, strings.TrimPrefix(path, "/status/"), h.name)
	a := answer{err: c.send(q)}
	if a.err == nil {
		a = c.receive(q.method)
	}
	d.record.printf("answered  %s: %d %v", q.id, a.status, a.err)
	return a
}
