package entryhost_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/localfleet"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

func startFleet(t *testing.T, c localfleet.Config) *localfleet.Fleet {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	f, err := localfleet.Start(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// TestPlannedStop guards against a stop that aborts an in-flight request, refuses
// requests during the notice period, reports "not run" for a key of another owner,
// loses order records, or ends before the order records are handed over.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, localfleet.Config{
		DataCentreCount: 1, HostCount: 3, ServerCount: 3, ServiceTime: 600 * time.Millisecond, Notice: 300 * time.Millisecond,
	})
	h, other := f.Host(0), f.Host(1)
	c := &localfleet.Client{}
	defer c.Close()
	keys, otherKeys := c.Keys(h.Address(), "4"), c.Keys(other.Address(), "1")
	is.Equal(len(keys), 4)
	is.Equal(c.Do(h.Address(), "POST", "/orders/a", keys[0], "a").Verdict, verdict.Ran)

	stopped := make(chan error, 1)
	go func() { stopped <- h.Stop() }()
	is.NoErr(localfleet.Wait(context.Background(), func() bool { ready, _ := h.Ready(); return !ready }))
	inFlight := make(chan localfleet.Response, 1)
	go func() { inFlight <- (&localfleet.Client{}).Do(h.Address(), "POST", "/orders/b", keys[1], "b") }()
	is.NoErr(localfleet.Wait(context.Background(), func() bool { return h.Stopping() }))
	resp := c.Do(h.Address(), "GET", "/lot/1", "", "")
	is.Equal(resp.Reason, "stopping")
	is.Equal(resp.Verdict, verdict.NotRun)
	resp = c.Do(h.Address(), "POST", "/orders/c", otherKeys[0], "c")
	is.Equal(resp.Reason, "stopping")
	is.Equal(resp.Verdict, verdict.MayHaveRun) // only the owner of the key may report "not run"
	resp = c.Do(h.Address(), "POST", "/orders/d", keys[2], "d")
	is.Equal(resp.Verdict, verdict.NotRun)
	is.Equal(len(resp.Keys), 1) // a new key replaces the refused one
	is.Equal((<-inFlight).Verdict, verdict.Ran)
	is.NoErr(<-stopped)

	// The successor has taken over the keys of the stopped host.
	is.Equal(c.Do(other.Address(), "POST", "/orders/a", keys[0], "a").Body, "ok /orders/a a\n")
	is.Equal(c.Do(other.Address(), "POST", "/orders/b", keys[1], "b").Body, "ok /orders/b b\n")
	is.Equal(c.Do(other.Address(), "POST", "/orders/d", keys[2], "d").Reason, "key_revoked")
	is.Equal(c.Do(other.Address(), "POST", "/orders/e", keys[3], "e").Verdict, verdict.Ran)
	is.Equal(f.Orders.Count("a")+f.Orders.Count("b")+f.Orders.Count("e"), int64(3))
	is.Equal(f.Orders.Count("c")+f.Orders.Count("d"), int64(0))
}

// TestAbort guards against a stop that neither a second signal nor stop_bound ends.
func TestAbort(t *testing.T) {
	for name, endStop := range map[string]func(*localfleet.Host){
		"second signal": func(h *localfleet.Host) { h.Abort() },
		"bound":         func(*localfleet.Host) {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, localfleet.Config{
				DataCentreCount: 1, HostCount: 1, ServerCount: 1, ServiceTime: time.Minute, Notice: time.Millisecond,
				StopBound: 300 * time.Millisecond, ExtraLookupConfig: "deadline = \"1m\"", ExtraServiceConfig: "run_limit = \"1m\"",
			})
			h := f.Host(0)
			resp := make(chan localfleet.Response, 1)
			go func() { resp <- (&localfleet.Client{Timeout: time.Minute}).Do(h.Address(), "GET", "/lot/1", "", "") }()
			is.NoErr(localfleet.Wait(context.Background(), func() bool { return f.Servers[0].Runs() == 1 }))
			stopped := make(chan error, 1)
			go func() { stopped <- h.Stop() }()
			is.NoErr(localfleet.Wait(context.Background(), h.Stopping))
			endStop(h)
			is.True(<-stopped != nil) // Stop reports that the stop was not graceful
			is.True((<-resp).Err != nil)
		})
	}
}

// TestCallerDisconnect guards against a lookup that keeps its slot after its caller
// disconnected, and against an order that is then cancelled or loses its result.
func TestCallerDisconnect(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, localfleet.Config{DataCentreCount: 1, HostCount: 1, ServerCount: 1, Slots: 1, ServiceTime: 300 * time.Millisecond})
	address, server := f.Host(0).Address(), f.Servers[0]
	short := &localfleet.Client{Timeout: 100 * time.Millisecond}
	is.True(short.Do(address, "GET", "/lot/1", "", "").Err != nil)
	is.NoErr(localfleet.Wait(context.Background(), func() bool { return server.Cancelled() == 1 }))

	c := &localfleet.Client{}
	defer c.Close()
	key := c.Keys(address, "1")[0]
	time.Sleep(100 * time.Millisecond) // the slot stays in use for 20 ms after a cancellation
	is.True(short.Do(address, "POST", "/orders/a", key, "a").Err != nil)
	is.Equal(c.Do(address, "POST", "/orders/a", key, "a").Verdict, verdict.Ran)
	is.Equal(server.Cancelled(), int64(1))
	is.Equal(f.Orders.Count("a"), int64(1))
}

// TestColdFleet guards against more in-flight requests than cold servers can handle
// while all entry hosts and all backend servers have just started.
func TestColdFleet(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, localfleet.Config{HostCount: 6, ServerCount: 12, ColdSlots: 2})
	l := localfleet.NewLoadGenerator(f)
	l.Interval = 2 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	for range 24 {
		callers.Go(func() { l.Lookups(ctx, 0) })
	}
	callers.Wait()
	for _, s := range f.Servers {
		is.Equal(s.ColdOverloads(), int64(0))
	}
}
