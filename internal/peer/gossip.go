package peer

import "github.com/anvilfront/anvilfront/internal/wire"

// Gossip disseminates small updates to all entry hosts. The members controller implements
// it by piggybacking updates on pings.
type Gossip interface {
	// Publish disseminates u. It never blocks; when the bounded queue is full, the
	// oldest update is dropped and counted. A newer update with the same key (member,
	// fingerprint, incarnation) replaces a queued one.
	Publish(u wire.Update)
	// Handle registers f for updates from other entry hosts. from is the host that
	// published the update, not the one that forwarded it. Each update is delivered
	// once, and none after a newer one of the same origin and key. f must not block.
	// Call Handle before the members controller runs.
	Handle(f func(from string, u wire.Update))
}
