package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const validSettings = `name = "eh1"
data_centre = "sgn1"
listen = "0.0.0.0:8080"
peer = "10.0.0.1:7000"
operator = "127.0.0.1:9000"
platform = ["http://10.0.9.1:80"]
peers = ["10.0.0.2:7000"]
log_level = "info"
plaintext = true
`

// TestParseMistakes guards against invalid settings that are accepted, or reported
// with a wrong line or key.
func TestParseMistakes(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	is.New(t).NoErr(err)
	is.New(t).Equal(s.MaxConnections, 4096)
	for _, c := range []struct{ old, new, want string }{
		{`"eh1"`, `""`, "line 1: name: is missing"},
		{`"sgn1"`, `"a b"`, "line 2: data_centre: \"a b\" must start"},
		{"0.0.0.0:8080", "localhost:8080", "line 3: listen: \"localhost:8080\" is not IP:port"},
		{"10.0.0.1:7000", "0.0.0.0:7000", "line 4: peer: \"0.0.0.0:7000\" is not an address that other"},
		{"127.0.0.1:9000", "10.0.0.1:7000", "line 5: operator: \"10.0.0.1:7000\" is already used by peer"},
		{"http://10.0.9.1:80", "http://config:80", "line 6: platform: \"config:80\" is not IP:port"},
		{"http://10.0.9.1:80", "ftp://10.0.9.1:80", "is not a URL"},
		{`"10.0.0.2:7000"`, `"10.0.0.2:7000", "10.0.0.2:7000"`, "line 7: peers: \"10.0.0.2:7000\" is listed twice"},
		{`"info"`, `"loud"`, "line 8: log_level: \"loud\" is not one of"},
		{"plaintext = true", "", "peer_tls: is missing"},
		{"plaintext = true", "[peer_tls]\ncertificate = \"a\"", "line 9: peer_tls.key: is missing"},
		{"plaintext = true", "plaintext = true\n[peer_tls]\ncertificate = \"a\"", "line 10: peer_tls: cannot be set together"},
		{"plaintext = true", "plaintext = true\n[caller_tls]\nkey = \"a\"", "line 10: caller_tls.certificate: is missing"},
		{"plaintext = true", "plaintext = true\nstop_bound = \"0s\"\nmax_connections = 0", "line 10: stop_bound: is 0s, must be from 1s to 1h0m0s\nline 11: max_connections: is 0"},
		{"plaintext", "plain_text", "line 9: plain_text: unknown key"},
		{"plaintext = true", "plaintext = true\nmesh = \"host:1\"", "line 10: mesh: \"host:1\" is not IP:port"},
		{"plaintext = true", "plaintext = true\nready = \"7\"", "line 10: ready: \"7\" is not IP:port"},
		{"plaintext = true", "plaintext = true\nretry_ratio = 1.5\nretry_slack = -1.0", "line 10: retry_ratio: is 1.5, must be from 0 to 1\nline 11: retry_slack: is -1"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: got %v, want %q", c.new, c.old, err, c.want)
		}
	}
}

// TestCallerTLSConfig guards against certificate faults that are detected only when
// the first caller connects.
func TestCallerTLSConfig(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	good, other := writeKeyPair(t, "good", now), writeKeyPair(t, "other", now)
	s := Default()
	c, err := s.CallerTLSConfig(now)
	is.NoErr(err)
	is.True(c == nil) // empty settings mean plain HTTP
	s.CallerTLS = good
	c, err = s.CallerTLSConfig(now)
	is.NoErr(err)
	is.Equal(len(c.Certificates), 1)
	s.CallerTLS.Authorities = good.Certificate
	c, err = s.CallerTLSConfig(now)
	is.NoErr(err)
	is.True(c.ClientCAs != nil)
	is.NoErr((&Settings{CallerTLS: s.CallerTLS, PeerTLS: s.CallerTLS}).CheckCertificates(now))
	for _, bad := range []struct {
		tls  TLS
		now  time.Time
		want string
	}{
		{TLS{Certificate: good.Certificate, Key: other.Key}, now, "private key does not match"},
		{good, now.Add(48 * time.Hour), "is valid from"},
		{TLS{Certificate: "absent.pem", Key: good.Key}, now, "read certificate"},
		{TLS{Certificate: good.Certificate, Key: "absent.pem"}, now, "read key"},
		{TLS{Certificate: good.Certificate, Key: good.Key, Authorities: good.Key}, now, "no PEM certificate found"},
	} {
		s.CallerTLS = bad.tls
		_, err = s.CallerTLSConfig(bad.now)
		peers := &Settings{PeerTLS: bad.tls}
		if peers.PeerTLS.Authorities == "" {
			peers.PeerTLS.Authorities = good.Certificate
		}
		peerErr := peers.CheckCertificates(bad.now)
		if err == nil || peerErr == nil || !strings.Contains(err.Error(), bad.want) || !strings.Contains(peerErr.Error(), bad.want) ||
			!strings.Contains(err.Error(), "caller_tls") || !strings.Contains(peerErr.Error(), "peer_tls") {
			t.Errorf("got %v and %v, want %q", err, peerErr, bad.want)
		}
	}
}

func writeKeyPair(t *testing.T, name string, now time.Time) TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.New(t).NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: now.Add(-time.Hour), NotAfter: now.Add(24 * time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.New(t).NoErr(err)
	der, err := x509.MarshalECPrivateKey(key)
	is.New(t).NoErr(err)
	dir := t.TempDir()
	pair := TLS{Certificate: filepath.Join(dir, name+".pem"), Key: filepath.Join(dir, name+".key")}
	is.New(t).NoErr(os.WriteFile(pair.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
	is.New(t).NoErr(os.WriteFile(pair.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), 0o600))
	return pair
}

// FuzzParse guards against a panic on a malicious settings file.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[peer_tls]\n[peer_tls.key]\nx=1"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse(raw)
		if (s == nil) == (err == nil) {
			t.Fatal("no settings and no error, or both")
		}
	})
}
