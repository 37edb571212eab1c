// Command retryload measures the load that retries add if a third of the backend
// servers shed every request: through an entry host with its retry budget, through one
// whose budget does not limit retries, and for callers that choose a backend server at
// random and retry three times.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/localfleet"
)

type options struct {
	Rate     int           `long:"rate" default:"1500" description:"requests per second"`
	Duration time.Duration `long:"duration" default:"5s" description:"length of each run"`
}

const (
	servers = 9
	workers = 64
)

// counters holds the counts of one run.
type counters struct{ requests, served, attempts atomic.Int64 }

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	fmt.Printf("%d servers, %d of them shed every request, %d requests a second for %v\n\n", servers, servers/3, o.Rate, o.Duration)
	fmt.Printf("%-40s %10s %10s %10s %12s\n", "", "requests", "served", "attempts", "per request")
	for _, c := range []struct{ name, route string }{
		{"entry host, 10% budget, 2 retries", "retries = 2\nretry_percent = 10.0"},
		{"entry host, no bound, 3 retries", "retries = 3\nretry_percent = 100.0"},
		{"callers, random server, 3 retries", ""},
	} {
		t, err := run(&o, c.route)
		if err != nil {
			fmt.Fprintln(os.Stderr, "retryload:", err)
			os.Exit(1)
		}
		n := float64(t.requests.Load())
		fmt.Printf("%-40s %10.0f %9.2f%% %10d %12.3f\n", c.name, n, 100*float64(t.served.Load())/n, t.attempts.Load(), float64(t.attempts.Load())/n)
	}
}

func run(o *options, route string) (*counters, error) {
	ctx, cancel := context.WithTimeout(context.Background(), o.Duration+30*time.Second)
	defer cancel()
	f, err := localfleet.Start(ctx, localfleet.Config{
		DataCentreCount: 1, HostCount: 1, ServerCount: servers, Slots: 16, ServiceTime: 2 * time.Millisecond, ExtraLookupConfig: route,
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	send := func(c *localfleet.Client) bool {
		return c.Do(f.Host(0).Address(), "GET", "/lot/1", "", "").Status == 200
	}
	if route == "" {
		send = func(c *localfleet.Client) bool { return retryThreeTimes(c, f) }
	}
	sendLoad(o.Rate, 2*time.Second, &counters{}, send) // limits adapt before the fault starts
	before := attempts(f)
	for i := range servers / 3 {
		f.Servers[i].SetBehaviour(fake.Behaviour{ShedShare: 1})
	}
	t := &counters{}
	sendLoad(o.Rate, o.Duration, t, send)
	t.attempts.Store(attempts(f) - before)
	return t, nil
}

// retryThreeTimes sends one request with up to three retries, the usual policy of a
// caller without a load balancer.
func retryThreeTimes(c *localfleet.Client, f *localfleet.Fleet) bool {
	for range 4 {
		if c.Do(f.Servers[rand.IntN(servers)].Address(), "GET", "/lot/1", "", "").Status == 200 {
			return true
		}
	}
	return false
}

func attempts(f *localfleet.Fleet) (n int64) {
	for _, s := range f.Servers {
		n += s.Runs() + s.Sheds()
	}
	return n
}

func sendLoad(rate int, d time.Duration, t *counters, send func(*localfleet.Client) bool) {
	var wg sync.WaitGroup
	start := time.Now()
	for i := range workers {
		wg.Go(func() {
			c := &localfleet.Client{}
			defer c.Close()
			for n := i; ; n += workers {
				due := start.Add(time.Duration(n) * time.Second / time.Duration(rate))
				time.Sleep(time.Until(due))
				if due.Sub(start) > d {
					return
				}
				t.requests.Add(1)
				if send(c) {
					t.served.Add(1)
				}
			}
		})
	}
	wg.Wait()
}
