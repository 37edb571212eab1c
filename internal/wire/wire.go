// Package wire holds the messages between entry hosts. They are encoded by gob
// over net/rpc: fields are matched by name, fields unknown to a program are
// ignored and missing ones are zero, so that newer and older programs
// understand each other. A field is never renamed or given another meaning.
package wire

import (
	"github.com/anvilfront/anvilfront/internal/manifest"
)

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
	Suspect   *Suspect
	Successor *Successor
	Load      *PoolLoad
	Holder    *Holder
}

// Suspect is news of a request fingerprint that crashed backend servers.
type Suspect struct {
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
type SuspectRequest struct {
	Header
	Suspects []Suspect
}

// SuspectReply tells what the receiver knew.
type SuspectReply struct {
	Header
	Known []Suspect
}

// Successor tells which entry host took over the order records of a stopped one.
type Successor struct {
	Incarnation uint64 // of the stopped process
	Name        string // entry host that took over
}

// PoolLoad is the load of a pool as its holder sees it.
type PoolLoad struct {
	Pool   manifest.PoolID
	Free   int
	Queued int
	Slots  int
	// MedianMicros is the median service time at the holder; 0 if unknown.
	MedianMicros int64
	// Cold names the servers of the pool that are not warm. It is meaningful
	// to hosts whose manifest revision is not above Revision.
	Cold     []string
	Revision uint64
}

// Holder tells which entry host holds the lease of a pool.
type Holder struct {
	Pool manifest.PoolID
	Name string
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
type NoticeRequest struct {
	Header
	Digest uint64 // first 8 bytes of the SHA-256 of the manifest in force, big-endian
}

// NoticeReply is empty.
type NoticeReply struct{ Header }

// FetchRequest asks for the manifest in force.
type FetchRequest struct{ Header }

// FetchReply carries the manifest in force, or no bytes if there is none.
type FetchReply struct {
	Header
	Raw []byte // compressed with DEFLATE
}

// PromiseRequest asks for or renews the promise of several pools.
type PromiseRequest struct {
	Header
	// Sequence orders the lease messages of one candidate process, so that a
	// late release does not undo a later promise.
	Sequence   uint64
	Pools      []manifest.PoolID
	TermMillis int64
}

// PromiseReply says which pools were promised.
type PromiseReply struct {
	Header
	Granted []bool   // parallel to the request's Pools
	Holders []string // where not granted: the candidate promised before, or ""
}

// LeaseReleaseRequest gives leases back on a planned stop.
type LeaseReleaseRequest struct {
	Header
	Sequence uint64 // see PromiseRequest
	// Successor and SuccessorIncarnation name the candidate that adopted the
	// in-flight counts. Voters reserve the pools for it for one term.
	Successor            string
	SuccessorIncarnation uint64
	Pools                []PoolRelease
}

// PoolRelease is one released lease with what is still in flight.
type PoolRelease struct {
	Pool     manifest.PoolID
	Inflight []ServerInflight
}

// ServerInflight is what is in flight on a server when its lease is released.
type ServerInflight struct {
	Server      string
	Count       int
	LeftMillis  int64 // until the run limit of the last of them
	Limit       int   // limit in force, so that a warm server stays warm
	Instance    string
	Established bool // the server was warm
}

// LeaseReleaseReply is empty.
type LeaseReleaseReply struct{ Header }

// AcquireRequest asks a lease holder for a slot.
type AcquireRequest struct {
	Header
	Pool            manifest.PoolID
	Route           string
	Priority        int
	Idempotent      bool
	RemainingMicros int64
	RunLimitMillis  int64
	Avoid           []string
	WaitMicros      int64 // longest expected time in the queue
	Spill           bool  // grant from spare slots only
	// Token names the request among those of the sending process, so that a
	// grant whose reply was lost can be given back. 0 from older programs.
	Token uint64
}

// AcquireReply grants a slot or refuses.
type AcquireReply struct {
	Header
	Granted bool
	GrantID uint64
	Server  string
	// ReasonName is the verdict.Reason of a refusal by name; numbers may differ between versions.
	ReasonName string
	Holder     string // where the sender believes the lease is, if not here
	Load       PoolLoad
	Lapsed     bool // with reason no_lease: the sender held no lease, and did not just hand it over
}

// DoneRequest ends grants.
type DoneRequest struct {
	Header
	Done []GrantDone
}

// GrantDone ends one grant, or with GrantID 0 the grant of an AcquireRequest
// with the same Token whose reply did not arrive.
type GrantDone struct {
	Pool              manifest.PoolID
	GrantID           uint64
	Token             uint64
	Verdict           uint8
	ReasonName        string
	ServiceTimeMicros int64
	Failed            bool
	Crashed           bool
	Instance          string
	Inflight          int
}

// DoneReply is empty.
type DoneReply struct{ Header }

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
