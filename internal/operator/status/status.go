// Package status holds what an entry host tells operators. The operator
// listener encodes these types as JSON and the command line decodes them.
package status

import "github.com/anvilfront/anvilfront/internal/metrics"

// Status is the state of one entry host as it sees itself and the others.
type Status struct {
	Name           string           `json:"name"`
	DataCentre     string           `json:"data_centre"`
	Version        string           `json:"version"`
	Incarnation    string           `json:"incarnation"` // hexadecimal; changes with each start
	UptimeSeconds  float64          `json:"uptime_seconds"`
	Ready          bool             `json:"ready"`
	NotReadyReason string           `json:"not_ready,omitempty"` // why
	Revision       uint64           `json:"revision"`            // of the manifest in force; 0 for none
	Digest         string           `json:"digest,omitempty"`    // SHA-256 of the manifest, hexadecimal
	DataCentres    []DataCentre     `json:"data_centres"`
	Members        []Member         `json:"members"`
	Services       []Service        `json:"services"`
	Verdicts       map[string]int64 `json:"verdicts"`
	Refusals       map[string]int64 `json:"refusals"` // only reasons that occurred
	Retries        map[string]int64 `json:"retries"`  // only reasons that occurred
	PoisonRequests int              `json:"suspects"` // request fingerprints that are refused
	Alerts         []Alert          `json:"alerts"`   // firing
	Process        metrics.Process  `json:"process"`
}

// DataCentre tells whether a data centre receives new work.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Out    bool   `json:"out"`
}

// Member is one entry host.
type Member struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"` // alive, leaving or dead
}

// Service is what is known of the load of a service's backend servers in one
// data centre.
type Service struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Out        bool   `json:"out"`
	Servers    int    `json:"servers"`
	Known      int    `json:"known"`   // servers with a reading; the figures below are theirs
	Running    int    `json:"running"` // requests, as believed now
	Waiting    int    `json:"waiting"`
	Slots      int    `json:"slots"`
	AgeMillis  int64  `json:"age_millis"` // of the oldest reading
}

// Alert states.
const (
	AlertOK      = "ok"
	AlertPending = "pending" // the comparison holds, but not yet for the rule's time
	AlertFiring  = "firing"
	AlertNoData  = "no-data" // there is no such counter in this entry host
)

// Alert is the state of one alert rule.
type Alert struct {
	Name       string  `json:"name"`
	Source     string  `json:"source,omitempty"` // FILE:LINE in the setup that was replaced
	Metric     string  `json:"metric"`
	Rate       bool    `json:"rate"`
	Comparison string  `json:"comparison"`
	Threshold  float64 `json:"threshold"`
	State      string  `json:"state"`
	Value      float64 `json:"value"`
	ForSeconds float64 `json:"for_seconds"` // how long the comparison has held
}

// Explanation tells what happens to a request.
type Explanation struct {
	Method      string   `json:"method"`
	Host        string   `json:"host"`
	Path        string   `json:"path"`
	Revision    uint64   `json:"revision"`
	Route       string   `json:"route"` // empty when no route matches
	Source      string   `json:"source,omitempty"`
	Service     string   `json:"service,omitempty"`
	Idempotent  bool     `json:"idempotent"`
	KeyRequired bool     `json:"key_required"`
	Priority    int      `json:"priority"`
	Deadline    string   `json:"deadline,omitempty"`
	Eligible    int      `json:"eligible"` // number of eligible backend servers
	Servers     []Server `json:"servers"`
}

// Server tells whether a backend server is eligible for a request.
type Server struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Eligible   bool   `json:"eligible"`
	Reason     string `json:"reason,omitempty"` // why it is not eligible
	Known      bool   `json:"known"`            // there is a reading; the figures below are from it
	Running    int    `json:"running"`          // requests, as believed now
	Slots      int    `json:"slots"`
	AgeMillis  int64  `json:"age_millis"` // of the reading
	Inflight   int    `json:"inflight"`   // requests of this entry host
	Cold       bool   `json:"cold"`
}
