package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint plays one server of a service: it runs requests on its slots, queues a few,
// sheds what exceeds them, and registers itself in the store.
type endpoint struct {
	fleet    *fleet
	id       string
	zone     string
	service  string
	address  string
	slots    int
	queue    int
	born     int64
	listener net.Listener
	slot     chan struct{}

	mu      sync.Mutex
	running int
	waiting int
	beats   int
	state   string
	conns   map[net.Conn]bool

	fault fault
}

// fault, if set, is called with each answer before it is written, and returns what is written.
type fault func(c *endpointConn, status int, answer []byte) []byte

func (e *endpoint) setFault(f fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

func (e *endpoint) currentFault() fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// endpointConn is one connection of an endpoint, used by one goroutine.
type endpointConn struct {
	net.Conn
	late []byte // bytes that are sent at the point where the next answer is expected
}

const (
	healthPath   = "/health"
	beatInterval = 1500 * time.Millisecond
)

func (f *fleet) newEndpoint(id, zone, service, address string, slots, queue int) (*endpoint, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		fleet: f, id: id, zone: zone, service: service, address: l.Addr().String(), slots: slots, queue: queue,
		born: time.Now().UnixMilli(), listener: l, slot: make(chan struct{}, slots), state: "ready", conns: map[net.Conn]bool{},
	}
	e.register()
	go e.accept()
	go func() {
		for range time.Tick(beatInterval) {
			e.register()
		}
	}()
	return e, nil
}

func (e *endpoint) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state == "gone" {
		return
	}
	e.beats++
	e.fleet.store.put("servers/"+e.id, map[string]any{
		"address": e.address, "born": e.born,
		"info":   map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": e.slots},
		"status": map[string]any{"state": e.state, "sequence": e.beats, "cold_remaining_ms": 0},
	})
}

func (e *endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(&endpointConn{Conn: c})
	}
}

func (e *endpoint) serve(c *endpointConn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c.Conn)
		e.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		status, answer := e.answer(req, body)
		late := c.late
		c.late = nil
		if fault := e.currentFault(); fault != nil {
			answer = fault(c, status, answer)
		}
		if _, err := c.Write(append(late, answer...)); err != nil || answer == nil {
			return
		}
	}
}

func (e *endpoint) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", e.running, e.waiting, e.slots)
}

// answer runs a request and returns the status and the bytes of its answer.
func (e *endpoint) answer(req *http.Request, body []byte) (int, []byte) {
	id := req.Header.Get("X-Request-Id")
	if req.URL.Path == healthPath {
		return 200, e.write(200, nil, "X-Instance-Id: "+e.id, "X-Server-Load: "+e.load())
	}
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		return 421, e.write(421, nil, "X-Instance-Id: "+e.id, "X-Request-Id: "+id)
	}
	e.mu.Lock()
	if e.running+e.waiting >= e.slots+e.queue {
		e.mu.Unlock()
		e.fleet.log.add("shed", id, e.id)
		return 503, e.write(503, nil, "X-Not-Executed: 1", "X-Request-Id: "+id, "X-Server-Load: "+e.load())
	}
	e.waiting++
	e.mu.Unlock()
	e.slot <- struct{}{}
	e.mu.Lock()
	e.waiting--
	e.running++
	e.mu.Unlock()
	e.fleet.log.run(id, e, req, body)
	time.Sleep(e.fleet.work(req))
	<-e.slot
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	return 200, e.write(200, answerBody(id, e.id), "X-Request-Id: "+id, "X-Response-Signature: "+signature(id, e.id), "X-Server-Load: "+e.load())
}

// answerBody is the body of an endpoint's answer: a client can tell whose it is.
func answerBody(id, endpoint string) []byte {
	return bytes.Repeat([]byte(id+" "+endpoint+"\n"), 8)
}

func signature(id, endpoint string) string { return "sig." + id + "." + endpoint }

func (e *endpoint) write(status int, body []byte, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	return b.Bytes()
}
