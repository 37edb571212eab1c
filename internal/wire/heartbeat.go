package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Heartbeat is the datagram that entry hosts send to each other periodically. It
// is encoded as a CBOR map with small integer keys. Unknown keys are ignored and
// missing ones are zero, so that newer and older programs are compatible. A key
// is never reused with another meaning.
type Heartbeat struct {
	Version  uint8        `cbor:"1,keyasint"`
	From     Peer         `cbor:"2,keyasint"`
	Feed     FeedPosition `cbor:"3,keyasint"`
	Readings []Reading    `cbor:"4,keyasint,omitempty"`
	Peers    []Peer       `cbor:"5,keyasint,omitempty"` // other entry hosts that the sender knows
	Outcomes []Outcome    `cbor:"6,keyasint,omitempty"`
	Digest   bool         `cbor:"7,keyasint,omitempty"` // from another data centre; the receiver relays it within its local data centre
	Relayed  bool         `cbor:"8,keyasint,omitempty"` // a digest that another host relayed; From is its original sender
	Hello    bool         `cbor:"9,keyasint,omitempty"` // requests a reply with Peers
	Crashes  []Crash      `cbor:"10,keyasint,omitempty"`
	// Partial is set in a datagram that carries nothing of the sender's state but From.
	Partial bool `cbor:"16,keyasint,omitempty"`
	// UptimeMillis is the age of the sender's process, while it has accounts with a quota.
	UptimeMillis uint32 `cbor:"17,keyasint,omitempty"`
	// FleetSize is the number of hosts that exist as far as the sender knows; sent with
	// UptimeMillis.
	FleetSize   uint16       `cbor:"20,keyasint,omitempty"`
	QuotaAsks   []QuotaAsk   `cbor:"18,keyasint,omitempty"`
	QuotaGrants []QuotaGrant `cbor:"19,keyasint,omitempty"`
	// QuotaHandovers pass tokens on from a former owner of accounts to the next one.
	QuotaHandovers []QuotaHandover `cbor:"21,keyasint,omitempty"`
	// Accounts counts the sender's requests by client account since its last heartbeat.
	Accounts []AccountCount `cbor:"22,keyasint,omitempty"`
	// HotAccounts are some of those that the sender judges to send many times their usual load.
	HotAccounts []HotAccount `cbor:"23,keyasint,omitempty"`
}

// QuotaAsk asks the owner of a client account for tokens of its quota.
type QuotaAsk struct {
	ID       uint32 `cbor:"1,keyasint"`
	Account  uint64 `cbor:"2,keyasint"`           // hash of its name
	Waiting  uint16 `cbor:"3,keyasint,omitempty"` // requests that wait for a token
	Ahead    uint16 `cbor:"4,keyasint,omitempty"` // tokens for requests that are expected soon
	Seen     uint16 `cbor:"5,keyasint,omitempty"` // requests since the sender's last ask
	Returned uint16 `cbor:"6,keyasint,omitempty"` // tokens that were not spent
	ReplyTo  string `cbor:"7,keyasint,omitempty"` // IP:port of the asking host, if From forwards the ask
	Hops     uint8  `cbor:"8,keyasint,omitempty"` // times that it was forwarded
}

// QuotaHandover passes the tokens of an account on to its next owner.
type QuotaHandover struct {
	ID      uint32 `cbor:"1,keyasint"`
	Account uint64 `cbor:"2,keyasint"` // hash of its name
	Tokens  uint32 `cbor:"3,keyasint"`
}

// QuotaGrant answers the QuotaAsk with the same ID.
type QuotaGrant struct {
	ID          uint32 `cbor:"1,keyasint"`
	Granted     uint16 `cbor:"2,keyasint,omitempty"`
	HoldMillis  uint16 `cbor:"3,keyasint,omitempty"` // no further asks for this time
	RetryMillis uint32 `cbor:"4,keyasint,omitempty"` // when refused callers find room
	Excess      uint16 `cbor:"5,keyasint,omitempty"` // demand in percent of the usual demand
}

// Peer is one entry host.
type Peer struct {
	Address     string `cbor:"1,keyasint"` // IP:port of its datagrams
	DataCentre  string `cbor:"2,keyasint"`
	Incarnation uint32 `cbor:"3,keyasint"`
	Leaving     bool   `cbor:"4,keyasint,omitempty"`
	AgeMillis   uint32 `cbor:"5,keyasint,omitempty"` // of the sender's newest information about the host
}

// FeedPosition is the position of the sender's replica in the feed of published items.
type FeedPosition struct {
	Changed   uint64 `cbor:"1,keyasint"` // revision of the newest change in the replica
	AgeMillis uint32 `cbor:"2,keyasint"` // since the replica was last confirmed to be complete
	// AnsweredMillis is the time since the platform's newest response to any host,
	// as far as the sender knows; 0 means none.
	AnsweredMillis uint32 `cbor:"3,keyasint,omitempty"`
	// Failing is set while the sender's own calls to the platform fail.
	Failing bool `cbor:"4,keyasint,omitempty"`
	// Era is the era of Changed; 0 if the platform names none.
	Era uint64 `cbor:"5,keyasint,omitempty"`
	// Held is a digest of the changes of older eras that the replica holds; 0: none.
	Held uint64 `cbor:"6,keyasint,omitempty"`
	// Copied is a revision that the copy from which the era began does not exceed.
	Copied uint64 `cbor:"7,keyasint,omitempty"`
}

