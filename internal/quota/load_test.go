package quota

import (
	"math"
	"slices"
	"sort"
	"time"
)

// simRequest is a request in a simulation.
type simRequest struct {
	h   *simHost
	run int
	a   *simAccount
}

// Admit implements Waiter.
func (r *simRequest) Admit(t Token) bool {
	if r.h.run != r.run {
		return false
	}
	r.admit(t)
	return true
}

// admit sends the request, or gives its token back if a backend server has no room.
func (r *simRequest) admit(t Token) {
	s, a := r.h.s, r.a
	a.given++
	if s.rng.Float64() < s.shed {
		s.after(s.between(0, 400*time.Millisecond), func() {
			if r.h.run == r.run && r.h.running() && !r.h.shared[a.key].Return(r.h.clock(), t) {
				r.h.node.Returned(a.key)
			}
		})
		return
	}
	s.after(s.between(0, 5*time.Millisecond), func() {
		if r.h.run == r.run && r.h.running() { // a host that was paused refuses
			a.sent = append(a.sent, s.now)
		}
	})
}

// Refuse implements Waiter.
func (r *simRequest) Refuse(f Refusal) {
	r.a.refused++
	if f.Silent {
		r.a.silent++
	}
}

// request runs the path of a request on a host, as controller/quotas does.
func (h *simHost) request(a *simAccount) {
	if !h.running() || h.s.now < h.started+simReady {
		return
	}
	h.s.requests++
	a.offered++
	r := &simRequest{h: h, run: h.run, a: a}
	shared := h.shared[a.key]
	if shared == nil {
		return
	}
	result, t, low := shared.Try(h.clock())
	if low {
		h.node.More(h.clock(), a.key)
	}
	switch result {
	case Admitted:
		r.admit(t)
	case Refused:
		r.Refuse(Refusal{RetryAfter: shared.RetryAfter(h.clock())})
	default:
		h.node.Request(h.clock(), a.key, r)
	}
	h.schedule()
}

// addAccount adds an account whose requests come to hosts by weight.
func (s *sim) addAccount(name string, l Limit, demand func(time.Duration) float64, weight func(host int) float64) *simAccount {
	a := &simAccount{name: name, key: KeyOf(name), limits: []simLimit{{0, l}}, demand: demand}
	sum := 0.0
	for i := range s.hosts {
		sum += weight(i)
		a.weights = append(a.weights, sum)
	}
	s.accounts = append(s.accounts, a)
	for _, h := range s.hosts {
		h.limits[a.key] = l
	}
	return a
}

// load starts the arrivals of all accounts, which are Poisson processes.
func (s *sim) load() {
	for _, a := range s.accounts {
		var next func()
		next = func() {
			d := a.demand(s.now)
			s.after(time.Duration(s.rng.ExpFloat64()/max(d, 0.01)*float64(time.Second)), func() {
				if a.demand(s.now) > 0 {
					at := sort.SearchFloat64s(a.weights, s.rng.Float64()*a.weights[len(a.weights)-1])
					s.hosts[min(at, len(s.hosts)-1)].request(a)
				}
				next()
			})
		}
		next()
	}
}

// setLimit publishes a new limit, which hosts apply within two seconds. A host does not
// go back to an older one.
func (s *sim) setLimit(a *simAccount, l Limit) {
	a.limits = append(a.limits, simLimit{s.now, l})
	version := len(a.limits)
	for _, h := range s.hosts {
		s.after(s.between(0, 2*time.Second), func() {
			if h.versions[a.key] > version {
				return
			}
			h.limits[a.key], h.versions[a.key] = l, version
			if h.node != nil {
				h.shared = h.node.Configure(h.clock(), h.limits)
			}
		})
	}
}

const (
	simReady = 300 * time.Millisecond // age at which a process gets requests
	window   = 5 * time.Second
	// applied is how long after its publication a limit is in force at all hosts.
	applied = 2500 * time.Millisecond
)

// bound returns the most requests of the account in the window that starts at from. A
// lowered limit binds one window after all hosts had the time to apply it.
func (a *simAccount) bound(from time.Duration) float64 {
	most := 0.0
	for i, l := range a.limits {
		if l.at > from+window || i+1 < len(a.limits) && a.limits[i+1].at+applied+window < from {
			continue
		}
		most = max(most, (l.Rate*window.Seconds()+l.Burst)*1.25+20)
	}
	return most
}

// worst returns the greatest part of the bound that any window used up, and its start.
func (a *simAccount) worst() (part float64, at time.Duration) {
	slices.Sort(a.sent)
	for first, last := 0, 0; first < len(a.sent); first++ {
		for last < len(a.sent) && a.sent[last] < a.sent[first]+window {
			last++
		}
		if p := float64(last-first) / a.bound(a.sent[first]); p > part {
			part, at = p, a.sent[first]
		}
	}
	return part, at
}

// zipf returns the weights of hosts by rank, from even (0) to most requests on a few (2).
func zipf(exponent float64, shift int) func(int) float64 {
	return func(i int) float64 { return 1 / math.Pow(float64((i+shift)%1000+1), exponent) }
}

func onHost(host int) func(int) float64 {
	return func(i int) float64 {
		if i == host {
			return 1
		}
		return 0
	}
}
