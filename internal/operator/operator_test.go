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
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/operator/status"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

const small = `revision = 3
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
	m, err := manifest.Parse([]byte(small))
	is.New(t).NoErr(err)
	store := state.NewStore(state.Member{Name: "eh1", DataCentre: "in1", Alive: true, Incarnation: 0xab})
	clk := &clock.Manual{}
	clk.Set(clock.Time(5 * time.Second))
	held := &state.HeldLease{Pool: manifest.PoolID{Service: "desk", DataCentre: "in1"}}
	held.Until.Store(int64(7 * time.Second))
	store.Update(func(s *state.Snapshot) {
		s.Manifest = m
		s.Leases = &state.Leases{Held: map[manifest.PoolID]*state.HeldLease{held.Pool: held}, Holders: map[manifest.PoolID]string{held.Pool: "eh1"}}
		s.Suspects = &state.Suspects{ByFingerprint: map[uint64]state.Suspect{1: {Refuse: true, Expires: clock.Time(6 * time.Second)}, 2: {Refuse: true, Expires: 1}}}
	})
	counters := metrics.New()
	counters.Refusal(verdict.ReasonShed)
	counters.Verdict(verdict.Ran)
	return &Collector{
		Clock: clk, Store: store, Counters: counters, Version: "v",
		Ready:  func() (bool, string) { return false, "stopping" },
		Alerts: func() []status.Alert { return []status.Alert{{Name: "x", State: status.AlertFiring}, {Name: "y"}} },
		Servers: func(_ manifest.PoolID, server string) ServerDetail {
			return map[string]ServerDetail{"d": {Known: true, Inflight: 2, Limit: 2}, "e": {Blocked: "ejected"}}[server]
		},
	}
}

// TestEndpoints guards against an endpoint that answers with a wrong status
// code, a wrong type or nothing.
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
			is.True(json.Valid(body)) // JSON answer
		}
	}
	var st status.Status
	_, body := get("/status")
	is.NoErr(json.Unmarshal(body, &st))
	is.Equal(st.Revision, uint64(3))
	is.Equal(st.Incarnation, "00000000000000ab")
	is.Equal(st.NotReady, "stopping")
	is.Equal(st.Leases, []status.Lease{{Pool: "desk/in1/0", LeftMillis: 2000}})
	is.Equal(st.Refusals, map[string]int64{"shed": 1})
	is.Equal(st.Verdicts["ran"], int64(1))
	is.Equal(st.Suspects, 1)
	is.Equal(len(st.Alerts), 1)
	is.Equal(len(st.Pools), 2)
	is.Equal(st.Pools[1], status.Pool{Pool: "desk/out1/0", Out: true, Servers: 1})
	is.NoErr(s.Shutdown(context.Background()))
	is.NoErr(<-done)
}

// TestExplain guards against a backend server that is shown as eligible
// although it takes no request, or without the reason.
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
		"d": "full: 2 requests in flight, the limit is 2", "e": "ejected",
	})
	is.Equal(c.Explain("GET", "", "/other").Route, "")
}
