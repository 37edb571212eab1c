// Command demo runs a small fleet in one process: fake backend servers, a fake
// platform and six entry hosts in two data centres on the loopback address.
// Callers send lookups and orders while a data centre leaves and returns, a
// backend server leaves, and an entry host is replaced. It ends with a table
// and exits with 1 if an order ran twice or a promise was broken.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/localfleet"
)

type options struct {
	Keep bool `long:"keep" description:"keep the fleet running after the table, for curl"`
	Port int  `long:"port" default:"8080" description:"with --keep, the first entry host listens here and the others on the ports after it"`
	Log  bool `long:"log" description:"write the log of the entry hosts"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	broken, err := run(&o)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	case broken:
		os.Exit(1)
	}
}

func run(o *options) (broken bool, err error) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	c := localfleet.Config{
		HostCount: 6, ServerCount: 12, ColdSlots: 2, Notice: 500 * time.Millisecond,
		ExtraOrderConfig: "retries = 2", ExtraLookupConfig: "retries = 2",
	}
	if o.Keep {
		c.FirstPort = o.Port
	}
	if o.Log {
		if c.Log, err = zap.NewDevelopment(); err != nil {
			return false, err
		}
	}
	starting, ready := context.WithTimeout(ctx, 20*time.Second)
	defer ready()
	fmt.Println("Starting 12 backend servers and 6 entry hosts in 2 data centres.")
	f, err := localfleet.Start(starting, c)
	if err != nil {
		return false, err
	}
	defer f.Close()
	addresses(f)
	d := &demo{fleet: f, load: localfleet.NewLoadGenerator(f), start: time.Now()}
	d.load.Interval = 2 * time.Millisecond
	d.run(ctx)
	broken = d.table()
	if o.Keep && ctx.Err() == nil {
		fmt.Println("\nThe fleet keeps running. Interrupt to end it.")
		addresses(f)
		<-ctx.Done()
	}
	return broken, nil
}

func addresses(f *localfleet.Fleet) {
	for i := range f.HostCount {
		h := f.Host(i)
		fmt.Printf("  %s in %s: callers http://%s  operators http://%s\n", h.Name, h.DataCentreName, h.Address(), h.OperatorAddress())
	}
}

// demo is one run of the scenario and what was observed in it.
type demo struct {
	fleet *localfleet.Fleet
	load  *localfleet.LoadGenerator
	start time.Time

	slowest   time.Duration // until a manifest was in force everywhere
	late      bool          // a manifest was not in force within manifestBound
	reverted  bool          // a revision went back on some host
	outRuns   int64         // requests that started in the data centre more than leaveBound after acceptance
	leftRuns  int64         // the same for the leaving backend server
	stopped   error         // result of the planned stop
	cutByStop int64         // exchanges without an answer
	probes    int64         // load probes within probeTime
	probeTime time.Duration
}

const (
	manifestBound = 3 * time.Second // the promise for a manifest to be in force everywhere
	leaveBound    = 3 * time.Second // the promise for no new work
)

func (d *demo) say(format string, args ...any) {
	fmt.Printf("%6.1fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// run runs the scenario with callers in the background.
func (d *demo) run(ctx context.Context) {
	sending, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for range 24 {
		callers.Go(func() { d.load.Lookups(sending, 0) })
	}
	for range 8 {
		callers.Go(func() { d.load.Orders(sending, 0) })
	}
	callers.Go(func() { d.watchRevisions(sending) })
	before := d.probeCount()
	began := time.Now()
	d.say("Callers send lookups and orders.")
	for _, step := range []func(context.Context){
		wait(3 * time.Second), d.takeOut, d.bringBack, wait(4 * time.Second), d.replace, wait(2 * time.Second),
	} {
		if ctx.Err() == nil {
			step(ctx)
		}
	}
	d.probes, d.probeTime = d.probeCount()-before, time.Since(began)
	stop()
	callers.Wait()
	d.say("Callers stopped.")
}

func wait(t time.Duration) func(context.Context) {
	return func(ctx context.Context) {
		select {
		case <-time.After(t):
		case <-ctx.Done():
		}
	}
}

// inForce waits until the last manifest is in force everywhere.
func (d *demo) inForce(ctx context.Context) {
	start := time.Now()
	bounded, cancel := context.WithTimeout(ctx, manifestBound)
	defer cancel()
	if localfleet.Wait(bounded, d.fleet.Converged) != nil {
		d.late = true
	}
	d.slowest = max(d.slowest, time.Since(start))
}

// takeOut takes the second data centre and one backend server of the first out
// of service, and restarts the servers there, as an operator would.
func (d *demo) takeOut(ctx context.Context) {
	centre := d.fleet.DataCentreName(1)
	d.fleet.SetOutOfService(centre, true)
	d.fleet.SetLeaving(0, true)
	d.inForce(ctx)
	d.say("%s is out of service and %s leaves; in force everywhere.", centre, d.fleet.Servers[0].Instance)
	wait(leaveBound)(ctx)
	out, left := d.runs(1), d.fleet.Servers[0].Runs()
	wait(1500 * time.Millisecond)(ctx)
	d.outRuns, d.leftRuns = d.runs(1)-out, d.fleet.Servers[0].Runs()-left
	for i, s := range d.fleet.Servers {
		if i%d.fleet.DataCentreCount == 1 {
			if err := s.Restart(); err != nil {
				d.say("Restart of %s failed: %v", s.Instance, err)
			}
		}
	}
	d.say("The backend servers of %s were restarted and are cold.", centre)
}

func (d *demo) bringBack(ctx context.Context) {
	d.fleet.SetOutOfService(d.fleet.DataCentreName(1), false)
	d.fleet.SetLeaving(0, false)
	d.inForce(ctx)
	d.say("%s is back in service; in force everywhere.", d.fleet.DataCentreName(1))
}

// replace stops an entry host as planned and starts it anew.
func (d *demo) replace(ctx context.Context) {
	h := d.fleet.Host(0)
	before := d.load.NoResponses()
	d.say("%s is asked to stop.", h.Name)
	d.stopped = h.Stop()
	d.cutByStop = d.load.NoResponses() - before
	d.say("%s has stopped; it is started anew.", h.Name)
	if err := d.fleet.StartHost(0); err != nil {
		d.stopped = err
		return
	}
	bounded, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	_ = localfleet.Wait(bounded, func() bool { ready, _ := d.fleet.Host(0).Ready(); return ready })
	d.say("%s is ready again.", h.Name)
}

// runs returns how many requests ran in a data centre.
func (d *demo) runs(centre int) (n int64) {
	for i, s := range d.fleet.Servers {
		if i%d.fleet.DataCentreCount == centre {
			n += s.Runs()
		}
	}
	return n
}

func (d *demo) probeCount() (n int64) {
	for _, s := range d.fleet.Servers {
		n += s.Probes()
	}
	return n
}

// watchRevisions notes when the manifest of an entry host goes back.
func (d *demo) watchRevisions(ctx context.Context) {
	seen := map[*localfleet.Host]uint64{}
	for ctx.Err() == nil {
		for i := range d.fleet.HostCount {
			h := d.fleet.Host(i)
			if m := h.Store().Load().Manifest; m != nil {
				d.reverted = d.reverted || m.File.Revision < seen[h]
				seen[h] = m.File.Revision
			}
		}
		wait(20 * time.Millisecond)(ctx)
	}
}
