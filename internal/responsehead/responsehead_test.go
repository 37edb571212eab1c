package responsehead

import (
	"bufio"
	"bytes"
	"regexp"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestCheck guards against a head whose lines are no header fields, and against one that is
// refused although it is sound or still arrives.
func TestCheck(t *testing.T) {
	for head, want := range map[string]error{
		"HTTP/1.1 200 OK\r\n\r\n":                          nil,
		"HTTP/1.1 200\r\n\r\n":                             nil,
		"\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":                  nil,
		"HTTP/1.1 200 OK\r\nA: b\r\nC:d\r\nE:\r\n\r\n":     nil,
		"HTTP/1.1 200 OK\r\nA: b:c d\t\x80\r\n\r\n":        nil,
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0aZ: b\r\n\r\n": nil,
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n B : c\r\n":        nil, // in the body
		"":                            nil, // these break off
		"HTTP/1.1 000":                nil,
		"HTTP/1.1 200 OK\r\nA b: c":   nil,
		"HTTP/1.1 200 OK\r\nA: b\r\n": nil,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":   nil,
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n":            nil,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":   ErrField,
		"HTTP/1.2 200 OK\r\nA: b\r\ntransfer-encoding: x\r\n\r\n": ErrField,
		"HTTP/1.1 000 Nothing\r\n\r\n":                            ErrStatus,
		"HTTP/1.1 200 OK\n\r\n\r\n":                               ErrStatus,
		"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n":                       ErrField,
		"HTTP/1.1 200 OK\r\nA : c\r\n\r\n":                        ErrField,
		"HTTP/1.1 200 OK\r\nA\t: c\r\n\r\n":                       ErrField,
		"HTTP/1.1 200 OK\r\n A: c\r\n\r\n":                        ErrField,
		"HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n":                    ErrField,
		"HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n\r\n":                  ErrField,
		"HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\n":                    ErrField,
		"HTTP/1.1 200 OK\r\nA\x00: b\r\n\r\n":                     ErrField,
		"HTTP/1.1 200 OK\r\n\rA: b\r\n\r\n":                       ErrField,
		"HTTP/1.1 200 OK\r\n\r\r\n\r\n":                           ErrField,
		"HTTP/1.1 200 OK\r\n\nA: b\r\n\r\n":                       ErrField,
		"HTTP/1.1 200 OK\r\nA: b\nC: d\r\n\r\n":                   ErrField,
		"HTTP/1.1 200 OK\r\nA: b\n\r\n":                           ErrField,
		"HTTP/1.1 200 OK\r\nA\r\n\r\n":                            ErrField,
		"HTTP/1.1 200 OK\r\n: b\r\n\r\n":                          ErrField,
		"HTTP/1.1 200 OK\r\nA\xc3\xa9: b\r\n\r\n":                 ErrField,
	} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Check(bufio.NewReader(strings.NewReader(head))), want)
			is.Equal(Check(bufio.NewReader(iotest.OneByteReader(strings.NewReader(head)))), want)
		})
	}
}

// TestTrailer guards against a trailer whose lines are no header fields.
func TestTrailer(t *testing.T) {
	for trailer, ok := range map[string]bool{
		"\r\n":                 true,
		"A: b\r\nC: d\r\n\r\n": true,
		"A b: c\r\n\r\n":       false,
		"A : c\r\n\r\n":        false,
		" A: c\r\n\r\n":        false,
		"\nA: c\r\n\r\n":       false,
		"A: b\nC: d\r\n\r\n":   false,
		"A: b\r\n C\r\n\r\n":   false,
		"A: b\r\n":             false,
	} {
		t.Run(trailer, func(t *testing.T) {
			is := is.New(t)
			r := bufio.NewReader(strings.NewReader(trailer))
			err := Trailer{Header: &fasthttp.ResponseHeader{}}.ReadTrailer(r)
			is.Equal(err == nil, ok)
			is.True(!ok || r.Buffered() == 0)
		})
	}
}

var field = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+:")

// FuzzCheck guards against a head that passes the check and that fasthttp then reads as
// other fields, or with another end, than its lines have.
func FuzzCheck(f *testing.F) {
	for _, s := range []string{
		"A: b\r\n\r\nbody", "A b: c\r\n\r\n", "A : c\r\n\r\n", " A: b\r\n\r\n", "A: b\r\n C: d\r\n\r\n", "\nA: b\r\n\r\n",
		"A: b\nC: d\r\n\r\n", "A: b\n\r\n\r\n\r\n", "\rA: b\r\n\r\n", "Content-Length : 2\r\n\r\nok",
	} {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + s))
		f.Add([]byte("\r\nHTTP/1.1 200 OK\r\nX: y\r\n" + s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(raw), max(16, len(raw)))
		var h fasthttp.ResponseHeader
		if Check(r) != nil || h.Read(r) != nil {
			return
		}
		head := raw[:len(raw)-r.Buffered()]
		lines := strings.Split(strings.TrimLeft(string(head), "\r\n"), "\r\n")
		if n := len(lines); n < 3 || lines[n-1] != "" || lines[n-2] != "" {
			t.Fatalf("a head that ends with %q", head)
		}
		for _, line := range lines[1 : len(lines)-2] {
			if !field.MatchString(line) || strings.Contains(line, "\n") {
				t.Errorf("%q counts as a field", line)
			}
		}
		if h.StatusCode() < 100 || h.StatusCode() > 599 {
			t.Errorf("status %d", h.StatusCode())
		}
	})
}

// BenchmarkCheck checks the head of a usual response.
func BenchmarkCheck(b *testing.B) {
	head := "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 04:14:25 GMT\r\nContent-Type: application/json\r\nContent-Length: 600\r\n" +
		"X-Request-Id: 9c41d07be2a35f68\r\nX-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Server-Load: 3,0,8,100\r\n\r\n"
	source := strings.NewReader(head)
	r := bufio.NewReader(source)
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(head)
		r.Reset(source)
		if err := Check(r); err != nil {
			b.Fatal(err)
		}
	}
}
