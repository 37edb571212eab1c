package callers

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/valyala/fasthttp"
)

// FuzzHeadEnd guards against a head that the parser accepts and whose end is not found: the
// caller would wait until its time is over. It also guards against an end that depends on
// how the head arrives, and against a head that is counted shorter than the parser reads it.
func FuzzHeadEnd(f *testing.F) {
	for _, raw := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\nA: b\r\n\r\nrest", "GET / HTTP/1.1\nA: b\n\nrest",
		"GET / HTTP/1.1\r\nA: b\n\r\n", "GET / HTTP/1.1\r\nA: b\n\nC: d\r\n\r\n", "GET /\r\n", "\n\n\n", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
	} {
		f.Add([]byte(raw), 3)
	}
	f.Fuzz(func(t *testing.T, raw []byte, split int) {
		size, complete := headEnd(raw, 0)
		split = max(0, min(split, len(raw)))
		if _, before := headEnd(raw[:split], 0); !before {
			if again, c := headEnd(raw, split); again != size || c != complete {
				t.Errorf("after %d bytes the head ends at %d (%v), as a whole at %d (%v)", split, again, c, size, complete)
			}
		}
		r := bufio.NewReaderSize(bytes.NewReader(raw), max(16, len(raw)))
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		err := req.Header.Read(r)
		if err != nil {
			return
		}
		read := len(raw) - r.Buffered()
		if !complete && !malformedStart(raw) {
			t.Errorf("the parser accepts a head of %d bytes whose end is not found", read)
		}
		if complete && read > size {
			t.Errorf("the parser reads a head of %d bytes, %d are counted", read, size)
		}
	})
}
