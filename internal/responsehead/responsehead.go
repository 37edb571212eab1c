// Package responsehead checks the heads and trailers of HTTP responses more strictly than
// the libraries that read them. Each part of the program that reads responses calls it, so
// that a response that another reader would take for a different one is an error.
package responsehead

import (
	"bufio"
	"bytes"
	"strings"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// Errors of responses that must not be used.
var (
	ErrStatus = errors.New("response with an invalid status")
	ErrField  = errors.New("response with an invalid header field")
)

// Check checks the head of the response that follows in r, without reading it: its status,
// and that each further line is a header field. fasthttp gives 200 for a status of zero. It
// accepts whitespace in and behind the names of fields, joins a line that begins with
// whitespace to the one before it, and takes a bare LF for the end of a line or of the head,
// so that a field, the length of the body included, can be another one than the server meant.
//
// Check waits until the head has arrived. A head that breaks off or does not fit into the
// buffer is left to its reader. Errors: ErrStatus, ErrField.
func Check(r *bufio.Reader) error {
	_, err := check(r)
	return err
}

// head is what check found.
type head struct {
	length        int  // bytes of its sound lines, and of a status line that is not sound
	complete      bool // with the empty line at its end
	informational bool // another head follows
}

func check(r *bufio.Reader) (h head, err error) {
	for {
		line, ok := peekLine(r, h.length)
		if !ok {
			return h, nil
		}
		h.length += len(line)
		if len(bytes.Trim(line, "\r\n")) == 0 {
			continue // empty lines ahead of the status line
		}
		status, err := parseStatusLine(line)
		if err != nil {
			return h, err
		}
		h.informational = status[0] == '1'
		h.length, h.complete, err = checkFields(r, h.length, bytes.HasPrefix(line, chunkedVersion))
		return h, err
	}
}

// Trailer reads the trailer of a response in chunks. It implements bodies.Header.
type Trailer struct{ Header *fasthttp.ResponseHeader }

// ReadTrailer reads a trailer whose lines are as strict as those of a head.
func (t Trailer) ReadTrailer(r *bufio.Reader) error {
	if _, _, err := checkFields(r, 0, true); err != nil {
		return err
	}
	return t.Header.ReadTrailer(r)
}

// parseStatusLine returns the three digits of the status.
func parseStatusLine(line []byte) ([]byte, error) {
	line, ok := bytes.CutSuffix(line, crlf)
	_, status, _ := bytes.Cut(line, []byte(" "))
	status, _, _ = bytes.Cut(status, []byte(" "))
	if !ok || len(status) != 3 || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return nil, ErrStatus
	}
	return status, nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

var (
	crlf = []byte("\r\n")
	// chunkedVersion begins the status line of a response that can have a Transfer-Encoding.
	// With another version the libraries ignore the field, and chunk sizes become a part of
	// the body.
	chunkedVersion = []byte("HTTP/1.1 ")
)

// checkFields checks the lines from an offset in r to the empty line that ends them, and
// returns the offset behind the last sound one.
func checkFields(r *bufio.Reader, from int, canBeChunked bool) (end int, complete bool, err error) {
	for end = from; ; {
		line, ok := peekLine(r, end)
		if !ok {
			return end, false, nil
		}
		field, ok := bytes.CutSuffix(line, crlf)
		if ok && len(field) == 0 {
			return end + len(line), true, nil
		}
		name, _, colon := bytes.Cut(field, []byte(":"))
		if !ok || !colon || !httpguts.ValidHeaderFieldName(string(name)) {
			return end, false, ErrField
		}
		if !canBeChunked && strings.EqualFold(string(name), fasthttp.HeaderTransferEncoding) {
			return end, false, ErrField
		}
		end += len(line)
	}
}

// peekLine returns the line that begins at an offset in r, with its end.
func peekLine(r *bufio.Reader, from int) ([]byte, bool) {
	for searched := from; ; {
		buffered, _ := r.Peek(r.Buffered())
		if i := bytes.IndexByte(buffered[searched:], '\n'); i >= 0 {
			return buffered[from : searched+i+1], true
		}
		searched = len(buffered)
		if _, err := r.Peek(searched + 1); err != nil {
			return nil, false
		}
	}
}
