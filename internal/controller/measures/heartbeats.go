package measures

import (
	"math"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	// maxReadingAge is the age up to which a reading is sent within the local data
	// centre.
	maxReadingAge = 2 * maxProbeInterval
	// startReportTime is how long a host reports a start that it noticed at a
	// server which another host probes: several heartbeats, since single ones get
	// lost.
	startReportTime = 500 * time.Millisecond
	// maxDigestReadingAge is the age up to which a reading is sent to other data
	// centres.
	maxDigestReadingAge = time.Second
	// maxReadings and maxOutcomes keep a heartbeat within wire.MaxHeartbeat bytes;
	// a reading takes up to 32 bytes, an outcome up to 16.
	maxReadings = 36
	maxOutcomes = 20
)

// serverIndex maps the server hashes used in heartbeats to servers.
type serverIndex struct {
	servers *state.Servers
	byHash  map[uint32]*state.Server
}

// find returns the server with a hash, or nil. Servers with equal hashes are all
// left out: a reading would be recorded for the wrong one.
func (c *Controller) find(hash uint32) *state.Server {
	servers := c.cfg.Store.Load().Servers
	k := c.index.Load()
	if k == nil || k.servers != servers {
		k = &serverIndex{servers, make(map[uint32]*state.Server, len(servers.ByName))}
		for name, s := range servers.ByName {
			id := wire.ServerHash(name)
			if _, duplicate := k.byHash[id]; duplicate {
				k.byHash[id] = nil
				continue
			}
			k.byHash[id] = s
		}
		c.index.Store(k)
	}
	return k.byHash[hash]
}

// AddToHeartbeat implements mesh.HeartbeatHandler. It adds the readings of the
// servers that this host probes, those from responses of other servers, and the
// outcomes of this host's requests since the previous heartbeat.
func (c *Controller) AddToHeartbeat(now clock.Time, b *wire.Heartbeat) {
	assigned := *c.assigned.Load()
	for _, s := range assigned {
		if len(b.Readings) == maxReadings {
			break
		}
		if !c.settled(s) {
			continue
		}
		if s.ReportsRunningOnly && s.Load.SlowStart.Cold(now) {
			b.Readings = append(b.Readings, coldStartReading(s, now))
		} else if r := s.Load.Reading(); r != nil && now.Sub(r.At) < maxReadingAge {
			b.Readings = append(b.Readings, toWire(s.Name, r, now))
		}
	}
	for _, s := range c.cfg.Store.Load().Servers.ByName {
		if s.ReportsRunningOnly && assigned[s.Name] == nil && len(b.Readings) < maxReadings {
			if startedAt := s.Load.SlowStart.StartedAt(); startedAt != 0 && !s.Load.SlowStart.Assumed() && now.Sub(startedAt) < startReportTime {
				b.Readings = append(b.Readings, coldStartReading(s, startedAt))
			}
		}
		if r := s.Load.TakeResponseReading(); r != nil && assigned[s.Name] == nil && s.Local && len(b.Readings) < maxReadings && now.Sub(r.At) < maxReadingAge {
			b.Readings = append(b.Readings, toWire(s.Name, r, now))
		}
		if len(b.Outcomes) == maxOutcomes {
			return
		}
		if t := s.Load.TakeOutcomeStats(); t.Count > 0 {
			c.countDemand(s, t.Count)
			b.Outcomes = append(b.Outcomes, wire.Outcome{
				Server: wire.ServerHash(s.Name), Count: uint16(t.Count), Failed: uint16(t.Failed), Ratio: uint16(100 * t.Ratio),
			})
		}
	}
}

