package wire

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
)

// TestHeartbeatVersions guards against a heartbeat that a newer or an older
// program cannot decode.
func TestHeartbeatVersions(t *testing.T) {
	is := is.New(t)
	sent := &Heartbeat{
		From: Peer{Address: "10.0.0.1:7660", DataCentre: "dc1", Incarnation: 7}, Feed: FeedPosition{Changed: 12, AgeMillis: 3},
		Readings: []Reading{{Server: ServerHash("b1"), Running: 3, Slots: 6, Speed: 100}},
	}
	raw, err := EncodeHeartbeat(sent)
	is.NoErr(err)
	got, err := DecodeHeartbeat(raw)
	is.NoErr(err)
	is.Equal(got, sent)
	newer, err := cbor.Marshal(map[int]any{1: 2, 2: map[int]any{1: "10.0.0.1:7660", 9: true}, 99: "new"})
	is.NoErr(err)
	got, err = DecodeHeartbeat(newer)
	is.NoErr(err)
	is.Equal(got.From.Address, "10.0.0.1:7660")
	_, err = DecodeHeartbeat([]byte("no heartbeat"))
	is.True(err != nil)
}

// FuzzDecodeHeartbeat guards against a datagram that crashes the process.
func FuzzDecodeHeartbeat(f *testing.F) {
	raw, _ := EncodeHeartbeat(&Heartbeat{From: Peer{Address: "a"}, Readings: []Reading{{Server: 1}}})
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) { _, _ = DecodeHeartbeat(raw) })
}
