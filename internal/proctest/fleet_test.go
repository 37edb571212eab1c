// Package proctest tests entry hosts that run as separate processes. It injects
// faults into the processes, the platform and the backend servers under load, and
// compares the verdicts that callers received with what ran.
package proctest

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/operator/status"
)

// Size of the fleet.
const (
	hostCount       = 6 // three per data centre
	serverCount     = 4
	dataCentreCount = 2
	slots           = 4
	maxProcs        = 2 // GOMAXPROCS of an entry host
)

// maxConvergenceTime is the limit that the design page states for a manifest to be
// applied on all entry hosts, and for backend servers that are leaving or out of
// service to receive no more new requests.
const maxConvergenceTime = 3 * time.Second

// fleet is a set of entry host processes with their platform and backend servers.
type fleet struct {
	t        *testing.T
	binary   string
	rand     *rand.Rand // used only by the goroutine of the test
	platform *fake.Platform
	servers  []*fake.Backend
	orders   *fake.Orders
	hosts    []*process

	// hostPlatforms holds the platform that each host reads from.
	hostPlatforms [hostCount]atomic.Pointer[http.Handler]
	revision      uint64
	outOfService  string       // name of the data centre out of service; empty: none
	leaving       map[int]bool // by index of the backend server

	monitor      monitor
	lateRequests [serverCount]atomic.Int64 // requests of sendToPausedHost that ran, by backend server
}

// process is one entry host. A replacement keeps its name and addresses.
type process struct {
	name, dataCentre       string
	listen, peer, operator string
	settings               string // path of the settings file

	cmd      *exec.Cmd
	exited   chan error
	log      *os.File
	excluded atomic.Bool // the balancer sends no callers here
	ready    atomic.Bool // state at the last poll
	http     *http.Client
	started  time.Time
}

func dataCentre(i int) string { return fmt.Sprintf("dc%d", i%dataCentreCount+1) }

var fleetSeed = flag.Uint64("seed", 0, "seed of the fleet; 0: a random one")

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "anvilfront")
	build := exec.Command("go", "build", "-o", binary, "./cmd/anvilfront")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// startFleet starts a fleet and waits until it has converged.
func startFleet(t *testing.T, binary string, configure func(*fake.Backend)) *fleet {
	t.Helper()
	seed := *fleetSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.Logf("seed %d", seed)
	f := &fleet{
		t: t, binary: binary, rand: rand.New(rand.NewPCG(seed, 1)), platform: fake.NewPlatform(),
		orders: &fake.Orders{}, leaving: map[int]bool{},
	}
	for i := range serverCount {
		b := &fake.Backend{Slots: slots, ServiceTime: 4 * time.Millisecond, Instance: fmt.Sprintf("b%d", i+1), Orders: f.orders}
		b.OnRun = func(path string) {
			if strings.Contains(path, "/late") {
				f.lateRequests[i].Add(1)
			}
		}
		if configure != nil {
			configure(b)
		}
		f.must(b.Start())
		t.Cleanup(func() { _ = b.Stop() })
		f.servers = append(f.servers, b)
	}
	proxy := &http.Server{Handler: f, ReadHeaderTimeout: time.Second}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.must(err)
	go func() { _ = proxy.Serve(l) }()
	t.Cleanup(func() { _ = proxy.Close() })
	f.writeSettings(l.Addr().String())
	f.publish()
	for i := range hostCount {
		f.setPlatform(i, f.platform)
		f.start(i)
	}
	t.Cleanup(f.close)
	f.monitor.start(f)
	f.eventually(20*time.Second, "the fleet converges", f.converged)
	return f
}

// writeSettings assigns addresses to all hosts and writes their settings files.
func (f *fleet) writeSettings(platform string) {
	dir := f.t.TempDir()
	var peers []string
	for i := range hostCount {
		p := &process{name: fmt.Sprintf("eh%d", i+1), dataCentre: dataCentre(i), http: &http.Client{Timeout: 300 * time.Millisecond}}
		p.listen, p.peer, p.operator = f.freeAddress(), f.freeAddress(), f.freeAddress()
		p.settings = filepath.Join(dir, p.name+".toml")
		f.hosts, peers = append(f.hosts, p), append(peers, fmt.Sprintf("%q", p.peer))
	}
	for _, p := range f.hosts {
		text := fmt.Sprintf("name = %q\ndata_centre = %q\nlisten = %q\npeer = %q\noperator = %q\nplaintext = true\nnotice = \"500ms\"\nstop_bound = \"10s\"\n",
			p.name, p.dataCentre, p.listen, p.peer, p.operator)
		text += fmt.Sprintf("platform = [\"http://%s/%s\"]\npeers = [%s]\n", platform, p.name, strings.Join(peers, ", "))
		f.must(os.WriteFile(p.settings, []byte(text), 0o600))
		log, err := os.Create(filepath.Join(dir, p.name+".log"))
		f.must(err)
		p.log = log
	}
}

var triedAddresses sync.Map

// freeAddress returns a loopback address with a port below the range of outgoing
// connections, so that the replacement of a killed process can listen on it again.
func (f *fleet) freeAddress() string {
	for {
		a := fmt.Sprintf("127.0.0.1:%d", 22000+rand.IntN(10000))
		if _, tried := triedAddresses.LoadOrStore(a, true); tried {
			continue
		}
		if l, err := net.Listen("tcp", a); err == nil {
			_ = l.Close()
			return a
		}
	}
}

