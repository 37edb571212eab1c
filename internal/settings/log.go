package settings

import (
	"os"
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

const (
	// linesPerSecond is how many equal messages are written in a second; after
	// them every linesThereafter-th, so that a fault on the path of a request
	// cannot fill the log.
	linesPerSecond  = 100
	linesThereafter = 100
)

// Logger returns the logger of a process: one JSON object per line on standard
// output, written in the background. Each part takes its own name from it
// through Named. Call Sync before the process ends.
func (s *Settings) Logger() (*zap.Logger, error) {
	level, err := Level(s.LogLevel)
	if err != nil {
		return nil, errors.Wrap(err, "log_level")
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	c.EncodeDuration = func(d time.Duration, e zapcore.PrimitiveArrayEncoder) { e.AppendString(d.String()) }
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), newSink(os.Stdout), level)
	core = zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, linesThereafter)
	return zap.New(core).With(zap.String("host", s.Name)), nil
}
