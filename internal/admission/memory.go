// Package admission decides what of the traffic that clients cause a host takes on: how
// much memory requests may take up, how many connections are open, what one client address
// may use of both, and which connections are closed when there is no room. It knows nothing
// of sockets; the listeners of a host ask it and carry out what it decides.
package admission

import "sync/atomic"

// Costs of a request in bytes of memory, from its first byte until its response is written.
const (
	// requestBytes covers the goroutine of a request, its exchange, and the part of its
	// response that is not counted elsewhere.
	requestBytes = 24 << 10
	// headCopies is how many copies of the bytes of a head exist at the same time: as read,
	// as parsed, as decoded, and as sent to the backend server.
	headCopies = 5
	// fieldBytes covers the entries of one header field in the parsed message, in the
	// request, and in the message to the backend server.
	fieldBytes = 256
	// inlineFields is the number of fields that requestBytes covers.
	inlineFields = 32
)

// RequestCost returns the memory of a request whose head has the given size and number of
// lines, without its body.
func RequestCost(headBytes, lines int) int64 {
	return requestBytes + headCopies*int64(headBytes) + fieldBytes*int64(max(0, lines-inlineFields))
}

// LargeRequest is the cost above which a request counts as large.
const LargeRequest = 4 * requestBytes

// largeShare is the share of an account up to which large requests are admitted. The rest
// is kept for requests of usual size, so that large ones are the first to be refused.
const largeShare = 0.75

// Share is the part of the memory account of a host that one listener may take up. It is
// safe for concurrent use.
type Share struct {
	limit, clientLimit int64
	used               atomic.Int64
}

// NewShare returns a share of limit bytes, of which one client address takes at most
// clientShare.
func NewShare(limit int64, clientShare float64) *Share {
	return &Share{limit: limit, clientLimit: int64(clientShare * float64(limit))}
}

// Used returns the bytes that are taken.
func (s *Share) Used() int64 { return s.used.Load() }

// Limit returns the bytes of the share.
func (s *Share) Limit() int64 { return s.limit }

// Take takes memory for a client and returns whether there was room. The memory of a
// refused request is not taken.
func (s *Share) Take(c *Client, bytes int64) Verdict {
	limit, clientLimit := s.limit, s.clientLimit
	if bytes > LargeRequest {
		limit, clientLimit = int64(largeShare*float64(limit)), int64(largeShare*float64(clientLimit))
	}
	if s.used.Add(bytes) > limit {
		s.used.Add(-bytes)
		return NoRoom
	}
	if c.used.Add(bytes) > clientLimit {
		c.used.Add(-bytes)
		s.used.Add(-bytes)
		return ClientLimit
	}
	return Admitted
}

// Give returns memory that Take admitted.
func (s *Share) Give(c *Client, bytes int64) {
	c.used.Add(-bytes)
	s.used.Add(-bytes)
}

// Verdict is the decision on a request or a connection.
type Verdict uint8

// The decisions.
const (
	Admitted    Verdict = iota
	NoRoom              // the host has no room
	ClientLimit         // the client address uses all that one address may
)
