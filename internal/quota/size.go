package quota

import (
	"math"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// heard is what older processes said of the size of the fleet, in this and the last
// inheritTime.
type heard struct {
	sizes [2]int
	since clock.Time // start of this inheritTime
	any   bool
}

func (h *heard) add(now clock.Time, size int) {
	h.rotate(now)
	h.sizes[0] = max(h.sizes[0], size)
	h.any = true
}

func (h *heard) rotate(now clock.Time) {
	if age := now.Sub(h.since); age >= inheritTime {
		h.sizes[1], h.sizes[0] = h.sizes[0], 0
		if age >= 2*inheritTime {
			h.sizes[1] = 0
		}
		h.since = now
	}
}

// Informed records the size of the fleet as an older process knows it. Only processes that
// are older by the margin may inform others, so that a size that no longer holds is not
// passed round in a circle.
func (n *Node) Informed(now clock.Time, size int) { n.older.add(now, size) }

// unaware reports whether this process is too young to know the size of the fleet.
func (n *Node) unaware(now clock.Time) bool {
	return !n.older.any && now.Sub(n.cfg.Start) < learnTime
}

// FleetSize returns the number of hosts that exist as far as this host knows.
func (n *Node) FleetSize(now clock.Time) int {
	_, known := n.size(now)
	return known
}

// size returns the hosts that this one and its group reach, and those that exist as far
// as is known. A process that has just started, maybe together with all others of its
// group, cannot know what it is cut off from: older processes tell it, or the seeds that
// do not answer.
func (n *Node) size(now clock.Time) (reachable, known int) {
	s := n.fleetSize
	n.older.rotate(now)
	age := now.Sub(n.cfg.Start)
	known = max(s.Known, n.older.sizes[0], n.older.sizes[1])
	if !n.older.any && s.Unheard > 0 && age < seedRule {
		part := max(float64(s.Seeds-s.Unheard), unreachedSeeds) / float64(s.Seeds)
		known = max(known, int(math.Ceil(float64(s.Reachable)/part)))
	}
	if n.unaware(now) {
		known = max(known, assumedHosts)
	}
	return s.Reachable, n.cut.size(now, s.Reachable, known)
}

// cut is what a host remembers while it reaches only a part of the fleet. Hosts that are
// added shortly before or meanwhile do not raise the part that its group hands out, since
// hosts may have been added out of reach as well.
type cut struct {
	part    float64 // the least part that was reached; 0 if all are
	missing int     // hosts out of reach then
	// recent holds the sizes of the fleet in the last seconds in which all of it was in
	// reach: a cut between data centres shows only after roster.RemoteAliveTimeout.
	recent [5]int
	second clock.Time // start of the last of these seconds
}

// size returns the size of the fleet for a part of which a host reaches this many hosts
// and knows that many.
func (c *cut) size(now clock.Time, reachable, known int) int {
	part, missing := float64(reachable)/float64(known), known-reachable
	if part*partHeadroom >= 1 {
		c.part, c.missing = 0, 0
		c.remember(now, known)
		return known
	}
	if c.part == 0 {
		if before := c.before(); before > missing {
			part = min(part, float64(before-missing)/float64(before))
		}
	}
	if c.part == 0 || part < c.part || missing < c.missing {
		c.part, c.missing = part, missing
	}
	return max(known, int(math.Ceil(float64(reachable)/c.part)))
}

func (c *cut) remember(now clock.Time, known int) {
	if now.Sub(c.second) < time.Second {
		c.recent[0] = min(c.recent[0], known)
		return
	}
	copy(c.recent[1:], c.recent[:])
	c.recent[0], c.second = known, now
}

// before returns the smallest of the recent sizes.
func (c *cut) before() int {
	least := math.MaxInt
	for _, n := range c.recent {
		if n > 0 {
			least = min(least, n)
		}
	}
	return least % math.MaxInt
}

// Share returns the part of the quotas that the owners among the hosts in reach hand out.
func (n *Node) Share(now clock.Time) float64 {
	reachable, known := n.size(now)
	return min(1, partHeadroom*float64(reachable)/float64(known))
}
