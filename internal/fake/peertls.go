package fake

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/peer"
)

// PeerTLS returns the TLS configuration of both ends of a peer connection, with
// a certificate that is valid for one hour. It writes the PEM files to dir.
func PeerTLS(dir string) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, err
	}
	cert, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for path, block := range map[string]*pem.Block{cert: {Type: "CERTIFICATE", Bytes: der}, keyFile: {Type: "PRIVATE KEY", Bytes: keyDER}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			return nil, err
		}
	}
	return peer.LoadTLS(cert, keyFile, cert)
}

// ConnCounters counts the bytes and writes of connections below TLS, without TCP and
// IP headers.
type ConnCounters struct {
	Sent, Received, Writes atomic.Int64
}

// Dial returns a peer.Dial over TLS, or over plain TCP if config is nil, whose
// connections are counted in c.
func (c *ConnCounters) Dial(config *tls.Config) peer.Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		conn := net.Conn(&countingConn{raw, c})
		if config == nil {
			return conn, nil
		}
		t := tls.Client(conn, config)
		if err := t.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		return t, nil
	}
}

type countingConn struct {
	net.Conn
	counters *ConnCounters
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.Sent.Add(int64(n))
	c.counters.Writes.Add(1)
	return n, err
}
