package orderkey

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/anvilfront/anvilfront/internal/clock"
)

func drawKey(t *rapid.T) Key {
	ip := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip4")))
	if rapid.Bool().Draw(t, "v6") {
		ip = netip.AddrFrom16([16]byte(append([]byte{0x20}, rapid.SliceOfN(rapid.Byte(), 15, 15).Draw(t, "ip6")...)))
	}
	return Key{
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Owner:       netip.AddrPortFrom(ip, rapid.Uint16Min(1).Draw(t, "port")),
		Sequence:    rapid.Uint64Range(1, 1<<56-1).Draw(t, "sequence"),
		Expiry:      clock.Time(rapid.Int64Min(0).Draw(t, "expiry")),
	}
}

// TestRoundTripAndMAC guards against a key that loses a field, and against a
// modified key that passes verification.
func TestRoundTripAndMAC(t *testing.T) {
	secret := NewSecret()
	other := NewSecret()
	rapid.Check(t, func(t *rapid.T) {
		k := drawKey(t)
		secret.Sign(&k)
		got, err := Decode(k.String())
		if err != nil || got != k {
			t.Fatalf("%+v decoded as %+v, %v", k, got, err)
		}
		if !secret.Verify(&got) || other.Verify(&got) {
			t.Fatal("MAC does not identify the issuer")
		}
		text := []byte(k.String())
		i := rapid.IntRange(0, len(text)-1).Draw(t, "position")
		text[i] = rapid.Byte().Draw(t, "byte")
		if changed, err := Decode(string(text)); err == nil && string(text) != k.String() && secret.Verify(&changed) {
			t.Fatalf("modified key %q verified", text)
		}
	})
}

// TestDecodeStrict guards against two texts for one key.
func TestDecodeStrict(t *testing.T) {
	is := is.New(t)
	k := Key{Incarnation: 7, Owner: netip.MustParseAddrPort("10.0.0.1:9000"), Sequence: 1}
	text := k.String()
	mapped := Key{Owner: netip.MustParseAddrPort("[::ffff:10.0.0.1]:9000"), Sequence: 1}
	noPort := Key{Owner: netip.MustParseAddrPort("10.0.0.1:0"), Sequence: 1}
	noSequence := Key{Owner: netip.MustParseAddrPort("10.0.0.1:9000")}
	for _, bad := range []string{"", "A", text + "\n", text + "=", text[:len(text)-1], text + "AAAA",
		text[:4] + "\r\n" + text[4:], "B" + text[1:], mapped.String(), noPort.String(), noSequence.String()} {
		_, err := Decode(bad)
		is.Equal(err, ErrMalformed) // text must be rejected
	}
}

// FuzzDecode guards against a panic, and against a text that decodes but is not canonical.
func FuzzDecode(f *testing.F) {
	k := Key{Incarnation: 7, Owner: netip.MustParseAddrPort("[2001:db8::1]:9000"), Sequence: 9, Expiry: 5}
	f.Add(k.String())
	f.Add("AQ")
	f.Fuzz(func(t *testing.T, text string) {
		if k, err := Decode(text); err == nil && k.String() != text {
			t.Fatalf("%q decoded and encoded as %q", text, k.String())
		}
	})
}
