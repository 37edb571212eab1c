package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Beat is the datagram between entry hosts. It is encoded as a CBOR map with
// small integer keys: unknown keys are ignored and missing ones are zero, so
// that newer and older programs understand each other. A key is never used
// again with another meaning.
type Heartbeat struct {
	Version  uint8        `cbor:"1,keyasint"`
	From     Peer         `cbor:"2,keyasint"`
	Feed     FeedPosition `cbor:"3,keyasint"`
	Readings []Reading    `cbor:"4,keyasint,omitempty"`
	Peers    []Peer       `cbor:"5,keyasint,omitempty"` // other entry hosts that the sender knows
	Outcomes []Outcome    `cbor:"6,keyasint,omitempty"`
	Digest   bool         `cbor:"7,keyasint,omitempty"` // from another data centre; the receiver passes it on in its own
	Relayed  bool         `cbor:"8,keyasint,omitempty"` // a digest that was passed on; From did not send it here itself
	Hello    bool         `cbor:"9,keyasint,omitempty"` // asks for an answer with Peers
	Crashes  []Crash      `cbor:"10,keyasint,omitempty"`
}

// Peer is one entry host.
type Peer struct {
	Address     string `cbor:"1,keyasint"` // IP:port of its datagrams
	DataCentre  string `cbor:"2,keyasint"`
	Incarnation uint32 `cbor:"3,keyasint"`
	Leaving     bool   `cbor:"4,keyasint,omitempty"`
	AgeMillis   uint32 `cbor:"5,keyasint,omitempty"` // since the sender heard of it
}

// FeedMark says how far the sender's replica of the published items reaches.
type FeedPosition struct {
	Changed   uint64 `cbor:"1,keyasint"` // revision of the newest change it contains
	AgeMillis uint32 `cbor:"2,keyasint"` // since it was known to contain every change
	// AnsweredMillis is the time since the platform's newest answer to any host
	// that the sender knows of; 0 means none.
	AnsweredMillis uint32 `cbor:"3,keyasint,omitempty"`
}

// Reading is what a backend server said of its load.
type Reading struct {
	Server     uint32 `cbor:"1,keyasint"` // ServerKey of its name
	Running    uint16 `cbor:"2,keyasint,omitempty"`
	Waiting    uint16 `cbor:"3,keyasint,omitempty"`
	Slots      uint16 `cbor:"4,keyasint,omitempty"`
	Speed      uint16 `cbor:"5,keyasint,omitempty"` // duration of work in percent of the usual one
	ColdMillis uint32 `cbor:"6,keyasint,omitempty"` // until the server is warm
	Unhealthy  bool   `cbor:"7,keyasint,omitempty"`
	Silent     bool   `cbor:"8,keyasint,omitempty"`
	AgeMillis  uint32 `cbor:"9,keyasint,omitempty"`
}

// Outcome counts what the sender's requests met at a backend server since its
// last beat.
type Outcome struct {
	Server uint32 `cbor:"1,keyasint"`
	Count  uint16 `cbor:"2,keyasint"`           // requests that ended
	Failed uint16 `cbor:"3,keyasint,omitempty"` // of these without a usable answer
	Ratio  uint16 `cbor:"4,keyasint,omitempty"` // mean duration in percent of the expected one; 0 if none was measured
}

// Crash is news of a request that crashed a backend server.
type Crash struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Server      string `cbor:"2,keyasint"` // that died
	Origin      string `cbor:"3,keyasint"` // address of the host that saw it
	Sequence    uint64 `cbor:"4,keyasint"` // per origin
	Count       int    `cbor:"5,keyasint"` // deaths known to the origin, this one included
}

// ServerKey is the short form of a backend server's name in beats (FNV-1a).
func ServerHash(name string) uint32 {
	h := uint32(2166136261)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return h
}

// MaxBeat is the largest datagram in bytes that is not fragmented on its way.
const MaxHeartbeat = 1400

// EncodeBeat returns the encoding of b with this program's version.
func EncodeHeartbeat(b *Heartbeat) ([]byte, error) {
	b.Version = Version
	raw, err := cbor.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "encode beat")
	}
	return raw, nil
}

// DecodeBeat decodes a datagram.
func DecodeHeartbeat(raw []byte) (*Heartbeat, error) {
	b := &Heartbeat{}
	if err := cbor.Unmarshal(raw, b); err != nil {
		return nil, errors.Wrap(err, "decode beat")
	}
	if b.Version == 0 || b.From.Address == "" {
		return nil, errors.New("beat without version or sender")
	}
	return b, nil
}

// FeedRequest asks for the published changes after a revision.
type FeedRequest struct {
	Header
	After uint64
}

// FeedReply carries changes, or the whole content when Full is set.
type FeedReply struct {
	Revision uint64 // the items are complete up to it
	Full     bool
	Items    []FeedItem
}

// FeedItem is one published item or its removal.
type FeedItem struct {
	Key      string
	Value    []byte
	Revision uint64
	Gone     bool
}
