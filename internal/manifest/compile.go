package manifest

import (
	"bytes"
	"crypto/sha256"
)

// Compile builds a manifest from a file that the publisher has checked; it is
// not checked again. Raw is empty and Digest is zero.
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
	if len(f.Accounts) > 0 {
		f.Accounts = mergeAccounts(f.Accounts)
		m.accountsByKey = indexAccounts(f.Accounts)
	}
	return m
}
