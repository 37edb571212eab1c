// Package accountloads owns this host's view of how much each client account sends. A host
// sees only a few requests a second, so the hosts of a data centre tell each other in their
// heartbeats how many requests of which accounts they got. Filters report requests and read
// which accounts send many times their usual load.
package accountloads

import (
	"expvar"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/accountload"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/wire"
)

const (
	// queueLength bounds the requests between two heartbeats; further ones are dropped and
	// counted.
	queueLength = 256
	// maxPending bounds the accounts whose counts wait for a heartbeat with room.
	maxPending = 256
	// maxCountsPerHeartbeat bounds the counts in one heartbeat. A host that gets three
	// requests a second sends one in most heartbeats.
	maxCountsPerHeartbeat = 16
	// judgeInterval is the time between two judgements. A host that measures sends some
	// thirty heartbeats a second.
	judgeInterval = 200 * time.Millisecond
	// maxHotPerHeartbeat bounds the hot accounts in one heartbeat. They take turns.
	maxHotPerHeartbeat = 4
	// maxCount bounds the count of one account that is believed, since a count is not more
	// than a host can serve between two heartbeats.
	maxCount = 1000
	// countBytes is the size of an encoded count. A heartbeat gets none that would exceed
	// wire.MaxHeartbeat, taking its other parts at their largest.
	countBytes, readingBytes, outcomeBytes, crashBytes, otherBytes = 11, 32, 16, 90, 320
)

// Config holds the dependencies of a Controller.
type Config struct {
	DataCentre string // of this host
	Counters   *metrics.Counters
}

// Controller implements mesh.HeartbeatHandler. Without accounts in the configuration it gets
// no requests, sends nothing and holds nothing.
type Controller struct {
	cfg      Config
	requests chan uint32                        // hashes of the accounts of this host's requests
	hot      atomic.Pointer[map[uint32]float64] // immutable

	mu      sync.Mutex // guards what follows; not taken on the path of a request
	table   accountload.Table
	pending map[uint32]int // counts that are not sent yet
	judged  clock.Time     // when the accounts were judged last

	dropped, hotGauge, known *expvar.Int
}

// New returns a controller that has seen no requests.
func New(cfg Config) *Controller {
	c := &Controller{
		cfg: cfg, requests: make(chan uint32, queueLength), pending: map[uint32]int{},
		dropped: cfg.Counters.Int("accountloads.dropped"), hotGauge: cfg.Counters.Int("accountloads.hot"),
		known: cfg.Counters.Int("accountloads.known"),
	}
	c.hot.Store(&map[uint32]float64{})
	return c
}

// Observe records a request of an account. It does not block.
func (c *Controller) Observe(account string) {
	select {
	case c.requests <- wire.ServerHash(account):
	default:
		c.dropped.Add(1)
	}
}

// Heat returns the load of an account as a multiple of its usual load, or 0 if that is not
// high or not known.
func (c *Controller) Heat(account string) float64 {
	hot := *c.hot.Load()
	if len(hot) == 0 {
		return 0
	}
	return hot[wire.ServerHash(account)]
}

// AddToHeartbeat implements mesh.HeartbeatHandler. It adds the counts of this host's requests
// since the previous heartbeat.
func (c *Controller) AddToHeartbeat(now clock.Time, b *wire.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takeRequests(now)
	if !b.Hello { // a hello goes to hosts that may be gone, and to other data centres
		room := (wire.MaxHeartbeat - otherBytes - readingBytes*len(b.Readings) - outcomeBytes*len(b.Outcomes) - crashBytes*len(b.Crashes)) / countBytes
		for account, n := range c.pending {
			if len(b.Accounts) >= min(room, maxCountsPerHeartbeat) {
				break
			}
			b.Accounts = append(b.Accounts, wire.AccountCount{Account: account, Requests: uint16(min(n, maxCount))})
			delete(c.pending, account)
		}
		c.addHot(b, room-len(b.Accounts))
	}
	if now.Sub(c.judged) >= judgeInterval {
		c.judge(now)
	}
}

// addHot adds some of the accounts that this host judges to be hot, for hosts that are too
// young to judge. The order of a map makes them take turns.
func (c *Controller) addHot(b *wire.Heartbeat, room int) {
	if !c.table.Judges() {
		return
	}
	for account, heat := range *c.hot.Load() {
		if len(b.HotAccounts) >= min(room, maxHotPerHeartbeat) {
			return
		}
		b.HotAccounts = append(b.HotAccounts, wire.HotAccount{Account: account, Heat: uint16(min(10*heat, math.MaxUint16))})
	}
}

// judge publishes the accounts that send many times their usual load.
func (c *Controller) judge(now clock.Time) {
	c.judged = now
	hot := c.table.Hot(now)
	c.known.Set(int64(c.table.Len()))
	if len(hot) == 0 && len(*c.hot.Load()) == 0 {
		return
	}
	c.hot.Store(&hot)
	c.hotGauge.Set(int64(len(hot)))
}

// takeRequests moves this host's requests to the table and the counts to be sent.
func (c *Controller) takeRequests(now clock.Time) {
	for range len(c.requests) {
		account := <-c.requests
		c.table.Add(now, account, 1)
		if _, ok := c.pending[account]; ok || len(c.pending) < maxPending {
			c.pending[account]++
		} else {
			c.dropped.Add(1)
		}
	}
}

// AddToDigest implements mesh.HeartbeatHandler. What is usual is learned in each data centre.
func (c *Controller) AddToDigest(clock.Time, *wire.Heartbeat) {}

// Received implements mesh.HeartbeatHandler.
func (c *Controller) Received(now clock.Time, b *wire.Heartbeat) {
	if len(b.Accounts)+len(b.HotAccounts) == 0 || b.From.DataCentre != c.cfg.DataCentre {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, count := range b.Accounts[:min(len(b.Accounts), maxCountsPerHeartbeat)] {
		c.table.Add(now, count.Account, min(int(count.Requests), maxCount))
	}
	for _, h := range b.HotAccounts[:min(len(b.HotAccounts), maxHotPerHeartbeat)] {
		c.table.Report(now, h.Account, float64(h.Heat)/10)
	}
}
