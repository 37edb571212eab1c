package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/entryhost"
	"github.com/anvilfront/anvilfront/internal/manifest"
	"github.com/anvilfront/anvilfront/internal/settings"
	"github.com/anvilfront/anvilfront/internal/tomlfile"
)

type serveCommand struct {
	app      *app
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" description:"settings file (TOML)"`
	Manifest string `long:"manifest" short:"m" value-name:"FILE" description:"manifest to put in force at the start, for a trial without the platform"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return &exitError{ExitError, err, "run 'anvilfront check --settings " + c.Settings + "' until it reports no errors"}
	}
	var m *manifest.Manifest
	if c.Manifest != "" {
		if m, err = loadManifest(c.Manifest); err != nil {
			return &exitError{ExitError, err, "run 'anvilfront check --manifest " + c.Manifest + "' until it reports no errors"}
		}
	}
	log, err := s.Logger()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	e, err := entryhost.New(s, log)
	if err != nil {
		return &exitError{ExitError, errors.Wrap(err, "start"), "check that the addresses in " + c.Settings + " belong to this host and are not in use"}
	}
	if m != nil {
		logWarnings(log, m)
		e.ApplyManifest(m)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	err = runUntilSignal(e.Run, signals, log.Named("serve"))
	// After a second signal the entry host still counts and logs aborted requests.
	e.Abort()
	<-e.Done()
	return err
}

// runUntilSignal calls run and waits until it returns. The first signal cancels the
// context of run; a second signal ends the wait.
func runUntilSignal(run func(context.Context) error, signals <-chan os.Signal, log *zap.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- run(ctx) }()
	for stopping := false; ; stopping = true {
		select {
		case err := <-done:
			return err
		case sig := <-signals:
			if stopping {
				log.Warn("Received a second signal; exiting immediately.", zap.Stringer("signal", sig))
				return &exitError{ExitAborted, errors.New("a second signal ended the graceful stop"), ""}
			}
			log.Info("Received a signal; starting a graceful stop.", zap.Stringer("signal", sig))
			cancel()
		}
	}
}

func loadManifest(path string) (*manifest.Manifest, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read manifest")
	}
	m, err := manifest.Parse(raw)
	if err != nil {
		return nil, errors.New(tomlfile.Describe(path, err))
	}
	return m, nil
}

func logWarnings(log *zap.Logger, m *manifest.Manifest) {
	for _, w := range m.Warnings {
		log.Named("manifest").Warn("Manifest warning.", zap.Int("line", w.Line), zap.String("key", w.Key), zap.String("text", w.Text))
	}
}
