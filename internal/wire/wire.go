// Package wire holds the messages between entry hosts. They are encoded by gob
// over net/rpc: fields are matched by name, fields unknown to a program are
// ignored and missing ones are zero, so that newer and older programs
// understand each other. A field is never renamed or given another meaning.
package wire

// Version is the message version of this program.
const Version = 1

// Header starts each request message.
type Header struct {
	Version     int
	From        string // name of the sending entry host
	Incarnation uint64 // of the sending process
	Revision    uint64 // manifest revision in force at the sender
}

// Member is the state of one entry host in gossip.
type Member struct {
	Name        string
	Address     string
	DataCentre  string
	Incarnation uint64
	Sequence    uint64 // raised by the member itself to refute a suspicion
	Status      uint8  // membership.Status
}

// Update is one piggybacked piece of news. Exactly one pointer is set. Origin,
// Incarnation and Sequence identify the news, so that it is spread once and
// older news does not replace newer; Member news is ordered by its own fields.
type Update struct {
	Origin      string // entry host that published it
	Incarnation uint64 // of the origin
	Sequence    uint64 // per origin and incarnation

	Member    *Member
	Suspect   *PoisonUpdate
	Successor *Successor
}

// Suspect is news of a request fingerprint that crashed backend servers.
type PoisonUpdate struct {
	Fingerprint uint64
	Crashes     int
	RetryUsed   bool
	Cleared     bool
	TTLMillis   int64
	Origin      string // entry host that observed the crash
	Sequence    uint64 // per origin, so that old news does not replace newer
	Server      string // backend server that died
}

// SuspectRequest tells of request fingerprints that crashed backend servers and
// asks what the receiver knew of them before.
type PoisonNoticeRequest struct {
	Header
	Suspects []PoisonUpdate
}

// SuspectReply tells what the receiver knew.
type PoisonNoticeReply struct {
	Header
	Known []PoisonUpdate
}

// Successor tells which entry host took over the order records of a stopped one.
type Successor struct {
	Incarnation uint64 // of the stopped process
	Name        string // entry host that took over
}

// PingRequest is a heartbeat with news.
type PingRequest struct {
	Header
	Target  string // entry host meant, for indirect pings
	Join    bool   // the sender has just started and asks for the members
	Updates []Update
}

// PingReply answers a heartbeat.
type PingReply struct {
	Header
	OK      bool // for indirect pings: the target answered
	Updates []Update
}

// NoticeRequest tells of a newer manifest revision.
type ManifestNoticeRequest struct {
	Header
	Digest uint64 // first 8 bytes of the SHA-256 of the manifest in force, big-endian
}

// NoticeReply is empty.
type ManifestNoticeReply struct{ Header }

// FetchRequest asks for the manifest in force.
type ManifestFetchRequest struct{ Header }

// FetchReply carries the manifest in force, or no bytes if there is none.
type ManifestFetchReply struct {
	Header
	Raw []byte // compressed with DEFLATE
}

// BeatRequest tells what backend servers said of their load, on fleets whose
// hosts are connected to each other.
type HeartbeatRequest struct {
	Header
	Beat Heartbeat
}

// BeatReply is empty.
type HeartbeatReply struct{ Header }

// Field is one HTTP header field.
type Field struct{ Name, Value string }

// OrderRequest is a keyed order on its way to its owner.
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

// OrderReply is the owner's answer.
type OrderReply struct {
	Header
	Verdict    uint8
	ReasonName string
	Status     int // HTTP status of the backend server's answer; 0 if there is none
	Headers    []Field
	Body       []byte
	FreshKey   string
	Sealed     bool   // the owner handed its records over
	Successor  string // entry host that took over, if Sealed and confirmed
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

// LookupReply carries the copy, if there is one.
type LookupReply struct {
	Header
	Found bool
	Copy  OrderCopy
}

// HandOverRequest transfers the order records of a stopping entry host.
type HandOverRequest struct {
	Header
	Owner   uint64 // incarnation whose records these are
	Payload []byte // part of what package ledger encoded
	Part    int    // from 0; the parts are sent in order
	Parts   int    // number of parts; the last one completes the transfer
}

// HandOverReply confirms a transfer.
type HandOverReply struct {
	Header
	Accepted bool
}
