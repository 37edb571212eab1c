package entryhost

import (
	"crypto/tls"
	"expvar"
	"math/rand/v2"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"

	"github.com/anvilfront/anvilfront/internal/backend"
	"github.com/anvilfront/anvilfront/internal/configservice"
	"github.com/anvilfront/anvilfront/internal/controller/alerts"
	"github.com/anvilfront/anvilfront/internal/controller/connections"
	"github.com/anvilfront/anvilfront/internal/controller/heartbeats"
	"github.com/anvilfront/anvilfront/internal/controller/manifests"
	"github.com/anvilfront/anvilfront/internal/controller/measures"
	"github.com/anvilfront/anvilfront/internal/controller/members"
	"github.com/anvilfront/anvilfront/internal/controller/orders"
	"github.com/anvilfront/anvilfront/internal/controller/pause"
	"github.com/anvilfront/anvilfront/internal/controller/poisonrequests"
	"github.com/anvilfront/anvilfront/internal/controller/servers"
	"github.com/anvilfront/anvilfront/internal/filters"
	"github.com/anvilfront/anvilfront/internal/front"
	"github.com/anvilfront/anvilfront/internal/operator"
	"github.com/anvilfront/anvilfront/internal/peer"
	"github.com/anvilfront/anvilfront/internal/state"
)

// assemble builds the components, each after those that it depends on.
func (e *EntryHost) assemble() error {
	s := e.settings
	callerTLS, err := s.CallerTLSConfig(time.Now())
	if err != nil {
		return err
	}
	peerTLS, err := peer.TLSConfig(s.Plaintext, s.PeerTLS.Certificate, s.PeerTLS.Key, s.PeerTLS.Authorities)
	if err != nil {
		return err
	}
	incarnation := rand.Uint64() | 1 // 0 means unknown
	e.store = state.NewStore(state.Member{
		Name: s.Name, Address: e.PeerAddress(), DataCentre: s.DataCentre, Incarnation: incarnation, Alive: true,
	})
	dial := peer.NewDial(peerTLS)
	if e.wrapDial != nil {
		dial = e.wrapDial(dial)
	}
	e.peerClient = peer.NewClient(dial)
	e.peerServer = peer.NewServerWithConfig(e.peerListener, peer.ServerConfig{TLS: peerTLS})
	e.transport = backend.New(backend.Options{MaxBody: maxResponseBytes})
	if err := e.assembleControllers(incarnation); err != nil {
		return err
	}
	e.assembleListeners(callerTLS)
	for _, register := range []func(*peer.Server) error{
		e.members.Register, e.manifests.Register, e.heartbeats.Register, e.orders.Register, e.poisonrequests.Register,
	} {
		if err := register(e.peerServer); err != nil {
			return errors.Wrap(err, "register RPC handlers")
		}
	}
	e.publishCounters()
	return nil
}

func (e *EntryHost) assembleControllers(incarnation uint64) (err error) {
	s, log := e.settings, e.log
	service := configservice.New(s.Platform, nil, e.counters)
	e.servers = &servers.Controller{Clock: e.clock, Store: e.store, Log: log.Named("servers"), AssumeCold: true}
	mc := members.Config{
		Clock: e.clock, Store: e.store, Caller: e.peerClient, Counters: e.counters,
		Log: log.Named("members"), Rand: newRand(), Seeds: s.Peers, KnowsServers: e.servers.KnowsServers,
	}
	if service.Configured() {
		mc.Hosts = members.PlatformHosts(service)
	}
	e.members = members.New(mc)
	e.manifests = manifests.New(manifests.Config{
		Clock: e.clock, Store: e.store, Caller: e.peerClient, Platform: service, Header: e.members.Header,
		Counters: e.counters, Log: log.Named("manifests"), Rand: newRand(), Seeds: s.Peers,
	})
	e.members.OnRevision(e.manifests.HandlePeerRevision)
	e.members.OnInformedPeer(e.servers.HandleInformedPeer)
	e.pauseDetector = &pause.Detector{
		Clock: e.clock, Store: e.store, Resync: e.resync, Counters: e.counters, Log: log.Named("pause"),
	}
	e.heartbeats = heartbeats.New(heartbeats.Config{
		Clock: e.clock, Store: e.store, Caller: e.peerClient, Header: e.members.Header,
		Counters: e.counters, Log: log.Named("beats"), Rand: newRand(),
	})
	e.measures = measures.New(measures.Config{
		Clock: e.clock, Store: e.store, Transport: e.transport, Mesh: e.heartbeats, Counters: e.counters, Log: log,
		Settled: e.servers.Settled,
	})
	e.heartbeats.SetHandler(e.measures)
	e.placement = &filters.Placement{Clock: e.clock, Store: e.store, Cold: e.measures}
	e.orders, err = orders.New(orders.Config{
		Clock: e.clock, Store: e.store, Peers: e.peerClient, Gossip: e.members, Counters: e.counters,
		Log: log.Named("orders"), Incarnation: incarnation, Address: e.PeerAddress(),
	})
	e.poisonrequests = poisonrequests.New(poisonrequests.Config{
		Clock: e.clock, Store: e.store, Gossip: e.members, Caller: e.peerClient, Counters: e.counters, Log: log,
	})
	e.alerts = alerts.New(alerts.Config{Clock: e.clock, Store: e.store, Metrics: e.counters, Log: log})
	e.connections = &connections.Controller{Store: e.store, Transport: e.transport}
	return err
}

func (e *EntryHost) assembleListeners(callerTLS *tls.Config) {
	chain := e.newChain()
	e.orders.SetChain(chain)
	e.front = front.New(front.Options{
		Settings: e.settings, Chain: chain, Keys: e.orders, Store: e.store, Clock: e.clock,
		Counters: e.counters, TLS: callerTLS,
	}, e.callerListener)
	collector := &operator.Collector{
		Clock: e.clock, Store: e.store, Counters: e.counters, Version: version(), Ready: e.Ready, Alerts: e.alerts.Alerts,
	}
	e.operator = operator.New(operator.Config{
		Log: e.log, Ready: e.Ready, Vars: e.counters.Map().String,
		Status: collector.Status, Explain: collector.Explain, Alerts: e.alerts.Alerts,
	})
}

// publishCounters publishes the gauges of the front end and the backend transport.
func (e *EntryHost) publishCounters() {
	e.counters.Set("front.inflight", expvar.Func(func() any { return e.stopping.Inflight() }))
	e.counters.Set("backend.connections", expvar.Func(func() any { return e.transport.Stats() }))
}

// newRand returns a new random source, which only one controller may use.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return ""
}
