// Package manifest parses and checks the dynamic configuration that the
// operators' build pipeline publishes, and matches requests to its routes. A
// manifest is accepted or refused as a whole, by rules that depend on its bytes
// alone, so that all entry hosts decide alike. The manifests controller and the
// command line call it.
package manifest

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/tomlfile"
)

// MaxBytes is the maximum size of a manifest, which is the value size limit of
// the configuration service.
const MaxBytes = 1 << 20

// LoadPath is the path where backend servers report their load, unless the
// service sets another path.
const LoadPath = "/.backend/load"

// Limits of values that messages between entry hosts also contain.
const (
	MaxPriority = 9
	MaxRunLimit = 10 * time.Minute
)

// Problem is one error or warning with its line and key.
type Problem = tomlfile.Problem

// Duration is a time.Duration written in TOML as a Go duration string ("250ms").
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// File is the TOML form of a manifest.
type File struct {
	Revision    uint64       `toml:"revision"` // from 1, increases with each publication
	DataCentres []DataCentre `toml:"data_centres"`
	EntryHosts  []EntryHost  `toml:"entry_hosts"` // initial list; the host list of the configuration service is merged in
	Services    []Service    `toml:"services"`
	Routes      []Route      `toml:"routes"` // first match wins
	Limits      Limits       `toml:"limits"` // on what callers send; zero values keep the limits of the settings
	Alerts      []AlertRule  `toml:"alerts"`
	Dropped     []Dropped    `toml:"dropped"`
	// Accounts are the client accounts of a configuration that a feed publishes. With
	// none, requests need no key. Compile leaves one entry for each name.
	Accounts []Account `toml:"-"`
}

// Limits are the limits on the size and time of what a caller sends. A zero
// value keeps the limit of the settings.
type Limits struct {
	HeaderBytes int      `toml:"header_bytes"`
	BodyBytes   int      `toml:"body_bytes"`
	HeaderTime  Duration `toml:"header_time"` // from the first byte of a request to the end of its header section
	IdleTime    Duration `toml:"idle_time"`   // of a connection between requests
}

// DataCentre is a site with backend servers and entry hosts.
type DataCentre struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
	Out    bool   `toml:"out"` // true: receives no new work
}

// EntryHost is one host that runs anvilfront.
type EntryHost struct {
	Name       string `toml:"name"`
	Address    string `toml:"address"` // IP:port of the peer listener
	DataCentre string `toml:"data_centre"`
}

// Service is a set of backend servers that run the same application.
type Service struct {
	Name                 string          `toml:"name"`
	RunLimit             Duration        `toml:"run_limit"`              // maximum run time of a request; default 10s
	ProbesPerSecond      float64         `toml:"probes_per_second"`      // probe budget of the whole fleet; default 0 (no probes)
	ProbeBytesPerSecond  float64         `toml:"probe_bytes_per_second"` // probe traffic budget of the whole fleet; default 0 (limited only by the number of probes)
	HedgePercent         float64         `toml:"hedge_percent"`          // percentage of idempotent requests that are hedged; default 0 (off)
	ConnectionsPerSecond float64         `toml:"connections_per_second"` // connections opened in advance, per backend server and entry host; default 5
	HealthPath           string          `toml:"health_path"`            // returns health and load; default LoadPath if probes_per_second is set, otherwise none (not probed)
	ConnectionLimit      int             `toml:"connection_limit"`       // open connections of one backend server from the whole fleet; default: as listed with the server
	ColdPerSecond        float64         `toml:"cold_per_second"`        // requests per second that a cold backend server can handle; 0 means no limit
	ColdTime             Duration        `toml:"cold_time"`              // how long a backend server counts as cold after its start
	BackendServers       []BackendServer `toml:"backend_servers"`
}

// BackendServer is one process that runs requests of a service.
type BackendServer struct {
	Name        string `toml:"name"`
	Address     string `toml:"address"` // IP:port
	DataCentre  string `toml:"data_centre"`
	Slots       int    `toml:"slots"`       // concurrent requests it accepts
	Connections int    `toml:"connections"` // open connections from the whole fleet; default 250
	Leaving     bool   `toml:"leaving"`     // true: receives no new work
}

// Route maps requests to a service.
type Route struct {
	Name         string            `toml:"name"`
	Source       string            `toml:"source"`      // FILE:LINE in the replaced configuration
	Host         string            `toml:"host"`        // exact host in lower case, with the port if callers send one; empty matches any
	Path         string            `toml:"path"`        // exact path; empty matches any
	PathPrefix   string            `toml:"path_prefix"` // path prefix at a segment boundary; empty matches any
	Methods      []string          `toml:"methods"`     // empty matches any
	Service      string            `toml:"service"`
	Split        []WeightedService `toml:"split"`     // several services by weight, instead of service
	Objective    Duration          `toml:"objective"` // a response within this time has its full value; 0 means the deadline
	Idempotent   bool              `toml:"idempotent"`
	KeyRequired  bool              `toml:"key_required"`  // only for routes that are not idempotent
	Priority     int               `toml:"priority"`      // 0 to 9; higher is served first; default 0
	Deadline     Duration          `toml:"deadline"`      // default 2s
	Retries      int               `toml:"retries"`       // maximum retries of one request; default 0
	RetryErrors  bool              `toml:"retry_errors"`  // retry idempotent requests after a server error
	RetryPercent float64           `toml:"retry_percent"` // maximum retries as a percentage of the requests of the route; default 10
	Public       bool              `toml:"-"`             // requests need no key of an account
}

// WeightedService is one of several services among which a route is split.
type WeightedService struct {
	Service string  `toml:"service"`
	Weight  float64 `toml:"weight"`
}

// AlertRule defines when an alert fires on the value or rate of a counter.
type AlertRule struct {
	Name       string   `toml:"name"`
	Source     string   `toml:"source"`     // FILE:LINE in the replaced configuration
	Metric     string   `toml:"metric"`     // dotted counter name, for example refusals.overload
	Rate       bool     `toml:"rate"`       // true: compare the increase per second
	Comparison string   `toml:"comparison"` // one of > >= < <=
	Threshold  float64  `toml:"threshold"`
	For        Duration `toml:"for"` // how long the comparison must be true before the alert fires; default 0
}

// Dropped is a line of the replaced configuration that was left out on purpose.
type Dropped struct {
	Source string `toml:"source"` // FILE:LINE
	Reason string `toml:"reason"`
}

// Manifest is an accepted manifest. It is immutable and safe for concurrent use.
type Manifest struct {
	File              *File
	Raw               []byte   // as published
	Digest            [32]byte // SHA-256 of Raw
	Services          map[string]*Service
	DataCentresByName map[string]*DataCentre
	Warnings          []Problem // harmless but probably unintended settings, in the order of lines
	accountsByKey     map[KeyHash]*Account
}
