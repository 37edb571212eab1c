package fleettest

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/peer"
)

// Each fleet size is measured for measureDuration, at least warmupDuration after the
// fleet has converged.
const (
	measureDuration = 15 * time.Second
	warmupDuration  = 10 * time.Second
)

// BenchmarkControl measures the CPU time, traffic and memory of the controllers per
// entry host, on loopback TCP with TLS. It measures each size for measureDuration, so
// run it with -benchtime 1x. ANVILFRONT_PORT is the first port, 21000 by default.
func BenchmarkControl(b *testing.B) {
	for _, c := range []struct {
		hosts, servers, services int
	}{
		{8, 35, 2}, {16, 35, 2}, {32, 35, 2}, {64, 35, 2},
		{8, 140, 8}, {64, 140, 8},
		{8, 550, 28}, {16, 550, 28}, {32, 550, 28}, {64, 550, 28},
	} {
		b.Run(fmt.Sprintf("hosts=%d/servers=%d", c.hosts, c.servers), func(b *testing.B) {
			for range b.N {
				measure(b, c.hosts, c.servers, c.services)
			}
		})
	}
}

type sample struct {
	at        time.Time
	cpu       time.Duration
	connBytes int64
	byMethod  map[string][3]int64 // messages, sent, received
	messages  int64
}

func measure(b *testing.B, hosts, servers, services int) {
	dataCentres := 7
	if servers < 550 {
		dataCentres = 4
	}
	f := New(uint64(hosts))
	connBytes := &fake.ConnCounters{}
	config, err := fake.PeerTLS(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	f.Sockets = &Sockets{TLS: config, BasePort: 21000, Dial: connBytes.Dial(config)}
	if p, err := strconv.Atoi(os.Getenv("ANVILFRONT_PORT")); err == nil {
		f.Sockets.BasePort = p
	}
	if err := f.Platform.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = f.Platform.Stop() }()
	f.Sockets.Platform = f.Platform.URL()
	f.Seeds = []string{f.Sockets.Address(0), f.Sockets.Address(1)}
	publish := func(revision int) {
		f.Platform.Publish(uint64(revision), ManifestAt(f.Sockets.Address, revision, hosts, dataCentres, servers, services))
	}
	publish(1)
	for i := range hosts {
		f.Start(i, dataCentres)
	}
	defer f.KillAll()
	if d, ok := f.Wait(40*time.Second, func() bool { return f.converged(1) }); !ok {
		b.Fatalf("not converged after %v", d)
	}
	time.Sleep(warmupDuration) // the first exchanges, connections and most gossip updates are done
	if hosts == 64 && servers == 550 {
		time.Sleep(3 * warmupDuration) // updates about 64 members are sent for 30 s
	}
	before := f.sample(connBytes)
	time.Sleep(measureDuration / 2)
	publish(2)
	d, ok := f.Wait(measureDuration/2, func() bool { return f.revisionApplied(2) })
	time.Sleep(measureDuration/2 - d)
	f.report(b, before, f.sample(connBytes))
	if !ok || !f.converged(2) {
		b.Errorf("revision 2 is not in effect or a server is not probed by exactly one host")
	}
	b.ReportMetric(d.Seconds(), "s-to-force")
}

func (f *Fleet) sample(connBytes *fake.ConnCounters) sample {
	s := sample{at: time.Now(), connBytes: connBytes.Sent.Load() + connBytes.Received.Load(), cpu: fake.CPUTime(), byMethod: map[string][3]int64{}}
	for _, h := range f.Hosts {
		for _, t := range []*peer.Traffic{h.Caller.Traffic(), h.Server.Traffic()} {
			t.Each(func(method string, k *peer.MethodCounters) {
				v := s.byMethod[method]
				s.byMethod[method] = [3]int64{v[0] + k.Messages.Load(), v[1] + k.Sent.Load(), v[2] + k.Received.Load()}
				s.messages += k.Messages.Load()
			})
		}
	}
	return s
}

// report reports the figures per entry host and second. The bytes on the wire are those
// of TLS records, without TCP and IP headers. Each is sent by one host and received by
// another, so the totals sent and received are equal over the fleet.
func (f *Fleet) report(b *testing.B, from, to sample) {
	seconds, n := to.at.Sub(from.at).Seconds(), float64(len(f.Hosts))
	var methods []string
	for m := range to.byMethod {
		methods = append(methods, m)
	}
	slices.Sort(methods)
	for _, m := range methods {
		v, w := from.byMethod[m], to.byMethod[m]
		b.Logf("%-16s %6.1f messages/s %8.0f B/s sent %8.0f B/s received", m,
			float64(w[0]-v[0])/seconds/n, float64(w[1]-v[1])/seconds/n, float64(w[2]-v[2])/seconds/n)
	}
	b.ReportMetric(float64(to.connBytes-from.connBytes)/seconds/n, "tls-B/s-sent")
	b.ReportMetric(float64(to.messages-from.messages)/seconds/n, "messages/s-sent")
	b.ReportMetric(100*(to.cpu-from.cpu).Seconds()/seconds/n, "%core")
	b.ReportMetric(residentMB()/n, "MB-resident")
	b.ReportMetric(0, "ns/op")
}

// residentMB returns the resident memory of the process in MB.
func residentMB() float64 {
	status, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}