// Reading is the load that a backend server reported.
type Reading struct {
	Server     uint32 `cbor:"1,keyasint"` // ServerHash of its name
	Running    uint16 `cbor:"2,keyasint,omitempty"`
	Waiting    uint16 `cbor:"3,keyasint,omitempty"`
	Slots      uint16 `cbor:"4,keyasint,omitempty"`
	Speed      uint16 `cbor:"5,keyasint,omitempty"` // duration of work in percent of the usual duration
	ColdMillis uint32 `cbor:"6,keyasint,omitempty"` // until the server is warm
	Unhealthy  bool   `cbor:"7,keyasint,omitempty"`
	Silent     bool   `cbor:"8,keyasint,omitempty"`
	AgeMillis  uint32 `cbor:"9,keyasint,omitempty"`
	// RateLimit is the number of requests in 1000 s that the server takes from all
	// hosts together; 0: no limit.
	RateLimit uint32 `cbor:"10,keyasint,omitempty"`
	Leaving   bool   `cbor:"11,keyasint,omitempty"`
	// FromResponse is set for a reading that does not say whether the server is cold.
	FromResponse bool `cbor:"12,keyasint,omitempty"`
}

// Outcome counts the results of the sender's requests at one backend server since
// its last heartbeat.
type Outcome struct {
	Server uint32 `cbor:"1,keyasint"`
	Count  uint16 `cbor:"2,keyasint"`           // requests that ended
	Failed uint16 `cbor:"3,keyasint,omitempty"` // of these, requests without a usable response
	Ratio  uint16 `cbor:"4,keyasint,omitempty"` // mean duration in percent of the expected duration; 0 if none was measured
}

// AccountCount counts requests of one client account.
type AccountCount struct {
	Account  uint32 `cbor:"1,keyasint"` // ServerHash of its name
	Requests uint16 `cbor:"2,keyasint"`
}

// HotAccount is a client account that sends many times its usual load.
type HotAccount struct {
	Account uint32 `cbor:"1,keyasint"` // ServerHash of its name
	Heat    uint16 `cbor:"2,keyasint"` // ten times the multiple of its usual load
}

// Crash reports a request that crashed a backend server.
type Crash struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Server      string `cbor:"2,keyasint"`           // that crashed
	Origin      string `cbor:"3,keyasint"`           // process of the host that observed the crash
	Sequence    uint64 `cbor:"4,keyasint"`           // per origin
	Count       int    `cbor:"5,keyasint"`           // crashes known to the sender, this one included
	AgeMillis   uint32 `cbor:"6,keyasint,omitempty"` // since the crash
}

// ServerHash returns the FNV-1a hash that stands for the name of a backend server or a
// client account in heartbeats.
func ServerHash(name string) uint32 {
	h := uint32(2166136261)
	for i := range len(name) {
		h = (h ^ uint32(name[i])) * 16777619
	}
	return h
}

// MaxHeartbeat is the largest datagram in bytes that is not fragmented in transit.
const MaxHeartbeat = 1400

// EncodeHeartbeat sets this program's version in b and returns its encoding.
func EncodeHeartbeat(b *Heartbeat) ([]byte, error) {
	b.Version = Version
	raw, err := cbor.Marshal(b)
	if err != nil {
		return nil, errors.Wrap(err, "encode heartbeat")
	}
	return raw, nil
}

// DecodeHeartbeat decodes a datagram. It fails if the version or the sender's
// address is missing.
func DecodeHeartbeat(raw []byte) (*Heartbeat, error) {
	b := &Heartbeat{}
	if err := cbor.Unmarshal(raw, b); err != nil {
		return nil, errors.Wrap(err, "decode heartbeat")
	}
	if b.Version == 0 || b.From.Address == "" {
		return nil, errors.New("heartbeat without version or sender address")
	}
	return b, nil
}

// FeedRequest asks for the published changes after a revision.
type FeedRequest struct {
	Header
	After uint64
	// Paged is set by a host that accepts replies in pages and parts. Without it, the
	// reply contains all changes at once.
	Paged bool
	Full  bool     // the pages so far are of the whole content
	Key   string   // everything up to this key has arrived
	Part  FeedPart // of the next item, without Data: Offset bytes have arrived

	AfterEra uint64 // the era of After; 0 if the platform names none
	Eras     bool   // the host knows eras; without it, no held changes are sent
	Held     uint64 // digest of the changes of older eras that the host holds
}

// FeedReply contains the changes, or the whole content if Full is set.
type FeedReply struct {
	Revision uint64 // the items are complete up to this revision
	Full     bool
	Items    []FeedItem
	Paged    bool // this is a page; false from hosts that do not know pages
	Busy     bool // the host serves others; nothing else is set
	Key      string
	Part     FeedPart
	More     bool // further pages follow

	Era    uint64 // of Revision
	Copied uint64 // a revision that the copy from which the era began does not exceed
	Held   uint64 // digest of the changes of older eras that the host holds
}

// FeedPart is a part of the packed value of a large item. The value is compressed by
// DEFLATE; Digest is the xxHash of the whole packed value.
type FeedPart struct {
	Key      string
	Revision uint64
	Digest   uint64
	Size     int
	Offset   int
	Data     []byte
	Era      uint64
}

// FeedItem is one published item, or its removal if Gone is set.
type FeedItem struct {
	Key      string
	Value    []byte
	Revision uint64
	Gone     bool
	Era      uint64 // the oldest in which the change can have been made, or the one that lists it
	Copied   bool   // the item is held, and the era in which it was made is not known
	Settled  bool   // the item was held and no longer binds
}
