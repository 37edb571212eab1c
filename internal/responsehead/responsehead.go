// Package responsehead checks the heads and trailers of HTTP responses more strictly than
// the libraries that read them. Each part of the program that reads responses calls it, so
// that a response that another reader would take for a different one is an error.
package responsehead

import (
	"bufio"
	"bytes"
	"net/http"

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
// accepts blanks in and behind the names of fields, joins a line that begins with a blank to
// the one before it, and takes a bare LF for the end of a line or of the head, so that a
// field, the length of the body included, can be another one than the server meant.
//
// A head that breaks off or does not fit into the buffer is left to its reader.
func Check(r *bufio.Reader) error {
	end := 0
	for {
		line, ok := peekLine(r, end)
		if !ok {
			return nil
		}
		end += len(line)
		if len(bytes.Trim(line, "\r\n")) == 0 {
			continue // empty lines ahead of the status line
		}
		if err := checkStatusLine(line); err != nil {
			return err
		}
		return checkFields(r, end)
	}
}

// Trailer reads the trailer of a response in chunks. It implements bodies.Header.
type Trailer struct{ Header *fasthttp.ResponseHeader }

// ReadTrailer reads a trailer whose lines are as strict as those of a head.
func (t Trailer) ReadTrailer(r *bufio.Reader) error {
	if err := checkFields(r, 0); err != nil {
		return err
	}
	return t.Header.ReadTrailer(r)
}

// CheckNames checks the names of fields that net/http has read. It accepts blanks in and
// behind names, and ignores such a field even if it gives the length of the body.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrField
		}
	}
	return nil
}

func checkStatusLine(line []byte) error {
	line, ok := bytes.CutSuffix(line, crlf)
	_, status, _ := bytes.Cut(line, []byte(" "))
	status, _, _ = bytes.Cut(status, []byte(" "))
	if !ok || len(status) != 3 || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return ErrStatus
	}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

var crlf = []byte("\r\n")

// checkFields checks the lines from an offset in r to the empty line that ends them.
func checkFields(r *bufio.Reader, from int) error {
	for {
		line, ok := peekLine(r, from)
		if !ok {
			return nil
		}
		from += len(line)
		field, ok := bytes.CutSuffix(line, crlf)
		if ok && len(field) == 0 {
			return nil
		}
		name, _, colon := bytes.Cut(field, []byte(":"))
		if !ok || !colon || !httpguts.ValidHeaderFieldName(string(name)) {
			return ErrField
		}
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
