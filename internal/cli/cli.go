// Package cli holds the commands of the anvilfront binary.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/entryhost"
	"github.com/anvilfront/anvilfront/internal/settings"
)

// Exit codes.
const (
	ExitOK    = 0 // the command did what it says
	ExitError = 1 // the command failed
	ExitUsage = 2 // the command line is wrong
)

type serveCommand struct {
	Settings string `long:"settings" short:"s" required:"true" description:"settings file (TOML)"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := zap.NewProduction()
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	e, err := entryhost.New(s, log)
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

// Main runs the command in args and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "anvilfront"
	if _, err := parser.AddCommand("serve", "Run an entry host", "Runs an entry host until SIGTERM.", &serveCommand{}); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitError
	}
	_, err := parser.ParseArgs(args)
	if err == nil {
		return ExitOK
	}
	if e, ok := errors.Into[*flags.Error](err); ok {
		if e.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, e.Message)
			return ExitOK
		}
		fmt.Fprintln(stderr, e.Message)
		return ExitUsage
	}
	fmt.Fprintln(stderr, "anvilfront:", err)
	return ExitError
}
