package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is one item of the store, as PROTOCOL.md shows it.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// historyTime is history_s: for how long the store keeps changes for watches.
const historyTime = 20 * time.Second

type change struct {
	storeItem
	at time.Time
}

// store is a stand-in for the platform's metadata store. It loses nothing and answers at
// once, a watch with all changes that it asks for.
type store struct {
	ip  string
	mux http.ServeMux

	mu        sync.Mutex
	rev       uint64
	discarded uint64 // revision of the newest change that the history has lost
	items     map[string]storeItem
	history   []change
	changed   chan struct{}
	waiting   map[string]int // waiting watches by machine
	cut       chan struct{}  // closed when watches of refused machines are cut

	turnAwayMax int             // machines that are refused at most
	turnedAway  map[string]bool // machines that are refused
}

func newStore(ip string) (*store, error) {
	s := &store{
		rev: 100, items: map[string]storeItem{}, turnedAway: map[string]bool{},
		waiting: map[string]int{}, changed: make(chan struct{}), cut: make(chan struct{}), ip: ip,
	}
	s.mux.HandleFunc("/kv-key", s.key)
	s.mux.HandleFunc("/kv-range", s.page)
	s.mux.HandleFunc("/kv-watch", s.watch)
	return s, nil
}

// listen opens an address of the store for one machine, by which it tells the machines
// apart.
func (s *store) listen(machine string) (address string, err error) {
	l, err := net.Listen("tcp", s.ip+":0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r = r.WithContext(context.WithValue(r.Context(), machineKey{}, machine))
			if s.refuses(r) {
				http.Error(w, "{}", http.StatusServiceUnavailable)
				return
			}
			s.mux.ServeHTTP(w, r)
		}))
	}()
	return l.Addr().String(), nil
}

type machineKey struct{}

func machineOf(r *http.Request) string { return r.Context().Value(machineKey{}).(string) }

// turnAway makes the store refuse the first n machines that call or are waiting, until
// serveAll.
func (s *store) turnAway(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnAwayMax = n
	for m := range s.waiting {
		if len(s.turnedAway) < n {
			s.turnedAway[m] = true
		}
	}
	close(s.cut)
	s.cut = make(chan struct{})
}

// serveAll ends turnAway and returns the machines that were refused.
func (s *store) serveAll() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnAwayMax = 0
	refused := s.turnedAway
	s.turnedAway = map[string]bool{}
	return refused
}

// refuses reports whether the caller is refused now.
func (s *store) refuses(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := machineOf(r)
	if !s.turnedAway[m] && len(s.turnedAway) < s.turnAwayMax {
		s.turnedAway[m] = true
	}
	return s.turnedAway[m]
}

// isRefused reports whether a machine is refused now.
func (s *store) isRefused(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turnedAway[machine]
}

// put writes an item; a nil value removes it.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i := storeItem{Key: key, Revision: s.rev, Created: s.rev}
	if value == nil {
		i.Tombstone = true
		delete(s.items, key)
	} else {
		i.Value, _ = json.Marshal(value)
		if old, ok := s.items[key]; ok {
			i.Created = old.Created
		}
		s.items[key] = i
	}
	now := time.Now()
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.discarded = s.history[0].Revision
		s.history = s.history[1:]
	}
	s.history = append(s.history, change{i, now})
	close(s.changed)
	s.changed = make(chan struct{})
}

func respond(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		http.Error(w, "{}", http.StatusNotFound)
		return
	}
	respond(w, struct {
		storeItem
		CurrentRev uint64 `json:"current_rev"`
	}{i, rev})
}

func (s *store) page(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	out := []storeItem{}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			out = append(out, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	more := len(out) > 500
	if more {
		out = out[:500]
	}
	respond(w, map[string]any{"items": out, "has_more": more, "current_rev": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	s.await(r, 1)
	defer s.await(r, -1)
	timeout := time.NewTimer(time.Duration(min(waitMS, 30_000)) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events, now := []storeItem{}, time.Now()
		gone := after < s.discarded
		for _, i := range s.history {
			if i.Revision > after {
				gone = gone || now.Sub(i.at) > historyTime
				if strings.HasPrefix(i.Key, q.Get("prefix")) {
					events = append(events, i.storeItem)
				}
			}
		}
		rev, changed, cut := s.rev, s.changed, s.cut
		s.mu.Unlock()
		if gone {
			http.Error(w, "{}", http.StatusGone)
			return
		}
		if len(events) > 0 {
			respond(w, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-cut:
			if s.isRefused(machineOf(r)) {
				http.Error(w, "{}", http.StatusServiceUnavailable)
				return
			}
		case <-changed:
		case <-timeout.C:
			respond(w, map[string]any{"events": events, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) await(r *http.Request, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := machineOf(r)
	if s.waiting[m] += n; s.waiting[m] == 0 {
		delete(s.waiting, m)
	}
}

// register writes the entry of an endpoint.
func (s *store) register(e *endpoint, state string) {
	s.put("servers/"+e.id, map[string]any{
		"address": e.address, "born": e.born,
		"info":   map[string]any{"service": e.service, "version": "v1", "zone": e.zone, "slots": e.slots},
		"status": map[string]any{"state": state, "sequence": 4, "cold_remaining_ms": 0},
	})
}

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service       string
	timeoutMS, targetMS, priority, attempts int
}

func (s *store) configure(version int, services []string, maxConnections int, limits map[string]any, routes ...route) {
	c := map[string]any{"version": fmt.Sprintf("r%d", version), "limits": limits}
	var rs, ss []any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": r.host, "prefix": r.prefix, "kind": r.kind, "service": r.service,
			"timeout_ms": r.timeoutMS, "target_latency_ms": r.targetMS, "priority": r.priority, "max_attempts": r.attempts,
		})
	}
	for _, n := range services {
		ss = append(ss, map[string]any{
			"name": n, "health_check_path": "/health", "max_connections": maxConnections, "protocol": "h1", "tls": false,
			"cold_start_s": 3.0, "cold_per_s": 6.3,
		})
	}
	c["routes"], c["services"] = rs, ss
	s.put("op/config", c)
}
