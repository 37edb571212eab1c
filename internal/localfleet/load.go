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

// maxSends limits how often a caller sends one order.
const maxSends = 8

// LoadGenerator runs callers that follow docs/callers.md and records the responses.
type LoadGenerator struct {
	Fleet      *Fleet
	Interval   time.Duration   // pause between two requests of a caller; 0: none
	AbortShare float64         // share of orders whose response the caller does not wait for
	Targets    func() []string // addresses of the entry hosts to send to; default Fleet.Addresses

	lastNumber atomic.Int64 // number of the last order or lookup

	mu             sync.Mutex
	verdicts       map[string]int64 // responses by kind and verdict, such as "order ran"
	reasons        map[string]int64 // by kind, verdict and reason; also counts exchanges without a response
	addedLatencies []time.Duration
	finalVerdicts  map[verdict.Verdict]int64 // number of orders by their last verdict
	reportedNotRun []string                  // ids with the verdict "not run"
	reportedRan    []string                  // ids with the verdict "ran" and status 200
	orderCount     int64                     // each order counted once
	baseIDs        []string                  // ids of orders, without the number of the key
	keyCounts      map[string]int            // keys used, by base id
	mismatched     int64                     // responses that belong to another request
	noResponses    int64                     // exchanges without a response
}

// NewLoadGenerator returns a LoadGenerator that sends to the fleet.
func NewLoadGenerator(f *Fleet) *LoadGenerator {
	return &LoadGenerator{
		Fleet: f, Targets: f.Addresses, verdicts: map[string]int64{}, reasons: map[string]int64{},
		finalVerdicts: map[verdict.Verdict]int64{}, keyCounts: map[string]int{},
	}
}

func (l *LoadGenerator) record(kind string, resp Response, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if resp.Err != nil {
		l.noResponses++
		l.reasons[kind+" no response"]++
		return
	}
	l.verdicts[kind+" "+resp.Verdict.String()]++
	if resp.Reason != verdict.ReasonNone.String() {
		l.reasons[kind+" "+resp.Verdict.String()+" "+resp.Reason]++
	}
	if resp.BackendTime > 0 {
		l.addedLatencies = append(l.addedLatencies, elapsed-resp.BackendTime)
	}
}

func (l *LoadGenerator) randomTarget() string {
	if t := l.Targets(); len(t) > 0 {
		return t[rand.IntN(len(t))]
	}
	return ""
}

// Lookups sends lookups until ctx is cancelled or n are sent; 0 means no limit.
func (l *LoadGenerator) Lookups(ctx context.Context, n int) {
	c := &Client{}
	defer c.Close()
	for i := 0; (n == 0 || i < n) && l.sleep(ctx, l.Interval); i++ {
		path := fmt.Sprintf("/lot/%d", l.lastNumber.Add(1))
		l.send(c, l.randomTarget(), "lookup", "GET", path, "", "")
	}
}

// Orders sends orders until ctx is cancelled or n are sent; 0 means no limit. Each
// order is sent again as far as its verdicts allow.
func (l *LoadGenerator) Orders(ctx context.Context, n int) {
	c := &Client{}
	defer c.Close()
	var keys []string
	for i := 0; (n == 0 || i < n) && l.sleep(ctx, l.Interval); i++ {
		if len(keys) == 0 {
			if keys = c.Keys(l.randomTarget(), "8"); len(keys) == 0 {
				l.sleep(ctx, 5*time.Millisecond)
				continue
			}
		}
		l.sendOrder(ctx, c, keys[0])
		keys = keys[1:]
	}
}

