// Package connections decides how many connections this host may have to each
// backend server, and how many idle ones are opened in advance, from the manifest
// and the number of listed entry hosts. It passes both to the transport.
package connections

import (
	"context"

	"github.com/anvilfront/anvilfront/internal/backend"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/state"
)

// Transport keeps the connections; backend.Transport implements it.
type Transport interface {
	SetServers(servers []backend.Server)
	Warm(address string, n int)
}

// warmPerServer is the number of idle connections kept open in advance to each
// backend server. At the target size an entry host sends about two requests a second
// to each of 550 servers; 2 connections to each take about 15 MB of buffers.
const warmPerServer = 2

// Controller follows the manifest and the number of entry hosts.
type Controller struct {
	Store     *state.Store
	Transport Transport

	manifest *manifest.Manifest // last one applied; used by Run only
	hosts    int                // last number applied; used by Run only
}

// Run follows the snapshot until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for {
		changed := c.Store.Changed()
		c.apply()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) apply() {
	snap := c.Store.Load()
	hosts := max(1, len(snap.Members.Listed))
	if snap.Manifest == nil || snap.Manifest == c.manifest && hosts == c.hosts {
		return
	}
	c.manifest, c.hosts = snap.Manifest, hosts
	var servers []backend.Server
	warm := map[string]int{}
	for i := range snap.Manifest.File.Services {
		service := &snap.Manifest.File.Services[i]
		for j := range service.BackendServers {
			b := &service.BackendServers[j]
			limit := ConnectionsPerHost(b.Connections, hosts)
			servers = append(servers, backend.Server{Address: b.Address, MaxConnections: limit, DialsPerSecond: service.ConnectionsPerSecond})
			if dc := snap.Manifest.DataCentresByName[b.DataCentre]; !b.Leaving && (dc == nil || !dc.Out) {
				warm[b.Address] = min(limit, b.Slots, warmPerServer)
			}
		}
	}
	c.Transport.SetServers(servers)
	for address, n := range warm {
		c.Transport.Warm(address, n)
	}
}

// ConnectionsPerHost returns how many of a backend server's connections one entry
// host may have open: an equal share, and at least one.
func ConnectionsPerHost(connections, hosts int) int { return max(1, connections/hosts) }
