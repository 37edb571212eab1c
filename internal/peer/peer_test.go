package peer

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/gob"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/wire"
)

// echo is a handler whose calls can be blocked. It records the peak of concurrent calls.
type echo struct {
	block   chan struct{}
	running atomic.Int64
	peak    atomic.Int64
}

// Fetch returns the requested revision, or an error for revision 0.
func (e *echo) Fetch(req *wire.ManifestFetchRequest, reply *wire.ManifestFetchReply) error {
	n := e.running.Add(1)
	defer e.running.Add(-1)
	for old := e.peak.Load(); n > old && !e.peak.CompareAndSwap(old, n); old = e.peak.Load() {
	}
	if req.Revision == 0 {
		return errors.New("no revision")
	}
	if e.block != nil {
		<-e.block
	}
	reply.Revision = req.Revision
	return nil
}

func serve(t *testing.T, config ServerConfig, e *echo) *Server {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := NewServerWithConfig(l, config)
	is.NoErr(s.Register("Echo", e))
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Serve()
	}()
	t.Cleanup(func() {
		s.Close()
		<-done // Serve returns after the handlers have
	})
	return s
}

func call(c *Client, address string, revision uint64, d time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	reply := &wire.ManifestFetchReply{}
	err := c.Call(ctx, Control, address, "Echo.Fetch", &wire.ManifestFetchRequest{Header: wire.Header{Revision: revision}}, reply)
	return reply.Revision, err
}

// TestCallErrors guards against ErrNotSent for a call that may have reached the peer, and
// against a connection that stays in use although its peer does not respond.
func TestCallErrors(t *testing.T) {
	is := is.New(t)
	e := &echo{}
	s := serve(t, ServerConfig{}, e)
	address := s.listener.Addr().String()
	c := NewClient(nil)
	defer c.Close()
	got, err := call(c, address, 7, time.Second)
	is.NoErr(err)
	is.Equal(got, uint64(7))
	_, err = call(c, address, 0, time.Second)
	_, remote := errors.Into[*RemoteError](err)
	is.True(remote)
	e.block = make(chan struct{})
	_, err = call(c, address, 7, 50*time.Millisecond)
	is.True(errors.Is(err, ErrUnconfirmed))
	is.Equal(len(*c.conns.Load()), 0) // nothing was received, so the connection is closed
	close(e.block)
	_, err = call(c, address, 7, time.Second)
	is.NoErr(err)
	k := c.Traffic().MethodCounters("Echo.Fetch")
	is.Equal(k.Messages.Load(), int64(4))
	is.True(k.Sent.Load() > 0 && k.Received.Load() > 0)
	_, err = call(c, "127.0.0.1:1", 7, time.Second)
	is.True(errors.Is(err, ErrNotSent))
	c.Close()
	_, err = call(c, address, 7, time.Second)
	is.True(errors.Is(err, ErrNotSent)) // after Close nothing is sent
}

// TestIdleConnection guards against a call that fails because the peer closed the
// connection while it was idle.
func TestIdleConnection(t *testing.T) {
	is := is.New(t)
	const idle = 200 * time.Millisecond
	s := serve(t, ServerConfig{IdleTimeout: idle}, &echo{})
	c := NewClient(nil)
	defer c.Close()
	is.NoErr(c.Connect(context.Background(), Control, s.listener.Addr().String()))
	is.Equal(len(*c.conns.Load()), 1)
	for range 3 {
		time.Sleep(3 * idle) // a call that crosses the close may have run and is not sent again
		_, err := call(c, s.listener.Addr().String(), 7, time.Second)
		is.NoErr(err)
	}
}

// TestServerLimits guards against peers that exhaust connections or goroutines.
func TestServerLimits(t *testing.T) {
	is := is.New(t)
	e := &echo{block: make(chan struct{})}
	s := serve(t, ServerConfig{MaxConnections: 1, MaxCallsPerConnection: 4}, e)
	address := s.listener.Addr().String()
	c := NewClient(nil)
	defer c.Close()
	_, _ = call(c, address, 0, time.Second) // opens the only connection that the limit permits
	results := make(chan error, 16)
	for range 16 {
		go func() {
			_, err := call(c, address, 7, 5*time.Second)
			results <- err
		}()
	}
	for e.running.Load() < 4 {
		time.Sleep(time.Millisecond)
	}
	other := NewClient(nil)
	defer other.Close()
	_, err := call(other, address, 7, time.Second)
	is.True(err != nil) // the second connection is refused
	is.True(s.RefusedConnections() > 0)
	close(e.block)
	for range 16 {
		is.NoErr(<-results)
	}
	is.Equal(e.peak.Load(), int64(4))
}