// sendOrder sends one order until its outcome is known or the sends are used up.
// The id identifies both the order and the key, so that Result finds a run under a
// key whose verdict was "not run".
func (l *LoadGenerator) sendOrder(ctx context.Context, c *Client, key string) {
	baseID := fmt.Sprintf("o%d", l.lastNumber.Add(1))
	keyCount, last := 1, verdict.MayHaveRun
	for range maxSends {
		id := fmt.Sprintf("%s.%d", baseID, keyCount)
		c.Timeout = 10 * time.Second
		if l.AbortShare > 0 && rand.Float64() < l.AbortShare {
			c.Timeout = time.Duration(rand.Int64N(int64(2*l.Fleet.ServiceTime + 1)))
		}
		resp := l.send(c, l.randomTarget(), "order", "POST", "/orders/new", key, id)
		last = resp.Verdict
		if resp.Err == nil && (resp.Verdict == verdict.NotRun || resp.Verdict == verdict.Ran && resp.Status == 200) {
			l.recordOutcome(id, resp.Verdict)
		}
		if resp.Err == nil && resp.Verdict == verdict.Ran {
			break
		}
		if resp.Err == nil && resp.Verdict == verdict.NotRun {
			if key = nextKey(c, resp, l); key == "" {
				break
			}
			keyCount++
		}
		if !l.sleep(ctx, time.Duration(5+rand.IntN(20))*time.Millisecond) {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orderCount++
	l.finalVerdicts[last]++
	l.baseIDs = append(l.baseIDs, baseID)
	l.keyCounts[baseID] = keyCount
}

func nextKey(c *Client, resp Response, l *LoadGenerator) string {
	if len(resp.Keys) > 0 {
		return resp.Keys[0]
	}
	if keys := c.Keys(l.randomTarget(), "1"); len(keys) > 0 {
		return keys[0]
	}
	return ""
}

func (l *LoadGenerator) recordOutcome(id string, v verdict.Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v == verdict.Ran {
		l.reportedRan = append(l.reportedRan, id)
	} else {
		l.reportedNotRun = append(l.reportedNotRun, id)
	}
}

// send sends one request and checks that the response belongs to it.
func (l *LoadGenerator) send(c *Client, address, kind, method, path, key, id string) Response {
	start := time.Now()
	resp := c.Do(address, method, path, key, id)
	l.record(kind, resp, time.Since(start))
	if resp.Err == nil && resp.Verdict == verdict.Ran && resp.Status == 200 && resp.Body != "ok "+path+" "+id+"\n" {
		l.mu.Lock()
		l.mismatched++
		l.mu.Unlock()
	}
	return resp
}

func (l *LoadGenerator) sleep(ctx context.Context, d time.Duration) bool {
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

// NoResponses returns how many exchanges have ended without a response so far.
func (l *LoadGenerator) NoResponses() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.noResponses
}

// Result compares the responses that callers received with what ran.
type Result struct {
	Verdicts      map[string]int64 // by kind and verdict
	Reasons       map[string]int64 // by kind, verdict and reason
	Orders        int64            // orders sent, each counted once
	FinalVerdicts map[verdict.Verdict]int64
	Ran           int64         // orders that ran on a backend server
	Duplicated    int64         // orders that ran more than once, under the same or different keys
	FalseNotRun   int64         // verdicts "not run" of orders that ran under the key
	FalseRan      int64         // verdicts "ran" of orders that did not run under the key
	Mismatched    int64         // responses that belong to another request
	NoResponse    int64         // exchanges without a response
	P50, P99      time.Duration // latency added to the time in the backend server
}

// Result returns the comparison. Call it only after all requests have ended.
func (l *LoadGenerator) Result() Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Result{
		Verdicts: l.verdicts, Reasons: l.reasons, Orders: l.orderCount, FinalVerdicts: l.finalVerdicts, Mismatched: l.mismatched, NoResponse: l.noResponses,
	}
	for _, baseID := range l.baseIDs {
		var runs int64
		for g := range l.keyCounts[baseID] {
			runs += l.Fleet.Orders.Count(fmt.Sprintf("%s.%d", baseID, g+1))
		}
		if runs > 0 {
			r.Ran++
		}
		if runs > 1 {
			r.Duplicated++
		}
	}
	for _, id := range l.reportedNotRun {
		if l.Fleet.Orders.Count(id) > 0 {
			r.FalseNotRun++
		}
	}
	for _, id := range l.reportedRan {
		if l.Fleet.Orders.Count(id) == 0 {
			r.FalseRan++
		}
	}
	slices.Sort(l.addedLatencies)
	r.P50, r.P99 = Quantile(l.addedLatencies, 0.5), Quantile(l.addedLatencies, 0.99)
	return r
}

// Quantile returns the q-quantile of sorted values.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// SumByPrefix returns the sum of the entries whose key starts with prefix.
func SumByPrefix(m map[string]int64, prefix string) (n int64) {
	for k, v := range m {
		if strings.HasPrefix(k, prefix) {
			n += v
		}
	}
	return n
}
