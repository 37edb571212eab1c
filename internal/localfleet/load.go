package localfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/verdict"
)

// maxSends bounds how often a caller sends one order.
const maxSends = 8

// Load is a set of callers that follow docs/callers.md, and what they saw.
type LoadGenerator struct {
	Fleet      *Fleet
	Interval   time.Duration   // between two requests of a caller; 0: none
	AbortShare float64         // share of order answers that the caller does not wait for
	Targets    func() []string // entry hosts to send to; default Fleet.Addresses

	next atomic.Int64 // numbers orders

	mu          sync.Mutex
	verdicts    map[string]int64 // answers by kind and verdict, such as "order ran"
	reasons     map[string]int64 // answers without a backend answer by kind, verdict and reason
	added       []time.Duration
	finals      map[verdict.Verdict]int64 // last word on each order
	notRun      []string                  // ids that an entry host said did not run
	ran         []string                  // ids that an entry host said ran
	sent        int64                     // orders
	bases       []string                  // order numbers
	generations map[string]int            // keys used by order number
	wrong       int64                     // answers that belong to another request
	failed      int64                     // exchanges without an answer
}

// NewLoad returns callers of the fleet.
func NewLoadGenerator(f *Fleet) *LoadGenerator {
	return &LoadGenerator{
		Fleet: f, Targets: f.Addresses, verdicts: map[string]int64{}, reasons: map[string]int64{},
		finals: map[verdict.Verdict]int64{}, generations: map[string]int{},
	}
}

func (l *LoadGenerator) record(kind string, a Response, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Err != nil {
		l.failed++
		l.reasons[kind+" no answer"]++
		return
	}
	l.verdicts[kind+" "+a.Verdict.String()]++
	if a.Reason != verdict.ReasonNone.String() {
		l.reasons[kind+" "+a.Verdict.String()+" "+a.Reason]++
	}
	if a.BackendTime > 0 {
		l.added = append(l.added, took-a.BackendTime)
	}
}

func (l *LoadGenerator) target() string {
	if t := l.Targets(); len(t) > 0 {
		return t[rand.IntN(len(t))]
	}
	return ""
}

// Lookups sends lookups until ctx ends or n are sent; n 0 means no bound.
func (l *LoadGenerator) Lookups(ctx context.Context, n int) {
	c := &Client{}
	defer c.Close()
	for i := 0; (n == 0 || i < n) && l.pause(ctx, l.Interval); i++ {
		path := fmt.Sprintf("/lot/%d", l.next.Add(1))
		l.do(c, l.target(), "lookup", "GET", path, "", "")
	}
}

// Orders sends orders until ctx ends or n are sent; n 0 means no bound. Each
// order is sent again as its verdicts allow.
func (l *LoadGenerator) Orders(ctx context.Context, n int) {
	c := &Client{}
	defer c.Close()
	var keys []string
	for i := 0; (n == 0 || i < n) && l.pause(ctx, l.Interval); i++ {
		if len(keys) == 0 {
			if keys = c.Keys(l.target(), "8"); len(keys) == 0 {
				l.pause(ctx, 5*time.Millisecond)
				continue
			}
		}
		l.order(ctx, c, keys[0])
		keys = keys[1:]
	}
}

