// Package quota decides how the quotas of client accounts are handed out over all entry
// hosts. The owner of an account holds its token bucket; the other hosts ask it for the
// tokens that their requests need. A token that a host got is spent within TokenLife or
// not at all, so that what is lost or late is bounded.
//
// Over all hosts an account gets at most (rate * window + burst) * 1.25 + 20 requests in
// every window of 5 s, also while several hosts own it, hosts are cut off from each other
// or all of them have just started. Table "What the bound allows for" of
// docs/decisions/account-quotas.md adds up what each constant below takes of it.
//
// The package does no I/O and reads no clock. A Node holds the decisions of one host;
// package controller/quotas runs it.
package quota

import (
	"time"

	"github.com/anvilfront/anvilfront/internal/rendezvous"
)

const (
	// TokenLife is how long after the ask a granted token may be spent.
	TokenLife = 250 * time.Millisecond
	// repeatAfter is when an ask without an answer is sent once more, and giveUpAfter when
	// the host stops waiting for it. A round trip takes 0.2 to 3 ms; the rest is for hosts
	// that get a sixth of a processor, which may not run for 84 ms in a row: refusing a
	// request inside its quota is worse than its wait.
	repeatAfter = 25 * time.Millisecond
	giveUpAfter = 120 * time.Millisecond
	// aheadTime is the demand that an ask covers beyond the requests that wait. It is well
	// below TokenLife, so that few tokens expire unused.
	aheadTime = 100 * time.Millisecond
	// avoidTime is how long a host that did not answer an ask is passed over.
	avoidTime = 2 * time.Second
	// maxHops bounds how often an ask is forwarded between hosts whose views differ.
	maxHops = 2
	// maxWaiting bounds the requests of one account that wait for the same grant.
	maxWaiting = 256

	// headroom and burstHeadroom are the small excess over rate and burst by which tokens
	// make up for those that expire unused; spareTokens does so for small accounts.
	headroom      = 1.03
	burstHeadroom = 1.05
	spareTokens   = 3
	// partHeadroom raises the part of the rate that a group of hosts hands out while it
	// reaches only a part of the known hosts, so that a few hosts that were lost without
	// notice cost nothing.
	partHeadroom = 1.1
	// takeoverTime is how long views of the hosts may differ. A new owner hands out
	// takeoverShare of the rate until then, since the former one may still own the account
	// as well.
	takeoverTime  = time.Second
	takeoverShare = 0.75
	// startTokens and startBurst, a part of the burst, are what the owner of an account holds
	// once it knows the other hosts of a fleet that has just started.
	startTokens = 2
	startBurst  = 0.25
	// fallbackShare is the part of the rate that all hosts together spend while none gets
	// a grant.
	fallbackShare = 0.15
	// learnTime is the age below which a process that no older one has answered does not
	// know how large the fleet is. It then assumes assumedHosts, the largest fleet.
	learnTime    = 600 * time.Millisecond
	assumedHosts = 320
	// inheritTime is how long a process believes what an older one said of the size of the
	// fleet. Processes say so several times a second.
	inheritTime = 2 * time.Second
	// seedRule is how long a process that no older one has answered estimates the fleet by
	// the seeds that it has never heard of. The seeds are renewed by the platform; later
	// they count as gone.
	seedRule = time.Hour
	// unreachedSeeds stands for the seeds in reach of a process that reaches none.
	unreachedSeeds = 0.2
	// pauseGap is the time without a call after which a node was paused and has lost what
	// it owned. It is shorter than the time after which others replace a silent owner.
	pauseGap = 500 * time.Millisecond

	// maxHold bounds how long a host refuses requests by itself after the owner had too few
	// tokens, and maxRetryAfter the delay that callers are given.
	maxHold       = 250 * time.Millisecond
	minHold       = 2 * time.Millisecond
	maxRetryAfter = time.Minute
	// silentRetryAfter is the mean delay for callers that are refused because the owner is
	// silent: the next owner takes over within 0.7 s.
	silentRetryAfter = 400 * time.Millisecond
)

// Key identifies an account among hosts. It also ranks the hosts that may own the account.
type Key = rendezvous.Key

// KeyOf returns the key of the account with the given name.
func KeyOf(name string) Key { return rendezvous.NewKey(name) }

// Limit is the quota of an account over all hosts.
type Limit struct{ Rate, Burst float64 }

// Ask is a request for tokens.
type Ask struct {
	ID       uint32 // chosen by the asking process; the grant repeats it
	Account  Key
	Waiting  int    // requests that wait for a token
	Ahead    int    // tokens for requests that are expected soon
	Seen     int    // requests that arrived since the last ask
	Returned int    // tokens of earlier grants that were not spent
	ReplyTo  string // address of the asking host, if another one forwards the ask
	Hops     int    // times that it was forwarded
}

// Grant answers an Ask.
type Grant struct {
	ID      uint32
	Granted int
	// Hold is how long the host refuses further requests without asking; above zero if
	// Granted is less than the requests that waited.
	Hold time.Duration
	// RetryAfter is when callers that are refused now find room.
	RetryAfter time.Duration
	// Excess is the demand of the account as a multiple of its usual demand.
	Excess float64
}

// Handover passes the tokens of a bucket on to the next owner of the account.
type Handover struct {
	ID      uint32 // chosen by the former owner
	Account Key
	Tokens  int
}

// Message is one of its fields.
type Message struct {
	Ask      *Ask
	Grant    *Grant
	Handover *Handover
}

// Fleet is what a host knows of the other hosts. Views of different hosts differ.
type Fleet interface {
	// Owner returns the address of the host that owns the account, or "" if there is none.
	// It passes over another host with the address avoid.
	Owner(k Key, avoid string) string
	Size() Size
}

// Size is what a host knows of the size of the fleet.
type Size struct {
	Known     int // hosts that were heard of and have not announced their stop, this one included
	Reachable int // those of them that this host and its group reach
	Seeds     int // hosts that the settings name, without this one
	Unheard   int // seeds that this process has never heard of
}

// Token is the right to send one request of an account.
type Token struct{ Expires int64 } // in ms of the host's clock; 0: none was needed

// Refusal tells why a request gets no token.
type Refusal struct {
	RetryAfter time.Duration
	Silent     bool // no owner answered; the account may be inside its quota
}

// Decision is the decision on one request.
type Decision struct {
	Admitted bool
	Token    Token   // if it is admitted
	Refusal  Refusal // if not
}

// Waiter is a request that waits for a token.
type Waiter interface {
	// Admit gives the token to the request. It returns false if the request is gone.
	Admit(Token) bool
	Refuse(Refusal)
}
