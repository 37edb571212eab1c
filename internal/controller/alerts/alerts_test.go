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

type bench struct {
	clock    clock.Manual
	store    *state.Store
	counters *metrics.Counters
	logs     *observer.ObservedLogs
	c        *Controller
}

func newBench(rules ...manifest.AlertRule) *bench {
	b := &bench{store: state.NewStore(state.Member{Name: "eh1"}), counters: metrics.New()}
	core, logs := observer.New(zapcore.InfoLevel)
	b.logs = logs
	b.c = New(Config{Clock: &b.clock, Store: b.store, Metrics: b.counters, Log: zap.New(core)})
	b.accept(rules...)
	return b
}

func (b *bench) accept(rules ...manifest.AlertRule) {
	b.store.Update(func(s *state.Snapshot) { s.Manifest = &manifest.Manifest{File: &manifest.File{Alerts: rules}} })
}

// run evaluates once per value, a second apart, and returns the states.
func (b *bench) run(values ...int64) string {
	var states []string
	for _, v := range values {
		b.clock.Advance(time.Second)
		b.counters.Int("x").Set(v)
		b.c.Evaluate()
		states = append(states, b.c.Alerts()[0].State)
	}
	return strings.Join(states, " ")
}

// TestStates guards against alerts that start early, late or never end, and
// against rates that take the first value for an increase.
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
		is.New(t).Equal(newBench(c.rule).run(c.values...), c.want)
	}
}

// TestManifestChange guards against an alert that starts anew, or goes unseen,
// because an unrelated part of the manifest changed.
func TestManifestChange(t *testing.T) {
	is := is.New(t)
	r := manifest.AlertRule{Name: "a", Source: "f:1", Metric: "x", Comparison: ">", Threshold: 5, For: manifest.Duration(2 * time.Second)}
	b := newBench(r)
	is.Equal(b.run(6, 6), "pending pending")
	r.Source = "f:2"
	b.accept(r)
	is.Equal(b.run(6), "firing")
	is.Equal(b.c.Alerts()[0].Source, "f:2")
	is.Equal(b.run(6, 6), "firing firing")
	changed := r
	changed.Threshold = 4
	b.accept(changed)
	is.Equal(b.run(6), "pending")
	b.accept()
	b.c.Evaluate()
	is.Equal(len(b.c.Alerts()), 0)
	is.Equal(b.logs.FilterMessage("Alert started.").Len(), 1)
	is.Equal(b.logs.FilterMessage("Alert ended, its rule is gone.").Len(), 1)
}

// TestMissingCounter guards against an alert that keeps firing, or crashes the
// controller, when its counter does not exist.
func TestMissingCounter(t *testing.T) {
	is := is.New(t)
	b := newBench(manifest.AlertRule{Name: "a", Metric: "absent", Comparison: "<", Threshold: 1})
	is.Equal(b.run(1), status.AlertNoData)
}

// TestRun guards against rules that are not evaluated each second.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(manifest.AlertRule{Name: "a", Metric: "verdicts.ran", Comparison: ">=", Threshold: 0})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { b.c.Run(ctx); close(done) }()
		time.Sleep(EvaluationInterval + time.Millisecond)
		synctest.Wait()
		is.New(t).Equal(b.c.Alerts()[0].State, status.AlertFiring)
		cancel()
		<-done
	})
}
