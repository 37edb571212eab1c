// Package lease holds the lease protocol of pools as pure decisions.
package lease

import (
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// Handover moves the state of a pool with its lease on a planned stop. The
// pools controller implements it, the leases controller calls it.
type Handover interface {
	// Seal stops granting slots of the pools and returns what is still in flight.
	Seal(pools []manifest.PoolID) []wire.PoolRelease
	// Adopt takes over what a stopping holder had in flight. It comes before the
	// lease of the pools is acquired here.
	Adopt(releases []wire.PoolRelease)
}
