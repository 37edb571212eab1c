package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
)

// Config holds the dependencies of a Node.
type Config struct {
	Self  string     // address of this host
	Start clock.Time // of the process
	Rand  *rand.Rand
	Send  func(to string, m Message)
}

// Node decides for one host: it asks for tokens, and grants them for the accounts that it
// owns. It is not safe for concurrent use; only the Accounts are.
type Node struct {
	cfg       Config
	fleet     Fleet
	accounts  map[Key]*accountState
	pending   map[uint32]*accountState // by ID of the ask that is not answered yet
	nextID    uint32
	lastRun   clock.Time
	fleetSize Size
	older     heard // from older processes
	cut       cut
	counts    Counts
}

// accountState is what a Node keeps of one account: 0.9 KB with its bucket, whatever the
// number of hosts.
type accountState struct {
	shared *Account
	limit  Limit

	waiting    []Waiter
	ask        Ask // the one that is not answered yet; its ID is 0 if there is none
	askedAt    clock.Time
	askedHost  string
	repeated   bool
	demand     rate
	returned   int // tokens to give back with the next ask
	avoid      string
	avoidUntil clock.Time
	fallback   fallback

	owned      bool
	since      clock.Time // start of the ownership
	bucket     *bucket    // nil until the first ask
	handover   handover
	handedOver bool // the former owner's tokens are in the bucket, or do not count
}

// NewNode returns a Node without accounts.
func NewNode(cfg Config) *Node {
	return &Node{
		cfg: cfg, accounts: map[Key]*accountState{}, pending: map[uint32]*accountState{},
		nextID: cfg.Rand.Uint32(), lastRun: cfg.Start, fleetSize: Size{Known: 1, Reachable: 1},
	}
}

// Counts returns the counts so far.
func (n *Node) Counts() Counts { return n.counts }

// Configure replaces the limits of the accounts and returns the state that requests share.
func (n *Node) Configure(now clock.Time, limits map[Key]Limit) map[Key]*Account {
	if len(n.accounts) == 0 {
		n.lastRun = now // nothing calls a node without accounts
	}
	shared := make(map[Key]*Account, len(limits))
	for k, l := range limits {
		s := n.accounts[k]
		if s == nil {
			s = &accountState{shared: &Account{Key: k}, since: now}
			n.accounts[k] = s
			s.owned = n.owner(s, "") == n.cfg.Self
		}
		if s.bucket != nil {
			s.bucket.refill(now, s.limit, n.Share(now))
		}
		s.limit = l
		shared[k] = s.shared
	}
	for k, s := range n.accounts {
		if _, ok := limits[k]; !ok {
			delete(n.pending, s.ask.ID)
			delete(n.accounts, k)
			for _, w := range s.waiting {
				w.Admit(Token{})
			}
		}
	}
	return shared
}

// SetFleet replaces what the node knows of the hosts. changed reports that other hosts may
// own accounts now.
func (n *Node) SetFleet(now clock.Time, f Fleet, changed bool) {
	n.run(now)
	n.fleet, n.fleetSize = f, f.Size()
	if !changed {
		return
	}
	for k, s := range n.accounts {
		owned := f.Owner(k, "") == n.cfg.Self
		if owned == s.owned {
			continue
		}
		if owned {
			n.counts[Takeovers]++
			s.owned, s.since, s.bucket, s.handedOver = true, now, nil, false
			n.takeHandover(now, s)
			continue
		}
		n.counts[Losses]++
		n.handOver(now, s)
		s.owned, s.bucket = false, nil
	}
}

// run detects pauses. A node that was paused may have been replaced as owner, and starts
// with empty buckets.
func (n *Node) run(now clock.Time) {
	if now.Sub(n.lastRun) > pauseGap {
		n.counts[Pauses]++
		for _, s := range n.accounts {
			s.since, s.bucket, s.handedOver = now, nil, true
		}
	}
	n.lastRun = max(n.lastRun, now)
}

// Request decides on a request for which Account.Try returned Wait.
func (n *Node) Request(now clock.Time, k Key, w Waiter) {
	n.run(now)
	s := n.accounts[k]
	if s == nil {
		w.Admit(Token{}) // the account has lost its limit since
		return
	}
	if t, _, ok := s.shared.take(now); ok {
		if !w.Admit(t) {
			s.shared.add(now, 1, t.Expires)
		}
		return
	}
	if now < clock.Time(s.shared.heldUntil.Load()) || len(s.waiting) >= maxWaiting {
		w.Refuse(Refusal{RetryAfter: s.shared.RetryAfter(now)})
		return
	}
	s.waiting = append(s.waiting, w)
	n.ask(now, s)
}

