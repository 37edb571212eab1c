// Package latencies owns the latency histograms of one entry host. Requests
// report through a bounded queue that is emptied once a second, so that a
// report wakes nobody.
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
	// period is how often the queue is emptied; its length covers ten times the
	// requests that a host of the target size gets in that time.
	period      = time.Second
	queueLength = 8192
	// most is the longest duration told apart, digits the significant ones.
	most   = 10 * time.Minute
	digits = 2
	// maxNames bounds the histograms; services come and go with configurations.
	maxNames = 256
)

// Values are the figures of one histogram since the start of the process.
type Summary struct {
	Count  int64 `json:"count"`
	P50    int64 `json:"p50_us"`
	P99    int64 `json:"p99_us"`
	P999   int64 `json:"p999_us"`
	Max    int64 `json:"max_us"`
	MeanUS int64 `json:"mean_us"`
}

type sample struct {
	name string
	took time.Duration
}

// Controller is the only writer of the histograms.
type Controller struct {
	queue      chan sample
	dropped    *expvar.Int
	histograms map[string]*hdrhistogram.Histogram // used by Run's goroutine only
	published  atomic.Pointer[map[string]Summary]
}

// New returns a controller whose figures are published under "latencies".
func New(c *metrics.Counters) *Controller {
	l := &Controller{queue: make(chan sample, queueLength), dropped: c.Int("latencies.dropped"), histograms: map[string]*hdrhistogram.Histogram{}}
	l.published.Store(&map[string]Summary{})
	c.Set("latencies", expvar.Func(func() any { return *l.published.Load() }))
	return l
}

// Observe reports a duration under a name. It never blocks.
func (l *Controller) Observe(name string, took time.Duration) {
	select {
	case l.queue <- sample{name, took}:
	default:
		l.dropped.Add(1)
	}
}

// Run empties the queue until ctx ends.
func (l *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if l.collect() {
				l.publish()
			}
		}
	}
}

func (l *Controller) collect() (changed bool) {
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
		if len(l.histograms) == maxNames {
			l.dropped.Add(1)
			return false
		}
		h = hdrhistogram.New(1, int64(most/time.Microsecond), digits)
		l.histograms[s.name] = h
	}
	return h.RecordValue(min(max(1, int64(s.took/time.Microsecond)), int64(most/time.Microsecond))) == nil
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
