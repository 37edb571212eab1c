// Command latency measures the latency, CPU time and allocations that one entry host
// adds to a request: the same requests go directly to a fake backend server and through
// an entry host, alternately, in one process on the loopback address.
package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/anvilfront/anvilfront/internal/localfleet"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

type options struct {
	Rate     int           `long:"rate" default:"2000" description:"calls per second of the paced runs"`
	Duration time.Duration `long:"duration" default:"1s" description:"length of each run; short runs in turn meet the same disturbances"`
	Rounds   int           `long:"rounds" default:"10" description:"rounds of direct and through, in turn"`
	Service  time.Duration `long:"service-time" default:"1ms" description:"median time in the backend server"`
	Workers  int           `long:"workers" default:"32" description:"connections"`
	Order    bool          `long:"orders" description:"send orders with keys instead of lookups"`
}

// run holds the measurements of one run, or the sums over several runs.
type run struct {
	latencies []time.Duration // measured from the time when the call was due
	failed    int64
	causes    map[string]int64 // number of failed calls by cause
	cpu       time.Duration
	wall      time.Duration
	allocs    uint64
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	f, err := localfleet.Start(ctx, localfleet.Config{
		DataCentreCount: 1, HostCount: 1, ServerCount: 8, Slots: 64, ServiceTime: o.Service,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "latency:", err)
		os.Exit(1)
	}
	defer f.Close()
	fmt.Printf("%s, GOMAXPROCS %d, %d servers, service time %v\n", runtime.Version(), runtime.GOMAXPROCS(0), len(f.Servers), o.Service)
	m := &meter{o: &o, fleet: f, clients: make([]localfleet.Client, o.Workers), keys: make([][]string, o.Workers)}
	m.measure(2*time.Second, o.Rate, false) // warm-up: connections are opened and limits adapt
	m.measure(2*time.Second, o.Rate, true)
	fmt.Println("load average", loadAverage())
	rates := []int{o.Rate, 0}
	if o.Order {
		rates = rates[:1] // the ledger holds 16,384 orders; at saturation it is full within seconds
	}
	for _, rate := range rates {
		var direct, through run
		for range o.Rounds {
			direct.add(m.measure(o.Duration, rate, false))
			through.add(m.measure(o.Duration, rate, true))
		}
		m.printTable(rate, &direct, &through)
	}
}

type meter struct {
	o         *options
	fleet     *localfleet.Fleet
	nextOrder atomic.Int64
	clients   []localfleet.Client // indexed by worker; their connections stay open between runs
	keys      [][]string          // unused order keys, indexed by worker
}

// measure makes calls for d, paced at rate calls per second. With rate 0, each worker
// makes its calls back to back.
func (m *meter) measure(d time.Duration, rate int, through bool) *run {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu, start := cpuTime(), time.Now()
	results := make([]run, m.o.Workers)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { m.worker(&results[i], start, d, rate, i, through) })
	}
	wg.Wait()
	out := &run{cpu: cpuTime() - cpu, wall: time.Since(start)}
	runtime.ReadMemStats(&after)
	out.allocs = after.Mallocs - before.Mallocs
	for i := range results {
		out.latencies = append(out.latencies, results[i].latencies...)
		out.failed += results[i].failed
		out.addCauses(&results[i])
	}
	return out
}

func (m *meter) worker(r *run, start time.Time, d time.Duration, rate, i int, through bool) {
	c := &m.clients[i]
	address := m.fleet.Host(0).Address()
	if !through {
		address = m.fleet.Servers[i%len(m.fleet.Servers)].Address()
	}
	for n := 0; ; n++ {
		due := time.Now()
		if rate > 0 {
			due = start.Add(time.Duration(float64(time.Second) * float64(n*m.o.Workers+i) / float64(rate)))
			time.Sleep(time.Until(due))
		}
		if due.Sub(start) > d {
			return
		}
		method, path, key, id := "GET", "/lot/1", "", ""
		if m.o.Order {
			method, path, id = "POST", "/orders/new", fmt.Sprint(m.nextOrder.Add(1))
			if through {
				if len(m.keys[i]) == 0 {
					m.keys[i] = c.Keys(address, "64")
					due = time.Now() // the time to fetch keys is not part of the order's latency
				}
				if len(m.keys[i]) == 0 {
					r.fail("no order key")
					continue
				}
				key, m.keys[i] = m.keys[i][0], m.keys[i][1:]
			}
		}
		resp := c.Do(address, method, path, key, id)
		r.latencies = append(r.latencies, time.Since(due))
		if resp.Err != nil || resp.Status != 200 || through && resp.Verdict != verdict.Ran {
			r.fail(cmp.Or(resp.Reason, fmt.Sprint(resp.Err)))
		}
	}
}

func (r *run) fail(cause string) {
	r.failed++
	if r.causes == nil {
		r.causes = map[string]int64{}
	}
	r.causes[cause]++
}

func (r *run) add(v *run) {
	r.latencies = append(r.latencies, v.latencies...)
	r.failed += v.failed
	r.addCauses(v)
	r.cpu += v.cpu
	r.wall += v.wall
	r.allocs += v.allocs
}

func (r *run) addCauses(v *run) {
	for cause, n := range v.causes {
		if r.causes == nil {
			r.causes = map[string]int64{}
		}
		r.causes[cause] += n
	}
}

func (m *meter) printTable(rate int, direct, through *run) {
	title := "At saturation"
	if rate > 0 {
		title = fmt.Sprintf("At %d calls a second", rate)
	}
	fmt.Printf("\n%s, %d workers\n%-10s %9s %9s %9s %9s %12s %12s %8s\n", title, m.o.Workers, "", "p50", "p99", "p99.9", "calls/s", "cpu us/call", "allocs/call", "failed")
	row := func(name string, r *run) (p [3]time.Duration, cpu, allocs float64) {
		slices.Sort(r.latencies)
		n := float64(len(r.latencies))
		for i, q := range []float64{0.5, 0.99, 0.999} {
			p[i] = localfleet.Quantile(r.latencies, q)
		}
		cpu, allocs = float64(r.cpu.Microseconds())/n, float64(r.allocs)/n
		fmt.Printf("%-10s %9v %9v %9v %9.0f %12.1f %12.1f %8d\n", name, p[0].Round(time.Microsecond), p[1].Round(time.Microsecond),
			p[2].Round(time.Microsecond), n/r.wall.Seconds(), cpu, allocs, r.failed)
		return p, cpu, allocs
	}
	d, dCPU, dAllocs := row("direct", direct)
	t, tCPU, tAllocs := row("through", through)
	fmt.Printf("%-10s %9v %9v %9v %9s %12.1f %12.1f\n", "added", (t[0] - d[0]).Round(time.Microsecond),
		(t[1] - d[1]).Round(time.Microsecond), (t[2] - d[2]).Round(time.Microsecond), "", tCPU-dCPU, tAllocs-dAllocs)
	if through.failed > 0 {
		fmt.Println("failed calls by cause:", through.causes)
	}
	fmt.Printf("calls a second per core of the entry host: %.0f\n", 1e6/(tCPU-dCPU))
}

// loadAverage returns the load average of the machine, which other processes may share.
func loadAverage() string {
	raw, _ := os.ReadFile("/proc/loadavg")
	return strings.TrimSpace(string(raw))
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
