package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// LoadCertificate reads the certificate and key files of t. It fails if the
// certificate is not valid at now.
func (t TLS) LoadCertificate(now time.Time) (tls.Certificate, error) {
	certPEM, err := os.ReadFile(t.Certificate)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "read certificate")
	}
	keyPEM, err := os.ReadFile(t.Key)
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "read key")
	}
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "certificate %s with key %s", t.Certificate, t.Key)
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return tls.Certificate{}, errors.Wrapf(err, "certificate %s", t.Certificate)
	}
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return tls.Certificate{}, errors.Errorf("certificate %s is valid from %s to %s, now is %s", t.Certificate,
			leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339), now.UTC().Format(time.RFC3339))
	}
	cert.Leaf = leaf
	return cert, nil
}

// LoadAuthorities reads the CA certificates of t.
func (t TLS) LoadAuthorities() (*x509.CertPool, error) {
	raw, err := os.ReadFile(t.Authorities)
	if err != nil {
		return nil, errors.Wrap(err, "read authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, errors.Errorf("authorities %s: no PEM certificate found", t.Authorities)
	}
	return pool, nil
}

// CallerTLSConfig returns the TLS configuration of the listener for callers, or nil
// if caller_tls is empty. If authorities are set, callers must present a certificate
// issued by one of them. The listener serves HTTP/1.1.
func (s *Settings) CallerTLSConfig(now time.Time) (*tls.Config, error) {
	t := s.CallerTLS
	if t == (TLS{}) {
		return nil, nil
	}
	cert, err := t.LoadCertificate(now)
	if err != nil {
		return nil, errors.Wrap(err, "caller_tls")
	}
	c := &tls.Config{
		Certificates: []tls.Certificate{cert},
		MinVersion:   tls.VersionTLS12,
		NextProtos:   []string{"http/1.1"},
	}
	if t.Authorities != "" {
		if c.ClientCAs, err = t.LoadAuthorities(); err != nil {
			return nil, errors.Wrap(err, "caller_tls")
		}
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return c, nil
}

// CheckCertificates loads every certificate file named in the settings, including
// those for connections between entry hosts.
func (s *Settings) CheckCertificates(now time.Time) error {
	if _, err := s.CallerTLSConfig(now); err != nil {
		return err
	}
	if s.PeerTLS == (TLS{}) {
		return nil
	}
	if _, err := s.PeerTLS.LoadCertificate(now); err != nil {
		return errors.Wrap(err, "peer_tls")
	}
	if _, err := s.PeerTLS.LoadAuthorities(); err != nil {
		return errors.Wrap(err, "peer_tls")
	}
	return nil
}
