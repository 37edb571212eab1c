package manifest

import (
	"bytes"
	"crypto/sha256"
)

// Compile builds a manifest from a file that was checked by the publisher. It
// has no bytes and no digest, and does not check the file again.
func Compile(f *File) *Manifest {
	m := compile(f, nil)
	m.Digest = [32]byte{}
	return m
}

func compile(f *File, raw []byte) *Manifest {
	m := &Manifest{
		File: f, Raw: bytes.Clone(raw), Digest: sha256.Sum256(raw),
		Services: map[string]*Service{}, DataCentresByName: map[string]*DataCentre{},
	}
	for i := range f.DataCentres {
		m.DataCentresByName[f.DataCentres[i].Name] = &f.DataCentres[i]
	}
	for i := range f.Services {
		s := &f.Services[i]
		m.Services[s.Name] = s
	}
	return m
}
