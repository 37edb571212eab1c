package quota

import (
	"github.com/anvilfront/anvilfront/internal/clock"
)

// handover is what an account's former owner passed on. It counts once, and only if the
// account changes its owner within takeoverTime: later the tokens may have been handed out
// anew.
type handover struct {
	lastID uint32
	tokens int
	at     clock.Time // of receipt, while the tokens wait for the takeover
}

// handOver passes the tokens of a bucket on when this host loses the account to another
// one, as when it stops or a host that ranks before it has started.
func (n *Node) handOver(now clock.Time, s *accountState) {
	b := n.bucket(s)
	b.refill(now, s.limit, n.Share(now))
	to := n.owner(s, "")
	if tokens := int(b.level); tokens > 0 && to != "" && to != n.cfg.Self {
		n.counts[Handovers]++
		n.cfg.Send(to, Message{Handover: &Handover{ID: n.newID(), Account: s.shared.Key, Tokens: tokens}})
	}
}

// ReceiveHandover takes over the tokens of a former owner. Its view may have changed
// before the one of this host.
func (n *Node) ReceiveHandover(now clock.Time, h Handover) {
	n.run(now)
	s := n.accounts[h.Account]
	if s == nil || h.ID == s.handover.lastID {
		return
	}
	s.handover = handover{lastID: h.ID, tokens: h.Tokens, at: now}
	if s.owned {
		n.takeHandover(now, s)
	}
}

// takeHandover adds the tokens of a former owner to the bucket of an account that this
// host has just taken over.
func (n *Node) takeHandover(now clock.Time, s *accountState) {
	h := &s.handover
	tokens := h.tokens
	h.tokens = 0
	if tokens == 0 || now.Sub(h.at) > takeoverTime || now.Sub(s.since) > takeoverTime || s.handedOver {
		return
	}
	s.handedOver = true
	b := n.bucket(s)
	b.level += float64(tokens)
	b.refill(now, s.limit, n.Share(now))
}
