package manifest

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/anvilfront/anvilfront/internal/tomlfile"
)

// Limits on the number of tables, about ten times the target size. They keep the
// pairwise check of routes in the tens of milliseconds for any file of at most
// MaxBytes.
const (
	maxDataCentres    = 64
	maxEntryHosts     = 1024
	maxServices       = 512
	maxBackendServers = 8192
	maxRoutes         = 4096
	maxAlerts         = 1024
	maxDropped        = 32768
)

// MaxNameBytes is the maximum length of a name in bytes.
const MaxNameBytes = 64

// checker validates a decoded manifest and collects all errors and warnings.
type checker struct {
	file     *File
	index    *tomlfile.Index
	errs     *tomlfile.Problems
	warnings *tomlfile.Problems

	dataCentres map[string]string // name to path of the first table with that name
	services    map[string]string
	servers     map[string]string
	addresses   map[string]string // IP:port to path
}

func (c *checker) run() {
	f := c.file
	c.dataCentres, c.services = map[string]string{}, map[string]string{}
	c.servers, c.addresses = map[string]string{}, map[string]string{}
	if f.Revision == 0 || f.Revision > math.MaxInt64 {
		c.invalid("revision", "must be from 1 to %d", int64(math.MaxInt64))
	}
	c.atMost("data_centres", len(f.DataCentres), maxDataCentres)
	c.atMost("entry_hosts", len(f.EntryHosts), maxEntryHosts)
	c.atMost("services", len(f.Services), maxServices)
	servers := 0
	for i := range f.Services {
		servers += len(f.Services[i].BackendServers)
	}
	c.atMost("services", servers, maxBackendServers)
	c.atMost("routes", len(f.Routes), maxRoutes)
	c.atMost("alerts", len(f.Alerts), maxAlerts)
	c.atMost("dropped", len(f.Dropped), maxDropped)
	if c.errs.Len() > 0 {
		return // the cost of the checks below is bounded only within these limits
	}
	c.checkDataCentres()
	c.checkEntryHosts()
	c.checkServices()
	c.checkRoutes()
	c.checkAlerts()
	c.checkDropped()
}

func (c *checker) invalid(path, format string, args ...any) {
	c.errs.Add(c.index.Line(path), path, format, args...)
}

func (c *checker) warn(path, format string, args ...any) {
	c.warnings.Add(c.index.Line(path), path, format, args...)
}

func (c *checker) atMost(path string, n, limit int) {
	if n > limit {
		c.errs.Add(c.index.Line(path+"[0]"), path, "has %d entries, the limit is %d", n, limit)
	}
}

// name checks the form of a name and that it is not in seen.
func (c *checker) name(path, name string, seen map[string]string) {
	if problem := CheckName(name); problem != "" {
		c.invalid(path+".name", "%s", problem)
		return
	}
	c.unique(path, path+".name", name, seen)
}

func (c *checker) unique(path, key, value string, seen map[string]string) {
	if first, ok := seen[value]; ok {
		c.invalid(key, "%q is already used by %s in line %d", truncate(value), first, c.index.Line(first))
		return
	}
	seen[value] = path
}

// CheckName returns the error text for an invalid name, or "".
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
			return fmt.Sprintf("%q must start with a letter or digit and contain only letters, digits, '-', '_' and '.'", name)
		}
	}
	return ""
}

// CheckAddress checks an address that others connect to. It returns the error text if
// the address is not the IP:port of a single host, or "". Host names are refused,
// because a lookup could block or its result could change.
func CheckAddress(address string) string {
	if address == "" {
		return "is missing"
	}
	ap, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return fmt.Sprintf("%q is not IP:port; host names are not allowed", truncate(address))
	case ap.Port() == 0:
		return fmt.Sprintf("%q has port 0", address)
	case ap.Addr().IsUnspecified() || ap.Addr().IsMulticast():
		return fmt.Sprintf("%q is an unspecified or multicast address", address)
	}
	return ""
}

