// Package settings loads and validates the static settings of one process from a
// TOML file, builds its logger and loads its TLS certificates. The commands serve
// and entry read the settings at startup, entry again on a reload.
package settings

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/tomlfile"
)

// Settings are the settings of one entry host.
type Settings struct {
	Name       string   `toml:"name"`        // unique name of the entry host
	DataCentre string   `toml:"data_centre"` // data centre of the entry host
	Listen     string   `toml:"listen"`      // IP:port for callers
	Peer       string   `toml:"peer"`        // IP:port for other entry hosts
	Operator   string   `toml:"operator"`    // IP:port for operators
	Platform   []string `toml:"platform"`    // base URLs of the configuration service
	Peers      []string `toml:"peers"`       // peer addresses used for the initial contact
	LogLevel   string   `toml:"log_level"`   // debug, info, warn or error; default info
	Plaintext  bool     `toml:"plaintext"`   // true: no TLS between entry hosts

	// The following settings are used by hosts configured by a feed.
	Mesh            string  `toml:"mesh"`             // IP:port for datagrams between entry hosts
	Ready           string  `toml:"ready"`            // IP:port of the readiness endpoint that the platform's load balancer queries
	RetryRatio      float64 `toml:"retry_ratio"`      // repeated attempts of a service as a share of its requests, across the fleet; default 0.2
	RetrySlack      float64 `toml:"retry_slack"`      // repeated attempts allowed in addition per 10 s, across the fleet; default 0
	MemoryMegabytes int64   `toml:"memory_megabytes"` // memory of the host; 0: no memory limit is set

	// Limits on what clients may use of a host configured by a feed.
	ReadyConnections      int               `toml:"ready_connections"`       // open connections of the readiness endpoint; default 64
	OperatorConnections   int               `toml:"operator_connections"`    // open connections of operators; default 32
	PeerConnections       int               `toml:"peer_connections"`        // open connections from other entry hosts; default 128, at most a fifth of the file descriptors
	BodyMemoryShare       float64           `toml:"body_memory_share"`       // of memory_megabytes, for bodies of requests; default 0.25
	RequestMemoryShare    float64           `toml:"request_memory_share"`    // of memory_megabytes, for heads of requests and waiting responses; default 0.12
	ConnectionMemoryShare float64           `toml:"connection_memory_share"` // of memory_megabytes, for connections of callers; default 0.1
	DescriptorShare       float64           `toml:"descriptor_share"`        // of the file descriptors, for connections of callers; default 0.45
	ClientShare           float64           `toml:"client_share"`            // of connections and request memory, for one client address; default 0.8
	MinClientRate         int64             `toml:"min_client_rate"`         // bytes a second below which the connection of a client is slow; default 32768
	SlowClientAfter       manifest.Duration `toml:"slow_client_after"`       // how far a client may lag behind that rate; default 1s

	CallerTLS TLS `toml:"caller_tls"` // empty: plain HTTP for callers
	PeerTLS   TLS `toml:"peer_tls"`   // required unless plaintext is true

	MaxHeaderBytes int               `toml:"max_header_bytes"` // default 16384
	MaxBodyBytes   int               `toml:"max_body_bytes"`   // default 1048576
	MaxConnections int               `toml:"max_connections"`  // maximum number of caller connections; default 4096
	IdleTimeout    manifest.Duration `toml:"idle_timeout"`     // for idle caller connections; default 60s
	ReadTimeout    manifest.Duration `toml:"read_timeout"`     // for reading a whole request, and for a caller to read 64 KiB of its response; default 10s
	Notice         manifest.Duration `toml:"notice"`           // time for the platform's load balancer to notice that the host is not ready; default 3s
	StopBound      manifest.Duration `toml:"stop_bound"`       // maximum duration of a graceful stop after Notice; default 30s
}

// TLS holds the paths of PEM files.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authorities string `toml:"authorities"` // CA certificates that peer or caller certificates are verified against
}

// MaxBytes is the maximum size of a settings file in bytes.
const MaxBytes = 64 << 10

// Load reads and checks a settings file. Unknown keys are errors. The error lists
// the problems of the file with file, line and key, one per line.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, errors.New(tomlfile.Describe(path, err))
	}
	return s, nil
}

// Parse decodes and checks settings. Problems are returned as a *tomlfile.Error
// with their lines and keys. Certificate files are not read.
func Parse(raw []byte) (*Settings, error) {
	if len(raw) > MaxBytes {
		return nil, errors.Errorf("settings file has %d bytes, the limit is %d", len(raw), MaxBytes)
	}
	s, problems := Default(), &tomlfile.Problems{}
	index, ok := tomlfile.Decode(raw, s, problems)
	if !ok {
		return nil, problems.Err()
	}
	c := &checker{s: s, index: index, problems: problems}
	c.checkAll()
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Default returns settings with the default values.
func Default() *Settings {
	return &Settings{
		LogLevel: "info", MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, MaxConnections: 4096,
		RetryRatio: 0.2, IdleTimeout: seconds(60), ReadTimeout: seconds(10), Notice: seconds(3), StopBound: seconds(30),
		ReadyConnections: 64, OperatorConnections: 32, PeerConnections: 128,
		BodyMemoryShare: 0.25, RequestMemoryShare: 0.12, ConnectionMemoryShare: 0.1, DescriptorShare: 0.45, ClientShare: 0.8,
		MinClientRate: 32 << 10, SlowClientAfter: seconds(1),
	}
}

func seconds(n int64) manifest.Duration { return manifest.Duration(n * 1e9) }
