package bodies

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/go-faster/errors"
)

// firstBufferBytes is the first buffer for a body. It does not follow the stated length,
// which a faulty sender may never send.
const firstBufferBytes = 4 << 10

// Header reads the trailer of a body in chunks.
type Header interface {
	ReadTrailer(r *bufio.Reader) error
}

// NewReader returns a reader of the body that follows a head: of the given length, in chunks
// if length is -1, or to the end of r if it is less. It returns io.EOF only after the marked
// end of the body.
func NewReader(r *bufio.Reader, length int, h Header) io.Reader {
	switch {
	case length >= 0:
		return &fixed{r: r, left: length}
	case length == -1:
		return &Chunked{r: r, chunks: httputil.NewChunkedReader(r), Trailer: h}
	}
	return r
}

// fixed reads a body of stated length.
type fixed struct {
	r    *bufio.Reader
	left int
}

// Read implements io.Reader.
func (b *fixed) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	switch {
	case b.left == 0:
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// Chunked reads a body in chunks and its trailer.
type Chunked struct {
	Trailer Header

	r      *bufio.Reader
	chunks io.Reader
}

// Read implements io.Reader.
func (b *Chunked) Read(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := b.Trailer.ReadTrailer(b.r); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF // the last chunk alone does not end the body
		}
		return n, err
	}
	return n, io.EOF
}

// Hold reads a body of the stated length, or -1, into memory, up to limit bytes. complete is
// false if the limit or the account of memory was reached before the end of the body.
func Hold(body io.Reader, length, limit int, memory *Reservation) (held []byte, complete bool, err error) {
	if length == 0 {
		return nil, true, nil
	}
	most := limit
	if length > 0 {
		most = min(most, length)
	}
	for {
		if len(held) == cap(held) {
			if len(held) >= limit {
				return held, false, nil
			}
			size := min(max(2*cap(held), firstBufferBytes), most)
			if !memory.Grow(size) {
				return held, false, nil
			}
			held = append(make([]byte, 0, size), held...)
		}
		n, err := body.Read(held[len(held):cap(held)])
		held = held[:len(held)+n]
		if err == io.EOF {
			return held, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}
