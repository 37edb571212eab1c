// Package cli implements the commands of the anvilfront binary. Commands parse their
// options, call other packages for the work and print the results. Only the main
// package calls it.
package cli

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// Exit codes, as listed in the help text of the program.
const (
	ExitOK          = 0 // the command succeeded
	ExitError       = 1 // the command failed
	ExitUsage       = 2 // the command line is invalid
	ExitInvalid     = 3 // check: a file has errors
	ExitUnaccounted = 4 // check --account: a line is not accounted for or a source is invalid
	ExitUnreachable = 5 // the operator listener did not respond
	ExitFiring      = 6 // alerts: an alert is firing
	ExitNoServer    = 7 // explain: no route matches or no backend server is eligible
	ExitAborted     = 8 // serve: a second signal ended the process immediately
)

const exitCodeHelp = `Exit codes:
0 the command succeeded;
1 the command failed;
2 the command line is invalid;
3 check: a file has errors;
4 check --account: a line is not accounted for or a source is invalid;
5 the operator listener did not respond;
6 alerts: an alert is firing;
7 explain: no route matches or no backend server is eligible;
8 serve: a second signal ended the process immediately.`

// app holds the output streams that all commands share.
type app struct {
	stdout, stderr io.Writer
}

// exitError ends the program with an exit code. If err is nil, nothing is printed.
// hint advises the user what to do and may be empty.
type exitError struct {
	code int
	err  error
	hint string
}

// Error implements error.
func (e *exitError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.err.Error()
}

// Unwrap returns the underlying error, or nil.
func (e *exitError) Unwrap() error { return e.err }

// newParser returns a parser with all commands.
func newParser(a *app) (*flags.Parser, error) {
	p := flags.NewNamedParser("anvilfront", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "A layer-7 load balancer. Commands that query a running entry host connect to its operator listener.\n\n" + exitCodeHelp
	for _, c := range []struct {
		name, short, long string
		data              any
	}{
		{"serve", "Run an entry host", "Runs an entry host. SIGTERM or SIGINT starts a graceful stop; a second signal ends the process immediately.", &serveCommand{app: a}},
		{"entry", "Run an entry host on the users' platform", "Runs an entry host whose configuration and backend servers are published by the users' platform. SIGTERM stops it gracefully; SIGHUP reloads the settings.", &entryCommand{app: a}},
		{"check", "Check settings and manifests", "Checks a settings file, a manifest, or both, and prints every error with its line. With --account it also prints each line of an old configuration with the rules that account for it.", &checkCommand{app: a}},
		{"status", "Show the state of an entry host", "Shows the manifest revision, data centres, members, services with their load, counters and firing alerts of a running entry host.", &statusCommand{app: a}},
		{"explain", "Explain how a request is routed", "Shows the route that a request matches, the eligible backend servers, and why the others are not eligible.", &explainCommand{app: a}},
		{"alerts", "Show the alert rules with their states", "Shows each alert rule with its state, value and source line. The exit code is 6 while an alert is firing.", &alertsCommand{app: a}},
		{"version", "Show the version", "Shows the version of this program.", &versionCommand{app: a}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return nil, errors.Wrapf(err, "command %s", c.name)
		}
	}
	p.CommandHandler = func(command flags.Commander, args []string) error {
		if len(args) > 0 {
			return &exitError{ExitUsage, errors.Errorf("unexpected argument %q", args[0]), "run 'anvilfront --help' for the commands and options"}
		}
		return command.Execute(nil)
	}
	return p, nil
}

// Main runs the command given by args and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	p, err := newParser(&app{stdout: stdout, stderr: stderr})
	if err == nil {
		_, err = p.ParseArgs(args)
	}
	if err == nil {
		return ExitOK
	}
	if e, ok := errors.Into[*flags.Error](err); ok {
		if e.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(stdout, e.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintf(stderr, "anvilfront: %s\nanvilfront: run 'anvilfront --help' for the commands and options\n", e.Message)
		return ExitUsage
	}
	code, hint := ExitError, ""
	if e, ok := errors.Into[*exitError](err); ok {
		code, hint = e.code, e.hint
		if e.err == nil {
			return code
		}
	}
	_, _ = fmt.Fprintln(stderr, "anvilfront:", err)
	if hint != "" {
		_, _ = fmt.Fprintln(stderr, "anvilfront:", hint)
	}
	return code
}

// json prints v as indented JSON.
func (a *app) json(v any) error {
	e := json.NewEncoder(a.stdout)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}