// TestFrameReaderLimits guards against gob streams that make the server allocate unlimited
// memory: long messages and an unlimited number of type definitions.
func TestFrameReaderLimits(t *testing.T) {
	var types bytes.Buffer
	for range maxTypes + 1 {
		types.Write([]byte{2, 1, 0}) // length 2, type number -1
	}
	for _, c := range []struct {
		name   string
		stream []byte
		want   error
	}{
		{"long message", []byte{0xfc, 0x7f, 0xff, 0xff, 0xff, 2, 0}, errMessageSize},
		{"long length", []byte{0xf0, 1, 2, 3}, errFraming},
		{"empty message", []byte{0}, errFraming},
		{"type definitions", types.Bytes(), errTypes},
		{"large type definition", append([]byte{0xfd, 2, 0, 0, 0xff, 0xff}, make([]byte, 1<<17)...), errTypes},
		{"short messages", bytes.Repeat([]byte{3, 2, 0, 0}, 100), io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := io.Copy(io.Discard, struct{ io.Reader }{newFrameReader(bytes.NewReader(c.stream), 1<<20)})
			if c.want == io.EOF {
				is.NoErr(err)
				return
			}
			is.True(errors.Is(err, c.want))
		})
	}
}

// authority signs certificates for tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(is *is.I) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return &authority{key, cert}
}

// config returns the TLS configuration of a peer with a certificate of a that trusts
// certificates of trusted, loaded from PEM files.
func (a *authority) config(t *testing.T, is *is.I, trusted *authority) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	config, err := TLSConfig(false, write("cert", "CERTIFICATE", der), write("key", "PRIVATE KEY", keyDER), write("ca", "CERTIFICATE", trusted.cert.Raw))
	is.NoErr(err)
	return config
}

// TestTLS guards against the acceptance of a peer without a certificate of a known
// authority, as client or as server.
func TestTLS(t *testing.T) {
	is := is.New(t)
	fleet, other := newAuthority(is), newAuthority(is)
	good := fleet.config(t, is, fleet)
	for _, c := range []struct {
		name           string
		client, server *tls.Config
		ok             bool
	}{
		{"both of the fleet's authority", good, fleet.config(t, is, fleet), true},
		{"client of another authority", other.config(t, is, fleet), good, false},
		{"server of another authority", good, other.config(t, is, fleet), false},
		{"client without certificate", &tls.Config{InsecureSkipVerify: true}, good, false},
		{"plain client", nil, good, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := &echo{}
			config := ServerConfig{TLS: c.server}
			if c.client == nil {
				config.HandshakeTimeout = 200 * time.Millisecond // a plain client never begins a handshake
			}
			s := serve(t, config, e)
			client := NewClient(NewDial(c.client))
			defer client.Close()
			_, err := call(client, s.listener.Addr().String(), 7, time.Second)
			t.Logf("error: %v", err)
			is.Equal(err == nil, c.ok)
			is.Equal(e.peak.Load() > 0, c.ok)
		})
	}
	_, err := TLSConfig(false, "", "", "")
	is.True(err != nil) // plain text only when it is set explicitly
	plain, err := TLSConfig(true, "", "", "")
	is.NoErr(err)
	is.True(plain == nil)
}

// FuzzServer guards against crashes and unbounded memory allocation on malicious input.
func FuzzServer(f *testing.F) {
	var good bytes.Buffer
	enc := gob.NewEncoder(&good)
	_ = enc.Encode(rpc.Request{ServiceMethod: "Echo.Fetch", Seq: 1})
	_ = enc.Encode(wire.ManifestFetchRequest{Header: wire.Header{Revision: 3}})
	f.Add(good.Bytes())
	var ping bytes.Buffer
	enc = gob.NewEncoder(&ping)
	_ = enc.Encode(rpc.Request{ServiceMethod: "Echo.Ping", Seq: 1})
	_ = enc.Encode(wire.PingRequest{Updates: []wire.Update{{Member: &wire.Member{Name: "a"}}}})
	f.Add(ping.Bytes())
	f.Add([]byte{0xfc, 0x7f, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, stream []byte) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		server := rpc.NewServer()
		if err := server.RegisterName("Echo", &echo{}); err != nil {
			t.Fatal(err)
		}
		clientEnd, serverEnd := net.Pipe()
		go func() {
			_, _ = clientEnd.Write(stream)
			_ = clientEnd.Close()
		}()
		go func() { _, _ = io.Copy(io.Discard, clientEnd) }()
		server.ServeCodec(newServerCodec(serverEnd, 1<<20, 8, &Traffic{}))
		runtime.ReadMemStats(&after)
		if used := after.TotalAlloc - before.TotalAlloc; used > 64<<20+1000*uint64(len(stream)) {
			t.Fatalf("%d bytes allocated for a stream of %d bytes", used, len(stream))
		}
	})
}
