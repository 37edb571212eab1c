package settings

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// sinkQueueLines and sinkQueueBytes bound the log lines queued for a slow reader. Lines
// contain what callers send, such as request ids.
const sinkQueueLines, sinkQueueBytes = 1024, 1 << 20

// sink writes log lines in the background, so that no request waits for the
// reader of the log. When the queue is full, lines are dropped and counted.
type sink struct {
	lines   chan []byte
	flush   chan chan struct{}
	queued  atomic.Int64 // bytes of lines
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
			s.write(w, line)
		case done := <-s.flush:
			for len(s.lines) > 0 {
				s.write(w, <-s.lines)
			}
			close(done)
		}
	}
}

func (s *sink) write(w io.Writer, line []byte) {
	_, _ = w.Write(line) // a failed log write cannot be reported anywhere
	s.queued.Add(-int64(len(line)))
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (s *sink) Write(line []byte) (int, error) {
	if s.queued.Add(int64(len(line))) > sinkQueueBytes {
		s.queued.Add(-int64(len(line)))
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.queued.Add(-int64(len(line)))
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
