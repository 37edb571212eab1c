// Package peer is the transport for messages between entry hosts, over net/rpc. The
// controllers and the filter for orders send their calls through it. net/rpc has no
// deadlines, so this package limits each call, and an overdue call closes a connection on
// which nothing is received. Control and data messages use different connections.
package peer

import (
	"context"

	"github.com/go-faster/errors"
)

// Class selects the connection of a call.
type Class uint8

const (
	// Control is for pings, manifests, feeds and poison requests.
	Control Class = iota
	// Data is for orders, which are on the path of a request, and for heartbeats.
	Data
	numClasses
)

// ErrNotSent means that no byte of the call was sent.
var ErrNotSent = errors.New("peer: not connected")

// ErrUnconfirmed means that the call may have reached the peer, but no response arrived.
var ErrUnconfirmed = errors.New("peer: no response")

// RemoteError is an error that the peer's handler returned.
type RemoteError struct{ Message string }

// Error implements error.
func (e *RemoteError) Error() string { return "peer: " + e.Message }

// Caller calls methods of entry hosts by peer address (IP:port).
type Caller interface {
	Call(ctx context.Context, class Class, address, method string, args, reply any) error
}
