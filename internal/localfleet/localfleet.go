// Package localfleet runs a small fleet on the loopback address in one process:
// real entry hosts, fake backend servers and a fake platform. It also has callers
// that send lookups and orders and compare the verdicts with what ran. Examples,
// measurements and socket tests use it.
package localfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/configservice"
	"github.com/anvilfront/anvilfront/internal/entryhost"
	"github.com/anvilfront/anvilfront/internal/fake"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/settings"
)

// ProbesPerSecond is the probe rate limit of the service in the manifest.
const ProbesPerSecond = 20

// Config describes a fleet. Zero fields are set to the defaults.
type Config struct {
	DataCentreCount    int           // default 2
	HostCount          int           // entry hosts, assigned to the data centres in turn; default 4
	ServerCount        int           // backend servers, assigned to the data centres in turn; default 8
	Slots              int           // slots of a backend server in the manifest; default 6
	ActualSlots        int           // concurrent requests that a backend server accepts; default Slots
	ServiceTime        time.Duration // default 5ms
	ColdSlots          int           // see fake.Backend; default 0
	Notice             time.Duration // see settings.Settings; default 200ms
	StopBound          time.Duration // default 10s
	ExtraServiceConfig string        // additional lines for the service in the manifest
	ExtraLookupConfig  string        // additional lines for the route of lookups
	ExtraOrderConfig   string        // additional lines for the route of orders
	FirstPort          int           // entry host i listens for callers on FirstPort+i; 0: free ports
	Log                *zap.Logger   // default: none
	// Dial wraps the function that opens connections from entry host i to others;
	// nil: not wrapped.
	Dial func(i int, dial peer.Dial) peer.Dial
}

func (c *Config) setDefaults() {
	for p, v := range map[*int]int{&c.DataCentreCount: 2, &c.HostCount: 4, &c.ServerCount: 8, &c.Slots: 6} {
		if *p == 0 {
			*p = v
		}
	}
	for p, v := range map[*time.Duration]time.Duration{
		&c.ServiceTime: 5 * time.Millisecond, &c.Notice: 200 * time.Millisecond, &c.StopBound: 10 * time.Second,
	} {
		if *p == 0 {
			*p = v
		}
	}
	if c.ActualSlots == 0 {
		c.ActualSlots = c.Slots
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
}

// Fleet is a running fleet. Its methods are safe for concurrent use.
type Fleet struct {
	Config
	Platform *fake.Platform
	Servers  []*fake.Backend
	Orders   *fake.Orders // orders that ran, over all backend servers

	mu            sync.Mutex
	revision      uint64
	outOfService  map[string]bool // by data centre
	leaving       map[string]bool // by instance of the backend server
	hosts         []*Host
	peerAddresses []string // by index of the entry host
}

// Host is a running entry host of a Fleet.
type Host struct {
	*entryhost.EntryHost
	Name           string
	DataCentreName string
	cancel         context.CancelFunc
	done           chan error
}

// DataCentreName returns the name of the data centre with index i modulo
// DataCentreCount.
func (f *Fleet) DataCentreName(i int) string { return fmt.Sprintf("dc%d", i%f.DataCentreCount+1) }

// Start starts a fleet and waits until it is ready, as WaitReady does, or ctx ends.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	c.setDefaults()
	f := &Fleet{Config: c, Platform: fake.NewPlatform(), Orders: &fake.Orders{}, outOfService: map[string]bool{}, leaving: map[string]bool{}}
	if err := f.Platform.Start(); err != nil {
		return nil, err
	}
	for i := range c.ServerCount {
		b := &fake.Backend{
			Slots: c.ActualSlots, ServiceTime: c.ServiceTime, Instance: fmt.Sprintf("b%d", i+1), ColdSlots: c.ColdSlots, Orders: f.Orders,
		}
		if err := b.Start(); err != nil {
			return nil, err
		}
		f.Servers = append(f.Servers, b)
	}
	for range c.HostCount {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		f.peerAddresses = append(f.peerAddresses, address)
	}
	f.Publish()
	f.hosts = make([]*Host, c.HostCount)
	for i := range c.HostCount {
		if err := f.StartHost(i); err != nil {
			return nil, err
		}
	}
	return f, f.WaitReady(ctx)
}

// triedAddresses holds the addresses that freeAddress has tried in this process.
var triedAddresses sync.Map

// freeAddress returns a loopback address with a port below the range of ephemeral
// ports. An outgoing connection could take a port of that range before the entry
// host listens on it, or while the entry host is replaced.
func freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 11000+rand.IntN(10000))
		if _, tried := triedAddresses.LoadOrStore(address, true); tried {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no free port on the loopback address")
}

// StartHost starts entry host i, or a replacement if it ran before.
func (f *Fleet) StartHost(i int) error {
	s := settings.Default()
	s.Name, s.DataCentre, s.Plaintext = fmt.Sprintf("eh%d", i+1), f.DataCentreName(i), true
	s.Listen, s.Peer, s.Operator = "127.0.0.1:0", f.peerAddresses[i], "127.0.0.1:0"
	if f.FirstPort != 0 {
		s.Listen = fmt.Sprintf("127.0.0.1:%d", f.FirstPort+i)
	}
	s.Platform, s.Peers = []string{f.Platform.URL()}, f.peerAddresses
	s.Notice, s.StopBound = manifest.Duration(f.Notice), manifest.Duration(f.StopBound)
	var options []entryhost.Option
	if f.Dial != nil {
		options = append(options, entryhost.WithPeerDial(func(d peer.Dial) peer.Dial { return f.Dial(i, d) }))
	}
	e, err := entryhost.New(s, f.Log.With(zap.String("host", s.Name)), options...)
	if err != nil {
		return errors.Wrapf(err, "start entry host %s", s.Name)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{EntryHost: e, Name: s.Name, DataCentreName: s.DataCentre, cancel: cancel, done: make(chan error, 1)}
	go func() { h.done <- e.Run(ctx) }()
	f.mu.Lock()
	f.hosts[i] = h
	f.mu.Unlock()
	return nil
}

// Host returns entry host i.
func (f *Fleet) Host(i int) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[i]
}

