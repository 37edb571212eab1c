package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// fleet is a small deployment: a store, endpoints and entry hosts on loopback addresses.
type fleet struct {
	dir       string
	net       int // third part of the loopback addresses
	ports     ports
	store     *store
	endpoints []*endpoint
	hosts     []*host
	seeds     []string
	log       *journal
	workTime  time.Duration
}

func newFleet(record string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, net: 1 + rand.IntN(250)}
	if f.log, err = newJournal(record); err != nil {
		return nil, err
	}
	for _, p := range []*int{&f.ports.front, &f.ports.ready, &f.ports.control, &f.ports.mesh, &f.ports.operator} {
		if *p, err = freePort(); err != nil {
			return nil, err
		}
	}
	f.store, err = newStore("127.0.0.1:0")
	return f, err
}

func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (f *fleet) work(*http.Request) time.Duration { return f.workTime }

// end ends all processes and removes the temporary folder.
func (f *fleet) end() {
	for _, h := range f.hosts {
		h.end()
	}
	_ = os.RemoveAll(f.dir)
}

// journal records what was sent, answered and run.
type journal struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	w     *bufio.Writer
	runs  map[string][]string // endpoints that ran a request, by its id

	answers map[string]int // status that the client got, by the id of the request
}

func newJournal(path string) (*journal, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{start: time.Now(), file: file, w: bufio.NewWriter(file), runs: map[string][]string{}, answers: map[string]int{}}, nil
}

func (j *journal) add(what string, words ...string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.write(what, words...)
}

func (j *journal) write(what string, words ...string) {
	fmt.Fprintf(j.w, "%9.4f %s", time.Since(j.start).Seconds(), what)
	for _, w := range words {
		j.w.WriteString(" " + w)
	}
	j.w.WriteString("\n")
}

func (j *journal) run(id string, e *endpoint, req *http.Request, body []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id] = append(j.runs[id], e.id)
	j.write("run", id, e.id, req.Method, req.URL.Path, fmt.Sprint(len(body)))
}

func (j *journal) answer(id string, a answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers[id] = a.status
	j.write("answer", id, fmt.Sprint(a.status), a.signature, a.head.Get("X-Reason"))
}

func (j *journal) close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	_ = j.w.Flush()
	_ = j.file.Close()
}

// answer is what a client got.
type answer struct {
	err       error
	status    int
	signature string
	id        string
	body      []byte
	head      http.Header
	sent      bool // the whole request was written
}

// exchange sends one request on a new connection and reads its answer.
func (f *fleet) exchange(h *host, method, path, id string, deadline time.Duration, body []byte) answer {
	c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", h.ip, f.ports.front), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	return f.exchangeOn(c, bufio.NewReader(c), h, method, path, id, deadline, body)
}

func (f *fleet) exchangeOn(c net.Conn, r *bufio.Reader, h *host, method, path, id string, deadline time.Duration, body []byte) answer {
	_ = c.SetDeadline(time.Now().Add(deadline))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, routeHost, id, deadline.Milliseconds())
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	f.log.add("send", id, h.name, method, path)
	if _, err := c.Write(b.Bytes()); err != nil {
		f.log.add("answer", id, "error", err.Error())
		return answer{err: err}
	}
	a := readAnswer(r, method)
	a.sent = true
	if a.err != nil {
		f.log.add("answer", id, "error", a.err.Error())
	} else {
		f.log.answer(id, a)
	}
	return a
}

func readAnswer(r *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		return answer{err: err}
	}
	return answer{
		status: resp.StatusCode, signature: resp.Header.Get("X-Response-Signature"), id: resp.Header.Get("X-Request-Id"),
		body: b.Bytes(), head: resp.Header,
	}
}

const (
	routeHost    = "ficu95.example"
	safePrefix   = "/lohu930/"
	unsafePrefix = "/pufi791/"
)

// configuration returns a configuration as the store holds it.
func configuration(version int, service string, timeout time.Duration) map[string]any {
	route := func(name, prefix, kind string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": 800, "priority": priority, "service": service, "max_attempts": 2,
		}
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes":  []any{route("r-safe", safePrefix, "safe", 2), route("r-unsafe", unsafePrefix, "unsafe", 1)},
		"services": []any{map[string]any{
			"name": service, "health_check_path": healthPath, "max_connections": 240, "protocol": "h1", "tls": false,
			"cold_start_s": 3.0, "cold_per_s": 6.3,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

var zones = []string{"npc-a", "npc-b", "npc-c", "npc-d"}

// deploy starts endpoints and hosts, evenly over the zones, and waits until the hosts are ready.
func (f *fleet) deploy(hosts, endpoints, slots, queue int) error {
	f.store.put("op/config", configuration(7, "huvo11a", 2500*time.Millisecond))
	for n := range endpoints {
		e, err := f.newEndpoint(fmt.Sprintf("i-%08x", 0x7f3a91c2+n*7919), zones[n%len(zones)], "huvo11a", "127.0.0.1:0", slots, queue)
		if err != nil {
			return err
		}
		f.endpoints = append(f.endpoints, e)
	}
	ip := func(n int) string { return fmt.Sprintf("127.77.%d.%d", f.net, 10+n) }
	for n := range min(3, hosts) {
		f.seeds = append(f.seeds, ip(n))
	}
	for n := range hosts {
		if _, err := f.newHost(fmt.Sprintf("front-%s-%d", zones[n%len(zones)], 1+n/len(zones)), zones[n%len(zones)], ip(n)); err != nil {
			return err
		}
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // as on the platform, where traffic starts after the machines
	return nil
}
