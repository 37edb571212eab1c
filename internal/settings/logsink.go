package settings

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// sinkLines bounds the log lines that wait for a reader that is slow.
const sinkLines = 1024

// sink writes log lines in the background, so that no request waits for the
// reader of the log. Lines that find the queue full are dropped and counted.
type sink struct {
	lines   chan []byte
	flushed chan chan struct{}
	dropped atomic.Int64
}

func newSink(w io.Writer) *sink {
	s := &sink{lines: make(chan []byte, sinkLines), flushed: make(chan chan struct{})}
	go s.run(w)
	return s
}

func (s *sink) run(w io.Writer) {
	for {
		select {
		case line := <-s.lines:
			_, _ = w.Write(line) // nowhere is left to report a log that cannot be written
		case done := <-s.flushed:
			for len(s.lines) > 0 {
				_, _ = w.Write(<-s.lines)
			}
			close(done)
		}
	}
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (s *sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// syncTime bounds Sync, so that a reader that stopped reading does not keep a
// process from ending.
const syncTime = 200 * time.Millisecond

// Sync implements zapcore.WriteSyncer. It waits until the lines are written, or
// until syncTime is over.
func (s *sink) Sync() error {
	timer := time.NewTimer(syncTime)
	defer timer.Stop()
	done := make(chan struct{})
	select {
	case s.flushed <- done:
	case <-timer.C:
		return errSlowReader
	}
	select {
	case <-done:
		return nil
	case <-timer.C:
		return errSlowReader
	}
}

var errSlowReader = errors.New("log: the reader is too slow; lines are lost")