// More asks for tokens ahead, after Account.Try has reported that they run out.
func (n *Node) More(now clock.Time, k Key) {
	n.run(now)
	if s := n.accounts[k]; s != nil {
		n.ask(now, s)
	}
}

// Returned records a token that was not spent and expired.
func (n *Node) Returned(k Key) {
	if s := n.accounts[k]; s != nil {
		s.returned++
		n.counts[Returns]++
	}
}

// ask sends an ask unless one is pending.
func (n *Node) ask(now clock.Time, s *accountState) {
	if s.ask.ID != 0 {
		return
	}
	seen := s.shared.seen.Swap(0)
	s.demand.add(now, float64(seen), demandTime)
	expired := int(s.shared.takeExpired(now))
	n.counts[Returns] += int64(expired)
	ahead := int(s.demand.value(now, demandTime) * aheadTime.Seconds())
	s.shared.target.Store(int64(ahead))
	a := Ask{
		ID: n.newID(), Account: s.shared.Key, Waiting: len(s.waiting), Ahead: ahead,
		Seen: int(min(seen, math.MaxUint16)), Returned: min(s.returned+expired, math.MaxUint16),
	}
	s.returned, s.repeated = 0, false
	s.ask, s.askedAt = a, now
	n.pending[a.ID] = s
	n.sendAsk(now, s)
}

// newID returns an ID that is not 0.
func (n *Node) newID() uint32 {
	if n.nextID++; n.nextID == 0 {
		n.nextID++
	}
	return n.nextID
}

// owner returns the owner of an account in this host's view, or "".
func (n *Node) owner(s *accountState, avoid string) string {
	if n.fleet == nil {
		return ""
	}
	return n.fleet.Owner(s.shared.Key, avoid)
}

// sendAsk sends the pending ask to the owner, or answers it if that is this host.
func (n *Node) sendAsk(now clock.Time, s *accountState) {
	avoid := s.avoid
	if now >= s.avoidUntil {
		avoid = ""
	}
	owner := n.owner(s, avoid)
	if owner == n.cfg.Self && !s.owned {
		owner = n.owner(s, "") // the next in rank does not own the account while the owner is alive
	}
	s.askedHost = owner
	switch owner {
	case "":
		n.giveUp(now, s)
	case n.cfg.Self:
		g := n.grant(now, s, &s.ask, n.cfg.Self)
		n.apply(now, s, &g)
	default:
		n.counts[Asks]++
		n.cfg.Send(owner, Message{Ask: &s.ask})
	}
}

// ReceiveAsk answers an ask of another host, or passes it on to the owner.
func (n *Node) ReceiveAsk(now clock.Time, from string, a Ask) {
	n.run(now)
	s := n.accounts[a.Account]
	if s == nil {
		return
	}
	if a.ReplyTo == "" {
		a.ReplyTo = from
	}
	if s.owned {
		// A process that knows no other one yet lets the host ask elsewhere, rather than
		// refuse: it may have the address of a former owner.
		if g := n.grant(now, s, &a, a.ReplyTo); g.Hold == 0 || !n.unaware(now) {
			n.cfg.Send(a.ReplyTo, Message{Grant: &g})
		}
		return
	}
	owner := n.owner(s, "")
	if a.Hops++; owner != "" && owner != n.cfg.Self && owner != a.ReplyTo && a.Hops <= maxHops {
		n.counts[Forwarded]++
		n.cfg.Send(owner, Message{Ask: &a})
	}
}

// bucket returns the bucket of an account that this host owns.
func (n *Node) bucket(s *accountState) *bucket {
	if s.bucket == nil {
		// Since the start of the ownership nothing has been handed out. A process that has
		// just started may own accounts only because it has not heard of their owners yet.
		careful := max(s.since, n.cfg.Start.Add(learnTime)).Add(takeoverTime)
		s.bucket = &bucket{at: s.since, since: s.since, carefulUntil: careful}
	}
	return s.bucket
}

