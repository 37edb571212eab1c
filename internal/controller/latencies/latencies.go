// Package latencies owns the latency histograms of one entry host and publishes
// their quantiles as a metric. Requests report durations through a bounded queue
// that is drained once a second, so that a report wakes no goroutine.
package latencies

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/anvilfront/anvilfront/internal/metrics"
)

const (
	// drainInterval is the time between two drains of the queue. queueLength covers
	// ten times the requests that a host of the target size gets in that time.
	drainInterval = time.Second
	queueLength   = 8192
	// maxDuration is the longest duration that is distinguished; longer ones are
	// recorded as maxDuration. significantDigits is the precision of the values.
	maxDuration       = 10 * time.Minute
	significantDigits = 2
	// maxHistograms bounds the histograms, since services come and go with changes
	// of the configuration.
	maxHistograms = 256
)

// Summary contains the figures of one histogram since the start of the process.
type Summary struct {
	Count  int64 `json:"count"`
	P50    int64 `json:"p50_us"`
	P99    int64 `json:"p99_us"`
	P999   int64 `json:"p999_us"`
	Max    int64 `json:"max_us"`
	MeanUS int64 `json:"mean_us"`
}

type sample struct {
	name     string
	duration time.Duration
}

// Controller is the only writer of the histograms.
type Controller struct {
	queue      chan sample
	dropped    *expvar.Int
	histograms map[string]*hdrhistogram.Histogram // used by Run's goroutine only
	published  atomic.Pointer[map[string]Summary]
}

// New returns a controller that publishes its summaries as the metric "latencies".
func New(c *metrics.Counters) *Controller {
	l := &Controller{queue: make(chan sample, queueLength), dropped: c.Int("latencies.dropped"), histograms: map[string]*hdrhistogram.Histogram{}}
	l.published.Store(&map[string]Summary{})
	c.Set("latencies", expvar.Func(func() any { return *l.published.Load() }))
	return l
}

// Observe adds a duration to the histogram with the given name. It never blocks:
// when the queue is full, the duration is dropped and counted.
func (l *Controller) Observe(name string, duration time.Duration) {
	select {
	case l.queue <- sample{name, duration}:
	default:
		l.dropped.Add(1)
	}
}

// Run drains the queue every drainInterval until ctx ends.
func (l *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if l.drain() {
				l.publish()
			}
		}
	}
}

func (l *Controller) drain() (changed bool) {
	for {
		select {
		case s := <-l.queue:
			changed = l.record(s) || changed
		default:
			return changed
		}
	}
}

func (l *Controller) record(s sample) bool {
	h := l.histograms[s.name]
	if h == nil {
		if len(l.histograms) == maxHistograms {
			l.dropped.Add(1)
			return false
		}
		h = hdrhistogram.New(1, int64(maxDuration/time.Microsecond), significantDigits)
		l.histograms[s.name] = h
	}
	return h.RecordValue(min(max(1, int64(s.duration/time.Microsecond)), int64(maxDuration/time.Microsecond))) == nil
}

func (l *Controller) publish() {
	next := make(map[string]Summary, len(l.histograms))
	for name, h := range l.histograms {
		next[name] = Summary{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), P999: h.ValueAtQuantile(99.9),
			Max: h.Max(), MeanUS: int64(h.Mean()),
		}
	}
	l.published.Store(&next)
}
