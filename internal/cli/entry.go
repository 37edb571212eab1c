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

// memoryLimitShare is the share of the host's memory that is set as the memory limit
// of the Go runtime, near which it collects garbage more often. Kernel buffers and
// stacks need the rest.
const memoryLimitShare = 0.6

type entryCommand struct {
	app      *app
	Settings string `long:"settings" short:"s" required:"true" value-name:"FILE" env:"ANVILFRONT_SETTINGS" description:"settings file (TOML)"`
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	// The settings may change while the host starts. Without a handler SIGHUP would end it.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	s, err := settings.Load(c.Settings)
	if err != nil {
		return &exitError{ExitError, err, "run 'anvilfront check --settings " + c.Settings + "' until it reports no errors"}
	}
	if err := s.CheckFeedHost(); err != nil {
		return &exitError{ExitError, err, "a host on the users' platform requires mesh, ready and platform in " + c.Settings}
	}
	log, err := s.Logger()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	if s.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMegabytes<<20)))
	}
	h, err := feedhost.New(s, log, platform.New(s, log))
	if err != nil {
		return &exitError{ExitError, errors.Wrap(err, "start"), "check that the addresses in " + c.Settings + " belong to this host and are not in use"}
	}
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

// reload reads the settings again. If the file has errors, the previous settings
// stay in effect.
func (c *entryCommand) reload(h *feedhost.Host, log *zap.Logger) {
	s, err := settings.Load(c.Settings)
	if err != nil {
		log.Named("entry").Error("Failed to reload the settings; the previous settings stay in effect.", zap.Error(err))
		return
	}
	h.Reload(s)
}
