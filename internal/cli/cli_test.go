package cli

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/clock"
	"github.com/anvilfront/anvilfront/internal/controller/servers"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/metrics"
	"github.com/anvilfront/anvilfront/internal/operator"
	"github.com/anvilfront/anvilfront/internal/operator/status"
	"github.com/anvilfront/anvilfront/internal/state"
)

// run executes a command line and returns its exit code, stdout and stderr.
func run(args ...string) (int, string, string) {
	var stdout, stderr strings.Builder
	code := Main(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

const examples = "../../examples/"

// TestExamples guards against example files that the program refuses, and against
// lines of the old rules that the example manifest does not account for.
func TestExamples(t *testing.T) {
	is := is.New(t)
	for _, s := range []string{"settings-eh1.toml", "settings-eh2.toml"} {
		code, _, stderr := run("check", "--settings", examples+s)
		is.Equal(stderr, "")
		is.Equal(code, ExitOK)
	}
	code, stdout, stderr := run("check", "--manifest", examples+"manifest.toml", "--account", examples+"old-rules.conf")
	is.Equal(stderr, "")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(stdout, "old-rules.conf: 10 lines, 0 not accounted for, 0 invalid sources"))
	is.True(!strings.Contains(stdout, "warning"))
}

// TestCheckFails guards against a pipeline that publishes an invalid manifest because
// check exited with 0.
func TestCheckFails(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	bad := write("bad.toml", "revision = 0\nextra = 1\n")
	good := write("good.toml", "revision = 1\n")
	old := write("old.conf", "# comment\n")
	for _, c := range []struct {
		args   []string
		code   int
		output string // on stderr, or on stdout with --json
	}{
		{[]string{"check"}, ExitUsage, "specify --settings FILE"},
		{[]string{"check", "--account", old, "--settings", good}, ExitUsage, "--account requires a manifest"},
		{[]string{"check", "--manifest", good, "--certificates"}, ExitUsage, "specify --settings"},
		{[]string{"check", "--manifest", bad}, ExitInvalid, bad + ":2: extra: unknown key\n"},
		{[]string{"check", "--manifest", bad, "--json"}, ExitInvalid, `"text": "unknown key"`},
		{[]string{"check", "--settings", good}, ExitInvalid, good + ":1: revision: unknown key"},
		{[]string{"check", "--manifest", dir + "/absent"}, ExitError, "check that the file exists"},
		{[]string{"check", "--manifest", good, "--account", old}, ExitUnaccounted, "1 lines are not accounted for"},
		{[]string{"check", "--manifest", good}, ExitOK, ""},
		{[]string{"serve", "--settings", good}, ExitError, "until it reports no errors"},
		{[]string{"serve"}, ExitUsage, "--settings"},
		{[]string{"nothing"}, ExitUsage, "--help"},
		{[]string{"version", "extra"}, ExitUsage, `unexpected argument "extra"`},
		{[]string{"status", "--operator", "localhost:1"}, ExitUsage, "host names are not allowed"},
		{[]string{"status", "--operator", "127.0.0.1:1"}, ExitUnreachable, "check that the entry host is running"},
	} {
		code, stdout, stderr := run(c.args...)
		if code != c.code || !strings.Contains(stderr+stdout, c.output) {
			t.Errorf("%v: exit code %d, want %d; output %q%q, want %q", c.args, code, c.code, stdout, stderr, c.output)
		}
	}
}

// TestOperatorCommands guards against commands that misinterpret the responses of the
// operator listener.
func TestOperatorCommands(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile(examples + "manifest.toml")
	is.NoErr(err)
	m, err := manifest.Parse(raw)
	is.NoErr(err)
	store := state.NewStore(state.Member{Name: "eh1", DataCentre: "sgn1", Alive: true})
	store.Update(func(s *state.Snapshot) { s.Manifest = m })
	ended, end := context.WithCancel(context.Background())
	end()
	(&servers.Controller{Clock: clock.NewMonotonic(), Store: store, Log: zap.NewNop()}).Run(ended) // applies the manifest once
	col := &operator.Collector{
		Clock: clock.NewMonotonic(), Store: store, Counters: metrics.New(), Version: "v",
		Ready:  func() (bool, string) { return true, "" },
		Alerts: func() []status.Alert { return []status.Alert{{Name: "desk-shed", State: status.AlertFiring}} },
	}
	srv := operator.New(operator.Config{Log: zap.NewNop(), Ready: col.Ready, Vars: col.Counters.Map().String, Status: col.Status, Explain: col.Explain, Alerts: col.Alerts})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	address := l.Addr().String()
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"status"}, ExitOK, "Entry host eh1 in sgn1"},
		{[]string{"status", "--json"}, ExitOK, `"revision": 1`},
		{[]string{"alerts"}, ExitFiring, "desk-shed  firing"},
		{[]string{"alerts", "--json"}, ExitFiring, `"state": "firing"`},
		{[]string{"explain", "--method", "POST", "--path", "/orders/7"}, ExitOK, "Route place-order (source old-rules.conf:5) forwards to service desk"},
		{[]string{"explain", "--path", "/none", "--json"}, ExitNoServer, `"route": ""`},
		{[]string{"explain", "--path", "none"}, ExitError, ""},
	} {
		code, stdout, stderr := run(append(c.args, "--operator", address)...)
		if code != c.code || !strings.Contains(stdout, c.want) {
			t.Errorf("%v: exit code %d, want %d; %s%s", c.args, code, c.code, stdout, stderr)
		}
	}
	is.NoErr(srv.Shutdown(context.Background()))
	is.NoErr(<-done)
}

// TestSignals guards against a process that ignores the first signal, and against a
// graceful stop that a second signal does not abort.
func TestSignals(t *testing.T) {
	is := is.New(t)
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	graceful := func(ctx context.Context) error { <-ctx.Done(); return nil }
	is.NoErr(runUntilSignal(graceful, signals, zap.NewNop()))

	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	hang := make(chan struct{})
	defer close(hang)
	err := runUntilSignal(func(context.Context) error { <-hang; return nil }, signals, zap.NewNop())
	e, ok := errors.Into[*exitError](err)
	is.True(ok)
	is.Equal(e.code, ExitAborted)

	failed := errors.New("failed")
	is.Equal(runUntilSignal(func(context.Context) error { return failed }, signals, zap.NewNop()), failed)
}

// TestHelpListsExitCodes guards against exit codes that the help text does not list.
func TestHelpListsExitCodes(t *testing.T) {
	code, stdout, _ := run("--help")
	is.New(t).Equal(code, ExitOK)
	for _, c := range []string{"0 the", "1 the", "2 the", "3 check", "4 check", "5 the", "6 alerts", "7 explain", "8 serve"} {
		is.New(t).True(strings.Contains(stdout, c))
	}
}
