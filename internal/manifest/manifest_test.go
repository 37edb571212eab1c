package manifest

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// valid is a manifest without errors. The test cases below change one line each.
const valid = `revision = 7
[[data_centres]]
name = "sgn1"
region = "south"
[[entry_hosts]]
name = "eh1"
address = "10.0.0.1:7000"
data_centre = "sgn1"
[[services]]
name = "desk"
[[services.backend_servers]]
name = "desk-1"
address = "10.0.1.1:80"
data_centre = "sgn1"
slots = 4
[[routes]]
name = "orders"
source = "old.conf:3"
path_prefix = "/orders"
methods = ["POST"]
service = "desk"
key_required = true
[[routes]]
name = "prices"
path_prefix = "/"
service = "desk"
idempotent = true
[[alerts]]
name = "shed"
metric = "refusals.shed"
comparison = ">"
threshold = 5
for = "10s"
[[dropped]]
source = "old.conf:4"
reason = "no longer used"
`

// TestParseErrors guards against an invalid manifest that is accepted, or
// reported with a wrong line or key.
func TestParseErrors(t *testing.T) {
	_, err := Parse([]byte(valid))
	is.New(t).NoErr(err)
	for _, c := range []struct{ old, new, want string }{
		{"revision = 7", "revision = 0", "line 1: revision: must be from 1"},
		{"revision = 7", "revision = -1", "line 1: "},
		{`name = "sgn1"`, `name = "sgn 1"`, "line 3: data_centres[0].name: \"sgn 1\" must start"},
		{`name = "eh1"`, `name = "` + strings.Repeat("e", 65) + `"`, "line 6: entry_hosts[0].name: has 65 bytes"},
		{"10.0.0.1:7000", "eh1.example:7000", "line 7: entry_hosts[0].address: \"eh1.example:7000\" is not IP:port"},
		{"10.0.0.1:7000", "10.0.1.1:80", "line 13: services[0].backend_servers[0].address: \"10.0.1.1:80\" is already used by entry_hosts[0] in line 5"},
		{"10.0.1.1:80", "0.0.0.0:80", "line 13: services[0].backend_servers[0].address: \"0.0.0.0:80\" is an unspecified or multicast address"},
		{"10.0.1.1:80", "10.0.1.1:0", "has port 0"},
		{`data_centre = "sgn1"` + "\nslots", `data_centre = "sgn2"` + "\nslots", "line 14: services[0].backend_servers[0].data_centre: data centre \"sgn2\" does not exist"},
		{"slots = 4", "slots = 0", "line 15: services[0].backend_servers[0].slots: is 0"},
		{"slots = 4", "slots = 4\nconnections = 3", "line 16: services[0].backend_servers[0].connections: is 3, must be at least the number of slots, 4"},
		{`name = "desk"`, "name = \"desk\"\nhedge_percent = nan", "line 11: services[0].hedge_percent: is NaN"},
		{`name = "desk"`, "name = \"desk\"\nrun_limit = \"-1s\"", "line 11: services[0].run_limit: is -1s"},
		{`name = "desk"`, "name = \"desk\"\nrun_limit = \"1\"", "line 11: "},
		{"old.conf:3", "old.conf:03", "line 18: routes[0].source: "},
		{`"/orders"`, `"orders"`, "line 19: routes[0].path_prefix: \"orders\" must start"},
		{`"/orders"`, `"/a/../orders"`, "is not normalised, use \"/orders\""},
		{`"POST"`, `"post"`, "line 20: routes[0].methods: \"post\" is not an upper-case HTTP method"},
		{`"POST"`, `"POST", "POST"`, "line 20: routes[0].methods: \"POST\" is listed twice"},
		{`service = "desk"` + "\nkey", `service = "disk"` + "\nkey", "line 21: routes[0].service: service \"disk\" does not exist"},
		{"key_required = true", "key_required = true\nidempotent = true", "line 22: routes[0].key_required: is allowed only for"},
		{"key_required = true", "key_required = true\npath = \"/a\"", "cannot be set together with path"},
		{"key_required = true", "key_required = true\nhost = \"Desk\"", "line 23: routes[0].host: \"Desk\" is not a lower-case host"},
		{"idempotent = true", "idempotent = true\npriority = 10", "line 28: routes[1].priority: is 10"},
		{"idempotent = true", "idempotent = true\nretries = 11\nretry_percent = 101.0", "line 28: routes[1].retries: is 11, must be from 0 to 10\nline 29: routes[1].retry_percent: is 101"},
		{`name = "prices"`, `name = "orders"`, "line 24: routes[1].name: \"orders\" is already used by routes[0] in line 16"},
		{"refusals.shed", "refusals.shet", "line 30: alerts[0].metric: \"refusals.shet\": unknown reason \"shet\""},
		{"refusals.shed", "verdicts.run", "unknown verdict \"run\""},
		{"refusals.shed", "Größe", "is not a dotted counter name"},
		{`">"`, `"=>"`, "line 31: alerts[0].comparison: \"=>\" is not one of"},
		{"threshold = 5", "threshold = inf", "line 32: alerts[0].threshold: is +Inf"},
		{`"10s"`, `"25h"`, "line 33: alerts[0].for: is 25h"},
		{"old.conf:4", "old.conf:3", "line 35: dropped[0].source: \"old.conf:3\" is also the source of routes[0] in line 16"},
		{"old.conf:4", "", "line 35: dropped[0].source: \"\" is not of the form FILE:LINE"},
		{`"no longer used"`, `" "`, "line 36: dropped[0].reason: is missing"},
		{"threshold", "treshold", "line 32: alerts[0].treshold: unknown key"},
	} {
		raw := strings.Replace(valid, c.old, c.new, 1)
		_, err := Parse([]byte(raw))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: got %v, want %q", c.new, c.old, err, c.want)
		}
	}
}

