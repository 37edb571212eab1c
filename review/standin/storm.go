package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "storm": a long route list, and configurations in quick succession. The
// platform ends a process that exceeds the memory of its machine.
const (
	smallMachineMB = 184  // of the smallest front machines
	moreRoutes     = 1400 // big_config
	storms         = 28
	stormChanges   = 25 // in 1.5 s
	stormGap       = 60 * time.Millisecond
	stormPause     = 2 * time.Second
)

// longRoutes returns the JSON of n routes that are not used by the clients.
func longRoutes(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"shop%04d.example","prefix":"/lohu%04d/","kind":"safe","timeout_ms":2000,"target_latency_ms":600,"priority":2,"traffic_split":[{"service":"counter-app","weight":90},{"service":"press-sched","weight":10}],"max_attempts":2},`, i*7919, i, i)
	}
	return b.String()
}

// configureLong writes a configuration with these routes and the one of the clients.
func (s *store) configureLong(version int, routes, service string) {
	s.put("op/config", json.RawMessage(fmt.Sprintf(`{"version":"r%d","routes":[%s{"name":"r-confirm","host":"shop.example","prefix":"/confirm/","kind":"unsafe","timeout_ms":%d,"target_latency_ms":800,"priority":1,"service":"%s","max_attempts":2}],`+
		`"services":[{"name":"counter-app","health_check_path":"/health","max_connections":240,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":6.3},{"name":"press-sched","health_check_path":"/health","max_connections":240,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":6.3}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},"base_version":"r%d"}`,
		version, routes, 2500+version%2*100, service, version-1)))
}

func stormCase(d *deployment, trouble bool) (int, error) {
	if err := d.startEndpoints("counter-app", 16, 4, 290*time.Millisecond); err != nil {
		return 0, err
	}
	routes, version := longRoutes(moreRoutes), 1
	d.store.configureLong(version, routes, "counter-app")
	if err := d.startHosts(4, 1, smallMachineMB, true); err != nil {
		return 0, err
	}
	var clients sync.WaitGroup
	var stop atomic.Bool
	var lost, served, refused atomic.Int64
	for _, h := range d.hosts {
		for i := range ordersOnKept {
			clients.Add(1)
			go func() {
				defer clients.Done()
				time.Sleep(time.Duration(i) * 37 * time.Millisecond)
				smallOrders(d, h, &stop, &served, &refused, &lost)
			}()
		}
	}
	for n := range storms {
		changes := 1
		if trouble {
			changes = stormChanges
		}
		start := time.Now()
		for range changes {
			version++
			d.store.configureLong(version, routes, "counter-app")
			time.Sleep(stormGap)
		}
		time.Sleep(time.Until(start.Add(stormChanges*stormGap + stormPause)))
		for _, h := range d.hosts {
			h.mu.Lock()
			d.record.printf("memory    after storm %d, version r%d: %s at most %d MB of %d MB, ended %d times", n+1, version, h.name, h.peakKB>>10, h.memoryMB, h.kills)
			h.mu.Unlock()
		}
	}
	stop.Store(true)
	clients.Wait()
	d.record.printf("%d configurations of %d bytes", version, len(routes)+900)
	d.record.printf("orders on kept connections: %d served, %d refused, %d passed on to an endpoint and ended without an answer", served.Load(), refused.Load(), lost.Load())
	d.record.printf("LOST: %d requests, at most 3 allowed", lost.Load())
	if lost.Load() > 3 {
		return 1, nil
	}
	return 0, nil
}