// order sends one order until its fate is known or the sends are used up. The
// id names order and key, so that a run under a key that was said not to run is
// found.
func (l *LoadGenerator) order(ctx context.Context, c *Client, key string) {
	base := fmt.Sprintf("o%d", l.next.Add(1))
	generation, last := 1, verdict.MayHaveRun
	for range maxSends {
		id := fmt.Sprintf("%s.%d", base, generation)
		c.Timeout = 10 * time.Second
		if l.AbortShare > 0 && rand.Float64() < l.AbortShare {
			c.Timeout = time.Duration(rand.Int64N(int64(2*l.Fleet.ServiceTime + 1)))
		}
		a := l.do(c, l.target(), "order", "POST", "/orders/new", key, id)
		last = a.Verdict
		if a.Err == nil && (a.Verdict == verdict.NotRun || a.Verdict == verdict.Ran && a.Status == 200) {
			l.settle(id, a.Verdict)
		}
		if a.Err == nil && a.Verdict == verdict.Ran {
			break
		}
		if a.Err == nil && a.Verdict == verdict.NotRun {
			if key = fresh(c, a, l); key == "" {
				break
			}
			generation++
		}
		if !l.pause(ctx, time.Duration(5+rand.IntN(20))*time.Millisecond) {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	l.finals[last]++
	l.bases = append(l.bases, base)
	l.generations[base] = generation
}

func fresh(c *Client, a Response, l *LoadGenerator) string {
	if len(a.Keys) > 0 {
		return a.Keys[0]
	}
	if keys := c.Keys(l.target(), "1"); len(keys) > 0 {
		return keys[0]
	}
	return ""
}

func (l *LoadGenerator) settle(id string, v verdict.Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v == verdict.Ran {
		l.ran = append(l.ran, id)
	} else {
		l.notRun = append(l.notRun, id)
	}
}

// do sends one request and checks that the answer belongs to it.
func (l *LoadGenerator) do(c *Client, address, kind, method, path, key, id string) Response {
	start := time.Now()
	a := c.Do(address, method, path, key, id)
	l.record(kind, a, time.Since(start))
	if a.Err == nil && a.Verdict == verdict.Ran && a.Status == 200 && a.Body != "ok "+path+" "+id+"\n" {
		l.mu.Lock()
		l.wrong++
		l.mu.Unlock()
	}
	return a
}

func (l *LoadGenerator) pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// NoAnswers returns how many exchanges ended without an answer so far.
func (l *LoadGenerator) NoResponses() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed
}

// Result is what the callers saw, compared with what ran.
type Result struct {
	Verdicts      map[string]int64 // by kind and verdict
	Reasons       map[string]int64 // by kind, verdict and reason
	Orders        int64            // sent, each counted once
	FinalVerdicts map[verdict.Verdict]int64
	Ran           int64         // orders that ran on a backend server
	Duplicated    int64         // orders that ran more than once, under whichever key
	FalseNotRun   int64         // keys said not to have run, whose order ran
	FalseRan      int64         // keys said to have run, whose order did not
	Mismatched    int64         // answers that belong to another request
	NoResponse    int64         // exchanges without an answer
	P50, P99      time.Duration // added to the time in the backend server
}

// Result compares. Call it when no request is in flight any more.
func (l *LoadGenerator) Result() Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Result{
		Verdicts: l.verdicts, Reasons: l.reasons, Orders: l.sent, FinalVerdicts: l.finals, Mismatched: l.wrong, NoResponse: l.failed,
	}
	for _, base := range l.bases {
		var runs int64
		for g := range l.generations[base] {
			runs += l.Fleet.Orders.Count(fmt.Sprintf("%s.%d", base, g+1))
		}
		if runs > 0 {
			r.Ran++
		}
		if runs > 1 {
			r.Duplicated++
		}
	}
	for _, id := range l.notRun {
		if l.Fleet.Orders.Count(id) > 0 {
			r.FalseNotRun++
		}
	}
	for _, id := range l.ran {
		if l.Fleet.Orders.Count(id) == 0 {
			r.FalseRan++
		}
	}
	slices.Sort(l.added)
	r.P50, r.P99 = Quantile(l.added, 0.5), Quantile(l.added, 0.99)
	return r
}

// Quantile returns the q-quantile of sorted values.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Sum adds up the entries whose name starts with prefix.
func SumByPrefix(m map[string]int64, prefix string) (n int64) {
	for k, v := range m {
		if strings.HasPrefix(k, prefix) {
			n += v
		}
	}
	return n
}
