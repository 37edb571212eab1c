// Package alerts evaluates the alert rules of the manifest over the counters of
// this entry host and publishes their states.
package alerts

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/operator/status"
	"github.com/anvilfront/anvilfront/internal/state"
)

// Every is the time between two evaluations.
const EvaluationInterval = time.Second

// Source gives the values of counters by dotted name; metrics.Counters is one.
type Source interface {
	Value(name string) (value int64, ok bool)
}

// Config holds what the controller needs. All fields are required.
type Config struct {
	Clock   clock.Clock
	Store   *state.Store // for the manifest in force
	Metrics Source
	Log     *zap.Logger
}

// Controller is the only writer of the list of alerts.
type Controller struct {
	cfg    Config
	log    *zap.Logger
	states map[manifest.AlertRule]*ruleState // by rule without its source line
	list   atomic.Pointer[[]status.Alert]
}

// ruleState is what is remembered of a rule between evaluations.
type ruleState struct {
	sampled bool // last and at are set
	last    int64
	at      clock.Time
	holds   bool
	since   clock.Time // start of holds
	firing  bool
}

// New returns a controller.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg, log: cfg.Log.Named("alerts"), states: map[manifest.AlertRule]*ruleState{}}
	c.list.Store(&[]status.Alert{})
	return c
}

// Alerts returns the states of all rules in the order of the manifest. The
// list is immutable.
func (c *Controller) Alerts() []status.Alert { return *c.list.Load() }

// Run evaluates until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	t := time.NewTicker(EvaluationInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.Evaluate()
		}
	}
}

// Evaluate evaluates every rule once and publishes the list. Run calls it; it
// must not run concurrently. A rule that a new manifest holds unchanged, except
// for its source line, keeps its state.
func (c *Controller) Evaluate() {
	var rules []manifest.AlertRule
	if m := c.cfg.Store.Load().Manifest; m != nil {
		rules = m.File.Alerts
	}
	now := c.cfg.Clock.Now()
	next := make(map[manifest.AlertRule]*ruleState, len(rules))
	list := make([]status.Alert, 0, len(rules))
	for _, r := range rules {
		key := r
		key.Source = ""
		s := c.states[key]
		if s == nil {
			s = &ruleState{}
		}
		next[key] = s
		was := s.firing
		a := s.step(&r, c.cfg.Metrics, now)
		list = append(list, a)
		c.report(was, s.firing, a)
	}
	for key, s := range c.states {
		if next[key] == nil && s.firing {
			c.log.Info("Alert ended, its rule is gone.", zap.String("alert", key.Name))
		}
	}
	c.states = next
	c.list.Store(&list)
}

func (c *Controller) report(was, is bool, a status.Alert) {
	fields := []zap.Field{
		zap.String("alert", a.Name), zap.String("source", a.Source), zap.String("metric", a.Metric),
		zap.Float64("value", a.Value), zap.Float64("threshold", a.Threshold),
	}
	switch {
	case is && !was:
		c.log.Warn("Alert started.", fields...)
	case was && !is:
		c.log.Info("Alert ended.", fields...)
	}
}

// step evaluates one rule at now.
func (s *ruleState) step(r *manifest.AlertRule, source Source, now clock.Time) status.Alert {
	a := status.Alert{
		Name: r.Name, Source: r.Source, Metric: r.Metric, Rate: r.Rate,
		Comparison: r.Comparison, Threshold: r.Threshold, State: status.AlertNoData,
	}
	raw, ok := source.Value(r.Metric)
	value := float64(raw)
	if ok && r.Rate {
		value, ok = s.rate(raw, now)
	} else {
		s.sampled = false
	}
	if !ok || !Compare(r.Comparison, value, r.Threshold) {
		s.holds, s.firing = false, false
		if ok {
			a.State, a.Value = status.AlertOK, value
		}
		return a
	}
	if !s.holds {
		s.holds, s.since = true, now
	}
	held := now.Sub(s.since)
	s.firing = held >= time.Duration(r.For)
	a.State, a.Value, a.ForSeconds = status.AlertPending, value, held.Seconds()
	if s.firing {
		a.State = status.AlertFiring
	}
	return a
}

// rate returns the increase per second since the last evaluation. The first
// evaluation has none.
func (s *ruleState) rate(raw int64, now clock.Time) (float64, bool) {
	last, at, ok := s.last, s.at, s.sampled && s.at.Before(now)
	s.last, s.at, s.sampled = raw, now, true
	if !ok {
		return 0, false
	}
	return float64(raw-last) / now.Sub(at).Seconds(), true
}

// Compare reports whether value compares to threshold as stated. An unknown
// comparison, which the check of manifests refuses, never holds.
func Compare(comparison string, value, threshold float64) bool {
	switch comparison {
	case ">":
		return value > threshold
	case ">=":
		return value >= threshold
	case "<":
		return value < threshold
	case "<=":
		return value <= threshold
	}
	return false
}
