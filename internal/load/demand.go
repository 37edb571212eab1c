package load

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

const (
	// demandDecayTime is the time after which 1/e of an earlier rate is left.
	demandDecayTime = time.Second
	// probesPerRequest bounds the probes of a service relative to its requests, beside the
	// queries before a request is placed.
	probesPerRequest = 0.5
	// MaxProbeGap is the longest time between two probes of a server. Only probes show
	// that a server has become cold.
	MaxProbeGap = 250 * time.Millisecond
	// busyUtilization is the share of the slots of a service above which each placement
	// needs fresh readings: hosts then choose among few free slots.
	busyUtilization = 0.5
	// startProbeDelay is how long a new process that knows no other host of its data centre
	// sends no probes. Hosts that start at the same time know each other by then; each of
	// them would probe all servers until it does.
	startProbeDelay = 300 * time.Millisecond
	// maxServersAlone is the number of servers up to which such a process probes them at
	// once: it may be the only host, and they cost it little of its processor time.
	maxServersAlone = 16
)

// ProbesAtStart reports whether a process of the given age sends probes. peers is the
// number of other hosts of its data centre that it knows, servers that of the servers that
// it would probe.
func ProbesAtStart(age time.Duration, peers, servers int) bool {
	return age >= startProbeDelay || peers > 0 || servers <= maxServersAlone
}

// Demand estimates the rate of the requests to one service from their number. Add is safe
// for concurrent use; the other methods are for one goroutine. The zero value stands for a
// high rate, since nothing is known yet.
type Demand struct {
	requests atomic.Int64 // since updatedAt
	// Used by one goroutine only.
	rate      float64 // per second
	known     bool
	updatedAt clock.Time
}

// Add counts requests that ended.
func (d *Demand) Add(n int) { d.requests.Add(int64(n)) }

// Update includes the counted requests in the rate.
func (d *Demand) Update(now clock.Time) {
	elapsed := now.Sub(d.updatedAt)
	switch {
	case d.updatedAt == 0:
		d.updatedAt = now
		return
	case elapsed <= 0, !d.known && elapsed < demandDecayTime:
		return
	}
	rate := float64(d.requests.Swap(0)) / elapsed.Seconds()
	weight := 1.0
	if d.known {
		weight = 1 - math.Exp(-float64(elapsed)/float64(demandDecayTime))
	}
	d.rate += weight * (rate - d.rate)
	d.known, d.updatedAt = true, now
}

// ProbeInterval returns the time between probes of each of the servers that share the
// demand: shortest while it is high or while they are busy, and longer when a probe would
// serve less than 1/probesPerRequest requests. utilization is their mean utilization.
func (d *Demand) ProbeInterval(servers int, utilization float64, shortest time.Duration) time.Duration {
	if !d.known || utilization >= busyUtilization {
		return shortest
	}
	probesPerSecond := probesPerRequest * d.rate / float64(max(servers, 1))
	if probesPerSecond*MaxProbeGap.Seconds() <= 1 {
		return max(shortest, MaxProbeGap)
	}
	return max(shortest, time.Duration(float64(time.Second)/probesPerSecond))
}

// ProbeDue reports whether a server is due for a probe. A reading from a response counts
// like one from a probe, but not for longer than MaxProbeGap.
func ProbeDue(now, probedAt clock.Time, newest *Reading, interval time.Duration) bool {
	return newest == nil || now.Sub(newest.At) >= interval || now.Sub(probedAt) >= max(interval, MaxProbeGap)
}