// Addresses returns the addresses for callers of the entry hosts that are ready.
func (f *Fleet) Addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, h := range f.hosts {
		if ready, _ := h.Ready(); ready {
			out = append(out, h.Address())
		}
	}
	return out
}

// Stop stops the entry host gracefully and returns after it has ended.
func (h *Host) Stop() error {
	h.cancel()
	return h.wait()
}

// Kill ends the entry host without notice.
func (h *Host) Kill() {
	h.Abort()
	_ = h.wait()
}

func (h *Host) wait() error {
	err := <-h.done
	h.done <- err // for the next call of wait
	return err
}

// SetOutOfService takes a data centre out of service or puts it back.
func (f *Fleet) SetOutOfService(dataCentre string, outOfService bool) {
	f.mu.Lock()
	f.outOfService[dataCentre] = outOfService
	f.mu.Unlock()
	f.Publish()
}

// SetLeaving sets or clears the leaving mark of backend server i.
func (f *Fleet) SetLeaving(i int, leaving bool) {
	f.mu.Lock()
	f.leaving[f.Servers[i].Instance] = leaving
	f.mu.Unlock()
	f.Publish()
}

// Converged reports whether the last published revision is applied on every entry
// host.
func (f *Fleet) Converged() bool {
	revision := f.Revision()
	for i := range f.HostCount {
		if m := f.Host(i).Store().Load().Manifest; m == nil || m.File.Revision != revision {
			return false
		}
	}
	return true
}

// PeerAddress returns the peer address of entry host i. A replacement of the host
// keeps it.
func (f *Fleet) PeerAddress(i int) string { return f.peerAddresses[i] }

// Publish publishes the manifest under the next revision, and the host list.
func (f *Fleet) Publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.Platform.Publish(f.revision, []byte(f.manifestText()))
	var hosts []configservice.Host
	for i, address := range f.peerAddresses {
		hosts = append(hosts, configservice.Host{Name: fmt.Sprintf("eh%d", i+1), Address: address, DataCentre: f.DataCentreName(i)})
	}
	f.Platform.SetHosts(hosts)
}

func (f *Fleet) manifestText() string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision = %d\n", f.revision)
	for i := range f.DataCentreCount {
		fmt.Fprintf(&b, "[[data_centres]]\nname = %q\nregion = \"r1\"\nout = %t\n", f.DataCentreName(i), f.outOfService[f.DataCentreName(i)])
	}
	for i, address := range f.peerAddresses {
		fmt.Fprintf(&b, "[[entry_hosts]]\nname = \"eh%d\"\naddress = %q\ndata_centre = %q\n", i+1, address, f.DataCentreName(i))
	}
	fmt.Fprintf(&b, "[[services]]\nname = \"desk\"\nprobes_per_second = %d\n%s\n", ProbesPerSecond, f.ExtraServiceConfig)
	for i, s := range f.Servers {
		fmt.Fprintf(&b, "[[services.backend_servers]]\nname = \"b%d\"\naddress = %q\ndata_centre = %q\nslots = %d\nleaving = %t\n",
			i+1, s.Address(), f.DataCentreName(i), f.Slots, f.leaving[s.Instance])
	}
	fmt.Fprintf(&b, "[[routes]]\nname = \"orders\"\npath_prefix = \"/orders\"\nservice = \"desk\"\npriority = 5\n%s\n", f.ExtraOrderConfig)
	fmt.Fprintf(&b, "[[routes]]\nname = \"lookups\"\npath_prefix = \"/\"\nservice = \"desk\"\nidempotent = true\n%s\n", f.ExtraLookupConfig)
	return b.String()
}

// Manifest returns the manifest with the current revision.
func (f *Fleet) Manifest() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []byte(f.manifestText())
}

// Revision returns the last published revision.
func (f *Fleet) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// Wait polls the condition every 5 ms until it holds or ctx ends.
func Wait(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

// WaitReady waits until every entry host is ready, considers the others alive and
// has applied the last published revision.
func (f *Fleet) WaitReady(ctx context.Context) error {
	err := Wait(ctx, func() bool {
		for i := range f.HostCount {
			h := f.Host(i)
			if ready, _ := h.Ready(); !ready {
				return false
			}
			alive := 0
			for _, m := range h.Store().Load().Members.ByName {
				if m.Alive {
					alive++
				}
			}
			if alive < f.HostCount {
				return false
			}
		}
		return f.Converged()
	})
	if err != nil {
		return errors.Wrap(err, "wait until the fleet is ready")
	}
	return nil
}

// Close ends the entry hosts without notice and stops the servers and the platform.
func (f *Fleet) Close() {
	for i := range f.HostCount {
		if h := f.Host(i); h != nil {
			h.Kill()
		}
	}
	for _, s := range f.Servers {
		_ = s.Stop()
	}
	_ = f.Platform.Stop()
}
