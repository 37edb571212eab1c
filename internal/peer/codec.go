package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"
	"sync/atomic"
)

// MethodCounters counts messages and bytes of one method. The bytes are those of the gob
// stream, without TLS and TCP overhead.
type MethodCounters struct {
	Messages, Sent, Received atomic.Int64
}

// Limits of the counters by method, since method names come from the network.
const (
	maxMethods      = 64
	maxMethodLength = 64
	otherMethod     = "other"
)

// Traffic counts messages and bytes by method.
type Traffic struct {
	methods sync.Map // string to *MethodCounters
	count   atomic.Int64
}

// MethodCounters returns the counters of a method, or those of otherMethod when the name
// is too long or maxMethods is reached.
func (t *Traffic) MethodCounters(method string) *MethodCounters {
	if k, ok := t.methods.Load(method); ok {
		return k.(*MethodCounters)
	}
	if len(method) > maxMethodLength || t.count.Load() >= maxMethods {
		method = otherMethod
	}
	k, loaded := t.methods.LoadOrStore(method, &MethodCounters{})
	if !loaded {
		t.count.Add(1)
	}
	return k.(*MethodCounters)
}

// Each calls f for each method seen so far.
func (t *Traffic) Each(f func(method string, k *MethodCounters)) {
	t.methods.Range(func(m, k any) bool {
		f(m.(string), k.(*MethodCounters))
		return true
	})
}

// Values returns messages and bytes by method, for expvar.Func.
func (t *Traffic) Values() any {
	out := map[string]map[string]int64{}
	t.Each(func(method string, k *MethodCounters) {
		out[method] = map[string]int64{"messages": k.Messages.Load(), "sent_bytes": k.Sent.Load(), "received_bytes": k.Received.Load()}
	})
	return out
}

// stream is one end of a gob connection with exact byte counts.
type stream struct {
	conn    io.ReadWriteCloser
	in      *frameReader
	dec     *gob.Decoder
	out     *bufio.Writer
	enc     *gob.Encoder
	written int64
	traffic *Traffic
}

func newStream(conn io.ReadWriteCloser, maxMessage int, t *Traffic) *stream {
	s := &stream{conn: conn, in: newFrameReader(conn, maxMessage), out: bufio.NewWriter(conn), traffic: t}
	s.dec = gob.NewDecoder(s.in)
	s.enc = gob.NewEncoder(s)
	return s
}

// Write implements io.Writer for the encoder.
func (s *stream) Write(p []byte) (int, error) {
	s.written += int64(len(p))
	return s.out.Write(p)
}

func (s *stream) send(method string, header, body any) error {
	before := s.written
	if err := s.enc.Encode(header); err != nil {
		return err
	}
	if err := s.enc.Encode(body); err != nil {
		return err
	}
	k := s.traffic.MethodCounters(method)
	k.Messages.Add(1)
	k.Sent.Add(s.written - before)
	return s.out.Flush()
}

type clientCodec struct {
	*stream
	start  int64
	method string
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	if err := c.send(r.ServiceMethod, r, body); err != nil {
		// After a partially written message the peer could not decode the stream.
		_ = c.conn.Close()
		return err
	}
	return nil
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	c.start = c.in.read
	err := c.dec.Decode(r)
	c.method = r.ServiceMethod
	return replaceEOF(err)
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	err := c.dec.Decode(body)
	c.traffic.MethodCounters(c.method).Received.Add(c.in.read - c.start)
	return replaceEOF(err)
}

// replaceEOF maps io.EOF to io.ErrUnexpectedEOF. When a connection that this side is
// closing reads io.EOF, net/rpc ends the calls that were already sent with rpc.ErrShutdown,
// the error that otherwise means that a call was never sent.
func replaceEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.Close() }

// serverCodec limits the in-flight calls on one connection: at the limit it reads no
// further request until the response to one of them is written.
type serverCodec struct {
	*stream
	slots  chan struct{}
	done   chan struct{}
	once   sync.Once
	start  int64
	method string
}

func newServerCodec(conn io.ReadWriteCloser, maxMessage, maxCalls int, t *Traffic) *serverCodec {
	return &serverCodec{
		stream: newStream(conn, maxMessage, t),
		slots:  make(chan struct{}, maxCalls), done: make(chan struct{}),
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	select {
	case c.slots <- struct{}{}:
	case <-c.done:
		return io.EOF
	}
	c.start = c.in.read
	err := c.dec.Decode(r)
	c.method = r.ServiceMethod
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.dec.Decode(body)
	c.traffic.MethodCounters(c.method).Received.Add(c.in.read - c.start)
	return err
}

// WriteResponse implements rpc.ServerCodec and frees the slot of the request. net/rpc
// calls it exactly once for each request whose header was read.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	err := c.send(r.ServiceMethod, r, body)
	<-c.slots
	if err != nil {
		_ = c.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.conn.Close()
}
