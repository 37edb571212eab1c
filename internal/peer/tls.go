package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"
)

// TLSConfig returns the TLS configuration for both ends of peer connections, or nil when
// plaintext is true. When it is false, all three PEM files are required.
func TLSConfig(plaintext bool, certificate, key, authorities string) (*tls.Config, error) {
	if plaintext {
		return nil, nil
	}
	if certificate == "" || key == "" || authorities == "" {
		return nil, errors.New("peer_tls needs certificate, key and authorities unless plaintext is true")
	}
	return LoadTLS(certificate, key, authorities)
}

// LoadTLS reads PEM files. Both ends must present a certificate of one of the
// authorities. Host names are not verified: peers are addressed by IP, a replaced host
// keeps its certificate under another address, and every holder of a certificate of the
// fleet's authority is a member of the fleet.
func LoadTLS(certificate, key, authorities string) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Wrap(err, "load peer certificate")
	}
	pem, err := os.ReadFile(authorities)
	if err != nil {
		return nil, errors.Wrap(err, "load peer authorities")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("no certificate in %s", authorities)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		// VerifyConnection verifies the chain; only the host name is not verified.
		InsecureSkipVerify: true,
		VerifyConnection:   func(cs tls.ConnectionState) error { return verifyChain(cs, roots) },
	}, nil
}

func verifyChain(cs tls.ConnectionState, roots *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
