// Package localfleet runs a small fleet on the loopback address in one process:
// fake backend servers, a fake platform and real entry hosts. The demo, the
// measurements and the socket tests share it.
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

// ProbesPerSecond is the measuring budget of the service in the manifest.
const ProbesPerSecond = 20

// Config describes a fleet. Zero fields take the defaults.
type Config struct {
	DataCentreCount    int           // data centres; default 2
	HostCount          int           // entry hosts over all data centres, in turn; default 4
	ServerCount        int           // backend servers over all data centres, in turn; default 8
	Slots              int           // per backend server; default 6
	ActualSlots        int           // requests that a backend server bears; default Slots
	ServiceTime        time.Duration // default 5ms
	ColdSlots          int           // see fake.Backend; default 0
	Notice             time.Duration // see settings.Settings; default 200ms
	StopBound          time.Duration // default 10s
	ExtraServiceConfig string        // further lines of the service in the manifest
	ExtraLookupConfig  string        // further lines of the route of lookups
	ExtraOrderConfig   string        // further lines of the route of orders
	FirstPort          int           // entry host i listens for callers on FirstPort+i; 0: free ports
	Log                *zap.Logger   // default: none
	// Dial wraps how entry host i connects to others; nil: not at all.
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
	Orders   *fake.Orders // what ran on any backend server

	mu       sync.Mutex
	revision uint64
	out      map[string]bool // data centres out of service
	leaving  map[string]bool // backend servers that leave
	hosts    []*Host
	peers    []string // peer addresses by host
}

// Host is one entry host.
type Host struct {
	*entryhost.EntryHost
	Name           string
	DataCentreName string
	cancel         context.CancelFunc
	done           chan error
}

// Centre returns the name of data centre i.
func (f *Fleet) DataCentreName(i int) string { return fmt.Sprintf("dc%d", i%f.DataCentreCount+1) }

// Start starts a fleet and waits until every entry host is ready, or ctx ends.
func Start(ctx context.Context, c Config) (*Fleet, error) {
	c.setDefaults()
	f := &Fleet{Config: c, Platform: fake.NewPlatform(), Orders: &fake.Orders{}, out: map[string]bool{}, leaving: map[string]bool{}}
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
		f.peers = append(f.peers, address)
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

// givenPorts are the ports that freeAddress has returned in this process.
var givenPorts sync.Map

// freeAddress returns a loopback address below the range from which systems
// take the ports of outgoing connections. A port of that range may be taken
// before the entry host opens it, or while the entry host is replaced.
func freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 11000+rand.IntN(10000))
		if _, given := givenPorts.LoadOrStore(address, true); given {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no free port on the loopback address")
}

// StartHost starts entry host i, anew if it ran before.
func (f *Fleet) StartHost(i int) error {
	s := settings.Default()
	s.Name, s.DataCentre, s.Plaintext = fmt.Sprintf("eh%d", i+1), f.DataCentreName(i), true
	s.Listen, s.Peer, s.Operator = "127.0.0.1:0", f.peers[i], "127.0.0.1:0"
	if f.FirstPort != 0 {
		s.Listen = fmt.Sprintf("127.0.0.1:%d", f.FirstPort+i)
	}
	s.Platform, s.Peers = []string{f.Platform.URL()}, f.peers
	s.Notice, s.StopBound = manifest.Duration(f.Notice), manifest.Duration(f.StopBound)
	var options []entryhost.Option
	if f.Dial != nil {
		options = append(options, entryhost.WithPeerDial(func(d peer.Dial) peer.Dial { return f.Dial(i, d) }))
	}
	e, err := entryhost.New(s, f.Log.With(zap.String("host", s.Name)), options...)
	if err != nil {
		return errors.Wrapf(err, "start %s", s.Name)
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

// Addresses returns the callers' addresses of the entry hosts that are ready.
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

// Stop stops the entry host as planned and returns when it has ended.
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
	h.done <- err // for the next call
	return err
}

// SetOut takes a data centre out of service or brings it back.
func (f *Fleet) SetOutOfService(centre string, out bool) {
	f.mu.Lock()
	f.out[centre] = out
	f.mu.Unlock()
	f.Publish()
}

// SetLeaving marks backend server i as leaving, or not.
func (f *Fleet) SetLeaving(i int, leaving bool) {
	f.mu.Lock()
	f.leaving[f.Servers[i].Instance] = leaving
	f.mu.Unlock()
	f.Publish()
}

// InForce reports whether every entry host has the revision published last.
func (f *Fleet) Converged() bool {
	revision := f.Revision()
	for i := range f.HostCount {
		if m := f.Host(i).Store().Load().Manifest; m == nil || m.File.Revision != revision {
			return false
		}
	}
	return true
}

// PeerAddress returns the peer address of entry host i, which stays the same.
func (f *Fleet) PeerAddress(i int) string { return f.peers[i] }

// Publish publishes the next revision of the manifest.
func (f *Fleet) Publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.Platform.Publish(f.revision, []byte(f.manifest()))
	var hosts []configservice.Host
	for i, address := range f.peers {
		hosts = append(hosts, configservice.Host{Name: fmt.Sprintf("eh%d", i+1), Address: address, DataCentre: f.DataCentreName(i)})
	}
	f.Platform.SetHosts(hosts)
}

func (f *Fleet) manifest() string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision = %d\n", f.revision)
	for i := range f.DataCentreCount {
		fmt.Fprintf(&b, "[[data_centres]]\nname = %q\nregion = \"r1\"\nout = %t\n", f.DataCentreName(i), f.out[f.DataCentreName(i)])
	}
	for i, address := range f.peers {
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

// Manifest returns the bytes published last.
func (f *Fleet) Manifest() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []byte(f.manifest())
}

// Revision returns the revision published last.
func (f *Fleet) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// Wait checks the condition every 5 ms until it holds or ctx ends.
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

// WaitReady waits until every entry host is ready and sees the others alive.
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
		return errors.Wrap(err, "wait for the fleet")
	}
	return nil
}

// Close ends everything without notice.
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
