package fake

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/backend"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// TestBehaviour guards against faults that other tests rely on and that the fake
// does not produce, and against orders that it counts wrongly.
func TestBehaviour(t *testing.T) {
	zero := 0
	cases := []struct {
		name          string
		faults        Behaviour
		responseState verdict.ResponseState
		status        int
		ran           int64
	}{
		{"correct", Behaviour{}, verdict.ResponseComplete, 200, 1},
		{"draining", Behaviour{Draining: true}, verdict.ResponseShed, 503, 0},
		{"shed", Behaviour{ShedShare: 1}, verdict.ResponseShed, 503, 0},
		{"fail", Behaviour{FailShare: 1}, verdict.ResponseComplete, 500, 0},
		{"reset", Behaviour{ResetShare: 1}, verdict.ResponseNone, 0, 1},
		{"truncated", Behaviour{AbortShare: 1}, verdict.ResponseTruncated, 0, 1},
		{"late", Behaviour{LateShare: 1, LateDelay: time.Minute}, verdict.ResponseNone, 0, 1},
		{"wrong load", Behaviour{ReportLoad: &zero}, verdict.ResponseComplete, 200, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := &Backend{Slots: 2, ServiceTime: time.Millisecond, Instance: "a", Orders: &Orders{}}
			is.NoErr(b.Start())
			defer func() { _ = b.Stop() }()
			b.SetBehaviour(c.faults)
			res := backend.New(backend.Options{}).Do(context.Background(), &filter.Attempt{
				Address: b.Address(), Timeout: 200 * time.Millisecond,
				Request: &filter.Request{Method: "POST", Host: "h", Path: "/o", Headers: []filter.Header{{Name: HeaderOrderID, Value: "7"}}},
			})
			is.Equal(res.Facts.ResponseState, c.responseState)
			if res.Response != nil {
				is.Equal(res.Response.Status, c.status)
				is.Equal(res.Response.Get(filter.HeaderInstance), "a")
			}
			is.Equal(b.Orders.Count("7"), c.ran)
		})
	}
}

// TestRestart guards against a restarted fake that keeps its instance name or its warm
// state, or that changes its address.
func TestRestart(t *testing.T) {
	is := is.New(t)
	b := &Backend{Slots: 2, Instance: "a", ColdSlots: 1, WarmAfter: 1}
	is.NoErr(b.Start())
	address := b.Address()
	is.NoErr(b.Restart())
	defer func() { _ = b.Stop() }()
	is.Equal(b.Address(), address)
	is.Equal(b.instanceName(), "a-2")
	is.Equal(b.currentCapacity(), int64(1))
}
