package front

import (
	"bytes"
	"strings"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/anvilfront/anvilfront/internal/filter"
)

// reservedPrefix is the prefix of header names that only entry hosts set, apart from
// those in allowedFromCallers.
const reservedPrefix = "Anvilfront-"

// allowedFromCallers contains the headers with reservedPrefix that callers may send.
// All others with that prefix are removed from requests.
var allowedFromCallers = map[string]bool{
	filter.HeaderDeadline: true, filter.HeaderOrderKey: true,
	filter.HeaderRetryBudget: true, filter.HeaderWantKeys: true,
}

// hopByHop contains the headers that a proxy must not forward (RFC 9110, 7.6.1), and
// those that are generated again for the next hop.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// backendServerOnly contains the response headers of backend servers that are not
// forwarded to callers.
var backendServerOnly = map[string]bool{
	filter.HeaderInstance: true, filter.HeaderLoad: true, filter.HeaderShed: true,
}

var (
	errBothLengths     = errors.New("request has Content-Length and Transfer-Encoding")
	errEncoding        = errors.New("transfer encoding is not supported")
	errTarget          = errors.New("request target is not an absolute path")
	errDotSegments     = errors.New("path has empty or dot segments")
	errInvalidBytes    = errors.New("request target contains bytes that are not allowed in a URI")
	errMultipleKeys    = errors.New("request has more than one order key")
	errPercentEncoding = errors.New("path has an incomplete percent-encoding")
)

// checkFraming rejects requests whose length another server could interpret
// differently. fasthttp itself rejects repeated and malformed lengths, unknown and
// repeated transfer encodings and malformed chunks.
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

// field returns the value of the first field with the given name in a raw header block.
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

// orderKey returns a copy of the first order key that is not empty, or "". An empty key
// must not hide a second one, whose order may have run.
func orderKey(h *fasthttp.RequestHeader) string {
	for _, key := range h.PeekAll(filter.HeaderOrderKey) {
		if len(key) > 0 {
			return string(key)
		}
	}
	return ""
}

// copyRequest copies a request, so that it outlives the handler. The returned request is
// not nil even when an error is returned.
func copyRequest(raw *fasthttp.Request) (*filter.Request, error) {
	r := &filter.Request{
		Method: string(raw.Header.Method()), Host: string(raw.Host()),
		Query: string(raw.URI().QueryString()),
	}
	if body := raw.Body(); len(body) > 0 {
		r.Body = bytes.Clone(body)
	}
	listed := connectionOptions(raw.Header.PeekAll("Connection"))
	var fields filter.Fields
	for k, v := range raw.Header.All() {
		reserved := bytes.HasPrefix(k, []byte(reservedPrefix))
		if hopByHop[string(k)] || reserved && !allowedFromCallers[string(k)] || !reserved && listed[string(k)] {
			continue
		}
		fields.Add(k, v)
	}
	r.Headers = fields.Headers()
	if len(raw.Header.PeekAll(filter.HeaderOrderKey)) > 1 {
		return r, errMultipleKeys
	}
	if !validURIBytes(raw.URI().PathOriginal()) || !validURIBytes(raw.URI().QueryString()) {
		return r, errInvalidBytes
	}
	var err error
	r.Path, err = normalizePath(string(raw.URI().PathOriginal()))
	return r, err
}

// validURIBytes reports whether a part of a request target is printable ASCII without
// backslash, which some servers interpret as a slash.
func validURIBytes(part []byte) bool {
	for _, c := range part {
		if c <= ' ' || c >= 0x7f || c == '\\' {
			return false
		}
	}
	return true
}

// connectionOptions returns the header names listed in Connection fields.
func connectionOptions(fields [][]byte) map[string]bool {
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

// normalizePath decodes the percent-encoded characters that need no encoding (RFC 3986,
// 6.2.2.2). It rejects empty and dot segments, and incomplete encodings, which decoding
// could complete. Otherwise a backend server could interpret a path as an order that the
// routing table matched as a lookup, and the order would be sent twice.
func normalizePath(path string) (string, error) {
	if path == "" || path[0] != '/' {
		return path, errTarget
	}
	if strings.IndexByte(path, '%') >= 0 {
		var ok bool
		if path, ok = decodeUnreserved(path); !ok {
			return path, errPercentEncoding
		}
	}
	for segment := range strings.SplitSeq(strings.TrimSuffix(path[1:], "/"), "/") {
		if segment == "." || segment == ".." || segment == "" && path != "/" {
			return path, errDotSegments
		}
	}
	return path, nil
}

// decodeUnreserved decodes percent-encoded unreserved characters. It returns false when
// a percent sign is not followed by two hexadecimal digits.
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

// writeVerdictHeaders sets the headers that every response contains, verdict and reason,
// and adds the fresh order key if there is one.
func writeVerdictHeaders(resp *fasthttp.Response, out filter.Outcome) {
	resp.Header.Set(filter.HeaderVerdict, out.Verdict.String())
	resp.Header.Set(filter.HeaderReason, out.Reason.String())
	if out.FreshKey != "" {
		resp.Header.Add(filter.HeaderOrderKey, out.FreshKey)
	}
}

// writeResponse forwards the response of a backend server without hop-by-hop, internal
// and reserved headers.
func writeResponse(c fiber.Ctx, response *filter.Response) error {
	resp := c.Response()
	var connection [][]byte
	for i := range response.Headers {
		if response.Headers[i].Name == "Connection" {
			connection = append(connection, []byte(response.Headers[i].Value))
		}
	}
	listed := connectionOptions(connection)
	for _, h := range response.Headers {
		if hopByHop[h.Name] || backendServerOnly[h.Name] || listed[h.Name] || strings.HasPrefix(h.Name, reservedPrefix) {
			continue
		}
		resp.Header.Add(h.Name, h.Value)
	}
	resp.SetStatusCode(response.Status)
	if c.Method() == fasthttp.MethodHead {
		resp.SkipBody = true
		if length := response.Get("Content-Length"); length != "" {
			resp.Header.Set("Content-Length", length)
		}
		return nil
	}
	resp.SetBodyRaw(response.Body)
	return nil
}
