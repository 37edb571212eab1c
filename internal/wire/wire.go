// Package wire defines the messages between entry hosts. RPC messages are encoded
// by gob over net/rpc: fields are matched by name, unknown fields are ignored and
// missing ones are zero, so that newer and older programs are compatible. A field
// is never renamed or given another meaning. Heartbeat datagrams are CBOR.
package wire

// Version is the message version of this program.
const Version = 1

// Header is the common part of all request messages.
type Header struct {
	Version     int
	From        string // name of the sending entry host
	Incarnation uint64 // of the sending process
	Revision    uint64 // revision of the current manifest of the sender
	// KnowsServers is set by a host that knows which backend servers are cold.
	KnowsServers bool
}

// Member is the state of one entry host in gossip.
type Member struct {
	Name        string
	Address     string
	DataCentre  string
	Incarnation uint64
	Sequence    uint64 // incremented only by the member itself, to refute a suspicion
	Status      uint8  // membership.Status
}

// Update is one item of gossip state that is piggybacked on pings. Exactly one
// pointer is set. Origin, Incarnation and Sequence identify the update, so that it
// is spread once and older updates do not replace newer ones; Member updates are
// ordered by their own fields.
type Update struct {
	Origin      string // entry host that published it
	Incarnation uint64 // of the origin
	Sequence    uint64 // per origin and incarnation

	Member    *Member
	Suspect   *PoisonUpdate
	Successor *Successor
}

// PoisonUpdate reports a request fingerprint that crashed backend servers.
type PoisonUpdate struct {
	Fingerprint uint64
	Crashes     int
	RetryUsed   bool
	Cleared     bool
	TTLMillis   int64
	Origin      string // process of the entry host that observed the crash
	Sequence    uint64 // per origin, so that older updates do not replace newer ones
	Server      string // backend server that crashed
	AgeMillis   int64  // since the crash; 0 from older hosts
}

// PoisonNoticeRequest reports request fingerprints that crashed backend servers
// and asks what the receiver already knew about them.
type PoisonNoticeRequest struct {
	Header
	Suspects []PoisonUpdate
}

// PoisonNoticeReply contains what the receiver already knew.
type PoisonNoticeReply struct {
	Header
	Known []PoisonUpdate
}

// Successor names the entry host that took over the order records of a stopped one.
type Successor struct {
	Incarnation uint64 // of the stopped process
	Name        string // entry host that took over
}

// PingRequest is a ping of the failure detector with piggybacked updates.
type PingRequest struct {
	Header
	Target  string // for indirect pings: the entry host to ping
	Join    bool   // the sender has just started and requests the list of members
	Updates []Update
}

// PingReply is the reply to a ping.
type PingReply struct {
	Header
	OK      bool // for indirect pings: the target replied
	Updates []Update
}

// ManifestNoticeRequest announces a newer manifest revision.
type ManifestNoticeRequest struct {
	Header
	Digest uint64 // first 8 bytes of the SHA-256 of the current manifest, big-endian
}

// ManifestNoticeReply is empty.
type ManifestNoticeReply struct{ Header }

// ManifestFetchRequest asks for the current manifest.
type ManifestFetchRequest struct{ Header }

// ManifestFetchReply contains the current manifest, or no bytes if there is none.
type ManifestFetchReply struct {
	Header
	Raw []byte // compressed with DEFLATE
}

// HeartbeatRequest carries a heartbeat over RPC, in fleets whose entry hosts have
// peer connections. The heartbeat reports the load readings of backend servers.
type HeartbeatRequest struct {
	Header
	Beat Heartbeat
}

// HeartbeatReply is empty.
type HeartbeatReply struct{ Header }

// Field is one HTTP header field.
type Field struct{ Name, Value string }

// OrderRequest forwards a keyed order to its owner.
type OrderRequest struct {
	Header
	Key             string
	Method          string
	Host            string
	Path            string
	Query           string
	Headers         []Field
	Body            []byte
	RemainingMicros int64
	Nested          bool
}

// OrderReply is the owner's reply.
type OrderReply struct {
	Header
	Verdict    uint8
	ReasonName string
	Status     int // HTTP status of the backend server's response; 0 if there is none
	Headers    []Field
	Body       []byte
	FreshKey   string
	Sealed     bool   // the owner has handed over its records
	Successor  string // entry host that took over, if Sealed is set and the hand-over is confirmed
}

// CopyRequest stores copies of finished order records.
type CopyRequest struct {
	Header
	Copies []OrderCopy
}

// OrderCopy is a finished order.
type OrderCopy struct {
	Key         string
	Fingerprint uint64
	Verdict     uint8
	ReasonName  string
	Status      int
	Headers     []Field
	Body        []byte
	TTLMillis   int64
}

// CopyReply is empty.
type CopyReply struct{ Header }

// LookupRequest asks for the copy of an order.
type LookupRequest struct {
	Header
	Key         string
	Fingerprint uint64
}

// LookupReply contains the copy if Found is set.
type LookupReply struct {
	Header
	Found bool
	Copy  OrderCopy
}

// HandOverRequest transfers the order records of a stopping entry host.
type HandOverRequest struct {
	Header
	Owner   uint64 // incarnation that the records belong to
	Payload []byte // part of the payload that package ledger encoded
	Part    int    // from 0; the parts are sent in order
	Parts   int    // number of parts; the last one completes the transfer
}

// HandOverReply confirms a transfer.
type HandOverReply struct {
	Header
	Accepted bool
}
