package admission

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// sampleSize bounds the connections that are compared to choose one to close, so that the
// cost of a decision does not grow with their number.
const sampleSize = 64

// Client is what one client address uses of a host.
type Client struct {
	used        atomic.Int64 // bytes
	connections int          // guarded by Connections.mu
}

// Used returns the memory that the address takes up.
func (c *Client) Used() int64 { return c.used.Load() }

// Connection is an admitted connection. Its owner reports what it does; the methods are
// safe for concurrent use and take no lock.
type Connection struct {
	Client *Client

	address netip.Addr
	close   func()
	pace    Pace
	served  atomic.Bool
	running atomic.Int64 // requests in flight
	// The times since which the connection waits for a request, for the rest of one, and
	// for the client to take a response; 0 if it does not.
	idle, reading, writing atomic.Int64
}

// Idle reports that the connection waits for the first byte of a request.
func (c *Connection) Idle(now clock.Time) { c.reading.Store(0); c.idle.Store(max(1, int64(now))) }

// Reading reports that the first bytes of a request have arrived.
func (c *Connection) Reading(now clock.Time) { c.idle.Store(0); c.reading.Store(max(1, int64(now))) }

// Read reports that more bytes of a request have arrived.
func (c *Connection) Read(bytes int, now clock.Time) {
	if since := c.reading.Load(); since != 0 {
		c.reading.Store(int64(c.pace.advance(clock.Time(since), now, bytes)))
	}
}

// Running reports that a request has arrived as a whole.
func (c *Connection) Running() { c.running.Add(1); c.idle.Store(0); c.reading.Store(0) }

// Writing reports that bytes of a response are handed to the client. The least rate allows
// for their time.
func (c *Connection) Writing(bytes int, now clock.Time) {
	c.writing.Store(max(1, int64(now.Add(c.pace.allowed(bytes)))))
}

// Written reports that the client has taken them.
func (c *Connection) Written() { c.writing.Store(0) }

// Ended reports that a request has ended.
func (c *Connection) Ended(now clock.Time) {
	if !c.served.Load() {
		c.served.Store(true)
	}
	if c.running.Add(-1) == 0 && c.reading.Load() == 0 {
		c.idle.Store(max(1, int64(now)))
	}
}

// Activity returns what the connection does.
func (c *Connection) Activity() Activity {
	return Activity{
		Served: c.served.Load(), Running: c.running.Load() > 0, Idle: clock.Time(c.idle.Load()),
		Reading: clock.Time(c.reading.Load()), Writing: clock.Time(c.writing.Load()),
	}
}

// Activity is what a connection does: the times since which it is idle, reads and writes,
// or 0, whether a request is in flight, and whether one was served.
type Activity struct {
	Served, Running        bool
	Idle, Reading, Writing clock.Time
}

// Connections are the open connections of one listener. It is safe for concurrent use; its
// lock is taken once when a connection opens and once when it ends.
type Connections struct {
	limit, clientLimit int
	pace               Pace

	mu      sync.Mutex
	open    map[*Connection]struct{}
	clients map[netip.Addr]*Client
}

// NewConnections returns a set of at most limit connections, of which one client address
// has at most clientShare, but at least one.
func NewConnections(limit int, clientShare float64, pace Pace) *Connections {
	return &Connections{
		limit: limit, pace: pace, clientLimit: max(1, int(clientShare*float64(limit))),
		open: map[*Connection]struct{}{}, clients: map[netip.Addr]*Client{},
	}
}

// Open returns the number of open connections.
func (s *Connections) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Admit decides on a new connection. If the listener, or the client address, has no room
// for it, another connection is closed in its place, and if none may be closed, the new one
// is refused: the result is nil then. closeConn ends a connection and must not block.
func (s *Connections) Admit(address netip.Addr, now clock.Time, closeConn func()) (c *Connection, closed EvictionReason, v Verdict) {
	s.mu.Lock()
	client := s.clients[address]
	if client == nil {
		client = &Client{}
	}
	var victim *Connection
	switch {
	case client.connections >= s.clientLimit:
		victim, closed = s.victim(now, func(o *Connection) bool { return o.Client == client })
		v = ClientLimit
	case len(s.open) >= s.limit:
		victim, closed = s.victim(now, nil)
		v = NoRoom
	}
	if v != Admitted && victim == nil {
		s.mu.Unlock()
		return nil, NotEvicted, v
	}
	if victim != nil {
		s.remove(victim)
	}
	c = &Connection{Client: client, address: address, close: closeConn, pace: s.pace}
	c.Idle(now)
	s.open[c] = struct{}{}
	s.clients[address] = client
	client.connections++
	s.mu.Unlock()
	if victim != nil {
		victim.close()
	}
	return c, closed, Admitted
}

// Done reports that a connection has ended.
func (s *Connections) Done(c *Connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(c)
}

// remove forgets a connection, unless it was closed for another one before.
func (s *Connections) remove(c *Connection) {
	if _, open := s.open[c]; !open {
		return
	}
	delete(s.open, c)
	if c.Client.connections--; c.Client.connections == 0 {
		delete(s.clients, c.address)
	}
}

// EvictSlow closes the connection that takes the longest to send the rest of a request or
// to take a response, so that its memory becomes free. It returns whether there was one.
func (s *Connections) EvictSlow(now clock.Time) EvictionReason {
	s.mu.Lock()
	victim, reason := s.victim(now, func(o *Connection) bool { return evictionOf(o.Activity(), now, s.pace).reason.holdsMemory() })
	if victim != nil {
		s.remove(victim)
	}
	s.mu.Unlock()
	if victim != nil {
		victim.close()
	}
	return reason
}

// victim returns the connection to close first among a random sample of those that may be
// closed, or nil. Go iterates over a map from a random position.
func (s *Connections) victim(now clock.Time, eligible func(*Connection) bool) (*Connection, EvictionReason) {
	var victim *Connection
	var first eviction
	compared := 0
	for c := range s.open {
		if compared++; compared > sampleSize {
			break
		}
		if eligible != nil && !eligible(c) {
			continue
		}
		e := evictionOf(c.Activity(), now, s.pace)
		if e.reason != NotEvicted && (victim == nil || e.before(first)) {
			victim, first = c, e
		}
	}
	return victim, first.reason
}
