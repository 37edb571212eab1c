package ledger

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/anvilfront/anvilfront/internal/filter"
)

// Fingerprint identifies a request of a route by its method, host, path, query and
// body. Headers are excluded, because proxies between caller and entry host change
// them. It is the first 8 bytes of the SHA-256 of the length-prefixed fields, so
// that a caller cannot construct two different requests with the same fingerprint.
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
