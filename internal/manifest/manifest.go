// Package manifest holds the dynamic configuration that the operators' build
// pipeline publishes. A manifest is accepted or refused as a whole, by rules
// that depend on its bytes alone, so that every entry host decides alike.
package manifest

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/tomlfile"
)

// MaxBytes is the largest manifest in bytes, the value limit of the platform.
const MaxBytes = 1 << 20

// LoadPath is where backend servers tell their load, unless a service names
// another path.
const LoadPath = "/.backend/load"

// Bounds of values that entry hosts also tell each other.
const (
	MaxPriority = 9
	MaxRunLimit = 10 * time.Minute
)

// Problem is one mistake or warning with its line and key.
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
	Revision    uint64       `toml:"revision"` // increases with each publication, from 1
	DataCentres []DataCentre `toml:"data_centres"`
	EntryHosts  []EntryHost  `toml:"entry_hosts"` // initial list; the platform's host list is merged in
	Services    []Service    `toml:"services"`
	Routes      []Route      `toml:"routes"` // first match wins
	Limits      Limits       `toml:"limits"` // what callers may send; zero values keep the settings' limits
	Alerts      []AlertRule  `toml:"alerts"`
	Dropped     []Dropped    `toml:"dropped"`
}

// Limits bound what a caller may send and how long it may take. A zero value
// keeps the limit of the settings.
type Limits struct {
	HeaderBytes int      `toml:"header_bytes"`
	BodyBytes   int      `toml:"body_bytes"`
	HeaderTime  Duration `toml:"header_time"` // from the first byte of a request to the end of its header
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
	RunLimit             Duration        `toml:"run_limit"`              // longest run of a request; default 10s
	ProbesPerSecond      float64         `toml:"probes_per_second"`      // measuring budget over the fleet; default 0 (no measurements)
	ProbeBytesPerSecond  float64         `toml:"probe_bytes_per_second"` // measuring budget over the fleet; default 0 (no limit besides the measurements)
	HedgePercent         float64         `toml:"hedge_percent"`          // hedged share of idempotent requests; default 0 (off)
	ConnectionsPerSecond float64         `toml:"connections_per_second"` // connections opened ahead, per backend server and entry host; default 5
	HealthPath           string          `toml:"health_path"`            // answers with health and load; default LoadPath with probes_per_second, else none: not measured
	ConnectionLimit      int             `toml:"connection_limit"`       // open connections of one backend server over the fleet; default: as listed with the server
	ColdPerSecond        float64         `toml:"cold_per_second"`        // requests a second that a cold backend server bears; 0 means no limit
	ColdTime             Duration        `toml:"cold_time"`              // how long a backend server is cold after its start
	BackendServers       []BackendServer `toml:"backend_servers"`
}

// BackendServer is one process that runs requests of a service.
type BackendServer struct {
	Name        string `toml:"name"`
	Address     string `toml:"address"` // IP:port
	DataCentre  string `toml:"data_centre"`
	Slots       int    `toml:"slots"`       // concurrent requests it accepts
	Connections int    `toml:"connections"` // open connections over the fleet; default 250
	Leaving     bool   `toml:"leaving"`     // true: receives no new work
}

// Route maps requests to a service.
type Route struct {
	Name         string            `toml:"name"`
	Source       string            `toml:"source"`      // file:line in the setup that was replaced
	Host         string            `toml:"host"`        // exact host in lower case, with the port if callers send one; empty matches any
	Path         string            `toml:"path"`        // exact path; empty matches any
	PathPrefix   string            `toml:"path_prefix"` // path prefix at a segment boundary; empty matches any
	Methods      []string          `toml:"methods"`     // empty matches any
	Service      string            `toml:"service"`
	Split        []WeightedService `toml:"split"`     // in place of service: several services by weight
	Objective    Duration          `toml:"objective"` // an answer within this time has its full worth; 0 means the deadline
	Idempotent   bool              `toml:"idempotent"`
	KeyRequired  bool              `toml:"key_required"`  // only for routes that are not idempotent
	Priority     int               `toml:"priority"`      // 0 to 9; higher is served first; default 0
	Deadline     Duration          `toml:"deadline"`      // default 2s
	Retries      int               `toml:"retries"`       // retries of one request; default 0
	RetryErrors  bool              `toml:"retry_errors"`  // an idempotent request is sent again after a server error
	RetryPercent float64           `toml:"retry_percent"` // retries as a share of the route's requests; default 10
}

// Share is one part of a route that is split over several services.
type WeightedService struct {
	Service string  `toml:"service"`
	Weight  float64 `toml:"weight"`
}

// AlertRule raises an alert on a counter.
type AlertRule struct {
	Name       string   `toml:"name"`
	Source     string   `toml:"source"`     // file:line in the setup that was replaced
	Metric     string   `toml:"metric"`     // dotted counter name, such as refusals.overload
	Rate       bool     `toml:"rate"`       // true: compare the increase per second
	Comparison string   `toml:"comparison"` // one of > >= < <=
	Threshold  float64  `toml:"threshold"`
	For        Duration `toml:"for"` // how long the comparison must hold; default 0
}

// Dropped names a line of the old setup that is left out on purpose.
type Dropped struct {
	Source string `toml:"source"` // file:line
	Reason string `toml:"reason"`
}

// Manifest is an accepted manifest. It is immutable and safe for concurrent use.
type Manifest struct {
	File              *File
	Raw               []byte   // the bytes as published
	Digest            [32]byte // SHA-256 of Raw
	Services          map[string]*Service
	DataCentresByName map[string]*DataCentre
	Warnings          []Problem // what is probably not meant, but harmless; in the order of lines
}
