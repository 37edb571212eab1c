package measures

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	// fresh is the age up to which a reading is told to the own data centre.
	fresh = 2 * mostPeriod
	// tellStart is how long a host tells of a start that it noticed at a server
	// which another one measures: several beats, of which single ones get lost.
	tellStart = 500 * time.Millisecond
	// digestAge is the age up to which a reading is told to other data centres.
	digestAge = time.Second
	// maxReadings and maxOutcomes keep a beat within wire.MaxBeat bytes; a
	// reading takes up to 24 bytes, an outcome up to 16.
	maxReadings = 36
	maxOutcomes = 20
)

// keyed finds servers by their short form in beats.
type keyed struct {
	servers *state.Servers
	byKey   map[uint32]*state.Server
}

// find returns the server of a key, or nil. Two servers of the same key are
// both left out: a reading would count for the wrong one.
func (c *Controller) find(key uint32) *state.Server {
	servers := c.cfg.Store.Load().Servers
	k := c.keys.Load()
	if k == nil || k.servers != servers {
		k = &keyed{servers, make(map[uint32]*state.Server, len(servers.ByName))}
		for name, s := range servers.ByName {
			id := wire.ServerHash(name)
			if _, twice := k.byKey[id]; twice {
				k.byKey[id] = nil
				continue
			}
			k.byKey[id] = s
		}
		c.keys.Store(k)
	}
	return k.byKey[key]
}

// Fill implements mesh.Part: the readings of this host, and what its requests
// met since the last beat.
func (c *Controller) AddToHeartbeat(now clock.Time, b *wire.Heartbeat) {
	mine := *c.mine.Load()
	for _, s := range mine {
		if len(b.Readings) == maxReadings {
			break
		}
		if s.ReportsRunningOnly && s.Load.SlowStart.Cold(now) {
			b.Readings = append(b.Readings, startedReading(s, now))
		} else if r := s.Load.Reading(); r != nil && now.Sub(r.At) < fresh {
			b.Readings = append(b.Readings, toWire(s.Name, r, now))
		}
	}
	for _, s := range c.cfg.Store.Load().Servers.ByName {
		if s.ReportsRunningOnly && mine[s.Name] == nil && len(b.Readings) < maxReadings {
			if began := s.Load.SlowStart.StartedAt(); began != 0 && now.Sub(began) < tellStart {
				b.Readings = append(b.Readings, startedReading(s, began))
			}
		}
		if len(b.Outcomes) == maxOutcomes {
			return
		}
		if t := s.Load.TakeOutcomeStats(); t.Count > 0 {
			b.Outcomes = append(b.Outcomes, wire.Outcome{
				Server: wire.ServerHash(s.Name), Count: uint16(t.Count), Failed: uint16(t.Failed), Ratio: uint16(100 * t.Ratio),
			})
		}
	}
}

// FillDigest implements mesh.Part: the newest readings of this data centre's
// servers.
func (c *Controller) AddToDigest(now clock.Time, b *wire.Heartbeat) {
	for _, s := range c.cfg.Store.Load().Servers.ByName {
		if !s.Local || s.Leaving || len(b.Readings) == maxReadings {
			continue
		}
		if s.ReportsRunningOnly && s.Load.SlowStart.Cold(now) && (*c.mine.Load())[s.Name] != nil {
			b.Readings = append(b.Readings, startedReading(s, now))
		} else if r := s.Load.Reading(); r != nil && now.Sub(r.At) < digestAge {
			b.Readings = append(b.Readings, toWire(s.Name, r, now))
		}
	}
}

// Heard implements mesh.Part.
func (c *Controller) Received(now clock.Time, b *wire.Heartbeat) {
	for i := range b.Readings {
		w := &b.Readings[i]
		s := c.find(w.Server)
		if s == nil {
			continue
		}
		s.Load.Observe(fromWire(w, now))
		if s.ReportsRunningOnly && w.ColdMillis > 0 && (*c.mine.Load())[s.Name] != nil && !s.Load.SlowStart.Cold(now) {
			s.Load.SlowStart.Begin(now) // another host noticed a start
		}
	}
	for _, o := range b.Outcomes {
		s := c.find(o.Server)
		if s == nil {
			continue
		}
		s.Load.Outcomes(now, int(min(o.Count, 100)), int(min(o.Failed, o.Count)))
		if o.Ratio > 0 {
			s.Load.RecordSlowdown(now, float64(o.Ratio)/100)
		}
	}
}

// startedReading says of a server that it is cold since a start, which it does
// not tell itself.
func startedReading(s *state.Server, at clock.Time) wire.Reading {
	r := load.Reading{At: at, Speed: 1, Slots: s.Slots, ColdUntil: at.Add(load.ColdStartTTL)}
	return toWire(s.Name, &r, at)
}

func toWire(name string, r *load.Reading, now clock.Time) wire.Reading {
	w := wire.Reading{
		Server: wire.ServerHash(name), Running: uint16(r.Running), Waiting: uint16(r.Waiting), Slots: uint16(r.Slots),
		Speed: uint16(min(100*r.Speed, 60000)), Unhealthy: r.Unhealthy, Silent: r.Silent,
		AgeMillis: uint32(now.Sub(r.At) / time.Millisecond),
	}
	if now.Before(r.ColdUntil) {
		w.ColdMillis = uint32(r.ColdUntil.Sub(now)/time.Millisecond) + 1
	}
	return w
}

func fromWire(w *wire.Reading, now clock.Time) load.Reading {
	r := load.Reading{
		At:      now.Add(-time.Duration(w.AgeMillis) * time.Millisecond),
		Running: int(w.Running), Waiting: int(w.Waiting), Slots: int(w.Slots),
		Speed: float64(w.Speed) / 100, Unhealthy: w.Unhealthy, Silent: w.Silent,
	}
	if w.ColdMillis > 0 {
		r.ColdUntil = now.Add(time.Duration(w.ColdMillis) * time.Millisecond)
	}
	return r
}
