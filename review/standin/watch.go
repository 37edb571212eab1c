package main

import (
	"bytes"
	"strings"
	"sync"
	"time"
)

// The case "watch": a configuration near the largest value of the store, and a few
// configurations in quick succession. Then a route moves to another service.
const (
	longList    = 4000                    // routes; a value of 998 kB, of 1,048,576 bytes allowed
	applyTime   = 2500 * time.Millisecond // config_apply_ms
	observeTime = 30 * time.Second
	lookupPause = 100 * time.Millisecond
	drainTime   = 2500 * time.Millisecond // drain_ms
	serveTime   = 4 * time.Second         // for which the leaving endpoint goes on serving
)

func watchCase(d *deployment, trouble bool) (int, error) {
	for _, service := range []string{"counter-app", "press-sched"} {
		if err := d.startEndpoints(service, 8, 4, 150*time.Millisecond); err != nil {
			return 0, err
		}
	}
	routes, version := longRoutes(longList), 1
	d.store.configureLong(version, routes, "counter-app")
	if err := d.startHosts(4, 2, 284, false); err != nil {
		return 0, err
	}
	changes := 1
	if trouble {
		changes = stormChanges
	}
	for range changes {
		version++
		d.store.configureLong(version, routes, "counter-app")
		time.Sleep(stormGap)
	}
	time.Sleep(3 * time.Second)
	version++
	d.store.configureLong(version, routes, "press-sched")
	acknowledged := time.Now()
	d.record.printf("operator  version r%d, which moves the route /confirm/ to press-sched, is acknowledged", version)
	leaving := d.endpoints[0]
	d.store.register(leaving, "draining")
	drained := time.Now()
	d.record.printf("endpoint  %s is draining, acknowledged", leaving.id)
	time.AfterFunc(serveTime, func() {
		d.record.printf("endpoint  %s exits", leaving.id)
		_ = leaving.server.Close()
	})
	var clients sync.WaitGroup
	var mu sync.Mutex
	late, served, afterDrain, cut, lastLate := 0, 0, 0, 0, time.Duration(0)
	for _, h := range d.hosts {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Since(acknowledged) < observeTime {
				time.Sleep(lookupPause)
				age := time.Since(acknowledged)
				sent := time.Now()
				id, status := d.order(h)
				at := d.record.ranAt(id)
				mu.Lock()
				if status == 200 {
					served++
				}
				if age > applyTime && strings.HasPrefix(at, "counter-app") {
					late++
					lastLate = max(lastLate, age)
				}
				if at == leaving.id && sent.Sub(drained) > drainTime {
					afterDrain++
				}
				if at == leaving.id && status != 200 {
					cut++
				}
				mu.Unlock()
			}
		}()
	}
	clients.Wait()
	d.record.printf("%d orders served; %d that were sent more than %v after the acknowledgement ran at counter-app, the last one %v after it", served, late, applyTime, lastLate.Round(time.Millisecond))
	d.record.printf("DRAIN: %d requests sent more than %v after the acknowledgement reached the leaving endpoint; %d of its orders ran and got no answer of it", afterDrain, drainTime, cut)
	d.record.printf("CONFIG: %d requests handled as only an older version allows", late)
	if late > 0 {
		return 1, nil
	}
	return 0, nil
}

// order sends one order on a new connection and returns its id and status.
func (d *deployment) order(h *host) (string, int) {
	q := &request{id: newID("o"), method: "POST", host: "shop.example", path: "/confirm/" + newID("p"), deadline: 5 * time.Second, body: bytes.Repeat([]byte("x"), 1200)}
	c, err := dial(h.front)
	if err != nil {
		return q.id, 0
	}
	defer func() { _ = c.Close() }()
	d.record.printf("sent      %s to %s", q.id, h.name)
	a := answer{err: c.send(q)}
	if a.err == nil {
		a = c.receive(q.method)
	}
	d.record.printf("answered  %s: %d %v", q.id, a.status, a.err)
	return q.id, a.status
}
