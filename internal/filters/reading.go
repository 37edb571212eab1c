package filters

import (
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/load"
)

// ReadingOf returns the load that a response reported, as a reading taken at now.
func ReadingOf(l *filter.ServerLoad, now clock.Time) load.Reading {
	r := load.Reading{At: now, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Speed: l.Speed, RateLimit: l.RateLimit, Leaving: l.Leaving}
	if l.Cold > 0 {
		r.ColdUntil = now.Add(l.Cold)
	}
	return r
}
