package ledger

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/anvilfront/anvilfront/internal/filter"
)

// Fingerprint identifies a request under a route: method, host, path, query and
// body. Headers are left out, because proxies between caller and entry host
// change them. It is the first 8 bytes of SHA-256 over length-prefixed fields,
// so that a caller cannot construct two requests that are taken for one.
func Fingerprint(route string, r *filter.Request) uint64 {
	h := sha256.New()
	var length [8]byte
	field := func(b []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(b)))
		h.Write(length[:])
		h.Write(b)
	}
	for _, s := range [...]string{route, r.Method, r.Host, r.Path, r.Query} {
		field([]byte(s))
	}
	field(r.Body)
	var sum [sha256.Size]byte
	return binary.BigEndian.Uint64(h.Sum(sum[:0]))
}
