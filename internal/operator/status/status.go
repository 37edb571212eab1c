// Package status defines the responses of the operator listener. Package operator
// encodes these types as JSON, and the commands of package cli decode them.
package status

import "github.com/anvilfront/anvilfront/internal/metrics"

// Status is the state of one entry host, with its view of the other entry hosts.
type Status struct {
	Name           string           `json:"name"`
	DataCentre     string           `json:"data_centre"`
	Version        string           `json:"version"`
	Incarnation    string           `json:"incarnation"` // hexadecimal; different after each start
	UptimeSeconds  float64          `json:"uptime_seconds"`
	Ready          bool             `json:"ready"`
	NotReadyReason string           `json:"not_ready,omitempty"` // reason why the host is not ready
	Revision       uint64           `json:"revision"`            // of the current manifest; 0 for none
	Digest         string           `json:"digest,omitempty"`    // SHA-256 of the manifest, hexadecimal
	DataCentres    []DataCentre     `json:"data_centres"`
	Members        []Member         `json:"members"`
	Services       []Service        `json:"services"`
	Verdicts       map[string]int64 `json:"verdicts"`
	Refusals       map[string]int64 `json:"refusals"` // only reasons that occurred
	Retries        map[string]int64 `json:"retries"`  // only reasons that occurred
	PoisonRequests int              `json:"suspects"` // number of request fingerprints that are refused
	Alerts         []Alert          `json:"alerts"`   // only alerts that are firing
	Process        metrics.Process  `json:"process"`
}

// DataCentre is one data centre of the manifest. Out is true if it receives no new
// requests.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Out    bool   `json:"out"`
}

// Member is one entry host as seen by the reporting host.
type Member struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"` // alive, leaving or dead
}

// Service is the estimated load of a service's backend servers in one data centre.
type Service struct {
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Out        bool   `json:"out"`
	Servers    int    `json:"servers"`
	Known      int    `json:"known"`   // number of servers with a reading; the figures below cover only these
	Running    int    `json:"running"` // estimated number of requests now
	Waiting    int    `json:"waiting"`
	Slots      int    `json:"slots"`
	AgeMillis  int64  `json:"age_millis"` // age of the oldest reading
}

// Alert states.
const (
	AlertOK      = "ok"
	AlertPending = "pending" // the comparison holds, but not yet for the rule's duration
	AlertFiring  = "firing"
	AlertNoData  = "no-data" // this entry host has no such counter
)

// Alert is the state of one alert rule.
type Alert struct {
	Name       string  `json:"name"`
	Source     string  `json:"source,omitempty"` // FILE:LINE in the configuration that was replaced
	Metric     string  `json:"metric"`
	Rate       bool    `json:"rate"`
	Comparison string  `json:"comparison"`
	Threshold  float64 `json:"threshold"`
	State      string  `json:"state"`
	Value      float64 `json:"value"`
	ForSeconds float64 `json:"for_seconds"` // how long the comparison has held
}

// Explanation describes how a request is routed.
type Explanation struct {
	Method      string   `json:"method"`
	Host        string   `json:"host"`
	Path        string   `json:"path"`
	Revision    uint64   `json:"revision"`
	Route       string   `json:"route"` // empty if no route matches
	Source      string   `json:"source,omitempty"`
	Service     string   `json:"service,omitempty"`
	Idempotent  bool     `json:"idempotent"`
	KeyRequired bool     `json:"key_required"`
	Priority    int      `json:"priority"`
	Deadline    string   `json:"deadline,omitempty"`
	Eligible    int      `json:"eligible"` // number of eligible backend servers
	Servers     []Server `json:"servers"`
}

// Server describes whether a backend server is eligible for a request.
type Server struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Eligible   bool   `json:"eligible"`
	Reason     string `json:"reason,omitempty"` // reason why it is not eligible
	Known      bool   `json:"known"`            // there is a reading; Running, Slots and AgeMillis are based on it
	Running    int    `json:"running"`          // estimated number of requests now
	Slots      int    `json:"slots"`
	AgeMillis  int64  `json:"age_millis"` // age of the reading
	Inflight   int    `json:"inflight"`   // requests in flight from this entry host
	Cold       bool   `json:"cold"`
}
