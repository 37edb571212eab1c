package manifests

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/rendezvous"
	"github.com/anvilfront/anvilfront/internal/state"
	"github.com/anvilfront/anvilfront/internal/wire"
)

// pack compresses a manifest with DEFLATE.
func pack(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// unpack reverses pack and refuses more than manifest.MaxBytes.
func unpack(b []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), manifest.MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress manifest")
	}
	if len(raw) > manifest.MaxBytes {
		return nil, errors.Errorf("manifest exceeds %d bytes", manifest.MaxBytes)
	}
	return raw, nil
}

// notify tells a few random members of the manifest in force. Those that did
// not have it tell others in turn; heartbeats reach the rest.
func (c *Controller) notify(ctx context.Context) {
	snap := c.Store.Load()
	var addresses []string
	for name, m := range snap.Members.ByName {
		if name != snap.Members.Self.Name && m.Alive {
			addresses = append(addresses, m.Address)
		}
	}
	slices.Sort(addresses)
	c.randMu.Lock()
	c.Rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	c.randMu.Unlock()
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, a := range addresses[:min(noticeFanOut, len(addresses))] {
		wg.Go(func() { c.ask(ctx, a) })
	}
}

// ask exchanges revisions with a peer and returns the peer's, 0 if it did not
// answer.
func (c *Controller) ask(ctx context.Context, address string) uint64 {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	c.notices.Add(1)
	req, reply := &wire.ManifestNoticeRequest{Header: c.Header()}, &wire.ManifestNoticeReply{}
	if m := c.Store.Load().Manifest; m != nil {
		req.Revision, req.Digest = m.File.Revision, digest(m)
	}
	if c.Caller.Call(ctx, peer.Control, address, "Manifest.Notice", req, reply) != nil {
		return 0
	}
	return reply.Revision
}

// fetch asks a peer for its manifest and reports whether it came into force.
func (c *Controller) fetch(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	c.fetches.Add(1)
	reply := &wire.ManifestFetchReply{}
	err := c.Caller.Call(ctx, peer.Control, address, "Manifest.Fetch", &wire.ManifestFetchRequest{Header: c.Header()}, reply)
	if err != nil || len(reply.Raw) == 0 {
		return false
	}
	raw, err := unpack(reply.Raw)
	if err != nil {
		c.refused.Add(1)
		return false
	}
	return c.Apply(raw)
}

// Start asks the platform and the peers that can be reached for their
// manifests and puts the highest in force. It returns after StartBound at the
// latest; whether a manifest is in force then, Ready tells.
func (c *Controller) InitialSync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, InitialSyncTimeout)
	defer cancel()
	c.sync(ctx)
	c.asked.Store(true)
}

// Resync does the same for a process that was paused, within ResyncBound.
func (c *Controller) Resync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ResyncTimeout)
	defer cancel()
	c.sync(ctx)
}

func (c *Controller) sync(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	if c.Platform.Configured() {
		wg.Go(func() {
			if raw, err := c.Platform.Manifest(ctx, c.revision(), 0); err == nil && raw != nil {
				c.Apply(raw)
			}
		})
	}
	wg.Go(func() { c.syncPeers(ctx) })
}

// syncPeers asks all known peers for their revisions and fetches from the one
// with the highest. A manifest may name further entry hosts, which are asked
// in the next round.
func (c *Controller) syncPeers(ctx context.Context) {
	asked := map[string]bool{c.Store.Load().Members.Self.Address: true}
	for ctx.Err() == nil && len(asked) < maxAsked {
		addresses := c.unasked(asked)
		if len(addresses) == 0 {
			return
		}
		results := make([]uint64, len(addresses))
		var wg conc.WaitGroup
		for i, a := range addresses {
			wg.Go(func() { results[i] = c.ask(ctx, a) })
		}
		wg.Wait()
		// Highest revision first; a peer that fails to deliver gives way to the next.
		for _, i := range descending(results) {
			if results[i] <= c.revision() || ctx.Err() != nil {
				break
			}
			c.fetch(ctx, addresses[i])
		}
	}
}

