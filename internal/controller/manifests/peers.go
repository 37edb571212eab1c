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

// unpack reverses pack. A result of more than manifest.MaxBytes is an error.
func unpack(b []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), manifest.MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress manifest")
	}
	if len(raw) > manifest.MaxBytes {
		return nil, errors.Errorf("decompressed manifest exceeds %d bytes", manifest.MaxBytes)
	}
	return raw, nil
}

// notifyPeers sends the current revision to a few random members. Members that
// fetch the manifest notify others in turn; heartbeats reach the rest.
func (c *Controller) notifyPeers(ctx context.Context) {
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
		wg.Go(func() { c.exchangeRevisions(ctx, a) })
	}
}

// exchangeRevisions sends the current revision to a peer and returns the
// revision of the peer, or 0 if the call failed.
func (c *Controller) exchangeRevisions(ctx context.Context, address string) uint64 {
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

// fetch requests the manifest of a peer and reports whether it was applied.
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

// InitialSync requests the manifests of the configuration service and of all
// reachable peers, and applies the one with the highest revision. It returns
// within InitialSyncTimeout, possibly without a manifest; see Ready.
func (c *Controller) InitialSync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, InitialSyncTimeout)
	defer cancel()
	c.sync(ctx)
	c.initialSyncDone.Store(true)
}

// Resync does the same for a process that was paused, within ResyncTimeout.
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

// syncPeers queries all known peers for their revisions and fetches from the
// peer with the highest one. A manifest may list further entry hosts, which are
// queried in the next round.
func (c *Controller) syncPeers(ctx context.Context) {
	queried := map[string]bool{c.Store.Load().Members.Self.Address: true}
	for ctx.Err() == nil && len(queried) < maxQueriedPeers {
		addresses := c.unqueriedPeers(queried)
		if len(addresses) == 0 {
			return
		}
		results := make([]uint64, len(addresses))
		var wg conc.WaitGroup
		for i, a := range addresses {
			wg.Go(func() { results[i] = c.exchangeRevisions(ctx, a) })
		}
		wg.Wait()
		// Highest revision first; the next peer is tried when a fetch fails.
		for _, i := range indicesDescending(results) {
			if results[i] <= c.revision() || ctx.Err() != nil {
				break
			}
			c.fetch(ctx, addresses[i])
		}
	}
}

func indicesDescending(v []uint64) []int {
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

// unqueriedPeers returns the known peer addresses that are not in queried, and
// adds them to it.
func (c *Controller) unqueriedPeers(queried map[string]bool) []string {
	var out []string
	add := func(a string) {
		if a != "" && !queried[a] && len(queried) < maxQueriedPeers {
			queried[a] = true
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

// isWatcher reports whether this host is one of the watchers of its data centre.
func isWatcher(m *state.Members) bool {
	names := []string{m.Self.Name}
	for _, name := range m.Listed {
		h := m.ByName[name]
		if h != nil && name != m.Self.Name && h.DataCentre == m.Self.DataCentre && h.Alive && !h.Leaving {
			names = append(names, name)
		}
	}
	order := rendezvous.Order("watch/"+m.Self.DataCentre, names)
	return slices.Contains(order[:min(watchersPerDataCentre, len(order))], m.Self.Name)
}

// pollService requests manifests from the configuration service: by long poll
// on a watcher, once per pollInterval on other hosts. It backs off after a
// failure, after a manifest that was not applied and after an empty response
// that came early, so that a stale or broken service is not polled in a tight
// loop.
func (c *Controller) pollService(ctx context.Context) {
	for ctx.Err() == nil {
		wait, delay := time.Duration(0), c.jitter(pollInterval)
		if isWatcher(c.Store.Load().Members) {
			wait, delay = longPollWait, 0
		}
		start := c.Clock.Now()
		raw, err := c.Platform.Manifest(ctx, c.revision(), wait)
		early := raw == nil && c.Clock.Now().Sub(start) < wait/2
		switch {
		case err != nil, early, raw != nil && !c.Apply(raw):
			delay = max(c.backoff.Next(), delay)
		default:
			c.backoff.Reset()
		}
		if delay == 0 {
			continue
		}
		c.delay(ctx, delay)
	}
}

// delay waits for d, or until this host becomes a watcher.
func (c *Controller) delay(ctx context.Context, d time.Duration) {
	end := time.NewTimer(d)
	defer end.Stop()
	wasWatcher := isWatcher(c.Store.Load().Members)
	for {
		changed := c.Store.Changed()
		if !wasWatcher && isWatcher(c.Store.Load().Members) {
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

// Notice returns the local revision in the header, queues a fetch if that of the
// caller is newer, and counts a conflict if the same revision has another digest.
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

// Fetch returns the current manifest, compressed.
func (s *service) Fetch(_ *wire.ManifestFetchRequest, reply *wire.ManifestFetchReply) error {
	reply.Header = s.c.Header()
	if p := s.c.packed.Load(); p != nil {
		reply.Raw, reply.Revision = p.bytes, p.revision
	}
	return nil
}
