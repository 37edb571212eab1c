// Package operator is the listener for operators and their tools: health,
// readiness, counters, status, explanations and alerts of one entry host.
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

// Config holds where the listener takes its data from. All fields are required
// and must be safe for concurrent use. Collector provides Status and Explain.
type Config struct {
	Log     *zap.Logger
	Ready   func() (ready bool, why string)
	Vars    func() string // JSON of the counters, such as metrics.Counters.Map().String
	Status  func() *status.Status
	Explain func(method, host, path string) *status.Explanation
	Alerts  func() []status.Alert
}

// Bounds of the listener. Operators and health checks need few connections.
const (
	maxConnections = 64
	ioTimeout      = 5 * time.Second
	idleTimeout    = time.Minute
)

// Server serves operators.
type Server struct {
	cfg    Config
	server *fasthttp.Server
}

// New returns a server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.server = &fasthttp.Server{
		Handler: s.handle, Name: "anvilfront", Concurrency: maxConnections, MaxRequestBodySize: 1 << 10,
		ReadTimeout: ioTimeout, WriteTimeout: ioTimeout, IdleTimeout: idleTimeout,
		Logger: zap.NewStdLog(cfg.Log.Named("operator")), NoDefaultServerHeader: true,
	}
	return s
}

// Serve serves on l until Shutdown.
func (s *Server) Serve(l net.Listener) error { return s.server.Serve(l) }

// Shutdown stops the listener and waits for answers in progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() && !ctx.IsHead() {
		s.fail(ctx, fasthttp.StatusMethodNotAllowed, "only GET is supported")
		return
	}
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		if ready, why := s.cfg.Ready(); !ready {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.SetBodyString("not ready: " + why + "\n")
			return
		}
		ctx.SetBodyString("ready\n")
	case "/debug/vars":
		ctx.SetContentType("application/json")
		ctx.SetBodyString(s.cfg.Vars())
	case "/status":
		s.write(ctx, s.cfg.Status())
	case "/alerts":
		s.write(ctx, s.cfg.Alerts())
	case "/explain":
		s.explain(ctx)
	default:
		s.fail(ctx, fasthttp.StatusNotFound, "there are /healthz, /readyz, /debug/vars, /status, /explain and /alerts")
	}
}

func (s *Server) explain(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	method, host, path := string(args.Peek("method")), string(args.Peek("host")), string(args.Peek("path"))
	if method == "" || path == "" || path[0] != '/' {
		s.fail(ctx, fasthttp.StatusBadRequest, "give method, path (from '/') and, if routes need it, host")
		return
	}
	s.write(ctx, s.cfg.Explain(method, host, path))
}

// Failure is the JSON body of an error.
type ErrorResponse struct {
	Error string `json:"error"`
}

func (s *Server) fail(ctx *fasthttp.RequestCtx, code int, text string) {
	s.write(ctx, ErrorResponse{Error: text})
	ctx.SetStatusCode(code)
}

func (s *Server) write(ctx *fasthttp.RequestCtx, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		s.cfg.Log.Named("operator").Error("Answer cannot be encoded.", zap.Error(err))
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(raw, '\n'))
}
