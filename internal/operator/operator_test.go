package operator

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/operator/status"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

const testManifest = `revision = 3
[[data_centres]]
name = "in1"
[[data_centres]]
name = "out1"
out = true
[[services]]
name = "desk"
[[services.backend_servers]]
name = "a"
address = "10.0.0.1:80"
data_centre = "in1"
slots = 2
[[services.backend_servers]]
name = "b"
address = "10.0.0.2:80"
data_centre = "in1"
slots = 2
leaving = true
[[services.backend_servers]]
name = "c"
address = "10.0.0.3:80"
data_centre = "out1"
slots = 2
[[services.backend_servers]]
name = "d"
address = "10.0.0.4:80"
data_centre = "in1"
slots = 2
[[services.backend_servers]]
name = "e"
address = "10.0.0.5:80"
data_centre = "in1"
slots = 2
[[routes]]
name = "r"
source = "old:1"
path_prefix = "/r"
service = "desk"
`

func newCollector(t *testing.T) *Collector {
	t.Helper()
	m, err := manifest.Parse([]byte(testManifest))
	is.New(t).NoErr(err)
	store := state.NewStore(state.Member{Name: "eh1", DataCentre: "in1", Alive: true, Incarnation: 0xab})
	clk := &clock.Manual{}
	clk.Set(clock.Time(5 * time.Second))
	servers := &state.Servers{ByName: map[string]*state.Server{}, Out: map[string]bool{"out1": true}}
	for _, b := range m.Services["desk"].BackendServers {
		servers.ByName[b.Name] = &state.Server{BackendServer: b, ReportsRunningOnly: true, Load: &load.State{}}
	}
	at := clk.Now().Add(-200 * time.Millisecond)
	servers.ByName["a"].Load.Observe(load.Reading{At: at, Running: 1, Slots: 2, Speed: 1})
	servers.ByName["d"].Load.Observe(load.Reading{At: at, Running: 2, Waiting: 1, Slots: 2, Speed: 1})
	servers.ByName["e"].Load.Observe(load.Reading{At: at, Silent: true})
	store.Update(func(s *state.Snapshot) {
		s.Manifest, s.Servers = m, servers
		s.PoisonRequests = &state.PoisonRequests{ByFingerprint: map[uint64]state.PoisonRequest{1: {Refuse: true, Expires: clock.Time(6 * time.Second)}, 2: {Refuse: true, Expires: 1}}}
	})
	counters := metrics.New()
	counters.Refusal(verdict.ReasonShed)
	counters.Verdict(verdict.Ran)
	return &Collector{
		Clock: clk, Store: store, Counters: counters, Version: "v",
		Ready:  func() (bool, string) { return false, "stopping" },
		Alerts: func() []status.Alert { return []status.Alert{{Name: "x", State: status.AlertFiring}, {Name: "y"}} },
	}
}

// TestEndpoints guards against endpoints that respond with a wrong status code, a
// body that is not JSON or an empty body.
func TestEndpoints(t *testing.T) {
	is := is.New(t)
	c := newCollector(t)
	s := New(Config{Log: zap.NewNop(), Ready: c.Ready, Vars: c.Counters.Map().String, Status: c.Status, Explain: c.Explain, Alerts: c.Alerts})
	l := fasthttputil.NewInmemoryListener()
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	client := &fasthttp.HostClient{Addr: "operator", Dial: func(string) (net.Conn, error) { return l.Dial() }}
	get := func(uri string) (int, []byte) {
		code, body, err := client.Get(nil, "http://operator"+uri)
		is.NoErr(err)
		return code, body
	}
	for uri, want := range map[string]int{
		"/healthz": 200, "/readyz": 503, "/debug/vars": 200, "/status": 200, "/alerts": 200,
		"/explain?method=GET&path=/r": 200, "/explain?method=GET": 400, "/explain?method=GET&path=r": 400, "/other": 404,
	} {
		code, body := get(uri)
		is.Equal(code, want) // status code
		is.True(len(body) > 0)
		if uri != "/healthz" && uri != "/readyz" {
			is.True(json.Valid(body)) // JSON response
		}
	}
	var st status.Status
	_, body := get("/status")
	is.NoErr(json.Unmarshal(body, &st))
	is.Equal(st.Revision, uint64(3))
	is.Equal(st.Incarnation, "00000000000000ab")
	is.Equal(st.NotReadyReason, "stopping")
	is.Equal(st.Refusals, map[string]int64{"shed": 1})
	is.Equal(st.Verdicts["ran"], int64(1))
	is.Equal(st.PoisonRequests, 1)
	is.Equal(len(st.Alerts), 1)
	is.Equal(st.Services, []status.Service{
		{Service: "desk", DataCentre: "in1", Servers: 4, Known: 3, Running: 3, Waiting: 1, Slots: 6, AgeMillis: 200},
		{Service: "desk", DataCentre: "out1", Out: true, Servers: 1},
	})
	is.NoErr(s.Shutdown(context.Background()))
	is.NoErr(<-done)
}

// TestExplain guards against backend servers that are shown as eligible although
// they take no requests, or as not eligible without a reason.
func TestExplain(t *testing.T) {
	is := is.New(t)
	c := newCollector(t)
	e := c.Explain("GET", "", "/r/1")
	is.Equal(e.Route, "r")
	is.Equal(e.Eligible, 1)
	reasons := map[string]string{}
	for _, s := range e.Servers {
		reasons[s.Name] = s.Reason
		is.Equal(s.Eligible, s.Reason == "")
	}
	is.Equal(reasons, map[string]string{
		"a": "", "b": "the backend server is leaving", "c": "data centre out1 is out",
		"d": "full: 2 requests run there, it has 2 slots", "e": "it does not answer",
	})
	is.Equal(c.Explain("GET", "", "/other").Route, "")
}
