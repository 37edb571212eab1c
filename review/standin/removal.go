package main

import (
	"sync"
	"time"
)

// The case "removal": an endpoint's entry is removed without a report that it drains.
const (
	quietTime   = 8 * time.Second // without a change
	removeDelay = 50 * time.Millisecond
	observeLeft = 4 * time.Second
)

func removalCase(d *deployment, trouble bool) (int, error) {
	if err := d.startEndpoints("counter-app", 8, 4, 100*time.Millisecond); err != nil {
		return 0, err
	}
	d.store.configureLong(1, "", "counter-app")
	if err := d.startHosts(4, 1, 284, false); err != nil {
		return 0, err
	}
	time.Sleep(quietTime)
	leaving := d.endpoints[0]
	d.store.awaitAnswer()
	time.Sleep(removeDelay)
	if trouble {
		d.store.put("servers/"+leaving.id, nil)
		d.record.printf("endpoint  the entry of %s is removed, acknowledged", leaving.id)
	}
	removed := time.Now()
	var clients sync.WaitGroup
	var mu sync.Mutex
	late, last := 0, time.Duration(0)
	for _, h := range d.hosts {
		for range 4 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for time.Since(removed) < observeLeft {
					age := time.Since(removed)
					id, _ := d.order(h)
					mu.Lock()
					if trouble && age > drainTime && d.record.ranAt(id) == leaving.id {
						late++
						last = max(last, age)
					}
					mu.Unlock()
				}
			}()
		}
	}
	clients.Wait()
	d.record.printf("DRAIN: %d requests sent more than %v after the acknowledgement reached the endpoint, the last one %v after it", late, drainTime, last.Round(time.Millisecond))
	if late > 0 {
		return 1, nil
	}
	return 0, nil
}
