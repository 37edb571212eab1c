package manifest

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/anvilfront/anvilfront/internal/tomlfile"
)

// Limits on the number of tables. They are some ten times the target size, so
// that the pairwise check of routes stays in the tens of milliseconds for any
// file of at most MaxBytes.
const (
	maxDataCentres    = 64
	maxEntryHosts     = 1024
	maxServices       = 512
	maxBackendServers = 8192
	maxRoutes         = 4096
	maxAlerts         = 1024
	maxDropped        = 32768
)

// MaxName is the largest length of a name in bytes.
const MaxNameBytes = 64

// checker checks a decoded manifest and collects every mistake.
type checker struct {
	file     *File
	index    *tomlfile.Index
	mistakes *tomlfile.Problems
	warnings *tomlfile.Problems

	centres   map[string]string // name to path of the first table with it
	services  map[string]string
	servers   map[string]string
	addresses map[string]string // IP:port to path
}

func (c *checker) run() {
	f := c.file
	c.centres, c.services = map[string]string{}, map[string]string{}
	c.servers, c.addresses = map[string]string{}, map[string]string{}
	if f.Revision == 0 || f.Revision > math.MaxInt64 {
		c.bad("revision", "must be from 1 to %d", int64(math.MaxInt64))
	}
	c.count("data_centres", len(f.DataCentres), maxDataCentres)
	c.count("entry_hosts", len(f.EntryHosts), maxEntryHosts)
	c.count("services", len(f.Services), maxServices)
	servers := 0
	for i := range f.Services {
		servers += len(f.Services[i].BackendServers)
	}
	c.count("services", servers, maxBackendServers)
	c.count("routes", len(f.Routes), maxRoutes)
	c.count("alerts", len(f.Alerts), maxAlerts)
	c.count("dropped", len(f.Dropped), maxDropped)
	if c.mistakes.Len() > 0 {
		return // the checks below are bounded by these limits
	}
	c.checkCentres()
	c.checkEntryHosts()
	c.checkServices()
	c.checkRoutes()
	c.checkAlerts()
	c.checkDropped()
}

func (c *checker) bad(path, format string, args ...any) {
	c.mistakes.Add(c.index.Line(path), path, format, args...)
}

func (c *checker) warn(path, format string, args ...any) {
	c.warnings.Add(c.index.Line(path), path, format, args...)
}

func (c *checker) count(path string, n, most int) {
	if n > most {
		c.mistakes.Add(c.index.Line(path+"[0]"), path, "has %d entries, the limit is %d", n, most)
	}
}

// name checks a name and that seen has it for the first time.
func (c *checker) name(path, name string, seen map[string]string) {
	if text := CheckName(name); text != "" {
		c.bad(path+".name", "%s", text)
		return
	}
	c.unique(path, path+".name", name, seen)
}

func (c *checker) unique(path, key, value string, seen map[string]string) {
	if first, ok := seen[value]; ok {
		c.bad(key, "%q is already used by %s in line %d", clip(value), first, c.index.Line(first))
		return
	}
	seen[value] = path
}

// CheckName returns what is wrong with a name, or "".
func CheckName(name string) string {
	if name == "" {
		return "is missing"
	}
	if len(name) > MaxNameBytes {
		return fmt.Sprintf("has %d bytes, the limit is %d", len(name), MaxNameBytes)
	}
	for i := 0; i < len(name); i++ {
		b := name[i]
		alnum := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		if !alnum && (i == 0 || b != '-' && b != '_' && b != '.') {
			return fmt.Sprintf("%q must start with a letter or digit and hold only letters, digits, '-', '_' and '.'", name)
		}
	}
	return ""
}

// CheckAddress returns what is wrong with an address that others connect to,
// or "". Host names are refused, because a look-up could block or change.
func CheckAddress(address string) string {
	if address == "" {
		return "is missing"
	}
	ap, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return fmt.Sprintf("%q is not IP:port; host names are not allowed", clip(address))
	case ap.Port() == 0:
		return fmt.Sprintf("%q has port 0", address)
	case ap.Addr().IsUnspecified() || ap.Addr().IsMulticast():
		return fmt.Sprintf("%q is not the address of one host", address)
	}
	return ""
}

