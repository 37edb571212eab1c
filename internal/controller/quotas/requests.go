package quotas

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/quota"
)

// overloadRetryAfter is the delay for callers that are refused because this host cannot
// process its queue.
const overloadRetryAfter = 500 * time.Millisecond

// Take implements filters.Quotas. It takes no lock; a request without a token waits for
// the owner's answer.
func (c *Controller) Take(ctx context.Context, a *manifest.Account) quota.Decision {
	s := (*c.accounts.Load())[a.Name]
	if s == nil {
		return quota.Decision{Admitted: true} // of a configuration that is taken over within a moment
	}
	now := c.cfg.Clock.Now()
	result, token, low := s.Try(now)
	if low {
		c.enqueue(func(now clock.Time) { c.node.More(now, s.Key) })
	}
	d := quota.Decision{Admitted: result == quota.Admitted, Token: token}
	switch result {
	case quota.Refused:
		d.Refusal.RetryAfter = s.RetryAfter(now)
	case quota.Wait:
		d = c.wait(ctx, s)
	}
	s.Count(d.Admitted)
	switch {
	case d.Admitted:
		c.admitted.Add(1)
	case d.Refusal.Silent:
		c.silent.Add(1)
	default:
		c.refused.Add(1)
	}
	return d
}

// wait waits for the decision of the node.
func (c *Controller) wait(ctx context.Context, s *account) quota.Decision {
	noDecision := quota.Decision{Refusal: quota.Refusal{RetryAfter: overloadRetryAfter, Silent: true}}
	w := &waiter{decided: make(chan struct{})}
	if !c.enqueue(func(now clock.Time) { c.node.Request(now, s.Key, w) }) {
		return noDecision
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-w.decided:
	case <-ctx.Done():
	case <-timer.C:
	}
	if w.state.CompareAndSwap(waiting, gone) {
		return noDecision
	}
	<-w.decided
	return quota.Decision{Admitted: w.state.Load() == admitted, Token: w.token, Refusal: w.refusal}
}

// Return implements filters.Quotas.
func (c *Controller) Return(a *manifest.Account, t quota.Token) {
	if s := (*c.accounts.Load())[a.Name]; s != nil && t.Expires > 0 && !s.Return(c.cfg.Clock.Now(), t) {
		c.enqueue(func(clock.Time) { c.node.Returned(s.Key) })
	}
}

// States of a waiter.
const (
	waiting int32 = iota
	admitted
	refused
	gone // the request does not wait any more
)

// waiter is a request that waits. The node sets token or refusal, and then closes decided.
type waiter struct {
	state   atomic.Int32
	decided chan struct{}
	token   quota.Token
	refusal quota.Refusal
}

// Admit implements quota.Waiter.
func (w *waiter) Admit(t quota.Token) bool {
	w.token = t
	if !w.state.CompareAndSwap(waiting, admitted) {
		return false
	}
	close(w.decided)
	return true
}

// Refuse implements quota.Waiter.
func (w *waiter) Refuse(r quota.Refusal) {
	w.refusal = r
	if w.state.CompareAndSwap(waiting, refused) {
		close(w.decided)
	}
}
