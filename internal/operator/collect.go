package operator

import (
	"encoding/hex"
	"expvar"
	"fmt"
	"sort"
	"strconv"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/controller/pools"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/operator/status"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// ServerDetail is what the pools controller knows of a backend server.
type ServerDetail struct {
	Known    bool // this entry host grants slots on the server
	Inflight int
	Limit    int
	Cold     bool
	Blocked  string // why it takes no request now, such as "ejected"; or ""
}

// ServerDetails adapts the pools controller, which knows the servers of pools
// whose lease this entry host holds.
func ServerDetails(p *pools.Controller) func(pool manifest.PoolID, server string) ServerDetail {
	return func(pool manifest.PoolID, server string) ServerDetail {
		d, ok := p.Detail(pool, server)
		v := ServerDetail{Known: ok, Inflight: d.Inflight, Limit: d.Limit, Cold: ok && !d.Warm}
		if d.Ejected {
			v.Blocked = "ejected after failures; gets a few requests for trial"
		}
		return v
	}
}

// Collector builds the values of /status and /explain from the published state.
type Collector struct {
	Clock    clock.Clock
	Store    *state.Store
	Counters *metrics.Counters
	Version  string
	Ready    func() (ready bool, why string)
	Alerts   func() []status.Alert                                  // may be nil
	Servers  func(pool manifest.PoolID, server string) ServerDetail // may be nil
}

// Status returns the state of this entry host.
func (c *Collector) Status() *status.Status {
	snap, now := c.Store.Load(), c.Clock.Now()
	self := snap.Members.Self
	s := &status.Status{
		Name: self.Name, DataCentre: self.DataCentre, Version: c.Version,
		Incarnation: incarnation(self.Incarnation), UptimeSeconds: now.Sub(0).Seconds(),
		DataCentres: []status.DataCentre{}, Leases: []status.Lease{}, Alerts: []status.Alert{},
		Members: members(snap.Members), Pools: poolList(snap, now),
		Verdicts: map[string]int64{}, Refusals: map[string]int64{}, Retries: map[string]int64{},
		Process: metrics.ReadProcess(),
	}
	s.Ready, s.NotReady = c.Ready()
	if m := snap.Manifest; m != nil {
		s.Revision, s.Digest = m.File.Revision, hex.EncodeToString(m.Digest[:])
		for _, dc := range m.File.DataCentres {
			s.DataCentres = append(s.DataCentres, status.DataCentre{Name: dc.Name, Region: dc.Region, Out: dc.Out})
		}
	}
	for id, l := range snap.Leases.Held {
		s.Leases = append(s.Leases, status.Lease{Pool: PoolName(id), LeftMillis: clock.Time(l.Until.Load()).Sub(now).Milliseconds()})
	}
	sort.Slice(s.Leases, func(i, j int) bool { return s.Leases[i].Pool < s.Leases[j].Pool })
	for _, v := range snap.Suspects.ByFingerprint {
		if v.Refuse && now.Before(v.Expires) {
			s.Suspects++
		}
	}
	c.counts(s)
	if c.Alerts != nil {
		for _, a := range c.Alerts() {
			if a.State == status.AlertFiring {
				s.Alerts = append(s.Alerts, a)
			}
		}
	}
	return s
}

func (c *Collector) counts(s *status.Status) {
	if m, ok := c.Counters.Map().Get("verdicts").(*expvar.Map); ok {
		m.Do(func(kv expvar.KeyValue) {
			if v, ok := kv.Value.(*expvar.Int); ok {
				s.Verdicts[kv.Key] = v.Value()
			}
		})
	}
	for _, r := range verdict.Reasons() {
		if n := c.Counters.Refusals(r); n > 0 {
			s.Refusals[r.String()] = n
		}
		if n := c.Counters.Retries(r); n > 0 {
			s.Retries[r.String()] = n
		}
	}
}

func members(m *state.Members) []status.Member {
	list := make([]status.Member, 0, len(m.ByName))
	for _, v := range m.ByName {
		st := "dead"
		switch {
		case v.Alive && v.Leaving:
			st = "leaving"
		case v.Alive:
			st = "alive"
		}
		list = append(list, status.Member{
			Name: v.Name, Address: v.Address, DataCentre: v.DataCentre,
			Incarnation: incarnation(v.Incarnation), State: st,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// poolList lists the pools in the order of the manifest.
func poolList(snap *state.Snapshot, now clock.Time) []status.Pool {
	list := []status.Pool{}
	if snap.Manifest == nil {
		return list
	}
	for i := range snap.Manifest.File.Services {
		for _, p := range snap.Manifest.ByName[snap.Manifest.File.Services[i].Name] {
			v := status.Pool{Pool: PoolName(p.ID), Holder: snap.Leases.Holders[p.ID], Out: p.Out, Servers: len(p.Servers)}
			if ptr := snap.Pools.Load[p.ID]; ptr != nil {
				if l := ptr.Load(); l != nil {
					v.Known, v.Free, v.Queued, v.Slots = true, l.Free, l.Queued, l.Slots
					v.AgeMillis = now.Sub(l.At).Milliseconds()
				}
			}
			list = append(list, v)
		}
	}
	return list
}

// PoolName returns SERVICE/DATA-CENTRE/SHARD.
func PoolName(id manifest.PoolID) string {
	return id.Service + "/" + id.DataCentre + "/" + strconv.Itoa(id.Shard)
}

func incarnation(v uint64) string { return fmt.Sprintf("%016x", v) }

// Explain tells which route a request matches, and which backend servers are
// eligible for it.
func (c *Collector) Explain(method, host, path string) *status.Explanation {
	snap := c.Store.Load()
	e := &status.Explanation{Method: method, Host: host, Path: path, Servers: []status.Server{}}
	m := snap.Manifest
	if m == nil {
		return e
	}
	e.Revision = m.File.Revision
	r := m.Match(method, host, path)
	if r == nil {
		return e
	}
	e.Route, e.Source, e.Service = r.Name, r.Source, r.Service
	e.Idempotent, e.KeyRequired, e.Priority = r.Idempotent, r.KeyRequired, r.Priority
	if text, err := r.Deadline.MarshalText(); err == nil {
		e.Deadline = string(text)
	}
	for _, p := range m.ByName[r.Service] {
		for _, b := range p.Servers {
			v := c.server(p, b)
			if v.Eligible {
				e.Eligible++
			}
			e.Servers = append(e.Servers, v)
		}
	}
	return e
}

func (c *Collector) server(p *manifest.Pool, b *manifest.BackendServer) status.Server {
	v := status.Server{Name: b.Name, Address: b.Address, DataCentre: b.DataCentre, Pool: PoolName(p.ID)}
	var d ServerDetail
	if c.Servers != nil {
		d = c.Servers(p.ID, b.Name)
	}
	v.Known, v.Inflight, v.Limit, v.Cold = d.Known, d.Inflight, d.Limit, d.Cold
	switch {
	case p.Out:
		v.Reason = "data centre " + b.DataCentre + " is out"
	case b.Leaving:
		v.Reason = "the backend server is leaving"
	case d.Blocked != "":
		v.Reason = d.Blocked
	case d.Known && d.Inflight >= d.Limit:
		v.Reason = fmt.Sprintf("full: %d requests in flight, the limit is %d", d.Inflight, d.Limit)
	default:
		v.Eligible = true
	}
	return v
}