// grant takes tokens out of the bucket of an account that this host owns.
func (n *Node) grant(now clock.Time, s *accountState, a *Ask, from string) Grant {
	b := n.bucket(s)
	n.addStartTokens(now, s)
	g := b.grant(now, s.limit, n.Share(now), a, from)
	n.counts[Grants]++
	n.counts[Granted] += int64(g.Granted)
	if g.Granted < a.Waiting {
		n.counts[Short]++
	}
	return g
}

// ReceiveGrant processes the answer to an ask. One that is late or repeated is ignored.
func (n *Node) ReceiveGrant(now clock.Time, g Grant) {
	n.run(now)
	if s := n.pending[g.ID]; s != nil {
		n.apply(now, s, &g)
	}
}

// apply gives the tokens of a grant to the requests that wait, and keeps the others.
func (n *Node) apply(now clock.Time, s *accountState, g *Grant) {
	asked := s.askedAt
	n.endAsk(s)
	s.shared.excess.Store(math.Float64bits(g.Excess))
	expires := millis(asked.Add(TokenLife))
	left := g.Granted
	if expires <= millis(now) {
		left = 0
	}
	for left > 0 && len(s.waiting) > 0 {
		if n.pop(s).Admit(Token{Expires: expires}) {
			left--
		}
	}
	if left > 0 {
		s.shared.add(now, int64(left), expires)
	}
	if g.Hold > 0 {
		s.shared.heldUntil.Store(int64(now.Add(min(g.Hold, maxHold))))
		s.shared.roomAt.Store(int64(now.Add(min(g.RetryAfter, maxRetryAfter))))
		for len(s.waiting) > 0 {
			n.pop(s).Refuse(Refusal{RetryAfter: n.jitter(s.shared.RetryAfter(now))})
		}
	}
	if len(s.waiting) > 0 {
		n.ask(now, s)
	}
}

func (n *Node) pop(s *accountState) Waiter {
	w := s.waiting[0]
	s.waiting[0] = nil
	if s.waiting = s.waiting[1:]; len(s.waiting) == 0 {
		s.waiting = nil
	}
	return w
}

func (n *Node) endAsk(s *accountState) {
	delete(n.pending, s.ask.ID)
	s.ask = Ask{}
	s.shared.nudged.Store(false)
}

// jitter spreads callers that are refused at the same time.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d + time.Duration(n.cfg.Rand.Float64()*0.25*float64(d))
}

// Tick repeats asks that are not answered, and gives them up.
func (n *Node) Tick(now clock.Time) {
	n.run(now)
	for _, s := range n.pending {
		switch age := now.Sub(s.askedAt); {
		case age >= giveUpAfter:
			n.giveUp(now, s)
		case age >= repeatAfter && !s.repeated:
			// Another host passes the ask on if the owner is alive, and knows sooner if not.
			s.avoid, s.avoidUntil, s.repeated = s.askedHost, now.Add(avoidTime), true
			s.ask.Seen, s.ask.Returned = 0, 0
			n.counts[Repeats]++
			n.sendAsk(now, s)
		}
	}
}

// Next returns when Tick is due; ok is false if no ask is pending.
func (n *Node) Next() (due clock.Time, ok bool) {
	for _, s := range n.pending {
		at := s.askedAt.Add(repeatAfter)
		if s.repeated {
			at = s.askedAt.Add(giveUpAfter)
		}
		if !ok || at < due {
			due, ok = at, true
		}
	}
	return due, ok
}

// giveUp ends an ask that nobody answered. The requests that wait get tokens of the
// fallback share.
func (n *Node) giveUp(now clock.Time, s *accountState) {
	n.counts[GaveUp]++
	s.avoid, s.avoidUntil = s.askedHost, now.Add(avoidTime)
	n.endAsk(s)
	_, known := n.size(now)
	perSecond := fallbackShare * s.limit.Rate / float64(known)
	s.fallback.refill(now, perSecond)
	for len(s.waiting) > 0 {
		w := n.pop(s)
		if s.fallback.take(n.cfg.Rand) {
			n.counts[Fallback]++
			if !w.Admit(Token{Expires: millis(now.Add(TokenLife))}) {
				s.fallback.untake()
			}
			continue
		}
		w.Refuse(Refusal{RetryAfter: n.jitter(silentRetryAfter), Silent: true})
	}
}
