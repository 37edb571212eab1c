package settings

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// sinkQueueLines is the maximum number of log lines queued for a slow reader.
const sinkQueueLines = 1024

// sink writes log lines in the background, so that no request waits for the
// reader of the log. When the queue is full, lines are dropped and counted.
type sink struct {
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
}

func newSink(w io.Writer) *sink {
	s := &sink{lines: make(chan []byte, sinkQueueLines), flush: make(chan chan struct{})}
	go s.run(w)
	return s
}

func (s *sink) run(w io.Writer) {
	for {
		select {
		case line := <-s.lines:
			_, _ = w.Write(line) // a failed log write cannot be reported anywhere
		case done := <-s.flush:
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

// syncTimeout bounds Sync, so that a stalled log reader cannot keep the process
// from exiting.
const syncTimeout = 200 * time.Millisecond

// Sync implements zapcore.WriteSyncer. It waits until the queued lines are written,
// for at most syncTimeout.
func (s *sink) Sync() error {
	timer := time.NewTimer(syncTimeout)
	defer timer.Stop()
	done := make(chan struct{})
	select {
	case s.flush <- done:
	case <-timer.C:
		return errSyncTimeout
	}
	select {
	case <-done:
		return nil
	case <-timer.C:
		return errSyncTimeout
	}
}

var errSyncTimeout = errors.New("sync log: timed out because the log reader is too slow; queued lines may be lost")