func descending(v []uint64) []int {
	order := make([]int, len(v))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case v[a] > v[b]:
			return -1
		case v[a] < v[b]:
			return 1
		}
		return 0
	})
	return order
}

// unasked returns the peer addresses known by now that are not in asked, and
// adds them.
func (c *Controller) unasked(asked map[string]bool) []string {
	var out []string
	add := func(a string) {
		if a != "" && !asked[a] && len(asked) < maxAsked {
			asked[a] = true
			out = append(out, a)
		}
	}
	snap := c.Store.Load()
	for _, a := range c.Seeds {
		add(a)
	}
	for _, m := range snap.Members.ByName {
		add(m.Address)
	}
	if snap.Manifest != nil {
		for _, h := range snap.Manifest.File.EntryHosts {
			add(h.Address)
		}
	}
	return out
}

// watches reports whether this host is one of the watchers of its data centre.
func watches(m *state.Members) bool {
	names := []string{m.Self.Name}
	for _, name := range m.Listed {
		h := m.ByName[name]
		if h != nil && name != m.Self.Name && h.DataCentre == m.Self.DataCentre && h.Alive && !h.Leaving {
			names = append(names, name)
		}
	}
	order := rendezvous.Order("watch/"+m.Self.DataCentre, names)
	return slices.Contains(order[:min(watchers, len(order))], m.Self.Name)
}

// follow asks the platform: a watcher by long poll, others once per
// fallbackEvery. After a failure, and after an answer that had no effect or
// came early, it backs off, so that a stale or broken service is not asked in a loop.
func (c *Controller) follow(ctx context.Context) {
	for ctx.Err() == nil {
		wait, pause := time.Duration(0), c.jitter(fallbackEvery)
		if watches(c.Store.Load().Members) {
			wait, pause = watchWait, 0
		}
		asked := c.Clock.Now()
		raw, err := c.Platform.Manifest(ctx, c.revision(), wait)
		early := raw == nil && c.Clock.Now().Sub(asked) < wait/2
		switch {
		case err != nil, early, raw != nil && !c.Apply(raw):
			pause = max(c.backoff.Next(), pause)
		default:
			c.backoff.Reset()
		}
		if pause == 0 {
			continue
		}
		c.pause(ctx, pause)
	}
}

// pause waits, or less if this host becomes a watcher meanwhile.
func (c *Controller) pause(ctx context.Context, d time.Duration) {
	end := time.NewTimer(d)
	defer end.Stop()
	was := watches(c.Store.Load().Members)
	for {
		changed := c.Store.Changed()
		if !was && watches(c.Store.Load().Members) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-end.C:
			return
		case <-changed:
		}
	}
}

func (c *Controller) jitter(d time.Duration) time.Duration {
	c.randMu.Lock()
	defer c.randMu.Unlock()
	return d*3/4 + time.Duration(c.Rand.Int64N(int64(d/2)))
}

type service struct{ c *Controller }

// Notice exchanges revisions.
func (s *service) Notice(req *wire.ManifestNoticeRequest, reply *wire.ManifestNoticeReply) error {
	c := s.c
	reply.Header = c.Header()
	m := c.Store.Load().Manifest
	switch {
	case m != nil && req.Revision == m.File.Revision && req.Digest != 0 && req.Digest != digest(m):
		c.conflicts.Add(1)
	case req.Revision > c.revision():
		if h := c.Store.Load().Members.ByName[req.From]; h != nil {
			c.HandlePeerRevision(h.Address, req.Revision)
		}
	}
	return nil
}

// Fetch returns the manifest in force.
func (s *service) Fetch(_ *wire.ManifestFetchRequest, reply *wire.ManifestFetchReply) error {
	reply.Header = s.c.Header()
	if p := s.c.packed.Load(); p != nil {
		reply.Raw, reply.Revision = p.bytes, p.revision
	}
	return nil
}