// TestWarnings guards against missing warnings about unused services.
func TestWarnings(t *testing.T) {
	is := is.New(t)
	m, err := Parse([]byte(valid + "[[services]]\nname = \"idle\"\n"))
	is.NoErr(err)
	is.Equal(len(m.Warnings), 2)
	is.Equal(m.Warnings[0].WithFile("m.toml"), `m.toml:37: services[1]: no route uses service "idle"`)
}

// TestCoveredRoute guards against a route that is accepted although earlier
// routes match all of its requests, and against a reachable route that is
// refused.
func TestCoveredRoute(t *testing.T) {
	methods := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"GET", "POST", "PUT"}), 0, 2, rapid.ID[string])
	paths := []string{"/", "/a", "/a/", "/a/b", "/ab", "/a/b/c"}
	hosts := []string{"", "x", "y"}
	route := rapid.Custom(func(t *rapid.T) Route {
		r := Route{Host: rapid.SampledFrom(hosts).Draw(t, "host"), Methods: methods.Draw(t, "methods")}
		switch rapid.IntRange(0, 2).Draw(t, "kind") {
		case 0:
			r.Path = rapid.SampledFrom(paths).Draw(t, "path")
		case 1:
			r.PathPrefix = rapid.SampledFrom(paths).Draw(t, "prefix")
		}
		return r
	})
	rapid.Check(t, func(t *rapid.T) {
		earlier := rapid.SliceOfN(route, 1, 4).Draw(t, "earlier")
		last := route.Draw(t, "last")
		for i := range earlier {
			earlier[i].Name = fmt.Sprint("r", i)
		}
		reachable := false
		for _, method := range []string{"GET", "POST", "PUT", "DELETE"} {
			for _, host := range []string{"x", "y", "z"} {
				for _, path := range append(paths, "/x", "/a/x", "/ab/x", "/a/b/x", "/a/b/c/x") {
					matched := false
					for i := range earlier {
						matched = matched || earlier[i].Matches(method, host, path)
					}
					reachable = reachable || !matched && last.Matches(method, host, path)
				}
			}
		}
		covering := last.coveredBy(earlier)
		if reachable && covering != nil {
			t.Fatalf("%+v is reachable but reported as covered by %v of %+v", last, covering, earlier)
		}
		if !reachable && covering == nil && len(earlier) == 1 {
			t.Fatalf("%+v is covered by %+v but accepted", last, earlier[0])
		}
	})
}

