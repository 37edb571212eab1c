package manifest

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/tomlfile"
)

// Parse decodes, checks and compiles a manifest. Unknown keys are errors. The
// result depends on raw alone. An invalid file gives a *tomlfile.Error with the
// line and key of each error.
func Parse(raw []byte) (*Manifest, error) {
	if len(raw) > MaxBytes {
		return nil, errors.Errorf("manifest has %d bytes, the limit is %d", len(raw), MaxBytes)
	}
	f := &File{}
	problems := &tomlfile.Problems{}
	index, ok := tomlfile.Decode(raw, f, problems)
	if !ok {
		return nil, problems.Err()
	}
	setDefaults(f)
	c := &checker{file: f, index: index, errs: problems, warnings: &tomlfile.Problems{}}
	c.run()
	if err := problems.Err(); err != nil {
		return nil, err
	}
	m := compile(f, raw)
	m.Warnings = c.warnings.Sorted()
	return m, nil
}

func setDefaults(f *File) {
	for i := range f.Services {
		s := &f.Services[i]
		defaultDuration(&s.RunLimit, 10*time.Second)
		if s.HealthPath == "" && s.ProbesPerSecond > 0 {
			s.HealthPath = LoadPath
		}
		if s.ConnectionsPerSecond == 0 {
			s.ConnectionsPerSecond = 5
		}
		for j := range s.BackendServers {
			defaultInt(&s.BackendServers[j].Connections, 250)
		}
	}
	for i := range f.Routes {
		defaultDuration(&f.Routes[i].Deadline, 2*time.Second)
		if f.Routes[i].RetryPercent == 0 {
			f.Routes[i].RetryPercent = 10
		}
	}
}

func defaultDuration(d *Duration, v time.Duration) {
	if *d == 0 {
		*d = Duration(v)
	}
}

func defaultInt(p *int, v int) {
	if *p == 0 {
		*p = v
	}
}
