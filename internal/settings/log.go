package settings

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Level returns the log level called name: debug, info, warn or error.
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

const (
	// Of equal messages, the first samplerFirst of each second are written, then
	// every samplerThereafter-th, so that a fault on the request path cannot fill
	// the log.
	samplerFirst      = 100
	samplerThereafter = 100
)

// Logger returns the logger of a process. It writes one JSON object per line to
// standard output, in the background. Components derive named loggers from it with
// Named. Call Sync before the process exits.
func (s *Settings) Logger() (*zap.Logger, error) {
	level, err := Level(s.LogLevel)
	if err != nil {
		return nil, errors.Wrap(err, "log_level")
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = func(d time.Duration, e zapcore.PrimitiveArrayEncoder) { e.AppendString(d.String()) }
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), newSink(os.Stdout), level)
	core = zapcore.NewSamplerWithOptions(core, time.Second, samplerFirst, samplerThereafter)
	return zap.New(core).With(zap.String("host", s.Name)), nil
}
