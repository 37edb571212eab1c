package cli

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/feedhost"
	"github.com/anvilfront/anvilfront/internal/settings"
	"github.com/anvilfront/anvilfront/platform"
)

// memoryShare is the part of a host's memory that the Go runtime may use before
// it collects garbage harder; buffers of the kernel and stacks need the rest.
const memoryShare = 0.6

type entryCommand struct {
	app      *app
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" env:"ANVILFRONT_SETTINGS" description:"settings file (TOML)"`
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return &exitError{ExitError, err, "run 'anvilfront check --settings " + c.Settings + "' until it reports no mistake"}
	}
	if err := s.CheckFeedHost(); err != nil {
		return &exitError{ExitError, err, "a host of the users' platform needs mesh, ready and platform in " + c.Settings}
	}
	log, err := s.Logger()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	if s.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMegabytes<<20)))
	}
	h, err := feedhost.New(s, log, platform.New(s, log))
	if err != nil {
		return &exitError{ExitError, errors.Wrap(err, "start"), "see that the addresses in " + c.Settings + " belong to this host and are free"}
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	stop := make(chan os.Signal, 2)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stop)
	go func() {
		for range reload {
			c.reload(h, log)
		}
	}()
	return runUntilSignal(h.Run, stop, log.Named("entry"))
}

// reload reads the settings again. A file with mistakes changes nothing.
func (c *entryCommand) reload(h *feedhost.Host, log *zap.Logger) {
	s, err := settings.Load(c.Settings)
	if err != nil {
		log.Named("entry").Error("The settings have mistakes. Those before stay in force.", zap.Error(err))
		return
	}
	h.Reload(s)
}
