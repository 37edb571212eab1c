package filters

import "sync/atomic"

// budgetBurst is the capacity in tokens of a budget that is kept per host. It
// enables retries on routes with few requests.
const budgetBurst = 10

const (
	// maxSlackShare limits a host's share of the fleet's slack, because a host that
	// knows no other hosts may be partitioned from many.
	maxSlackShare = 2.5
	// unknownHostFactor is the assumed ratio of all hosts to known hosts. It covers
	// hosts that are joining and hosts behind a partition.
	unknownHostFactor = 1.5
	// wholeTokenFactor is the least slack per known host with which each host may save up a
	// whole token. With a part of one, a host could never retry.
	wholeTokenFactor = 1.25
)

// SlackShare returns how many retries and hedges a host may save up, so that those
// of all hosts stay within the slack that the fleet is allowed in addition to its
// retry ratio. known is the number of hosts that this host knows, itself included.
func SlackShare(slack float64, known int) float64 {
	hosts := float64(max(known, 1))
	share := min(maxSlackShare, slack/(unknownHostFactor*hosts))
	if share < 1 && slack >= wholeTokenFactor*hosts {
		return 1
	}
	return share
}

const milliTokensPerToken = 1000

// budget is a token bucket that requests fill: each request deposits a fraction
// of a token and each retry withdraws one token, so that retries stay a fixed
// fraction of requests at any request rate. The zero value is empty.
type budget struct{ milliTokens atomic.Int64 }

// deposit adds percent/100 of a token, up to a total of burst tokens.
func (b *budget) deposit(percent, burst float64) {
	amount, capacity := int64(percent/100*milliTokensPerToken), int64(burst*milliTokensPerToken)
	for {
		old := b.milliTokens.Load()
		next := min(old+amount, capacity)
		if next == old || b.milliTokens.CompareAndSwap(old, next) {
			return
		}
	}
}

// tryWithdraw takes one token. It returns false if there is none.
func (b *budget) tryWithdraw() bool {
	for {
		old := b.milliTokens.Load()
		if old < milliTokensPerToken {
			return false
		}
		if b.milliTokens.CompareAndSwap(old, old-milliTokensPerToken) {
			return true
		}
	}
}
