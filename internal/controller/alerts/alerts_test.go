package alerts

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/operator/status"
	"github.com/anvilfront/anvilfront/internal/state"
)

type fixture struct {
	clock    clock.Manual
	store    *state.Store
	counters *metrics.Counters
	logs     *observer.ObservedLogs
	c        *Controller
}

func newFixture(rules ...manifest.AlertRule) *fixture {
	f := &fixture{store: state.NewStore(state.Member{Name: "eh1"}), counters: metrics.New()}
	core, logs := observer.New(zapcore.InfoLevel)
	f.logs = logs
	f.c = New(Config{Clock: &f.clock, Store: f.store, Metrics: f.counters, Log: zap.New(core)})
	f.setRules(rules...)
	return f
}

func (f *fixture) setRules(rules ...manifest.AlertRule) {
	f.store.Update(func(s *state.Snapshot) { s.Manifest = &manifest.Manifest{File: &manifest.File{Alerts: rules}} })
}

// evaluateEach evaluates the rules once per value, a second apart, and returns
// the states of the first rule.
func (f *fixture) evaluateEach(values ...int64) string {
	var states []string
	for _, v := range values {
		f.clock.Advance(time.Second)
		f.counters.Int("x").Set(v)
		f.c.Evaluate()
		states = append(states, f.c.Alerts()[0].State)
	}
	return strings.Join(states, " ")
}

// TestStates guards against alerts that fire early or late or are never
// resolved, and against rates that count the first value as an increase.
func TestStates(t *testing.T) {
	rule := func(rate bool, comparison string, threshold float64, hold time.Duration) manifest.AlertRule {
		return manifest.AlertRule{Name: "a", Source: "f:1", Metric: "x", Rate: rate, Comparison: comparison, Threshold: threshold, For: manifest.Duration(hold)}
	}
	for _, c := range []struct {
		rule   manifest.AlertRule
		values []int64
		want   string
	}{
		{rule(false, ">", 5, 0), []int64{5, 6, 5}, "ok firing ok"},
		{rule(false, ">=", 5, 0), []int64{4, 5}, "ok firing"},
		{rule(false, "<", 5, 0), []int64{5, 4}, "ok firing"},
		{rule(false, "<=", 5, 0), []int64{6, 5}, "ok firing"},
		{rule(false, ">", 5, 2*time.Second), []int64{6, 6, 6, 5, 6}, "pending pending firing ok pending"},
		{rule(true, ">", 5, 0), []int64{100, 105, 111, 111}, "no-data ok firing ok"},
		{rule(true, "<", 1, time.Second), []int64{100, 100, 100, 101}, "no-data pending firing ok"},
		{rule(false, "~", 5, 0), []int64{6}, "ok"},
	} {
		is.New(t).Equal(newFixture(c.rule).evaluateEach(c.values...), c.want)
	}
}

// TestManifestChange guards against an alert that restarts, or is not reported,
// because an unrelated part of the manifest changed.
func TestManifestChange(t *testing.T) {
	is := is.New(t)
	r := manifest.AlertRule{Name: "a", Source: "f:1", Metric: "x", Comparison: ">", Threshold: 5, For: manifest.Duration(2 * time.Second)}
	f := newFixture(r)
	is.Equal(f.evaluateEach(6, 6), "pending pending")
	r.Source = "f:2"
	f.setRules(r)
	is.Equal(f.evaluateEach(6), "firing")
	is.Equal(f.c.Alerts()[0].Source, "f:2")
	is.Equal(f.evaluateEach(6, 6), "firing firing")
	changed := r
	changed.Threshold = 4
	f.setRules(changed)
	is.Equal(f.evaluateEach(6), "pending")
	f.setRules()
	f.c.Evaluate()
	is.Equal(len(f.c.Alerts()), 0)
	is.Equal(f.logs.FilterMessage("Alert firing.").Len(), 1)
	is.Equal(f.logs.FilterMessage("Alert resolved because its rule was removed or changed.").Len(), 1)
}

// TestMissingCounter guards against an alert that keeps firing, or crashes the
// controller, when its counter does not exist.
func TestMissingCounter(t *testing.T) {
	is := is.New(t)
	f := newFixture(manifest.AlertRule{Name: "a", Metric: "absent", Comparison: "<", Threshold: 1})
	is.Equal(f.evaluateEach(1), status.AlertNoData)
}

// TestRun guards against rules that are not evaluated every second.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(manifest.AlertRule{Name: "a", Metric: "verdicts.ran", Comparison: ">=", Threshold: 0})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { f.c.Run(ctx); close(done) }()
		time.Sleep(EvaluationInterval + time.Millisecond)
		synctest.Wait()
		is.New(t).Equal(f.c.Alerts()[0].State, status.AlertFiring)
		cancel()
		<-done
	})
}
