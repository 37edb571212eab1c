package manifest

import (
	"bytes"
	"crypto/sha256"
	"time"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// Parse decodes, checks and compiles a manifest. Unknown keys are errors. The
// result depends on raw alone.
func Parse(raw []byte) (*Manifest, error) {
	if len(raw) > MaxBytes {
		return nil, errors.Errorf("manifest has %d bytes, the limit is %d", len(raw), MaxBytes)
	}
	f := &File{}
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := dec.Decode(f); err != nil {
		return nil, errors.Wrap(err, "decode manifest")
	}
	setDefaults(f)
	if err := check(f); err != nil {
		return nil, errors.Wrap(err, "check manifest")
	}
	return compile(f, raw), nil
}

func setDefaults(f *File) {
	for i := range f.Services {
		s := &f.Services[i]
		setDuration(&s.RunLimit, 10*time.Second)
		setDuration(&s.ReportAge, 500*time.Millisecond)
		setInt(&s.MaxEjectedPercent, 30)
		setInt(&s.QueueLength, 64)
		if s.ConnectionsPerSecond == 0 {
			s.ConnectionsPerSecond = 5
		}
		for j := range s.BackendServers {
			setInt(&s.BackendServers[j].Connections, 250)
		}
	}
	for i := range f.Routes {
		setDuration(&f.Routes[i].Deadline, 2*time.Second)
		if f.Routes[i].RetryPercent == 0 {
			f.Routes[i].RetryPercent = 10
		}
	}
}

func setDuration(d *Duration, v time.Duration) {
	if *d == 0 {
		*d = Duration(v)
	}
}

func setInt(p *int, v int) {
	if *p == 0 {
		*p = v
	}
}

func check(f *File) error {
	if f.Revision == 0 {
		return errors.New("revision must be 1 or more")
	}
	centres := map[string]bool{}
	for _, c := range f.DataCentres {
		centres[c.Name] = true
	}
	services := map[string]bool{}
	for _, s := range f.Services {
		services[s.Name] = true
		for _, b := range s.BackendServers {
			if !centres[b.DataCentre] {
				return errors.Errorf("backend server %q: data centre %q does not exist", b.Name, b.DataCentre)
			}
		}
	}
	for _, r := range f.Routes {
		if !services[r.Service] {
			return errors.Errorf("route %q: service %q does not exist", r.Name, r.Service)
		}
	}
	return nil
}

func compile(f *File, raw []byte) *Manifest {
	m := &Manifest{
		File: f, Raw: bytes.Clone(raw), Digest: sha256.Sum256(raw),
		Services: map[string]*Service{}, Pools: map[PoolID]*Pool{},
		ByName: map[string][]*Pool{}, Centres: map[string]*DataCentre{},
	}
	for i := range f.DataCentres {
		m.Centres[f.DataCentres[i].Name] = &f.DataCentres[i]
	}
	for i := range f.Services {
		s := &f.Services[i]
		m.Services[s.Name] = s
		m.addPools(s)
	}
	return m
}

func (m *Manifest) addPools(s *Service) {
	count := map[string]int{}
	for i := range s.BackendServers {
		b := &s.BackendServers[i]
		id := PoolID{Service: s.Name, DataCentre: b.DataCentre, Shard: count[b.DataCentre] / MaxShard}
		count[b.DataCentre]++
		p := m.Pools[id]
		if p == nil {
			p = &Pool{ID: id, Service: s, Out: m.Centres[b.DataCentre].Out}
			m.Pools[id] = p
			m.ByName[s.Name] = append(m.ByName[s.Name], p)
		}
		p.Servers = append(p.Servers, b)
	}
}
