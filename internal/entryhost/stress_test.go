package entryhost_test

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/localfleet"
)

// ordersEnv is the environment variable that sets the number of orders.
const ordersEnv = "ANVILFRONT_STRESS_ORDERS"

// TestOrdersUnderFaults guards against an order that runs twice, a false "not run"
// or "ran", and a response that reaches another caller. It uses real sockets, while
// entry hosts are killed and replaced, backend servers shed load, crash and
// truncate responses, and callers drop connections and resend to random hosts.
func TestOrdersUnderFaults(t *testing.T) {
	is := is.New(t)
	orders, workers := 2000, 40
	if v, err := strconv.Atoi(os.Getenv(ordersEnv)); err == nil {
		orders = v
	} else if testing.Short() {
		orders = 400
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second+time.Duration(orders)*time.Millisecond)
	defer cancel()
	f, err := localfleet.Start(ctx, localfleet.Config{
		HostCount: 6, ServiceTime: 2 * time.Millisecond, ColdSlots: 3, ExtraOrderConfig: "retries = 2\nretry_percent = 20.0", ExtraLookupConfig: "retries = 2\nretry_percent = 20.0",
	})
	is.NoErr(err)
	defer f.Close()
	for i, s := range f.Servers {
		behaviour := fake.Behaviour{ResetShare: 0.002, AbortShare: 0.002, ExcessBytesShare: 0.002, LateShare: 0.002, LateDelay: 100 * time.Millisecond}
		if i%4 == 0 {
			behaviour.ShedShare = 0.1
		}
		s.SetBehaviour(behaviour)
	}
	l := localfleet.NewLoadGenerator(f)
	l.AbortShare = 0.02
	faults, stopFaults := context.WithCancel(ctx)
	var injector, callers sync.WaitGroup
	injector.Go(func() { injectFaults(faults, t, f) })
	for range workers {
		callers.Go(func() { l.Orders(ctx, orders/workers) })
	}
	for range workers / 4 {
		callers.Go(func() { l.Lookups(ctx, orders/workers) })
	}
	callers.Wait()
	stopFaults()
	injector.Wait()
	r := l.Result()
	logResult(t, r)
	is.True(r.Orders >= int64(orders/workers*workers)/2) // enough orders were sent in time for a valid result
	is.Equal(r.Duplicated, int64(0))
	is.Equal(r.FalseNotRun, int64(0))
	is.Equal(r.FalseRan, int64(0))
	is.Equal(r.Mismatched, int64(0))
}

// injectFaults kills an entry host, restarts a backend server and stops an entry
// host in turn, each 700 ms after the last. It starts the entry hosts again.
func injectFaults(ctx context.Context, t *testing.T, f *localfleet.Fleet) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewPCG(seed, 1))
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(700 * time.Millisecond):
		}
		i := r.IntN(f.HostCount)
		switch round % 3 {
		case 0:
			f.Host(i).Kill()
		case 1:
			if err := f.Servers[r.IntN(len(f.Servers))].Restart(); err != nil {
				t.Error(err)
			}
			continue
		case 2:
			_ = f.Host(i).Stop() // a stop that exceeds stop_bound is visible in the logs
		}
		if err := f.StartHost(i); err != nil {
			t.Error(err)
		}
	}
}

func logResult(t *testing.T, r localfleet.Result) {
	t.Logf("%d orders, %d ran, %d ran twice, final verdicts %v, %d exchanges without response", r.Orders, r.Ran, r.Duplicated, r.FinalVerdicts, r.NoResponse)
	var names []string
	for name := range r.Reasons {
		names = append(names, name)
	}
	slices.Sort(names)
	responses := localfleet.SumByPrefix(r.Verdicts, "order ")
	for _, name := range names {
		t.Logf("%-45s %6d  %5.2f%% of order responses", name, r.Reasons[name], 100*float64(r.Reasons[name])/float64(responses))
	}
}
