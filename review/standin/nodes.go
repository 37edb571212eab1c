package main

import (
	"strings"
	"sync"
	"time"
)

// The case "nodes": the store refuses a third of the machines and serves the others. A
// route moves to another service.
const (
	nodesPerZone = 9
	nodesRefused = 12              // of 36, a share of 0.33
	nodesTime    = 9 * time.Second // for_s
	nodesRounds  = 3
)

func nodesCase(d *deployment, trouble bool) (int, error) {
	for _, service := range []string{"counter-app", "press-sched"} {
		if err := d.startEndpoints(service, 8, 4, 100*time.Millisecond); err != nil {
			return 0, err
		}
	}
	version, service := 1, "counter-app"
	d.store.configureLong(version, "", service)
	if err := d.startHosts(4, nodesPerZone, 284, false); err != nil {
		return 0, err
	}
	late, served := 0, 0
	var last time.Duration
	for range nodesRounds {
		time.Sleep(4 * time.Second)
		if trouble {
			d.store.turnAway(nodesRefused)
			d.record.printf("store     refuses %d machines with 503", nodesRefused)
		}
		start := time.Now()
		old := service
		service = map[string]string{"counter-app": "press-sched", "press-sched": "counter-app"}[old]
		version++
		d.store.configureLong(version, "", service)
		acknowledged := time.Now()
		d.record.printf("operator  version r%d, which moves the route /confirm/ to %s, is acknowledged", version, service)
		time.Sleep(applyTime + 20*time.Millisecond)
		var clients sync.WaitGroup
		var mu sync.Mutex
		lateAt := map[string]int{}
		for _, h := range d.hosts {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for time.Since(start) < nodesTime {
					age := time.Since(acknowledged)
					id, status := d.order(h)
					mu.Lock()
					if status == 200 {
						served++
					}
					if strings.HasPrefix(d.record.ranAt(id), old) && !d.store.isRefused(h.name) {
						late++
						lateAt[h.name]++
						last = max(last, age)
					}
					mu.Unlock()
					time.Sleep(200 * time.Millisecond)
				}
			}()
		}
		clients.Wait()
		time.Sleep(time.Until(start.Add(nodesTime)))
		refused := d.store.serveAll()
		for m := range refused {
			if lateAt[m] > 0 {
				late -= lateAt[m] // it was refused later: it isn't in touch
				delete(lateAt, m)
			}
		}
		d.record.printf("store     serves all; it has refused %d machines. Hosts that it served and that were late: %d", len(refused), len(lateAt))
		time.Sleep(6 * time.Second)
	}
	d.record.printf("%d orders served; %d sent more than %v after the acknowledgement to hosts that the store served were handled by the older version, the last one %v after it", served, late, applyTime, last.Round(time.Millisecond))
	d.record.printf("CONFIG: %d requests handled as only an older version allows", late)
	if late > 0 {
		return 1, nil
	}
	return 0, nil
}
