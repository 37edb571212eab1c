package quota

import "github.com/anvilfront/anvilfront/internal/clock"

// addStartTokens adds the first tokens of an account whose owner has started together with
// the other hosts that it knows. Before learnTime several hosts may take themselves for the
// owner; long after it, views differ for other reasons.
func (n *Node) addStartTokens(now clock.Time, s *accountState) {
	learned := n.cfg.Start.Add(learnTime)
	young := now >= learned && now < learned.Add(takeoverTime)
	if !young || n.older.any || s.since > learned || s.bucket.started {
		return
	}
	share := n.Share(now)
	s.bucket.refill(now, s.limit, share)
	s.bucket.started = true
	s.bucket.level += startTokens + startBurst*s.limit.Burst*share
}
