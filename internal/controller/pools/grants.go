package pools

import (
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/balance"
	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/filter"
	"github.com/anvilfront/anvilfront/internal/manifest"
)

// record is one grant in flight. It is immutable once stored in its slot.
type record struct {
	grant   filter.Grant
	backend *backend
	holder  *holder
	at      clock.Time
	expires clock.Time
	remote  bool   // freed at expires; a local asker always releases
	asker   uint64 // incarnation of a remote asker
	token   uint64 // of its request
}

// chunkSize is the number of grants per chunk of a backend's grant table.
const chunkSize = 16

type chunk [chunkSize]atomic.Pointer[record]

// backend holds the grants in flight on one backend server. It outlives
// manifests and leases for as long as requests are in flight.
type backend struct {
	key     string
	index   uint64
	counter balance.Counter
	seen    atomic.Int64 // clock.Time of the last observation
	chunks  atomic.Pointer[[]*chunk]
}

func key(b *manifest.BackendServer) string { return b.Name + "@" + b.Address }

// registry finds backends by key and by the index in a grant's ID. It is
// immutable; changes publish a copy.
type registry struct {
	byKey   map[string]*backend
	byIndex []*backend // nil entries are free
}

// Layout of a grant ID: bit 63 set, 31 bits sequence, 16 bits index of the
// backend, 16 bits position in its grant table.
const (
	idMark     = uint64(1) << 63
	indexBits  = 16
	maxIndex   = 1<<indexBits - 1
	sequenceOf = uint64(1)<<31 - 1
)

// backend returns the backend of a server and creates it if there is none.
func (c *Controller) backend(b *manifest.BackendServer) *backend {
	k := key(b)
	for {
		old := c.backends.Load()
		if s := old.byKey[k]; s != nil {
			return s
		}
		next := old.copy()
		s := &backend{key: k}
		s.chunks.Store(&[]*chunk{})
		next.insert(s)
		if c.backends.CompareAndSwap(old, next) {
			return s
		}
	}
}

func (r *registry) copy() *registry {
	next := &registry{byKey: make(map[string]*backend, len(r.byKey)+1), byIndex: append([]*backend(nil), r.byIndex...)}
	for k, v := range r.byKey {
		next.byKey[k] = v
	}
	return next
}

func (r *registry) insert(s *backend) {
	r.byKey[s.key] = s
	for i, other := range r.byIndex {
		if other == nil {
			s.index = uint64(i)
			r.byIndex[i] = s
			return
		}
	}
	s.index = uint64(len(r.byIndex))
	r.byIndex = append(r.byIndex, s)
}

// prune drops idle backends that are not in the manifest.
func (c *Controller) prune(m *manifest.Manifest) {
	listed := map[string]bool{}
	for _, p := range m.Pools {
		for _, b := range p.Servers {
			listed[key(b)] = true
		}
	}
	for {
		old := c.backends.Load()
		next := old.copy()
		for k, s := range old.byKey {
			if !listed[k] && s.counter.Inflight() == 0 {
				delete(next.byKey, k)
				next.byIndex[s.index] = nil
			}
		}
		if c.backends.CompareAndSwap(old, next) {
			return
		}
	}
}

// put stores a grant and returns its position, or false when the table is at
// its largest size.
func (b *backend) put(rec *record, sequence uint64) bool {
	for {
		chunks := b.chunks.Load()
		for i, ch := range *chunks {
			for j := range ch {
				if ch[j].Load() != nil {
					continue
				}
				position := uint64(i*chunkSize + j)
				rec.grant.ID = idMark | (sequence&sequenceOf)<<(2*indexBits) | b.index<<indexBits | position
				if ch[j].CompareAndSwap(nil, rec) {
					return true
				}
			}
		}
		if (len(*chunks)+1)*chunkSize > maxIndex {
			return false
		}
		next := append(append([]*chunk(nil), *chunks...), &chunk{})
		b.chunks.CompareAndSwap(chunks, &next)
	}
}

// end removes the grant with the given ID and returns it, or nil. Of several
// calls for one grant exactly one gets it.
func (r *registry) end(id uint64) *record {
	index, position := id>>indexBits&maxIndex, int(id&maxIndex)
	if id&idMark == 0 || index >= uint64(len(r.byIndex)) || r.byIndex[index] == nil {
		return nil
	}
	chunks := *r.byIndex[index].chunks.Load()
	if position/chunkSize >= len(chunks) {
		return nil
	}
	slot := &chunks[position/chunkSize][position%chunkSize]
	rec := slot.Load()
	if rec == nil || rec.grant.ID != id || !slot.CompareAndSwap(rec, nil) {
		return nil
	}
	return rec
}

// cancelNotice is how long a slot stays taken after its request was cancelled
// or timed out: the way to the backend server, 1.5 ms between data centres, and
// the time in which it notices that the connection was closed.
const cancelNotice = 20 * time.Millisecond

// each calls f for every grant in flight.
func (b *backend) each(f func(*record)) {
	for _, ch := range *b.chunks.Load() {
		for j := range ch {
			if rec := ch[j].Load(); rec != nil {
				f(rec)
			}
		}
	}
}

// contact notes that a message of an asker arrived. The table is copied for an
// asker that is not known yet, which happens once per process.
func (c *Controller) contact(asker uint64, now clock.Time) {
	for {
		old := c.contacts.Load()
		if at := (*old)[asker]; at != nil {
			at.Store(int64(now))
			return
		}
		next := make(map[uint64]*atomic.Int64, len(*old)+1)
		for k, v := range *old {
			if len(*old) < maxContacts || now.Sub(clock.Time(v.Load())) < contactLife {
				next[k] = v
			}
		}
		next[asker] = &atomic.Int64{}
		c.contacts.CompareAndSwap(old, &next)
	}
}

// Bounds of the table of contacts. Grants end within run limits of some seconds.
const (
	maxContacts = 256
	contactLife = time.Minute
)

// age returns how long a grant is known to have run. A remote asker that is not
// heard from cannot report the end, so the time since then counts for nothing:
// otherwise a partition would make all servers of a holder look slow.
func (c *Controller) age(rec *record, now clock.Time) time.Duration {
	if !rec.remote {
		return now.Sub(rec.at)
	}
	if at := (*c.contacts.Load())[rec.asker]; at != nil {
		return max(0, clock.Time(at.Load()).Sub(rec.at))
	}
	return 0
}

// left returns the longest time until a grant on the backend expires.
func (b *backend) left(now clock.Time) time.Duration {
	var d time.Duration
	b.each(func(rec *record) { d = max(d, rec.expires.Sub(now)) })
	return d
}
