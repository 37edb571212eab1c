package manifest_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"strings"
	"testing"

	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/manifest"
)

// generate returns a manifest with the given numbers of tables and one alert per
// ten routes.
func generate(servers, services, dataCentres, hosts, routes int) []byte {
	var t strings.Builder
	t.WriteString("revision = 1\n")
	for i := range dataCentres {
		fmt.Fprintf(&t, "[[data_centres]]\nname = \"dc%d\"\nregion = \"r%d\"\n", i, i%2)
	}
	for i := range hosts {
		fmt.Fprintf(&t, "[[entry_hosts]]\nname = \"eh%d\"\naddress = \"10.0.0.%d:7000\"\ndata_centre = \"dc%d\"\n", i, i+1, i%dataCentres)
	}
	for s := range services {
		fmt.Fprintf(&t, "[[services]]\nname = \"service%d\"\nrun_limit = \"5s\"\nprobes_per_second = 20.0\n", s)
		for i := s; i < servers; i += services {
			fmt.Fprintf(&t, "[[services.backend_servers]]\nname = \"service%d-dc%d-%d\"\naddress = \"10.1.%d.%d:80\"\ndata_centre = \"dc%d\"\nslots = 4\n",
				s, i/services%dataCentres, i, i/250, i%250+1, i/services%dataCentres)
		}
	}
	for i := range routes {
		fmt.Fprintf(&t, "[[routes]]\nname = \"route%d\"\nsource = \"old-rules.conf:%d\"\npath_prefix = \"/part%d/list\"\nmethods = [\"GET\"]\nservice = \"service%d\"\nidempotent = true\ndeadline = \"1s\"\nretries = 1\n",
			i, i+1, i, i%services)
	}
	for i := range routes / 10 {
		fmt.Fprintf(&t, "[[alerts]]\nname = \"alert%d\"\nsource = \"old-rules.conf:%d\"\nmetric = \"refusals.shed\"\nrate = true\ncomparison = \">\"\nthreshold = 5.0\nfor = \"10s\"\n", i, 9000+i)
	}
	return []byte(t.String())
}

func mustParse(b *testing.B, raw []byte) *manifest.Manifest {
	m, err := manifest.Parse(raw)
	if err != nil {
		b.Fatal(err)
	}
	return m
}

// BenchmarkParse measures Parse, the size of the manifest as published and as
// fetched by peers, and its live memory.
func BenchmarkParse(b *testing.B) {
	for _, c := range []struct{ servers, services, dataCentres, hosts, routes int }{
		{35, 2, 4, 16, 20}, {140, 8, 4, 16, 140}, {550, 28, 7, 64, 560}, {550, 28, 7, 128, 560},
	} {
		b.Run(fmt.Sprintf("servers=%d/hosts=%d/routes=%d", c.servers, c.hosts, c.routes), func(b *testing.B) {
			raw := generate(c.servers, c.services, c.dataCentres, c.hosts, c.routes)
			var packed bytes.Buffer
			w, _ := flate.NewWriter(&packed, flate.DefaultCompression)
			_, _ = w.Write(raw)
			_ = w.Close()
			before := fake.HeapAndStackBytes()
			var kept []*manifest.Manifest
			for range 10 {
				kept = append(kept, mustParse(b, raw))
			}
			live := float64(fake.HeapAndStackBytes()-before) / float64(len(kept))
			cpu := fake.CPUTime()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				kept[0] = mustParse(b, raw)
			}
			b.StopTimer()
			b.ReportMetric(float64((fake.CPUTime()-cpu).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(len(raw)), "raw-B")
			b.ReportMetric(float64(packed.Len()), "packed-B")
			b.ReportMetric(live/1024, "live-KiB")
		})
	}
}

// BenchmarkMatch measures Match for the last route, which is the worst case.
func BenchmarkMatch(b *testing.B) {
	for _, routes := range []int{20, 140, 560} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			m, path := mustParse(b, generate(28, 28, 7, 1, routes)), fmt.Sprintf("/part%d/list/7", routes-1)
			b.ReportAllocs()
			for b.Loop() {
				if m.Match("GET", "desk", path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}
