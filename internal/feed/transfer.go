package feed

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

const (
	// pageBytes bounds the items of one reply, and partBytes its part of a large item, so
	// that a transfer that is cut loses little and a slow link delivers each reply in time:
	// 32 KiB take 26 ms at 10 Mbit/s.
	pageBytes, partBytes = 32 << 10, 32 << 10
	// largeItemBytes is the size from which an item is packed and sent in parts.
	largeItemBytes = 8 << 10
	// itemOverheadBytes is added to the size of each item of a page.
	itemOverheadBytes = 32
	// maxPackedBytes bounds a packed item. The platform holds values of up to 1 MiB.
	maxPackedBytes = 2 << 20
)

// Part is a part of the packed value of a large item. Hosts that pack alike produce the
// same digest, so that the parts of one item may come from several hosts.
type Part struct {
	Key      string
	Revision uint64
	Digest   uint64 // of the whole packed value
	Size     int    // of the whole packed value
	Offset   int
	Data     []byte
	Era      uint64 // of Revision
}

// Packed is the compressed value of a large item.
type Packed struct {
	Data   []byte
	Digest uint64
}

// Request asks another host for what a replica lacks.
type Request struct {
	After Position // up to which the replica is complete; revision 0: it is empty
	Full  bool     // the replies so far list the whole content
	Key   string   // everything up to this key has arrived
	Part  Part     // of the next item, without Data: Offset bytes have arrived; zero: none
	Eras  bool     // the host knows eras; without it, no held changes are sent
	Held  uint64   // digest of the held changes of the replica
}

// Reply contains a page of the changes after Request.After, or of the whole content, in
// the order of keys. Held changes come first if the digests of the hosts differ, with the
// whole content or without changes.
type Reply struct {
	Era      uint64
	Copied   uint64 // a revision that the copy from which the era began does not exceed
	Held     uint64 // digest of the held changes of the replica; 0 if they are not sent with changes
	Revision uint64 // the items are complete up to this revision
	Full     bool   // the page is one of the whole content
	Key      string // the page begins after this key
	Items    []Item
	Part     Part // follows Items; zero: none
	More     bool // further items follow this page
}

// Serve returns the reply to a request. pack compresses the value of a large item.
func (r *Replica) Serve(q Request, pack func(Item) Packed) Reply {
	after := q.After.Revision
	if q.After.Era != r.era {
		after = 0
	}
	items, full := r.Since(after)
	if full != q.Full {
		q.Key, q.Part = "", Part{}
	}
	reply := Reply{Era: r.era, Copied: r.copied, Revision: r.revision, Full: full, Key: q.Key}
	// Not with changes of the same era: each of them may end a held change, and the held
	// configuration would delay them.
	if q.Eras && (after == 0 || after >= r.newestChange) {
		reply.Held = r.held.digest
		if q.Held != r.held.digest {
			items = append(r.held.items(), items...)
		}
	}
	size := 0
	for _, i := range items {
		switch {
		case i.Key <= reply.Key && reply.Key != "":
		case size > 0 && size+len(i.Value) > pageBytes:
			reply.More = true
			return reply
		case len(i.Value) >= largeItemBytes:
			reply.Part, reply.More = partOf(i, pack(i), q.Part), true
			return reply
		default:
			reply.Items = append(reply.Items, i)
			size += len(i.Key) + len(i.Value) + itemOverheadBytes
		}
	}
	return reply
}

// partOf returns the part of an item that follows the received one.
func partOf(i Item, packed Packed, received Part) Part {
	p := Part{Key: i.Key, Era: i.Era, Revision: i.Revision, Digest: packed.Digest, Size: len(packed.Data)}
	if received.continues(p) && received.Offset < p.Size {
		p.Offset = received.Offset
	}
	p.Data = packed.Data[p.Offset:min(p.Offset+partBytes, p.Size)]
	return p
}

// continues reports whether both are parts of the same packed value.
func (p Part) continues(other Part) bool {
	return p.Key == other.Key && p.Era == other.Era && p.Revision == other.Revision && p.Digest == other.Digest && p.Size == other.Size
}

