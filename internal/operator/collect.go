package operator

import (
	"encoding/hex"
	"expvar"
	"fmt"
	"sort"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/operator/status"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// Collector builds the responses of /status and /explain from the published state.
type Collector struct {
	Clock    clock.Clock
	Store    *state.Store
	Counters *metrics.Counters
	Version  string
	Ready    func() (ready bool, reason string)
	Alerts   func() []status.Alert // may be nil
}

// Status returns the state of this entry host.
func (c *Collector) Status() *status.Status {
	snap, now := c.Store.Load(), c.Clock.Now()
	self := snap.Members.Self
	s := &status.Status{
		Name: self.Name, DataCentre: self.DataCentre, Version: c.Version,
		Incarnation: incarnation(self.Incarnation), UptimeSeconds: now.Sub(0).Seconds(),
		DataCentres: []status.DataCentre{}, Alerts: []status.Alert{},
		Members: members(snap.Members), Services: services(snap, now),
		Verdicts: map[string]int64{}, Refusals: map[string]int64{}, Retries: map[string]int64{},
		Process: metrics.ReadProcess(),
	}
	s.Ready, s.NotReadyReason = c.Ready()
	if m := snap.Manifest; m != nil {
		s.Revision, s.Digest = m.File.Revision, hex.EncodeToString(m.Digest[:])
		for _, dc := range m.File.DataCentres {
			s.DataCentres = append(s.DataCentres, status.DataCentre{Name: dc.Name, Region: dc.Region, Out: dc.Out})
		}
	}
	for _, v := range snap.PoisonRequests.ByFingerprint {
		if v.Refuse && now.Before(v.Expires) {
			s.PoisonRequests++
		}
	}
	c.addCounters(s)
	if c.Alerts != nil {
		for _, a := range c.Alerts() {
			if a.State == status.AlertFiring {
				s.Alerts = append(s.Alerts, a)
			}
		}
	}
	return s
}

// addCounters adds the counters of verdicts, refusals and retries to s.
func (c *Collector) addCounters(s *status.Status) {
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

// members lists the known entry hosts by name.
func members(m *state.Members) []status.Member {
	list := make([]status.Member, 0, len(m.ByName))
	for _, v := range m.ByName {
		memberState := "dead"
		switch {
		case v.Alive && v.Leaving:
			memberState = "leaving"
		case v.Alive:
			memberState = "alive"
		}
		list = append(list, status.Member{
			Name: v.Name, Address: v.Address, DataCentre: v.DataCentre,
			Incarnation: incarnation(v.Incarnation), State: memberState,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// services lists the estimated load of each service by data centre, in the order of
// the manifest.
func services(snap *state.Snapshot, now clock.Time) []status.Service {
	list := []status.Service{}
	if snap.Manifest == nil {
		return list
	}
	for i := range snap.Manifest.File.Services {
		service := &snap.Manifest.File.Services[i]
		at := map[string]int{} // index in list by data centre
		for j := range service.BackendServers {
			b := &service.BackendServers[j]
			k, ok := at[b.DataCentre]
			if !ok {
				k = len(list)
				at[b.DataCentre] = k
				list = append(list, status.Service{Service: service.Name, DataCentre: b.DataCentre, Out: snap.Servers.Out[b.DataCentre]})
			}
			list[k].Servers++
			if s := snap.Servers.ByName[b.Name]; s != nil {
				addLoad(&list[k], s, now)
			}
		}
	}
	return list
}

// addLoad adds the estimated load of one backend server to v. Servers without a
// reading are skipped.
func addLoad(v *status.Service, s *state.Server, now clock.Time) {
	e := s.Load.Estimate(now, 1, s.Slots)
	if !e.Known {
		return
	}
	v.Known++
	v.Running += int(e.Running)
	v.Waiting += int(e.Waiting)
	v.Slots += e.Slots
	v.AgeMillis = max(v.AgeMillis, e.Age.Milliseconds())
}

func incarnation(v uint64) string { return fmt.Sprintf("%016x", v) }

// Explain returns the route that a request matches, and which backend servers are
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
	service := m.Services[r.Service]
	for i := range service.BackendServers {
		v := explainServer(&service.BackendServers[i], snap.Servers, c.Clock.Now())
		if v.Eligible {
			e.Eligible++
		}
		e.Servers = append(e.Servers, v)
	}
	return e
}

// explainServer reports whether a backend server is eligible for new requests, and
// if not, why.
func explainServer(b *manifest.BackendServer, servers *state.Servers, now clock.Time) status.Server {
	v := status.Server{Name: b.Name, Address: b.Address, DataCentre: b.DataCentre, Slots: b.Slots}
	s := servers.ByName[b.Name]
	if s == nil {
		v.Reason = "not taken over yet"
		return v
	}
	e := s.Load.Estimate(now, 1, s.Slots)
	v.Known, v.Running, v.Slots, v.AgeMillis = e.Known, int(e.Running), e.Slots, e.Age.Milliseconds()
	v.Inflight, v.Cold = s.Load.Inflight(), e.Cold || s.Load.SlowStart.Cold(now)
	switch {
	case servers.Out[b.DataCentre]:
		v.Reason = "data centre " + b.DataCentre + " is out"
	case b.Leaving:
		v.Reason = "the backend server is leaving"
	case s.Load.Suspended(now):
		v.Reason = "it refused a connection a moment ago"
	case e.Silent:
		v.Reason = "it does not answer"
	case e.Known && int(e.Running) >= e.Slots:
		v.Reason = fmt.Sprintf("full: %d requests run there, it has %d slots", int(e.Running), e.Slots)
	default:
		v.Eligible = true
	}
	return v
}
