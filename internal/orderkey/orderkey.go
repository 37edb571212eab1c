// Package orderkey encodes, decodes and authenticates order keys. A key names the
// process incarnation that issued it as its only owner, and is signed with a
// secret of that incarnation. The orders controller issues keys; the orderkey and
// orderguard filters decode them and verify their signature.
package orderkey

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/netip"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/clock"
)

const (
	version = 1
	macSize = 16
	// fixedSize is version, incarnation, address length, port, sequence and expiry.
	fixedSize = 1 + 8 + 1 + 2 + 8 + 8
	// MaxLength is the length in bytes of the longest encoded key.
	MaxLength = ((fixedSize+16+macSize)*8 + 5) / 6
)

// ErrMalformed means that a text is not an order key of a supported version.
var ErrMalformed = errors.New("orderkey: malformed order key")

// encoding rejects non-zero padding bits, so that each key has exactly one text.
var encoding = base64.RawURLEncoding.Strict()

// Key is a decoded order key.
type Key struct {
	Incarnation uint64         // of the process that issued the key
	Owner       netip.AddrPort // peer address of that process
	Sequence    uint64         // per incarnation, from 1
	Expiry      clock.Time     // on the clock of the incarnation
	MAC         [macSize]byte
}

// Secret authenticates the keys of one incarnation.
type Secret [32]byte

// NewSecret returns a random secret.
func NewSecret() Secret {
	var s Secret
	_, _ = rand.Read(s[:]) // crypto/rand.Read never returns an error
	return s
}

// Sign sets the MAC of k.
func (s *Secret) Sign(k *Key) { k.MAC = s.mac(k) }

// Verify reports whether k was signed with s.
func (s *Secret) Verify(k *Key) bool {
	want := s.mac(k)
	return hmac.Equal(want[:], k.MAC[:])
}

func (s *Secret) mac(k *Key) (out [macSize]byte) {
	h := hmac.New(sha256.New, s[:])
	h.Write(k.appendFields(nil))
	copy(out[:], h.Sum(nil))
	return out
}

func (k *Key) appendFields(b []byte) []byte {
	ip := k.Owner.Addr().AsSlice()
	b = append(b, version)
	b = binary.BigEndian.AppendUint64(b, k.Incarnation)
	b = append(b, byte(len(ip)))
	b = append(b, ip...)
	b = binary.BigEndian.AppendUint16(b, k.Owner.Port())
	b = binary.BigEndian.AppendUint64(b, k.Sequence)
	return binary.BigEndian.AppendUint64(b, uint64(k.Expiry))
}

// String returns the text form of k. Owner must be an IPv4 address, or an IPv6
// address without a zone that is not an IPv4-mapped address.
func (k *Key) String() string {
	b := make([]byte, 0, fixedSize+16+macSize)
	return encoding.EncodeToString(append(k.appendFields(b), k.MAC[:]...))
}

// Decode returns the key with the given text form. It accepts exactly the texts
// that String returns; any other text is ErrMalformed. It does not check the MAC.
func Decode(text string) (Key, error) {
	var k Key
	if len(text) > MaxLength {
		return k, ErrMalformed
	}
	b, err := encoding.DecodeString(text)
	if err != nil || len(b) < fixedSize || b[0] != version {
		return k, ErrMalformed
	}
	n := int(b[9])
	if n != 4 && n != 16 || len(b) != fixedSize+n+macSize {
		return k, ErrMalformed
	}
	k.Incarnation = binary.BigEndian.Uint64(b[1:])
	ip, _ := netip.AddrFromSlice(b[10 : 10+n])
	rest := b[10+n:]
	k.Owner = netip.AddrPortFrom(ip, binary.BigEndian.Uint16(rest))
	k.Sequence = binary.BigEndian.Uint64(rest[2:])
	k.Expiry = clock.Time(binary.BigEndian.Uint64(rest[10:]))
	copy(k.MAC[:], rest[18:])
	// The base64 decoder skips line breaks, so the text is compared with String.
	if ip.Is4In6() || k.Owner.Port() == 0 || k.Sequence == 0 || k.Expiry < 0 || k.String() != text {
		return Key{}, ErrMalformed
	}
	return k, nil
}