func clip(s string) string {
	if len(s) > MaxNameBytes {
		return s[:MaxNameBytes] + "..."
	}
	return s
}

func (c *checker) address(path, address string) {
	key := path + ".address"
	if text := CheckAddress(address); text != "" {
		c.bad(key, "%s", text)
		return
	}
	ap := netip.MustParseAddrPort(address)
	c.unique(path, key, netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()).String(), c.addresses)
}

func (c *checker) reference(key, what, name string, known map[string]string) {
	switch {
	case name == "":
		c.bad(key, "is missing")
	case known[name] == "":
		c.bad(key, "%s %q does not exist", what, clip(name))
	}
}

func (c *checker) ints(key string, v, least, most int) {
	if v < least || v > most {
		c.bad(key, "is %d, must be from %d to %d", v, least, most)
	}
}

// floats also refuses NaN, which TOML can express.
func (c *checker) floats(key string, v, least, most float64) {
	if !(v >= least && v <= most) {
		c.bad(key, "is %v, must be from %v to %v", v, least, most)
	}
}

func (c *checker) durations(key string, v Duration, least, most time.Duration) {
	if d := time.Duration(v); d < least || d > most {
		c.bad(key, "is %v, must be from %v to %v", d, least, most)
	}
}

func (c *checker) checkCentres() {
	for i := range c.file.DataCentres {
		dc, path := &c.file.DataCentres[i], at("data_centres", i)
		c.name(path, dc.Name, c.centres)
		if dc.Region != "" {
			if text := CheckName(dc.Region); text != "" {
				c.bad(path+".region", "%s", text)
			}
		}
	}
}

func (c *checker) checkEntryHosts() {
	names := map[string]string{}
	for i := range c.file.EntryHosts {
		h, path := &c.file.EntryHosts[i], at("entry_hosts", i)
		c.name(path, h.Name, names)
		c.address(path, h.Address)
		c.reference(path+".data_centre", "data centre", h.DataCentre, c.centres)
	}
}

func (c *checker) checkServices() {
	for i := range c.file.Services {
		s, path := &c.file.Services[i], at("services", i)
		c.name(path, s.Name, c.services)
		c.durations(path+".run_limit", s.RunLimit, time.Millisecond, MaxRunLimit)
		c.floats(path+".probes_per_second", s.ProbesPerSecond, 0, 1e5)
		c.floats(path+".probe_bytes_per_second", s.ProbeBytesPerSecond, 0, 1e9)
		if text := checkPath(s.HealthPath); text != "" {
			c.bad(path+".health_path", "%s", text)
		}
		c.floats(path+".hedge_percent", s.HedgePercent, 0, 100)
		c.floats(path+".connections_per_second", s.ConnectionsPerSecond, 0, 1000)
		if len(s.BackendServers) == 0 {
			c.warn(path, "service %q has no backend servers", s.Name)
		}
		for j := range s.BackendServers {
			c.checkBackendServer(&s.BackendServers[j], at(path+".backend_servers", j))
		}
	}
}

func (c *checker) checkBackendServer(b *BackendServer, path string) {
	c.name(path, b.Name, c.servers)
	c.address(path, b.Address)
	c.reference(path+".data_centre", "data centre", b.DataCentre, c.centres)
	c.ints(path+".slots", b.Slots, 1, 4096)
	c.ints(path+".connections", b.Connections, 1, 65535)
	if b.Slots <= 4096 && b.Connections >= 1 && b.Connections < b.Slots {
		c.bad(path+".connections", "is %d, must be at least the %d slots", b.Connections, b.Slots)
	}
}

func at(array string, i int) string { return fmt.Sprintf("%s[%d]", array, i) }
