package front

import (
	"bytes"
	"strings"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/filter"
)

// ownPrefix starts the names of headers that only entry hosts set.
const ownPrefix = "Anvilfront-"

// fromCallers are the own headers that callers may send. All others with
// ownPrefix are removed from requests.
var fromCallers = map[string]bool{
	filter.HeaderDeadline: true, filter.HeaderOrderKey: true,
	filter.HeaderRetryBudget: true, filter.HeaderWantKeys: true,
}

// hopByHop are the headers that end at a proxy (RFC 9110, 7.6.1), and those
// that are written anew.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// forEntryHosts are the headers of backend servers that are not passed on.
var forEntryHosts = map[string]bool{
	filter.HeaderInstance: true, filter.HeaderLoad: true, filter.HeaderShed: true,
}

var (
	errBothLengths = errors.New("request has Content-Length and Transfer-Encoding")
	errEncoding    = errors.New("transfer encoding is not supported")
	errTarget      = errors.New("request target is not an absolute path")
	errSegments    = errors.New("path has empty or dot segments")
	errBytes       = errors.New("request target has bytes that a URI cannot have")
	errKeys        = errors.New("request has several order keys")
	errPercent     = errors.New("path has an incomplete percent-encoding")
)

// checkFraming refuses requests whose length another server could read
// differently. fasthttp itself refuses repeated and malformed lengths, unknown
// and repeated transfer encodings and malformed chunks.
func checkFraming(h *fasthttp.RequestHeader) error {
	raw := h.RawHeaders()
	encoding, encoded := field(raw, "transfer-encoding")
	if !encoded {
		return nil
	}
	if _, ok := field(raw, "content-length"); ok {
		return errBothLengths
	}
	if !strings.EqualFold(encoding, "chunked") {
		return errEncoding
	}
	return nil
}

// field returns the value of the first line of a raw header with the given
// lower-case name.
func field(raw []byte, name string) (value string, ok bool) {
	for len(raw) > 0 {
		line, rest, _ := bytes.Cut(raw, []byte{'\n'})
		if len(line) > len(name) && line[len(name)] == ':' && strings.EqualFold(string(line[:len(name)]), name) {
			return strings.TrimSpace(string(line[len(name)+1:])), true
		}
		raw = rest
	}
	return "", false
}

// orderKey returns a copy of the first order key that is not empty, or "". An
// empty one must not hide another, whose order may have run.
func orderKey(h *fasthttp.RequestHeader) string {
	for _, key := range h.PeekAll(filter.HeaderOrderKey) {
		if len(key) > 0 {
			return string(key)
		}
	}
	return ""
}

// copyRequest copies a request, so that it outlives the handler. The request
// is set also when an error is returned.
func copyRequest(raw *fasthttp.Request) (*filter.Request, error) {
	r := &filter.Request{
		Method: string(raw.Header.Method()), Host: string(raw.Host()),
		Query: string(raw.URI().QueryString()),
	}
	if body := raw.Body(); len(body) > 0 {
		r.Body = bytes.Clone(body)
	}
	named := connectionNames(raw.Header.PeekAll("Connection"))
	var fields filter.Fields
	for k, v := range raw.Header.All() {
		own := bytes.HasPrefix(k, []byte(ownPrefix))
		if hopByHop[string(k)] || own && !fromCallers[string(k)] || !own && named[string(k)] {
			continue
		}
		fields.Add(k, v)
	}
	r.Headers = fields.Headers()
	if len(raw.Header.PeekAll(filter.HeaderOrderKey)) > 1 {
		return r, errKeys
	}
	if !uriBytes(raw.URI().PathOriginal()) || !uriBytes(raw.URI().QueryString()) {
		return r, errBytes
	}
	var err error
	r.Path, err = normalPath(string(raw.URI().PathOriginal()))
	return r, err
}

// uriBytes reports whether a part of a request target is printable ASCII
// without backslash, which some servers read as a slash.
func uriBytes(part []byte) bool {
	for _, c := range part {
		if c <= ' ' || c >= 0x7f || c == '\\' {
			return false
		}
	}
	return true
}

// connectionNames returns the header names listed in Connection fields.
func connectionNames(fields [][]byte) map[string]bool {
	var names map[string]bool
	for _, f := range fields {
		for name := range strings.SplitSeq(string(f), ",") {
			if names == nil {
				names = map[string]bool{}
			}
			names[string(fasthttp.AppendNormalizedHeaderKey(nil, strings.TrimSpace(name)))] = true
		}
	}
	return names
}

// normalPath decodes the percent-encoded characters that need no encoding
// (RFC 3986, 6.2.2.2) and refuses empty and dot segments and incomplete
// encodings, which decoding could complete. Without this, a backend server could read a path as an order that the routing table read as
// a lookup, and the order would be sent twice.
func normalPath(path string) (string, error) {
	if path == "" || path[0] != '/' {
		return path, errTarget
	}
	if strings.IndexByte(path, '%') >= 0 {
		var ok bool
		if path, ok = decodeUnreserved(path); !ok {
			return path, errPercent
		}
	}
	for segment := range strings.SplitSeq(strings.TrimSuffix(path[1:], "/"), "/") {
		if segment == "." || segment == ".." || segment == "" && path != "/" {
			return path, errSegments
		}
	}
	return path, nil
}

// decodeUnreserved returns false when a percent sign starts no encoding.
func decodeUnreserved(path string) (string, bool) {
	out := make([]byte, 0, len(path))
	for i := 0; i < len(path); i++ {
		if path[i] != '%' {
			out = append(out, path[i])
			continue
		}
		if i+2 >= len(path) || hexDigit(path[i+1]) == 16 || hexDigit(path[i+2]) == 16 {
			return path, false
		}
		if c := hexDigit(path[i+1])<<4 | hexDigit(path[i+2]); unreserved(c) {
			out = append(out, c)
		} else {
			out = append(out, path[i:i+3]...)
		}
		i += 2
	}
	return string(out), true
}

func hexDigit(c byte) byte {
	switch {
	case c >= '0' && c <= '9':
		return c - '0'
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		return c | 0x20 - 'a' + 10
	}
	return 16
}

func unreserved(c byte) bool {
	return c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'z' || c == '-' || c == '.' || c == '_' || c == '~'
}

// writeMarks sets the headers that every answer carries.
func writeMarks(resp *fasthttp.Response, out filter.Outcome) {
	resp.Header.Set(filter.HeaderVerdict, out.Verdict.String())
	resp.Header.Set(filter.HeaderReason, out.Reason.String())
	if out.FreshKey != "" {
		resp.Header.Add(filter.HeaderOrderKey, out.FreshKey)
	}
}

// writeResponse passes on the answer of a backend server.
func writeResponse(c fiber.Ctx, answer *filter.Response) error {
	resp := c.Response()
	var connection [][]byte
	for i := range answer.Headers {
		if answer.Headers[i].Name == "Connection" {
			connection = append(connection, []byte(answer.Headers[i].Value))
		}
	}
	named := connectionNames(connection)
	for _, h := range answer.Headers {
		if hopByHop[h.Name] || forEntryHosts[h.Name] || named[h.Name] || strings.HasPrefix(h.Name, ownPrefix) {
			continue
		}
		resp.Header.Add(h.Name, h.Value)
	}
	resp.SetStatusCode(answer.Status)
	if c.Method() == fasthttp.MethodHead {
		resp.SkipBody = true
		if length := answer.Get("Content-Length"); length != "" {
			resp.Header.Set("Content-Length", length)
		}
		return nil
	}
	resp.SetBodyRaw(answer.Body)
	return nil
}