// start starts host i as a new process.
func (f *fleet) start(i int) {
	f.t.Helper()
	p := f.hosts[i]
	cmd := exec.Command(f.binary, "serve", "--settings", p.settings)
	cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", maxProcs))
	cmd.Stdout, cmd.Stderr = p.log, p.log
	f.must(cmd.Start())
	p.cmd, p.exited, p.started = cmd, make(chan error, 1), time.Now()
	go func() { p.exited <- cmd.Wait() }()
	p.excluded.Store(false)
}

// signal sends a signal to host i.
func (f *fleet) signal(i int, s syscall.Signal) { f.must(f.hosts[i].cmd.Process.Signal(s)) }

// pause suspends host i and waits until all its threads have stopped, because the
// signal takes effect with a delay.
func (f *fleet) pause(i int) {
	f.signal(i, syscall.SIGSTOP)
	f.eventually(5*time.Second, "the threads have stopped", func() bool {
		statPaths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", f.hosts[i].cmd.Process.Pid))
		f.must(err)
		for _, path := range statPaths {
			raw, err := os.ReadFile(path)
			// The state of the thread follows its name, which is in parentheses.
			if end := strings.LastIndexByte(string(raw), ')'); err == nil && !strings.HasPrefix(string(raw[end+1:]), " T") {
				return false
			}
		}
		return len(statPaths) > 0
	})
}

// kill kills host i and waits until the process has ended.
func (f *fleet) kill(i int) {
	f.signal(i, syscall.SIGKILL)
	<-f.hosts[i].exited
	f.hosts[i].exited <- nil
}

func (f *fleet) close() {
	f.monitor.stop()
	for _, p := range f.hosts {
		if p.cmd == nil {
			continue
		}
		_ = p.cmd.Process.Kill() // an error means that the process has already ended
		<-p.exited
		_ = p.log.Close()
		if f.t.Failed() {
			if raw, err := os.ReadFile(p.log.Name()); err == nil {
				f.t.Logf("last log of %s:\n%s", p.name, raw[max(0, len(raw)-3000):])
			}
		}
	}
}

// setPlatform sets the platform that host i reads from. With nil, all its reads fail.
func (f *fleet) setPlatform(i int, platform http.Handler) {
	if platform == nil {
		platform = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	}
	f.hostPlatforms[i].Store(&platform)
}

// ServeHTTP passes requests under /ehN/ to the platform that host N reads from.
func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var i int
	if _, err := fmt.Sscanf(r.URL.Path, "/eh%d/", &i); err != nil || i < 1 || i > hostCount {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	http.StripPrefix(fmt.Sprintf("/eh%d", i), *f.hostPlatforms[i-1].Load()).ServeHTTP(w, r)
}

// publish publishes the manifest under the next revision.
func (f *fleet) publish() {
	f.revision++
	f.platform.Publish(f.revision, f.manifest(f.revision))
}

func (f *fleet) manifest(revision uint64) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "revision = %d\n", revision)
	for i := range dataCentreCount {
		fmt.Fprintf(&b, "[[data_centres]]\nname = %q\nregion = \"r1\"\nout = %t\n", dataCentre(i), f.outOfService == dataCentre(i))
	}
	for _, p := range f.hosts {
		fmt.Fprintf(&b, "[[entry_hosts]]\nname = %q\naddress = %q\ndata_centre = %q\n", p.name, p.peer, p.dataCentre)
	}
	b.WriteString("[[services]]\nname = \"desk\"\nprobes_per_second = 10\n")
	for i, s := range f.servers {
		fmt.Fprintf(&b, "[[services.backend_servers]]\nname = \"b%d\"\naddress = %q\ndata_centre = %q\nslots = %d\nleaving = %t\n",
			i+1, s.Address(), dataCentre(i), slots, f.leaving[i])
	}
	b.WriteString("[[routes]]\nname = \"orders\"\npath_prefix = \"/orders\"\nservice = \"desk\"\npriority = 5\nretries = 2\n")
	b.WriteString("[[routes]]\nname = \"lookups\"\npath_prefix = \"/\"\nservice = \"desk\"\nidempotent = true\nretries = 2\n")
	return []byte(b.String())
}

// status requests the status of host p. It returns nil if there is no response.
func (p *process) status() *status.Status {
	resp, err := p.http.Get("http://" + p.operator + "/status")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	s := &status.Status{}
	if json.NewDecoder(resp.Body).Decode(s) != nil {
		return nil
	}
	return s
}

// counter returns an integer counter of host p, or 0 if there is no response.
func (p *process) counter(name string) int64 {
	resp, err := p.http.Get("http://" + p.operator + "/debug/vars")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	vars := map[string]any{}
	if json.NewDecoder(resp.Body).Decode(&vars) != nil {
		return 0
	}
	n, _ := vars[name].(float64)
	return int64(n)
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// eventually waits until the condition holds. It fails the test after d.
func (f *fleet) eventually(d time.Duration, what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(d); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("not within %v: %s; %s", d, what, f.monitor.describe())
		}
	}
}
