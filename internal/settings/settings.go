// Package settings holds the static settings of one process, read once at start.
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
	DataCentre string   `toml:"data_centre"` // where it stands
	Listen     string   `toml:"listen"`      // IP:port for callers
	Peer       string   `toml:"peer"`        // IP:port for other entry hosts
	Operator   string   `toml:"operator"`    // IP:port for operators
	Platform   []string `toml:"platform"`    // base URLs of the configuration service
	Peers      []string `toml:"peers"`       // peer addresses to start from
	LogLevel   string   `toml:"log_level"`   // debug, info, warn or error; default info
	Plaintext  bool     `toml:"plaintext"`   // true: no TLS between entry hosts

	// The next ones are used by hosts that are configured by a feed.
	Mesh            string  `toml:"mesh"`             // IP:port for datagrams between entry hosts
	Ready           string  `toml:"ready"`            // IP:port that the balancer asks for readiness
	RetryRatio      float64 `toml:"retry_ratio"`      // repeated sends of a service as a share of its requests, over the fleet; default 0.2
	RetrySlack      float64 `toml:"retry_slack"`      // repeated sends allowed beside that in 10 s, over the fleet; default 0
	MemoryMegabytes int64   `toml:"memory_megabytes"` // memory of the host; 0 means no limit is set

	CallerTLS TLS `toml:"caller_tls"` // empty: plain HTTP towards callers
	PeerTLS   TLS `toml:"peer_tls"`   // required unless plaintext

	MaxHeaderBytes int               `toml:"max_header_bytes"` // default 16384
	MaxBodyBytes   int               `toml:"max_body_bytes"`   // default 1048576
	MaxConnections int               `toml:"max_connections"`  // callers' connections; default 4096
	IdleTimeout    manifest.Duration `toml:"idle_timeout"`     // of a caller's connection; default 60s
	ReadTimeout    manifest.Duration `toml:"read_timeout"`     // for a whole request, and for a caller to read 64 KiB of its answer; default 10s
	Notice         manifest.Duration `toml:"notice"`           // time for the balancer to see readiness false; default 3s
	StopBound      manifest.Duration `toml:"stop_bound"`       // longest graceful stop after the notice; default 30s
}

// TLS names PEM files.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authorities string `toml:"authorities"` // certificates of the accepted issuers
}

// MaxBytes is the largest settings file in bytes.
const MaxBytes = 64 << 10

// Load reads and checks a settings file. Unknown keys are errors. Mistakes come
// with file, line and key, one per line.
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

// Parse decodes and checks settings. Mistakes come as a *tomlfile.Error with
// their lines and keys. Certificate files are not read.
func Parse(raw []byte) (*Settings, error) {
	if len(raw) > MaxBytes {
		return nil, errors.Errorf("settings have %d bytes, the limit is %d", len(raw), MaxBytes)
	}
	s, problems := Default(), &tomlfile.Problems{}
	index, ok := tomlfile.Decode(raw, s, problems)
	if !ok {
		return nil, problems.Err()
	}
	c := &checker{s: s, index: index, problems: problems}
	c.run()
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Default returns settings with every default in place.
func Default() *Settings {
	return &Settings{
		LogLevel: "info", MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, MaxConnections: 4096,
		RetryRatio: 0.2, IdleTimeout: seconds(60), ReadTimeout: seconds(10), Notice: seconds(3), StopBound: seconds(30),
	}
}

func seconds(n int64) manifest.Duration { return manifest.Duration(n * 1e9) }
