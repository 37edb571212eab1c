package accountloads

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/wire"
)

func newController() *Controller {
	return New(Config{DataCentre: "z", Counters: metrics.New()})
}

func heartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{From: wire.Peer{Address: "10.0.0.1:7000", DataCentre: "z"}}
}

// TestHeatAcrossHosts guards against an account whose load no host alone can tell from its
// usual one, and that the hosts together do not find; and against counts of another data
// centre that change what is usual here.
func TestHeatAcrossHosts(t *testing.T) {
	is := is.New(t)
	hosts := make([]*Controller, 30)
	for i := range hosts {
		hosts[i] = newController()
	}
	const seconds = 40
	for s := range seconds * 5 { // heartbeats
		now := clock.Time(time.Second).Add(time.Duration(s) * 200 * time.Millisecond)
		for k := range 18 { // three requests a second for each host, 2.4 for each account
			hosts[(7*s+5*k)%len(hosts)].Observe(fmt.Sprint("a", (18*s+k)%37))
		}
		for k := range 3 {
			if s > 30*5 { // seven times as many of one account: 0.6 a second for each host
				hosts[(11*s+13*k)%len(hosts)].Observe("a0")
			}
		}
		for i, h := range hosts {
			b := heartbeat()
			h.AddToHeartbeat(now, b)
			raw, err := wire.EncodeHeartbeat(b)
			is.NoErr(err)
			b, err = wire.DecodeHeartbeat(raw)
			is.NoErr(err)
			for j, other := range hosts {
				if i != j {
					other.Received(now, b)
				}
			}
			remote := heartbeat()
			remote.From.DataCentre, remote.Accounts = "y", []wire.AccountCount{{Account: wire.ServerHash("a1"), Requests: 500}}
			h.Received(now, remote)
		}
		if s < 30*5 {
			is.Equal(hosts[s%30].Heat("a0"), 0.0)
		}
	}
	young := newController() // started now: what the others report counts
	now := clock.Time(time.Second).Add(seconds * time.Second)
	for _, h := range hosts[:3] {
		h.Observe("a0")
		b := heartbeat()
		h.AddToHeartbeat(now, b)
		is.Equal(len(b.HotAccounts), 1)
		young.Received(now, b)
	}
	b := heartbeat()
	young.AddToHeartbeat(now.Add(time.Millisecond), b)
	is.True(young.Heat("a0") > 3)
	is.Equal(len(b.HotAccounts), 0) // it does not repeat what it has not judged
	young.AddToHeartbeat(now.Add(5*time.Second), b)
	is.Equal(young.Heat("a0"), 0.0) // reports expire
	for _, h := range hosts {
		is.True(h.Heat("a0") > 3)
		is.Equal(h.Heat("a1"), 0.0)
		is.Equal(h.Heat("unknown"), 0.0)
	}
}

// TestMessagesAreBounded guards against a heartbeat that does not fit into a datagram, counts
// that are lost because they wait for the next one, counts in a hello, and a queue that grows.
func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	c := newController()
	now := clock.Time(time.Second)
	for i := range 10 * queueLength {
		c.Observe(fmt.Sprint("a", i%100))
	}
	is.Equal(c.dropped.Value(), int64(9*queueLength))
	hello := heartbeat()
	hello.Hello = true
	c.AddToHeartbeat(now, hello)
	is.Equal(len(hello.Accounts), 0)
	sum := 0
	for range 7 {
		b := heartbeat()
		c.AddToHeartbeat(now, b)
		is.True(len(b.Accounts) <= maxCountsPerHeartbeat)
		for _, n := range b.Accounts {
			sum += int(n.Requests)
		}
	}
	is.Equal(sum, queueLength)

	for readings := range 60 {
		for i := range 100 {
			c.Observe(fmt.Sprint("b", i))
		}
		b := heartbeat()
		for i := range readings {
			b.Readings = append(b.Readings, wire.Reading{Server: uint32(1<<31 + i), Running: 999, Waiting: 999, Slots: 999, Speed: 999, AgeMillis: 99999})
		}
		before := len(b.Accounts)
		raw, err := wire.EncodeHeartbeat(b)
		is.NoErr(err)
		c.AddToHeartbeat(now, b)
		full, err := wire.EncodeHeartbeat(b)
		is.NoErr(err)
		is.True(len(full) <= wire.MaxHeartbeat || len(raw) > wire.MaxHeartbeat)
		is.True(len(b.Accounts) == before || len(full)-len(raw) <= 3+countBytes*len(b.Accounts))
	}
	c.Received(now, &wire.Heartbeat{From: wire.Peer{DataCentre: "z"}, Accounts: make([]wire.AccountCount, 100_000)}) // no crash
}

// TestConcurrentUse guards against a data race between requests, heartbeats and readers.
func TestConcurrentUse(t *testing.T) {
	c := newController()
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 500 {
				now := clock.Time(time.Second).Add(time.Duration(i) * 50 * time.Millisecond)
				c.Observe(fmt.Sprint(i % 7))
				c.Heat("3")
				b := heartbeat()
				if g == 0 {
					c.AddToHeartbeat(now, b)
				} else {
					b.Accounts = []wire.AccountCount{{Account: uint32(i), Requests: 1}}
					c.Received(now, b)
				}
			}
		})
	}
	wg.Wait()
}
