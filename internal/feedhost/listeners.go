package feedhost

import (
	"expvar"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/admission"
	"github.com/anvilfront/anvilfront/internal/callers"
	"github.com/anvilfront/anvilfront/internal/listen"
	"github.com/anvilfront/anvilfront/internal/operator"
	"github.com/anvilfront/anvilfront/internal/peer"
)

const (
	// maxCallerConnections bounds the connections of callers on hosts of any size.
	maxCallerConnections = 2500
	// Limits of the readiness endpoint. A check is a request of a few hundred bytes without
	// a body, about once a second.
	readyBodyBytes   = 1 << 10
	readyHeadBytes   = 2 << 10
	readyIOTimeout   = 3 * time.Second
	readyIdleTimeout = 30 * time.Second
	// readySlowAfter bounds how long a connection that sends nothing, or not the rest of its
	// request, keeps its place while others wait: a check arrives in one packet.
	readySlowAfter = 100 * time.Millisecond
	// clientGrace is the least time for which an unused or idle connection is kept.
	clientGrace = 50 * time.Millisecond
	// otherClientShare is the part of the connections of a listener other than that for
	// callers that one client address may have, so that a crowd does not displace the rest.
	otherClientShare = 0.75
	// Limits of the listener for messages between hosts. Such a host receives requests for
	// the feed, which hold one key of the store; the memory of a message is taken when its
	// length has arrived.
	peerMessageBytes  = 64 << 10
	peerCalls         = 8   // in flight on one connection; a host sends one at a time
	peerDescriptors   = 0.2 // share of the file descriptors for connections from other hosts
	serverConcurrency = 2   // workers per connection: one that was closed for another may still end
)

func (h *Host) assembleListeners() error {
	s := h.settings
	callerListener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	limits := h.callerLimits()
	h.callers = callers.New(callers.Config{
		Listener: callerListener, Codec: h.adapter.Codec, Chain: h.chain(), Store: h.store, Clock: h.clock, Counters: h.counters,
		Log: h.log.Named("callers"), Observe: h.observe,
		Connections: admission.NewConnections(limits.Connections, s.ClientShare, h.clientPace()),
		Requests:    admission.NewShare(limits.RequestBytes, s.ClientShare), PipelineBytes: limits.PipelineBytes,
		MaxBodyBytes: maxBodyBytes, MaxBufferedBytes: limits.BodyBytes,
	})
	if err := h.assembleReadiness(); err != nil {
		return err
	}
	operatorListener, err := listen.TCP(s.Operator)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	h.listeners.operator = h.bounded(operatorListener, "operator", s.OperatorConnections, h.clientPace())
	h.publishGauges()
	h.counters.Set("callers.body_bytes", expvar.Func(func() any { return h.callers.BodyBytes() }))
	h.counters.Set("callers.request_bytes", expvar.Func(func() any { return h.callers.Requests.Used() }))
	h.counters.Set("callers.connections", expvar.Func(func() any { return int64(h.callers.Connections.Open()) }))
	h.counters.Set("callers.active", expvar.Func(func() any { return h.callers.InFlight() }))
	h.counters.Set("backend.connections", expvar.Func(func() any { return h.transport.Stats() }))
	h.operator = operator.New(operator.Config{
		Log: h.log, MaxConnections: serverConcurrency * s.OperatorConnections,
		Ready: func() (bool, string) { return h.Ready(), "no configuration, or stopping" },
		Vars:  h.counters.Map().String,
	})
	return nil
}

func (h *Host) assembleReadiness() error {
	l, err := listen.TCP(h.settings.Ready)
	if err != nil {
		return errors.Wrap(err, "listen for readiness checks")
	}
	h.listeners.ready = h.bounded(l, "ready", h.settings.ReadyConnections, admission.Pace{
		BytesPerSecond: h.settings.MinClientRate, After: readySlowAfter, Grace: readySlowAfter,
	})
	h.ready = &fasthttp.Server{
		Handler: h.adapter.Ready(h.Ready), NoDefaultServerHeader: true, Concurrency: serverConcurrency * h.settings.ReadyConnections,
		MaxRequestBodySize: readyBodyBytes, ReadBufferSize: readyHeadBytes,
		ReadTimeout: readyIOTimeout, WriteTimeout: readyIOTimeout, IdleTimeout: readyIdleTimeout,
		Logger: zap.NewStdLog(h.log.Named("ready")),
	}
	return nil
}

// bounded returns a listener with at most limit connections.
func (h *Host) bounded(l net.Listener, name string, limit int, pace admission.Pace) net.Listener {
	log := h.log.Named(name)
	return listen.Bounded(l, listen.Bounds{
		Connections: admission.NewConnections(limit, otherClientShare, pace), Clock: h.clock,
		Refused: h.counters.Limit(name+".connections_refused", "Connections are closed unread, since all allowed ones are in use.", log),
		Closed:  h.counters.Limit(name+".connections_closed", "Connections that do not progress are closed for new ones.", log),
	})
}

func (h *Host) clientPace() admission.Pace {
	return admission.Pace{BytesPerSecond: h.settings.MinClientRate, After: time.Duration(h.settings.SlowClientAfter), Grace: clientGrace}
}

// callerLimits returns the limits of the listener for callers.
func (h *Host) callerLimits() admission.Limits {
	s := h.settings
	return admission.Plan(s.MemoryMegabytes<<20, descriptorLimit(), min(maxCallerConnections, s.MaxConnections), admission.Shares{
		BodyMemory: s.BodyMemoryShare, RequestMemory: s.RequestMemoryShare,
		ConnectionMemory: s.ConnectionMemoryShare, Descriptors: s.DescriptorShare,
	})
}

// newPeerServer returns the server for messages between hosts.
func (h *Host) newPeerServer(l net.Listener) *peer.Server {
	connections := h.settings.PeerConnections
	if n := descriptorLimit(); n > 0 {
		connections = max(1, min(connections, int(peerDescriptors*float64(n))))
	}
	return peer.NewServerWithConfig(h.bounded(l, "peer", connections, h.clientPace()), peer.ServerConfig{
		MaxConnections: serverConcurrency * connections, MaxMessageBytes: peerMessageBytes, MaxCallsPerConnection: peerCalls,
	})
}

// descriptorLimit returns how many files this process may have open, or 0 if the system does
// not report it.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<30))
}
