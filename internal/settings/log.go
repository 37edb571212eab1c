package settings

import (
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Level returns the log level for its name: debug, info, warn or error.
func Level(name string) (zapcore.Level, error) {
	switch name {
	case "debug":
		return zapcore.DebugLevel, nil
	case "info":
		return zapcore.InfoLevel, nil
	case "warn":
		return zapcore.WarnLevel, nil
	case "error":
		return zapcore.ErrorLevel, nil
	}
	return 0, errors.Errorf("%q is not one of debug, info, warn, error", name)
}

// Logger returns the logger of a process: one JSON object per line on standard
// error. Each part takes its own name from it through Named. At most 100 equal
// messages per second are written, then every 100th, so that a fault on the
// path of a request cannot fill the log.
func (s *Settings) Logger() (*zap.Logger, error) {
	level, err := Level(s.LogLevel)
	if err != nil {
		return nil, errors.Wrap(err, "log_level")
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(level)
	c.DisableCaller = true
	c.DisableStacktrace = true
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncoderConfig.EncodeDuration = func(d time.Duration, e zapcore.PrimitiveArrayEncoder) { e.AppendString(d.String()) }
	log, err := c.Build()
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	return log.With(zap.String("host", s.Name)), nil
}
