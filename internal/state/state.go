// Package state holds the immutable snapshot that filters read. Each field has
// one controller as its only writer; a writer publishes a new value and never
// changes a published one.
package state

import (
	"sync/atomic"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/load"
	"github.com/anvilfront/anvilfront/internal/manifest"
)

// Snapshot is what one request sees. It and all it points to are immutable,
// except for fields documented as atomics.
type Snapshot struct {
	Manifest       *manifest.Manifest // owner: controller/manifests; nil until one is accepted
	Members        *Members           // owner: controller/members; never nil
	PoisonRequests *PoisonRequests    // owner: controller/poisonrequests; never nil
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
	// Plain is set for a server whose answers tell the requests that run there
	// and no more. It refuses those beyond its slots, and its start must be noticed.
	ReportsRunningOnly bool
	Load               *load.State
}

// Servers are the registered backend servers.
type Servers struct {
	ByService map[string][]*Server // those that may receive new work, by name
	ByName    map[string]*Server   // all of them
	Out       map[string]bool      // data centres that receive no new work
	// Manifest is the one that lists them; nil where a feed does.
	Manifest *manifest.Manifest
}

// Member is one entry host as this process sees it.
type Member struct {
	Name        string
	Address     string // IP:port of the peer listener
	DataCentre  string
	Incarnation uint64 // random per process start; 0 while unknown
	Alive       bool   // answers heartbeats
	Leaving     bool   // announced a planned stop, or listed as leaving
}

// Members are the entry hosts known to this process, itself included.
type Members struct {
	Self   Member
	ByName map[string]*Member
	// Listed are the names from the manifest and the platform's host list,
	// sorted. Rendezvous orders are computed over these.
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

// Suspects are request fingerprints that are refused.
type PoisonRequests struct {
	ByFingerprint map[uint64]PoisonRequest
}

// Suspect is one request fingerprint that crashed backend servers.
type PoisonRequest struct {
	Crashes int
	Refuse  bool       // refuse requests with this fingerprint
	Expires clock.Time // after this the entry has no effect
}

// Store publishes snapshots. Load is a single atomic read.
type Store struct {
	p       atomic.Pointer[Snapshot]
	changed atomic.Pointer[chan struct{}]
	awake   atomic.Int64 // last beat of the pause detector, clock.Time
	stale   atomic.Bool  // true while the process re-syncs after a pause
}

// NewStore returns a store with an empty snapshot for the given entry host.
func NewStore(self Member) *Store {
	s := &Store{}
	ch := make(chan struct{})
	s.changed.Store(&ch)
	s.p.Store(&Snapshot{
		Members:        &Members{Self: self, ByName: map[string]*Member{self.Name: &self}, Listed: []string{self.Name}, Successors: map[uint64]*Member{}},
		PoisonRequests: &PoisonRequests{ByFingerprint: map[uint64]PoisonRequest{}},
		Servers:        &Servers{ByService: map[string][]*Server{}, ByName: map[string]*Server{}, Out: map[string]bool{}},
	})
	return s
}

// Load returns the current snapshot.
func (s *Store) Load() *Snapshot { return s.p.Load() }

// Update publishes a copy of the current snapshot changed by edit. edit may run
// more than once when controllers publish at the same time, and must only set
// the fields of its own controller.
func (s *Store) Update(edit func(*Snapshot)) {
	for {
		old := s.p.Load()
		next := *old
		edit(&next)
		if s.p.CompareAndSwap(old, &next) {
			ch := make(chan struct{})
			close(*s.changed.Swap(&ch))
			return
		}
	}
}

// Changed returns a channel that is closed at the next Update. A controller
// takes the channel before it loads the snapshot, so that it misses no change.
func (s *Store) Changed() <-chan struct{} { return *s.changed.Load() }

// Beat records that the process is running. The pause detector calls it.
func (s *Store) Tick(now clock.Time) { s.awake.Store(int64(now)) }

// LastBeat returns the time of the last Beat.
func (s *Store) LastTick() clock.Time { return clock.Time(s.awake.Load()) }

// SetStale marks the snapshot as outdated until a re-sync is finished.
func (s *Store) SetStale(v bool) { s.stale.Store(v) }

// Stale reports whether a re-sync is in progress.
func (s *Store) Stale() bool { return s.stale.Load() }
