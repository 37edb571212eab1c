package backend

import (
	"bufio"
	"bytes"

	"github.com/go-faster/errors"
)

var errStatus = errors.New("response with an invalid status")

// checkStatusLine checks the status of the response that follows in r, without reading it.
// fasthttp gives 200 for a status of zero and accepts others that are none. A first line
// that does not arrive or does not fit into the buffer is left to the reader of the head.
func checkStatusLine(r *bufio.Reader) error {
	line, ok := peekLine(r)
	if !ok {
		return nil
	}
	_, status, _ := bytes.Cut(line, []byte(" "))
	status, _, _ = bytes.Cut(status, []byte(" "))
	if len(status) != 3 || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]) {
		return errStatus
	}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// peekLine returns the first line in r that is not empty, without its end.
func peekLine(r *bufio.Reader) ([]byte, bool) {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			return nil, false
		}
		buffered, _ := r.Peek(r.Buffered())
		rest := bytes.TrimLeft(buffered, "\r\n")
		if line, _, ok := bytes.Cut(rest, []byte("\n")); ok {
			return bytes.TrimSuffix(line, []byte("\r")), true
		}
	}
}