// targetManifest returns a manifest of the target size: 550 backend servers in
// 28 services and 7 data centres.
func targetManifest() []byte {
	var b bytes.Buffer
	b.WriteString("revision = 1\n")
	for i := range 7 {
		fmt.Fprintf(&b, "[[data_centres]]\nname = \"dc%d\"\nregion = \"r%d\"\n", i, i%2)
	}
	for i := range 28 {
		fmt.Fprintf(&b, "[[services]]\nname = \"service-%d\"\nrun_limit = \"5s\"\nprobes_per_second = 20.0\n", i)
		for j := i; j < 550; j += 28 {
			fmt.Fprintf(&b, "[[services.backend_servers]]\nname = \"backend-%d\"\naddress = \"10.%d.%d.%d:8080\"\ndata_centre = \"dc%d\"\nslots = 6\n", j, j%7, j/250, j%250, j%7)
		}
	}
	for i := range 560 {
		fmt.Fprintf(&b, "[[routes]]\nname = \"route-%d\"\nsource = \"old.conf:%d\"\npath_prefix = \"/s%d/p%d\"\nmethods = [\"GET\"]\nservice = \"service-%d\"\nidempotent = true\n", i, i+1, i%28, i, i%28)
	}
	return b.Bytes()
}

// TestTargetSize guards against limits that refuse the target size, and against
// a malicious file within the size limit that takes minutes to check. The
// timeout of go test bounds that time.
func TestTargetSize(t *testing.T) {
	is := is.New(t)
	m, err := Parse(targetManifest())
	is.NoErr(err)
	servers := 0
	for _, s := range m.Services {
		servers += len(s.BackendServers)
	}
	is.Equal(servers, 550)
	for _, fragment := range []string{"[[routes]]\n", "[[routes]]\nx=1\n", "[[dropped]]\n", "[[services]]\n[[services.backend_servers]]\n", "a.", "[[routes.", "revision=[", "x={y=", "\"", "'''"} {
		_, err := Parse([]byte(strings.Repeat(fragment, MaxBytes/len(fragment))))
		is.True(err != nil) // a malicious file is refused
	}
	_, err = Parse(make([]byte, MaxBytes+1))
	is.True(err != nil)
}

// BenchmarkParseTarget measures Parse for a manifest of the target size.
func BenchmarkParseTarget(b *testing.B) {
	raw := targetManifest()
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(raw); err != nil {
			b.Fatal(err)
		}
	}
}

// FuzzParse guards against a panic, a result that differs between hosts, and an
// accepted manifest with an unusable backend server.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(valid[:len(valid)/2]))
	f.Add([]byte("revision = 1\nservices = [{name='a',backend_servers=[{}]}]"))
	f.Add([]byte("[[services]]\n[services.backend_servers]\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Parse(raw)
		again, err2 := Parse(bytes.Clone(raw))
		if fmt.Sprint(err) != fmt.Sprint(err2) {
			t.Fatalf("two results for the same bytes: %v and %v", err, err2)
		}
		if err != nil {
			return
		}
		if m.Digest != again.Digest {
			t.Fatal("two digests for the same bytes")
		}
		for _, s := range m.Services {
			for _, b := range s.BackendServers {
				if m.DataCentresByName[b.DataCentre] == nil || b.Slots < 1 || b.Address == "" {
					t.Fatalf("unusable backend server %+v", b)
				}
			}
		}
		for i := range m.File.Routes {
			if m.Services[m.File.Routes[i].Service] == nil {
				t.Fatal("route without a service")
			}
		}
	})
}
