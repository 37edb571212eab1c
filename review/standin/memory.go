package main

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"
)

// The case "memory": partner shops send large orders, and in the burst more of them at
// the same time. The platform ends a process that exceeds the memory of its machine.
const (
	memoryMB      = 284 // of a front machine
	largeOrder    = 8_000_000
	usualUploads  = 12        // large orders at the same time at one host
	burstUploads  = 20        // 1.7 times as many
	uploadRate    = 6_000_000 // bytes a second and client: 1.3 s for an order
	uploadRounds  = 6
	ordersOnKept  = 8 // clients with kept connections at one host, which send small orders
	limitBody     = 67_108_864
	limitHeaderMS = 3000
)

func memoryCase(d *deployment, trouble bool) (int, error) {
	if err := d.startEndpoints("counter-app", 24, 2, 290*time.Millisecond); err != nil {
		return 0, err
	}
	d.store.configure(1, []string{"counter-app"}, 240,
		map[string]any{"max_header_bytes": 16384, "max_body_bytes": limitBody, "header_timeout_ms": limitHeaderMS, "idle_timeout_ms": 15000},
		route{name: "r-confirm", host: "shop.example", prefix: "/confirm/", kind: "unsafe", service: "counter-app", timeoutMS: 2500, targetMS: 800, priority: 1, attempts: 2})
	if err := d.startHosts(2, 1, memoryMB, true); err != nil {
		return 0, err
	}
	uploads := usualUploads
	if trouble {
		uploads = burstUploads
	}
	d.record.printf("traffic   %d clients at each host send an order of %d bytes at the same time, every 4 s", uploads, largeOrder)
	var clients sync.WaitGroup
	var stop atomic.Bool
	var lost, served, refused, largeServed, largeRefused, largeLost atomic.Int64
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
	body := bytes.Repeat([]byte("laminate"), largeOrder/8)
	for range uploadRounds {
		for _, h := range d.hosts {
			for range uploads {
				clients.Add(1)
				go func() {
					defer clients.Done()
					largeUpload(d, h, body, &largeServed, &largeRefused, &largeLost)
				}()
			}
		}
		time.Sleep(4 * time.Second)
	}
	stop.Store(true)
	clients.Wait()
	kills := 0
	for _, h := range d.hosts {
		h.mu.Lock()
		d.record.printf("memory    %s: at most %d MB of %d MB, killed %d times", h.name, h.peakKB>>10, h.memoryMB, h.kills)
		kills += h.kills
		h.mu.Unlock()
	}
	d.record.printf("small orders on kept connections: %d served, %d refused, %d passed on to an endpoint and ended without an answer", served.Load(), refused.Load(), lost.Load())
	d.record.printf("large orders: %d served, %d refused, %d without an answer", largeServed.Load(), largeRefused.Load(), largeLost.Load())
	broken := lost.Load() > 3
	d.record.printf("LOST: %d requests, at most 3 allowed; processes that ended: %d", lost.Load(), kills)
	if broken {
		return 1, nil
	}
	return 0, nil
}

// smallOrders sends one order after the other on a kept connection, which it opens anew
// after it has ended.
func smallOrders(d *deployment, h *host, stop *atomic.Bool, served, refused, lost *atomic.Int64) {
	body := bytes.Repeat([]byte("x"), 1200)
	var c *conn
	for !stop.Load() {
		if c == nil {
			var err error
			if c, err = dial(h.front); err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		q := &request{id: newID("s"), method: "POST", host: "shop.example", path: "/confirm/1", deadline: 5 * time.Second, body: body}
		d.record.printf("sent      %s to %s", q.id, h.name)
		a := answer{err: c.send(q)}
		if a.err == nil {
			a = c.receive(q.method)
		}
		d.record.printf("answered  %s: %d %v", q.id, a.status, a.err)
		switch {
		case a.status == 200:
			served.Add(1)
		case a.status != 0:
			refused.Add(1)
		case c.used > 0 && d.record.runsOf(q.id) > 0:
			lost.Add(1)
			d.record.printf("LOST      %s ran, and its kept connection ended without an answer", q.id)
		}
		if a.status == 0 || a.close {
			_ = c.Close()
			c = nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	if c != nil {
		_ = c.Close()
	}
}

func largeUpload(d *deployment, h *host, body []byte, served, refused, lost *atomic.Int64) {
	c, err := dial(h.front)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	q := &request{id: newID("L"), method: "POST", host: "shop.example", path: "/confirm/2", deadline: 5 * time.Second, body: body, bytesPerSecond: uploadRate}
	d.record.printf("sent      %s to %s, %d bytes", q.id, h.name, len(body))
	sendErr := c.send(q)
	a := c.receive(q.method)
	if a.err != nil && sendErr != nil {
		a.err = sendErr
	}
	d.record.printf("answered  %s: %d %v", q.id, a.status, a.err)
	switch {
	case a.status == 200:
		served.Add(1)
	case a.status != 0:
		refused.Add(1)
	default:
		lost.Add(1)
	}
}
