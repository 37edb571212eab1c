// Package state holds the immutable snapshot of the fleet that filters read for
// each request, and the store that publishes it. In each process, a field of the
// snapshot is written by one controller only, which publishes new values and never
// changes a published one.
package state

import (
	"sync/atomic"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
)

// Snapshot is the state that one request uses. The snapshot and everything it
// points to are immutable, except for fields documented as atomics.
type Snapshot struct {
	Manifest       *manifest.Manifest // owner: controller/manifests or controller/feeds; nil until one is accepted
	Members        *Members           // owner: controller/members; never nil
	PoisonRequests *PoisonRequests    // owner: controller/poisonrequests or controller/crashes; never nil
	Servers        *Servers           // owner: controller/feeds or controller/servers; never nil
}

// Server is a registered backend server. It is immutable except for Load.
type Server struct {
	manifest.BackendServer
	Service   string
	Born      int64      // identifies the process behind the name
	Revision  uint64     // of the registration
	ColdUntil clock.Time // end of the cold start as registered; 0 if it was warm
	Local     bool       // in this host's data centre
	// ReportsRunningOnly is set for a server that reports only its number of running
	// requests. It refuses requests beyond its slots, and does not report its starts,
	// so they must be detected.
	ReportsRunningOnly bool
	Load               *load.State
}

// Servers are the registered backend servers.
type Servers struct {
	ByService map[string][]*Server // servers that may receive new work, by service name
	ByName    map[string]*Server   // all servers, by server name
	Out       map[string]bool      // data centres that receive no new work
	// Manifest is the manifest that lists the servers; nil if a feed lists them.
	Manifest *manifest.Manifest
}

// Member is one entry host as known to this process.
type Member struct {
	Name        string
	Address     string // IP:port of the peer listener
	DataCentre  string
	Incarnation uint64 // random per process start; 0 while unknown
	Alive       bool   // the failure detector considers it reachable
	Leaving     bool   // announced a planned stop, or listed as leaving
}

// Members are the entry hosts known to this process, itself included.
type Members struct {
	Self   Member
	ByName map[string]*Member
	// Listed holds the names from the manifest and the platform's host list,
	// sorted. Rendezvous hashing uses these names.
	Listed []string
	// Successors maps the incarnation of a stopped entry host to the member
	// that took over its order records.
	Successors map[uint64]*Member
}

// ByIncarnation returns the member with the given incarnation, or nil.
func (m *Members) ByIncarnation(inc uint64) *Member {
	for _, v := range m.ByName {
		if v.Incarnation == inc {
			return v
		}
	}
	return nil
}

// PoisonRequests holds the fingerprints of requests that crashed backend servers.
type PoisonRequests struct {
	ByFingerprint map[uint64]PoisonRequest
}

// PoisonRequest is the entry of one request fingerprint that crashed backend servers.
type PoisonRequest struct {
	Crashes int
	Refuse  bool       // refuse requests with this fingerprint
	Expires clock.Time // the entry has no effect after this time
}

// Store publishes snapshots. Load is a single atomic read.
type Store struct {
	snapshot atomic.Pointer[Snapshot]
	changed  atomic.Pointer[chan struct{}]
	lastTick atomic.Int64 // last tick of the pause detector, clock.Time
	stale    atomic.Bool  // true while the process resynchronizes after a pause
}

// NewStore returns a store with an empty snapshot for the given entry host.
func NewStore(self Member) *Store {
	s := &Store{}
	ch := make(chan struct{})
	s.changed.Store(&ch)
	s.snapshot.Store(&Snapshot{
		Members:        &Members{Self: self, ByName: map[string]*Member{self.Name: &self}, Listed: []string{self.Name}, Successors: map[uint64]*Member{}},
		PoisonRequests: &PoisonRequests{ByFingerprint: map[uint64]PoisonRequest{}},
		Servers:        &Servers{ByService: map[string][]*Server{}, ByName: map[string]*Server{}, Out: map[string]bool{}},
	})
	return s
}

// Load returns the current snapshot.
func (s *Store) Load() *Snapshot { return s.snapshot.Load() }

// Update publishes a copy of the current snapshot that edit has changed. edit may
// run more than once if controllers publish at the same time, and must set only
// the fields of its own controller.
func (s *Store) Update(edit func(*Snapshot)) {
	for {
		old := s.snapshot.Load()
		next := *old
		edit(&next)
		if s.snapshot.CompareAndSwap(old, &next) {
			ch := make(chan struct{})
			close(*s.changed.Swap(&ch))
			return
		}
	}
}

// Changed returns a channel that is closed at the next Update. A controller
// must get the channel before it loads the snapshot, so that it misses no change.
func (s *Store) Changed() <-chan struct{} { return *s.changed.Load() }

// Tick records that the process is running. The pause detector calls it.
func (s *Store) Tick(now clock.Time) { s.lastTick.Store(int64(now)) }

// LastTick returns the time of the last Tick.
func (s *Store) LastTick() clock.Time { return clock.Time(s.lastTick.Load()) }

// SetStale marks the snapshot as stale, or as fresh again after a resync.
func (s *Store) SetStale(v bool) { s.stale.Store(v) }

// Stale reports whether the snapshot is stale because a resync is in progress.
func (s *Store) Stale() bool { return s.stale.Load() }