// NewestByKey returns the newest change of each key, in the order of keys.
func NewestByKey(changes []Item) []Item {
	newest := make(map[string]Item, len(changes))
	for _, i := range changes {
		if old, ok := newest[i.Key]; !ok || old.Revision < i.Revision {
			newest[i.Key] = i
		}
	}
	out := make([]Item, 0, len(newest))
	for _, i := range newest {
		out = append(out, i)
	}
	slices.SortFunc(out, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Transfer collects the replies of one or several hosts to what a replica lacks. Their
// pages need not have the same revision: the collected items are complete up to the
// lowest. They have the same era. The zero value is ready for use.
type Transfer struct {
	request      Request
	items        []Item
	bytes        int    // memory of items
	era          uint64 // of the replies
	revision     uint64 // lowest revision of the replies; 0: none
	heldRevision uint64 // highest revision of the replies with held changes
	copied       uint64 // lowest bound of the copy
	data         []byte // of request.Part
}

var (
	errTransfer = errors.New("feed: reply does not continue the transfer")
	errOlderEra = errors.New("feed: the host has an older era of the platform")
)

// Request returns the next request of a replica. A transfer that began at another position
// begins again.
func (t *Transfer) Request(r *Replica) Request {
	if after := r.Position(); !t.request.Eras || t.request.After != after {
		*t = Transfer{request: Request{After: after, Eras: true, Held: r.HeldDigest()}}
	}
	return t.request
}

// Accept adds a reply. It reports whether the transfer is complete. unpack reverses pack
// of Serve. After an error the transfer begins again.
func (t *Transfer) Accept(reply Reply, unpack func([]byte) ([]byte, error)) (done bool, err error) {
	if err := t.check(&reply); err != nil {
		return false, t.fail(err)
	}
	if t.revision == 0 || reply.Revision < t.revision {
		t.revision = reply.Revision
	}
	if t.copied == 0 || reply.Copied < t.copied {
		t.copied = reply.Copied
	}
	t.era = reply.Era
	for _, i := range reply.Items {
		if i.Key <= t.request.Key {
			return false, t.fail(errTransfer)
		}
		if err := t.add(i, reply.Revision); err != nil {
			return false, t.fail(err)
		}
	}
	if reply.Part.Size > 0 {
		if err := t.acceptPart(reply.Part, reply.Revision, unpack); err != nil {
			return false, t.fail(err)
		}
	}
	return !reply.More, nil
}

// check checks whether a reply continues the transfer. A reply that begins a list anew is
// accepted: its host has other changes, or only the whole content.
func (t *Transfer) check(reply *Reply) error {
	switch {
	case reply.Revision == 0:
		return errTransfer // the host has no content yet
	case reply.Era < t.request.After.Era:
		return errOlderEra
	case reply.Era != t.request.After.Era && !reply.Full, t.revision > 0 && reply.Era != t.era && reply.Key != "":
		return errTransfer
	case reply.Full == t.request.Full && reply.Key == t.request.Key && (t.revision == 0 || reply.Era == t.era):
		return nil
	case reply.Key != "":
		return errTransfer
	}
	*t = Transfer{request: Request{After: t.request.After, Full: reply.Full, Eras: true, Held: t.request.Held}}
	return nil
}

func (t *Transfer) add(i Item, revision uint64) error {
	if strings.HasPrefix(i.Key, heldPrefix) {
		t.heldRevision = max(t.heldRevision, revision)
	}
	if t.bytes += i.bytes() + itemMemoryBytes; t.bytes > MaxContentBytes {
		return ErrContentTooLarge
	}
	t.items = append(t.items, i)
	t.request.Key = i.Key
	if i.Key >= t.request.Part.Key {
		t.request.Part, t.data = Part{}, nil
	}
	return nil
}

func (t *Transfer) acceptPart(p Part, revision uint64, unpack func([]byte) ([]byte, error)) error {
	if !t.request.Part.continues(p) {
		t.request.Part, t.data = Part{Key: p.Key, Era: p.Era, Revision: p.Revision, Digest: p.Digest, Size: p.Size}, nil
	}
	if p.Key <= t.request.Key || p.Size > maxPackedBytes || p.Offset != len(t.data) || len(p.Data) == 0 || p.Offset+len(p.Data) > p.Size {
		return errTransfer
	}
	t.data = append(t.data, p.Data...)
	t.request.Part.Offset = len(t.data)
	if len(t.data) < p.Size {
		return nil
	}
	value, err := unpack(t.data)
	if err != nil {
		return err
	}
	return t.add(Item{Key: p.Key, Value: value, Era: p.Era, Revision: p.Revision}, revision)
}

func (t *Transfer) fail(err error) error {
	*t = Transfer{}
	return err
}

// ApplyTo applies a complete transfer to the replica that it was requested for, and ends
// it. It reports whether the replica has all that the transfer contained.
func (t *Transfer) ApplyTo(r *Replica) (all bool) {
	n := 0 // held changes come first, in the order of keys
	for ; n < len(t.items) && strings.HasPrefix(t.items[n].Key, heldPrefix); n++ {
		t.items[n].Key = strings.TrimPrefix(t.items[n].Key, heldPrefix)
	}
	at := Position{t.era, t.revision}
	if t.request.Full {
		r.ReplaceAt(at, t.copied, t.items[n:])
	} else {
		r.ApplyAt(t.request.After, at, t.items[n:])
	}
	if t.era == r.era {
		r.LowerCopied(t.era, t.copied)
		all = r.addHeld(t.heldRevision, t.items[:n])
	}
	*t = Transfer{}
	return all
}
