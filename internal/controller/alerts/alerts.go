// Package alerts evaluates the alert rules of the current manifest against the
// counters of this entry host and publishes the state of each rule. Package
// entryhost runs the controller.
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

// EvaluationInterval is the time between two evaluations.
const EvaluationInterval = time.Second

// Source returns the value of a counter by dotted name. metrics.Counters
// implements it.
type Source interface {
	Value(name string) (value int64, ok bool)
}

// Config holds the dependencies of the controller. All fields are required.
type Config struct {
	Clock   clock.Clock
	Store   *state.Store // provides the current manifest
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

// ruleState is the state of a rule between evaluations.
type ruleState struct {
	hasSample      bool // lastValue and lastTime are set
	lastValue      int64
	lastTime       clock.Time
	conditionMet   bool
	conditionSince clock.Time // when conditionMet became true
	firing         bool
}

func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg, log: cfg.Log.Named("alerts"), states: map[manifest.AlertRule]*ruleState{}}
	c.list.Store(&[]status.Alert{})
	return c
}

// Alerts returns the states of all rules in the order of the manifest. The
// list is immutable.
func (c *Controller) Alerts() []status.Alert { return *c.list.Load() }

// Run evaluates the rules every EvaluationInterval until ctx ends.
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
// must not be called concurrently. A rule that is the same in a new manifest,
// except for its source line, keeps its state.
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
		wasFiring := s.firing
		a := s.evaluate(&r, c.cfg.Metrics, now)
		list = append(list, a)
		c.logTransition(wasFiring, s.firing, a)
	}
	for key, s := range c.states {
		if next[key] == nil && s.firing {
			c.log.Info("Alert resolved because its rule was removed or changed.", zap.String("alert", key.Name))
		}
	}
	c.states = next
	c.list.Store(&list)
}

func (c *Controller) logTransition(wasFiring, isFiring bool, a status.Alert) {
	fields := []zap.Field{
		zap.String("alert", a.Name), zap.String("source", a.Source), zap.String("metric", a.Metric),
		zap.Float64("value", a.Value), zap.Float64("threshold", a.Threshold),
	}
	switch {
	case isFiring && !wasFiring:
		c.log.Warn("Alert firing.", fields...)
	case wasFiring && !isFiring:
		c.log.Info("Alert resolved.", fields...)
	}
}

// evaluate evaluates the rule at now and updates its state.
func (s *ruleState) evaluate(r *manifest.AlertRule, source Source, now clock.Time) status.Alert {
	a := status.Alert{
		Name: r.Name, Source: r.Source, Metric: r.Metric, Rate: r.Rate,
		Comparison: r.Comparison, Threshold: r.Threshold, State: status.AlertNoData,
	}
	raw, ok := source.Value(r.Metric)
	value := float64(raw)
	if ok && r.Rate {
		value, ok = s.rate(raw, now)
	} else {
		s.hasSample = false
	}
	if !ok || !Compare(r.Comparison, value, r.Threshold) {
		s.conditionMet, s.firing = false, false
		if ok {
			a.State, a.Value = status.AlertOK, value
		}
		return a
	}
	if !s.conditionMet {
		s.conditionMet, s.conditionSince = true, now
	}
	held := now.Sub(s.conditionSince)
	s.firing = held >= time.Duration(r.For)
	a.State, a.Value, a.ForSeconds = status.AlertPending, value, held.Seconds()
	if s.firing {
		a.State = status.AlertFiring
	}
	return a
}

// rate returns the increase per second since the last evaluation, and false at
// the first evaluation.
func (s *ruleState) rate(raw int64, now clock.Time) (float64, bool) {
	lastValue, lastTime, ok := s.lastValue, s.lastTime, s.hasSample && s.lastTime.Before(now)
	s.lastValue, s.lastTime, s.hasSample = raw, now, true
	if !ok {
		return 0, false
	}
	return float64(raw-lastValue) / now.Sub(lastTime).Seconds(), true
}

// Compare reports whether the comparison of value with threshold is true. It is
// false for an unknown operator, which the check of manifests refuses.
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