// AddToDigest implements mesh.HeartbeatHandler. It adds the newest readings of
// the servers of the local data centre.
func (c *Controller) AddToDigest(now clock.Time, b *wire.Heartbeat) {
	for _, s := range c.cfg.Store.Load().Servers.ByName {
		if !s.Local || s.Leaving || len(b.Readings) == maxReadings || !c.settled(s) {
			continue
		}
		if s.ReportsRunningOnly && s.Load.SlowStart.Cold(now) && (*c.assigned.Load())[s.Name] != nil {
			b.Readings = append(b.Readings, coldStartReading(s, now))
		} else if r := s.Load.Reading(); r != nil && now.Sub(r.At) < maxDigestReadingAge {
			b.Readings = append(b.Readings, toWire(s.Name, r, now))
		}
	}
}

// Received implements mesh.HeartbeatHandler. It records the readings and outcomes
// of another host.
func (c *Controller) Received(now clock.Time, b *wire.Heartbeat) {
	for i := range b.Readings {
		w := &b.Readings[i]
		s := c.find(w.Server)
		if s == nil {
			continue
		}
		s.Load.Observe(fromWire(w, now))
		if s.ReportsRunningOnly && w.ColdMillis > 0 && (*c.assigned.Load())[s.Name] != nil && !s.Load.SlowStart.Cold(now) {
			s.Load.SlowStart.Begin(now) // another host noticed a start
		}
		if s.ReportsRunningOnly && w.ColdMillis == 0 {
			s.Load.SlowStart.ConfirmWarm() // the host that probes it reports no slow start
		}
	}
	for _, o := range b.Outcomes {
		s := c.find(o.Server)
		if s == nil {
			continue
		}
		c.countDemand(s, int(o.Count))
		s.Load.UpdateFailureRate(now, int(min(o.Count, 100)), int(min(o.Failed, o.Count)))
		if o.Ratio > 0 {
			s.Load.RecordSlowdown(now, float64(o.Ratio)/100)
		}
	}
}

// settled reports whether this process may say whether a server is cold. One that may yet
// learn that the server is warm says nothing of it: neither that it is cold, nor a reading,
// which would say that it is warm.
func (c *Controller) settled(s *state.Server) bool {
	return !s.Load.SlowStart.Assumed() || c.cfg.Settled == nil || c.cfg.Settled()
}

// coldStartReading returns a reading that marks a server as cold since a start at
// the given time, for servers that do not report a cold start themselves.
func coldStartReading(s *state.Server, at clock.Time) wire.Reading {
	r := load.Reading{At: at, Speed: 1, Slots: s.Slots, ColdUntil: at.Add(load.ColdStartTTL)}
	return toWire(s.Name, &r, at)
}

func toWire(name string, r *load.Reading, now clock.Time) wire.Reading {
	w := wire.Reading{
		Server: wire.ServerHash(name), Running: uint16(r.Running), Waiting: uint16(r.Waiting), Slots: uint16(r.Slots),
		Speed: uint16(min(100*r.Speed, 60000)), Unhealthy: r.Unhealthy, Silent: r.Silent, Leaving: r.Leaving,
		AgeMillis: uint32(now.Sub(r.At) / time.Millisecond), FromResponse: r.FromResponse,
	}
	if now.Before(r.ColdUntil) {
		w.ColdMillis = uint32(r.ColdUntil.Sub(now)/time.Millisecond) + 1
	}
	if r.RateLimit > 0 {
		w.RateLimit = uint32(min(max(1, 1000*r.RateLimit), math.MaxUint32))
	}
	return w
}

func fromWire(w *wire.Reading, now clock.Time) load.Reading {
	r := load.Reading{
		At:      now.Add(-time.Duration(w.AgeMillis) * time.Millisecond),
		Running: int(w.Running), Waiting: int(w.Waiting), Slots: int(w.Slots),
		Speed: float64(w.Speed) / 100, Unhealthy: w.Unhealthy, Silent: w.Silent, Leaving: w.Leaving,
		RateLimit: float64(w.RateLimit) / 1000, FromResponse: w.FromResponse,
	}
	if w.ColdMillis > 0 {
		r.ColdUntil = now.Add(time.Duration(w.ColdMillis) * time.Millisecond)
	}
	return r
}
