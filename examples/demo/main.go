// Command demo runs a small fleet in one process: fake backend servers, a fake
// platform and six entry hosts in two data centres, on the loopback address. Callers
// send lookups and orders while a data centre is taken out of service and put back, a
// backend server leaves, and an entry host is restarted. It then prints a table, and
// exits with code 1 if an order ran twice or a promise was broken.
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
	startCtx, cancelStart := context.WithTimeout(ctx, 20*time.Second)
	defer cancelStart()
	fmt.Println("Starting 12 backend servers and 6 entry hosts in 2 data centres.")
	f, err := localfleet.Start(startCtx, c)
	if err != nil {
		return false, err
	}
	defer f.Close()
	printAddresses(f)
	d := &demo{fleet: f, load: localfleet.NewLoadGenerator(f), start: time.Now()}
	d.load.Interval = 2 * time.Millisecond
	d.run(ctx)
	broken = d.printTable()
	if o.Keep && ctx.Err() == nil {
		fmt.Println("\nThe fleet keeps running. Press Ctrl-C to stop it.")
		printAddresses(f)
		<-ctx.Done()
	}
	return broken, nil
}

func printAddresses(f *localfleet.Fleet) {
	for i := range f.HostCount {
		h := f.Host(i)
		fmt.Printf("  %s in %s: callers http://%s  operators http://%s\n", h.Name, h.DataCentreName, h.Address(), h.OperatorAddress())
	}
}

// demo is one run of the scenario with its results.
type demo struct {
	fleet *localfleet.Fleet
	load  *localfleet.LoadGenerator
	start time.Time

	slowestManifest  time.Duration // longest time until a manifest was applied on all entry hosts
	lateManifest     bool          // a manifest was not applied on all entry hosts within manifestBound
	reverted         bool          // the revision decreased on some host
	outOfServiceRuns int64         // requests that started in the data centre more than leaveBound after the manifest was accepted
	leavingRuns      int64         // the same for the leaving backend server
	stopErr          error         // result of the planned stop
	noResponseAtStop int64         // exchanges without a response during the planned stop
	probes           int64         // load probes within probeDuration
	probeDuration    time.Duration
}

const (
	manifestBound = 3 * time.Second // promised time until a manifest is applied on all entry hosts
	leaveBound    = 3 * time.Second // promised time until no new requests are sent
)

func (d *demo) logf(format string, args ...any) {
	fmt.Printf("%6.1fs  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// run runs the scenario while callers send requests in the background.
func (d *demo) run(ctx context.Context) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for range 24 {
		callers.Go(func() { d.load.Lookups(loadCtx, 0) })
	}
	for range 8 {
		callers.Go(func() { d.load.Orders(loadCtx, 0) })
	}
	callers.Go(func() { d.watchRevisions(loadCtx) })
	before := d.probeCount()
	probeStart := time.Now()
	d.logf("Callers send lookups and orders.")
	for _, step := range []func(context.Context){
		wait(3 * time.Second), d.takeDataCentreOut, d.restoreDataCentre, wait(4 * time.Second), d.replaceEntryHost, wait(2 * time.Second),
	} {
		if ctx.Err() == nil {
			step(ctx)
		}
	}
	d.probes, d.probeDuration = d.probeCount()-before, time.Since(probeStart)
	stopLoad()
	callers.Wait()
	d.logf("Callers stopped.")
}

func wait(t time.Duration) func(context.Context) {
	return func(ctx context.Context) {
		select {
		case <-time.After(t):
		case <-ctx.Done():
		}
	}
}

// waitApplied waits until the latest manifest is applied on all entry hosts, for at
// most manifestBound.
func (d *demo) waitApplied(ctx context.Context) {
	start := time.Now()
	boundedCtx, cancel := context.WithTimeout(ctx, manifestBound)
	defer cancel()
	if localfleet.Wait(boundedCtx, d.fleet.Converged) != nil {
		d.lateManifest = true
	}
	d.slowestManifest = max(d.slowestManifest, time.Since(start))
}

// takeDataCentreOut takes the second data centre and one backend server of the first
// out of service, and restarts the servers of that data centre, as an operator would.
func (d *demo) takeDataCentreOut(ctx context.Context) {
	dataCentre := d.fleet.DataCentreName(1)
	d.fleet.SetOutOfService(dataCentre, true)
	d.fleet.SetLeaving(0, true)
	d.waitApplied(ctx)
	d.logf("%s is out of service and %s is leaving; in effect on all entry hosts.", dataCentre, d.fleet.Servers[0].Instance)
	wait(leaveBound)(ctx)
	outBefore, leavingBefore := d.runs(1), d.fleet.Servers[0].Runs()
	wait(1500 * time.Millisecond)(ctx)
	d.outOfServiceRuns, d.leavingRuns = d.runs(1)-outBefore, d.fleet.Servers[0].Runs()-leavingBefore
	for i, s := range d.fleet.Servers {
		if i%d.fleet.DataCentreCount == 1 {
			if err := s.Restart(); err != nil {
				d.logf("Restart of %s failed: %v", s.Instance, err)
			}
		}
	}
	d.logf("The backend servers of %s were restarted and are cold.", dataCentre)
}

func (d *demo) restoreDataCentre(ctx context.Context) {
	d.fleet.SetOutOfService(d.fleet.DataCentreName(1), false)
	d.fleet.SetLeaving(0, false)
	d.waitApplied(ctx)
	d.logf("%s is back in service; in effect on all entry hosts.", d.fleet.DataCentreName(1))
}

// replaceEntryHost performs a planned stop of an entry host and starts it again.
func (d *demo) replaceEntryHost(ctx context.Context) {
	h := d.fleet.Host(0)
	before := d.load.NoResponses()
	d.logf("Stopping %s.", h.Name)
	d.stopErr = h.Stop()
	d.noResponseAtStop = d.load.NoResponses() - before
	d.logf("%s has stopped; starting it again.", h.Name)
	if err := d.fleet.StartHost(0); err != nil {
		d.stopErr = err
		return
	}
	boundedCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	_ = localfleet.Wait(boundedCtx, func() bool { ready, _ := d.fleet.Host(0).Ready(); return ready })
	d.logf("%s is ready again.", h.Name)
}

// runs returns the number of requests that ran in a data centre.
func (d *demo) runs(dataCentre int) (n int64) {
	for i, s := range d.fleet.Servers {
		if i%d.fleet.DataCentreCount == dataCentre {
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

// watchRevisions records whether the manifest of an entry host reverts to an older
// revision.
func (d *demo) watchRevisions(ctx context.Context) {
	lastRevision := map[*localfleet.Host]uint64{}
	for ctx.Err() == nil {
		for i := range d.fleet.HostCount {
			h := d.fleet.Host(i)
			if m := h.Store().Load().Manifest; m != nil {
				d.reverted = d.reverted || m.File.Revision < lastRevision[h]
				lastRevision[h] = m.File.Revision
			}
		}
		wait(20 * time.Millisecond)(ctx)
	}
}
