package callers

import (
	"bufio"
	"bytes"
	"io"

	"github.com/anvilfront/anvilfront/internal/admission"
	"github.com/anvilfront/anvilfront/internal/manifest"
)

// awaitHead waits until the head of a request is in the read buffer and returns the memory
// that the request will take up, before any of it is taken. It returns as well when the head
// cannot be complete, which reading it then reports.
func (c *conn) awaitHead(limits manifest.Limits) (cost int64) {
	searched := 0
	for {
		held, _ := c.r.Peek(c.r.Buffered())
		size, complete := headEnd(held, searched)
		searched = len(held)
		if complete || malformedStart(held) {
			return admission.RequestCost(size, bytes.Count(held[:size], newline))
		}
		if len(held) == c.r.Size() && !c.growBuffer(limits.HeaderBytes) {
			return admission.RequestCost(size, bytes.Count(held, newline))
		}
		if _, err := c.r.Peek(len(held) + 1); err != nil {
			return admission.RequestCost(size, bytes.Count(held, newline))
		}
	}
}

var (
	newline   = []byte("\n")
	emptyLine = []byte("\n\r\n")
	bareLine  = []byte("\n\n")
	version   = []byte(" HTTP/")
)

// headEnd returns the length of the head in b and whether it is complete, given that its
// first bytes were searched before. Empty lines ahead of the request line do not end it.
func headEnd(b []byte, searched int) (int, bool) {
	start := len(b) - len(bytes.TrimLeft(b, "\r\n"))
	from := min(max(start, searched-len(emptyLine)+1), len(b))
	end := -1
	for _, mark := range [][]byte{emptyLine, bareLine} {
		if i := bytes.Index(b[from:], mark); i >= 0 && (end < 0 || from+i+len(mark) < end) {
			end = from + i + len(mark)
		}
	}
	if end >= 0 {
		return end, true
	}
	return len(b), false
}

// malformedStart reports whether the first line is complete and no request line, so that the
// caller is told at once and not when its time is over.
func malformedStart(b []byte) bool {
	line, _, complete := bytes.Cut(bytes.TrimLeft(b, "\r\n"), newline)
	return complete && !bytes.Contains(line, version)
}

// growBuffer replaces the read buffer by one that holds a head of the greatest allowed size.
// It returns false if the buffer has that size. Most heads fit into the first buffer, and
// connections are many.
func (c *conn) growBuffer(headerBytes int) bool {
	if c.r.Size() >= headerBytes {
		return false
	}
	held, _ := c.r.Peek(c.r.Buffered())
	c.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(held)), c.input), headerBytes)
	_, _ = c.r.Peek(len(held))
	return true
}

// shrinkBuffer returns to the first read buffer once nothing is left in the larger one.
func (c *conn) shrinkBuffer() {
	if c.r != c.firstReader && c.r.Buffered() == 0 {
		c.firstReader.Reset(c.input)
		c.r = c.firstReader
	}
}

// callerReader reads from a caller and reports progress.
type callerReader struct{ *conn }

// Read implements io.Reader.
func (r callerReader) Read(p []byte) (int, error) {
	n, err := r.netConn.Read(p)
	if n > 0 {
		r.admitted.Read(n, r.server.Clock.Now())
	}
	return n, err
}
