package ledger

import (
	"hash/maphash"
	"sync/atomic"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/verdict"
)

// ways is the number of copies per bucket. A lookup scans one bucket.
const ways = 8

// Copy is a copy of the result of a finished order of another incarnation. It is
// used only for lookups: no order is run or refused because of it.
type Copy struct {
	Key         string
	Fingerprint uint64
	Result      Result     // Verdict is always Ran
	Expires     clock.Time // on this process's clock
}

// Copies is a bounded store of copies. It is safe for concurrent use without a
// mutex: a bucket is an array of atomic pointers to copies that do not change.
type Copies struct {
	seed       maphash.Seed
	buckets    [][ways]atomic.Pointer[Copy]
	bytes      atomic.Int64
	maxBytes   int64
	nextBucket atomic.Uint64 // next bucket from which expired copies are evicted
}

// NewCopies returns a store of at most count copies (rounded up to a full
// bucket) and maxBytes bytes of keys and results.
func NewCopies(count int, maxBytes int64) *Copies {
	return &Copies{seed: maphash.MakeSeed(), buckets: make([][ways]atomic.Pointer[Copy], (count+ways-1)/ways), maxBytes: maxBytes}
}

// evictStep is the number of buckets from which each Put evicts expired copies.
const evictStep = 4

// Put stores c. It returns false if c is expired or not the copy of an order that
// ran, if the store has no capacity, or if another goroutine changed the bucket.
// In a full bucket, it evicts the copy that expires first.
func (s *Copies) Put(now clock.Time, c *Copy) bool {
	if c.Result.Verdict != verdict.Ran || !now.Before(c.Expires) {
		return false
	}
	for range evictStep {
		s.evictExpired(now, s.nextBucket.Add(1)%uint64(len(s.buckets)))
	}
	if s.bytes.Add(c.size()) > s.maxBytes {
		s.bytes.Add(-c.size())
		return false
	}
	b := &s.buckets[s.bucket(c.Key)]
	var victim *atomic.Pointer[Copy]
	var old *Copy
	for i := range b {
		p := b[i].Load()
		if p != nil && p.Key == c.Key {
			s.bytes.Add(-c.size())
			return true // the first copy stays: an order has only one result
		}
		if victim == nil || old != nil && (p == nil || p.Expires < old.Expires) {
			victim, old = &b[i], p
		}
	}
	if !victim.CompareAndSwap(old, c) {
		s.bytes.Add(-c.size())
		return false
	}
	if old != nil {
		s.bytes.Add(-old.size())
	}
	return true
}

// Get returns the copy with the given key, or nil.
func (s *Copies) Get(now clock.Time, key string) *Copy {
	b := &s.buckets[s.bucket(key)]
	for i := range b {
		if p := b[i].Load(); p != nil && p.Key == key && now.Before(p.Expires) {
			return p
		}
	}
	return nil
}

// Bytes returns the number of bytes in use.
func (s *Copies) Bytes() int64 { return s.bytes.Load() }

func (s *Copies) bucket(key string) uint64 {
	return maphash.String(s.seed, key) % uint64(len(s.buckets))
}

func (s *Copies) evictExpired(now clock.Time, bucket uint64) {
	b := &s.buckets[bucket]
	for i := range b {
		if p := b[i].Load(); p != nil && !now.Before(p.Expires) && b[i].CompareAndSwap(p, nil) {
			s.bytes.Add(-p.size())
		}
	}
}

func (c *Copy) size() int64 { return int64(len(c.Key) + c.Result.size()) }
