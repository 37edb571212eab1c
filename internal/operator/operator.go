// Package operator serves the health, readiness, counters, status, explanations and
// alerts of one entry host over HTTP, for operators and their tools. The values come
// from the published state and the counters. Packages entryhost and feedhost start
// the listener.
package operator

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/operator/status"
)

// Config holds the sources of the listener's data. The functions are required and must
// be safe for concurrent use. Collector provides Status and Explain.
type Config struct {
	Log     *zap.Logger
	Ready   func() (ready bool, reason string)
	Vars    func() string // JSON of the counters, such as metrics.Counters.Map().String
	Status  func() *status.Status
	Explain func(method, host, path string) *status.Explanation
	Alerts  func() []status.Alert
	// MaxConnections is the number of connections that are served at the same time; 0 selects
	// the default.
	MaxConnections int
}

// Limits of the listener. Operators and health checks need few connections.
const (
	maxConnections = 64 // default
	ioTimeout      = 5 * time.Second
	idleTimeout    = time.Minute
)

// Server is the HTTP server for operators.
type Server struct {
	cfg    Config
	server *fasthttp.Server
}

// New returns a server that takes its data from cfg.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = maxConnections
	}
	s.server = &fasthttp.Server{
		Handler: s.handle, Name: "anvilfront", Concurrency: cfg.MaxConnections, MaxRequestBodySize: 1 << 10,
		ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, IdleTimeout: idleTimeout,
		Logger: zap.NewStdLog(cfg.Log.Named("operator")), NoDefaultServerHeader: true,
	}
	return s
}

// Serve serves on l until Shutdown.
func (s *Server) Serve(l net.Listener) error { return s.server.Serve(l) }

// Shutdown stops the listener and waits for responses in progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() && !ctx.IsHead() {
		s.writeError(ctx, fasthttp.StatusMethodNotAllowed, "only GET is supported")
		return
	}
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		if ready, reason := s.cfg.Ready(); !ready {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString("not ready: " + reason + "\n")
			return
		}
		ctx.SetBodyString("ready\n")
	case "/debug/vars":
		ctx.SetContentType("application/json")
		ctx.SetBodyString(s.cfg.Vars())
	case "/status":
		s.writeJSON(ctx, s.cfg.Status())
	case "/alerts":
		s.writeJSON(ctx, s.cfg.Alerts())
	case "/explain":
		s.explain(ctx)
	default:
		s.writeError(ctx, fasthttp.StatusNotFound, "there are /healthz, /readyz, /debug/vars, /status, /explain and /alerts")
	}
}

func (s *Server) explain(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	method, host, path := string(args.Peek("method")), string(args.Peek("host")), string(args.Peek("path"))
	if method == "" || path == "" || path[0] != '/' {
		s.writeError(ctx, fasthttp.StatusBadRequest, "give method, path (from '/') and, if routes need it, host")
		return
	}
	s.writeJSON(ctx, s.cfg.Explain(method, host, path))
}

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// writeError responds with code and text as an ErrorResponse.
func (s *Server) writeError(ctx *fasthttp.RequestCtx, code int, text string) {
	s.writeJSON(ctx, ErrorResponse{Error: text})
	ctx.SetStatusCode(code)
}

// writeJSON responds with v as one line of JSON.
func (s *Server) writeJSON(ctx *fasthttp.RequestCtx, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		s.cfg.Log.Named("operator").Error("Failed to encode a response as JSON; responding with status 500.", zap.Error(err))
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(raw, '\n'))
}
