package main

import (
	"strings"
	"sync"
	"time"
)

// The case "silent": the store doesn't answer for some seconds. Soon after its return a
// route moves to another service.
const (
	minSilent   = 4500 * time.Millisecond
	maxSilent   = 8 * time.Second
	contactTime = 3 * time.Second // contact_ms
)

func silentCase(d *deployment, trouble bool) (int, error) {
	for _, service := range []string{"counter-app", "press-sched"} {
		if err := d.startEndpoints(service, 6, 1, 100*time.Millisecond); err != nil {
			return 0, err
		}
	}
	version := 1
	d.store.configureLong(version, "", "counter-app")
	if err := d.startHosts(1, 2, 284, false); err != nil {
		return 0, err
	}
	service, late, served := "counter-app", 0, 0
	var last time.Duration
	for round := range 6 {
		if trouble {
			d.store.setSilent(true)
			d.record.printf("store     falls silent")
		}
		down := time.Now()
		time.Sleep(minSilent)
		// It returns soon after the hosts have called it once more.
		for time.Since(down) < maxSilent && d.store.newCalls(500*time.Millisecond) < len(d.hosts) {
			time.Sleep(10 * time.Millisecond)
		}
		d.store.setSilent(false)
		back := time.Now()
		d.record.printf("store     answers after %v", time.Since(down).Round(time.Millisecond))
		time.Sleep(100 * time.Millisecond)
		old := service
		service = map[string]string{"counter-app": "press-sched", "press-sched": "counter-app"}[old]
		version++
		d.store.configureLong(version, "", service)
		d.record.printf("operator  version r%d, which moves the route /confirm/ to %s, is acknowledged", version, service)
		time.Sleep(time.Until(back.Add(contactTime + 50*time.Millisecond)))
		var clients sync.WaitGroup
		var mu sync.Mutex
		lateRound := 0
		for _, h := range d.hosts {
			for range 4 {
				clients.Add(1)
				go func() {
					defer clients.Done()
					for time.Since(back) < 2*contactTime {
						age := time.Since(back)
						id, status := d.order(h)
						mu.Lock()
						if status == 200 {
							served++
						}
						if strings.HasPrefix(d.record.ranAt(id), old) {
							late++
							lateRound++
							last = max(last, age)
						}
						mu.Unlock()
						time.Sleep(50 * time.Millisecond)
					}
				}()
			}
		}
		clients.Wait()
		d.record.printf("round %d: %d orders late", round+1, lateRound)
		if lateRound > 0 {
			break
		}
		time.Sleep(2 * time.Second)
	}
	d.record.printf("%d orders served; %d sent more than %v after the store's return were handled by the older version, the last one %v after it", served, late, contactTime, last.Round(time.Millisecond))
	d.record.printf("CONFIG: %d requests handled as only an older version allows", late)
	if late > 0 {
		return 1, nil
	}
	return 0, nil
}
