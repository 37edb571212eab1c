package leases

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/lease"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// successors is how many candidates are offered the in-flight counts of a pool.
// Offering them twice is safe: an adopter only treats more slots as busy.
const successors = 2

// Stop releases all leases on a planned stop, each to the next candidate with
// what is still in flight. It asks for no lease afterwards. A release that no
// candidate confirmed is not sent to the voters: the pool stays without a
// holder until the term ends, so that nobody holds it without the counts.
func (c *Controller) Stop(ctx context.Context) {
	c.mu.Lock()
	c.stopping = true
	var pools []manifest.PoolID
	for id := range c.held {
		pools = append(pools, id)
	}
	c.mu.Unlock()
	if len(pools) == 0 {
		return
	}
	inflight := map[manifest.PoolID]wire.PoolRelease{}
	if c.Handover != nil {
		for _, r := range c.Handover.Seal(pools) {
			inflight[r.Pool] = r
		}
	}
	c.mu.Lock()
	for _, h := range c.held {
		h.Until.Store(0) // for requests that still use an older snapshot
	}
	clear(c.held)
	c.dirty = true
	sequence := c.candidate.Release(pools)
	c.publish()
	c.mu.Unlock()

	snap := c.Store.Load()
	left := pools
	for rank := 0; rank < successors && len(left) > 0; rank++ {
		left = c.handOver(ctx, snap, sequence, left, inflight, rank)
	}
	if len(left) > 0 {
		c.Log.Warn("Leases expire instead of being handed over.", zap.Int("pools", len(left)))
	}
}

// handOver offers each pool to its candidate of the given rank and returns the
// pools that were not confirmed.
func (c *Controller) handOver(ctx context.Context, snap *state.Snapshot, sequence uint64, pools []manifest.PoolID,
	inflight map[manifest.PoolID]wire.PoolRelease, rank int) []manifest.PoolID {
	groups := map[string][]wire.PoolRelease{}
	var left []manifest.PoolID
	for _, id := range pools {
		to := c.successor(snap, id, rank)
		if to == "" {
			left = append(left, id)
			continue
		}
		r := inflight[id]
		r.Pool = id
		groups[to] = append(groups[to], r)
	}
	type result struct {
		releases  []wire.PoolRelease
		confirmed bool
	}
	results := make(chan result, len(groups))
	var wg conc.WaitGroup
	for to, releases := range groups {
		m := snap.Members.ByName[to]
		wg.Go(func() {
			ok := c.send(ctx, m, m, sequence, releases) == nil
			if ok {
				c.tellVoters(ctx, snap, m, sequence, releases)
			}
			results <- result{releases, ok}
		})
	}
	wg.Wait()
	close(results)
	for r := range results {
		for _, p := range r.releases {
			if !r.confirmed {
				left = append(left, p.Pool)
			}
		}
	}
	return left
}

func (c *Controller) successor(snap *state.Snapshot, id manifest.PoolID, rank int) string {
	self := snap.Members.Self.Name
	for _, name := range lease.Candidates(snap.Members, id, lease.Electorate(snap.Members, id.DataCentre)) {
		if name == self {
			continue
		}
		if rank == 0 {
			return name
		}
		rank--
	}
	return ""
}

// tellVoters releases the promises, without in-flight counts.
func (c *Controller) tellVoters(ctx context.Context, snap *state.Snapshot, to *state.Member, sequence uint64, releases []wire.PoolRelease) {
	byVoter := map[string][]wire.PoolRelease{}
	for _, r := range releases {
		for _, voter := range lease.Electorate(snap.Members, r.Pool.DataCentre) {
			byVoter[voter] = append(byVoter[voter], wire.PoolRelease{Pool: r.Pool})
		}
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	for voter, list := range byVoter {
		m := snap.Members.ByName[voter]
		if voter == snap.Members.Self.Name {
			c.mu.Lock()
			for _, r := range list {
				c.voter.Release(c.Clock.Now(), c.self(), sequence, r.Pool, lease.Process{Name: to.Name, Incarnation: to.Incarnation})
			}
			c.mu.Unlock()
			continue
		}
		if voter != to.Name && m != nil && m.Alive {
			wg.Go(func() { _ = c.send(ctx, m, to, sequence, list) })
		}
	}
}

func (c *Controller) send(ctx context.Context, receiver, successor *state.Member, sequence uint64, releases []wire.PoolRelease) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	req := &wire.LeaseReleaseRequest{
		Header: c.Header(), Sequence: sequence, Pools: releases,
		Successor: successor.Name, SuccessorIncarnation: successor.Incarnation,
	}
	c.messages.Add(1)
	return c.Caller.Call(ctx, peer.Control, receiver.Address, "Lease.Release", req, &wire.LeaseReleaseReply{})
}

type service struct{ c *Controller }

// Promise votes on the pools of the request.
func (s *service) Promise(req *wire.PromiseRequest, reply *wire.PromiseReply) error {
	if len(req.Pools) > maxPools {
		return errors.New("too many pools")
	}
	c := s.c
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Now()
	from := lease.Process{Name: req.From, Incarnation: req.Incarnation}
	reply.Header = c.Header()
	for _, id := range req.Pools {
		granted, holder := c.voter.Promise(now, from, req.Sequence, id, time.Duration(req.TermMillis)*time.Millisecond)
		reply.Granted = append(reply.Granted, granted)
		reply.Holders = append(reply.Holders, holder)
		if granted && c.known(id) {
			c.learn(id, req.From)
		}
	}
	c.publish()
	return nil
}

// Release ends the promises to the sender. If this host is the successor it
// adopts what is in flight before it asks for the leases.
func (s *service) Release(req *wire.LeaseReleaseRequest, reply *wire.LeaseReleaseReply) error {
	if len(req.Pools) > maxPools {
		return errors.New("too many pools")
	}
	c := s.c
	self := c.self()
	successor := lease.Process{Name: req.Successor, Incarnation: req.SuccessorIncarnation}
	mine := successor == self
	if successor.Name == self.Name && !mine {
		return errors.New("the successor was replaced")
	}
	if mine && c.isStopping() {
		return errors.New("the successor is stopping")
	}
	if mine && c.Handover != nil {
		c.Handover.Adopt(req.Pools)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	reply.Header = c.Header()
	now := c.Clock.Now()
	for _, r := range req.Pools {
		c.voter.Release(now, lease.Process{Name: req.From, Incarnation: req.Incarnation}, req.Sequence, r.Pool, successor)
		if mine && c.known(r.Pool) {
			c.adopted[r.Pool] = now.Add(lease.Term)
			c.candidate.Resume(r.Pool)
		}
		if c.learned[r.Pool] == req.From {
			c.learn(r.Pool, "")
		}
	}
	if mine {
		for _, d := range adoptedRetries {
			time.AfterFunc(d, c.Kick)
		}
	}
	c.publish()
	return nil
}

func (c *Controller) isStopping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopping
}
