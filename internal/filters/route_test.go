package filters

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"weak"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// TestRunningRequestsReleaseConfiguration guards against requests in flight that each keep
// the configuration with which they began: an order at a silent backend server runs for
// minutes, and a large configuration that changes often took up the memory of the host.
func TestRunningRequestsReleaseConfiguration(t *testing.T) {
	is := is.New(t)
	const changes = 40
	store := state.NewStore(state.Member{Name: "h"})
	var manifests []weak.Pointer[manifest.Manifest]
	var files []weak.Pointer[manifest.File]
	var tables []weak.Pointer[state.Servers]
	publish := func(revision uint64) {
		f := &manifest.File{Revision: revision, Services: []manifest.Service{{Name: "orders"}}}
		for n := range 50 {
			f.Routes = append(f.Routes, manifest.Route{Name: fmt.Sprint("r", n), PathPrefix: fmt.Sprintf("/%d/", n), Service: "orders"})
		}
		m, servers := manifest.Compile(f), &state.Servers{}
		manifests, files, tables = append(manifests, weak.Make(m)), append(files, weak.Make(f)), append(tables, weak.Make(servers))
		store.Update(func(s *state.Snapshot) { s.Manifest, s.Servers = m, servers })
	}
	running, end := make(chan struct{}), make(chan struct{})
	type result struct {
		x   *filter.Exchange
		out filter.Outcome
	}
	ended := make(chan result)
	chain := filter.Chain(Route{}, filterFunc(func(context.Context, *filter.Exchange) filter.Outcome {
		running <- struct{}{}
		<-end
		return filter.Outcome{Verdict: verdict.Ran}
	}))
	for n := range changes {
		publish(uint64(n + 1))
		go func() {
			x := &filter.Exchange{Snapshot: store.Load(), Request: &filter.Request{Method: "POST", Host: "h", Path: "/7/a"}}
			out := chain.Handle(context.Background(), x)
			ended <- result{x, out}
		}()
		<-running
	}
	runtime.GC()
	held := 0
	for n := range changes {
		if manifests[n].Value() != nil || files[n].Value() != nil || tables[n].Value() != nil {
			held++
		}
	}
	if held != 1 {
		t.Errorf("%d configurations are held by %d requests in flight, want the current one", held, changes)
	}
	close(end)
	var revisions strings.Builder
	for range changes {
		r := <-ended
		is.Equal(r.out.Verdict, verdict.Ran)
		is.Equal(r.x.Route.Name, "r7") // the route of its own configuration
		is.True(r.x.Revision > 0)
		fmt.Fprint(&revisions, r.x.Revision, " ")
	}
	t.Log("revisions:", revisions.String())
	runtime.KeepAlive(store)
}

type filterFunc func(context.Context, *filter.Exchange) filter.Outcome

func (filterFunc) Name() string { return "test" }

func (f filterFunc) Handle(ctx context.Context, x *filter.Exchange, _ filter.Handler) filter.Outcome {
	return f(ctx, x)
}