func truncate(s string) string {
	if len(s) > MaxNameBytes {
		return s[:MaxNameBytes] + "..."
	}
	return s
}

func (c *checker) address(path, address string) {
	key := path + ".address"
	if problem := CheckAddress(address); problem != "" {
		c.invalid(key, "%s", problem)
		return
	}
	ap := netip.MustParseAddrPort(address)
	c.unique(path, key, netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()).String(), c.addresses)
}

func (c *checker) reference(key, what, name string, known map[string]string) {
	switch {
	case name == "":
		c.invalid(key, "is missing")
	case known[name] == "":
		c.invalid(key, "%s %q does not exist", what, truncate(name))
	}
}

func (c *checker) intRange(key string, v, lo, hi int) {
	if v < lo || v > hi {
		c.invalid(key, "is %d, must be from %d to %d", v, lo, hi)
	}
}

// floatRange also refuses NaN, which is a valid TOML value.
func (c *checker) floatRange(key string, v, lo, hi float64) {
	if !(v >= lo && v <= hi) {
		c.invalid(key, "is %v, must be from %v to %v", v, lo, hi)
	}
}

func (c *checker) durationRange(key string, v Duration, lo, hi time.Duration) {
	if d := time.Duration(v); d < lo || d > hi {
		c.invalid(key, "is %v, must be from %v to %v", d, lo, hi)
	}
}

func (c *checker) checkDataCentres() {
	for i := range c.file.DataCentres {
		dc, path := &c.file.DataCentres[i], elementPath("data_centres", i)
		c.name(path, dc.Name, c.dataCentres)
		if dc.Region != "" {
			if problem := CheckName(dc.Region); problem != "" {
				c.invalid(path+".region", "%s", problem)
			}
		}
	}
}

func (c *checker) checkEntryHosts() {
	names := map[string]string{}
	for i := range c.file.EntryHosts {
		h, path := &c.file.EntryHosts[i], elementPath("entry_hosts", i)
		c.name(path, h.Name, names)
		c.address(path, h.Address)
		c.reference(path+".data_centre", "data centre", h.DataCentre, c.dataCentres)
	}
}

func (c *checker) checkServices() {
	for i := range c.file.Services {
		s, path := &c.file.Services[i], elementPath("services", i)
		c.name(path, s.Name, c.services)
		c.durationRange(path+".run_limit", s.RunLimit, time.Millisecond, MaxRunLimit)
		c.floatRange(path+".probes_per_second", s.ProbesPerSecond, 0, 1e5)
		c.floatRange(path+".probe_bytes_per_second", s.ProbeBytesPerSecond, 0, 1e9)
		if problem := checkPath(s.HealthPath); problem != "" {
			c.invalid(path+".health_path", "%s", problem)
		}
		c.floatRange(path+".hedge_percent", s.HedgePercent, 0, 100)
		c.floatRange(path+".connections_per_second", s.ConnectionsPerSecond, 0, 1000)
		if len(s.BackendServers) == 0 {
			c.warn(path, "service %q has no backend servers", s.Name)
		}
		for j := range s.BackendServers {
			c.checkBackendServer(&s.BackendServers[j], elementPath(path+".backend_servers", j))
		}
	}
}

func (c *checker) checkBackendServer(b *BackendServer, path string) {
	c.name(path, b.Name, c.servers)
	c.address(path, b.Address)
	c.reference(path+".data_centre", "data centre", b.DataCentre, c.dataCentres)
	c.intRange(path+".slots", b.Slots, 1, 4096)
	c.intRange(path+".connections", b.Connections, 1, 65535)
	if b.Slots <= 4096 && b.Connections >= 1 && b.Connections < b.Slots {
		c.invalid(path+".connections", "is %d, must be at least the number of slots, %d", b.Connections, b.Slots)
	}
}

func elementPath(array string, i int) string { return fmt.Sprintf("%s[%d]", array, i) }
