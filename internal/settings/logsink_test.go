package settings

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSlowLogReader guards against requests that block because the log is not read,
// and against lines that are lost at a planned stop.
func TestSlowLogReader(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe() // a write blocks until it is read
	s := newSink(w)
	for range sinkQueueLines + 100 {
		_, err := s.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(s.dropped.Load() >= 98) // one line is in the blocked write, one may be between the queue and the writer
	is.True(s.Sync() != nil)        // times out: the process can exit although the log is not read
	go func() { _, _ = io.Copy(io.Discard, r) }()
	is.NoErr(s.Sync())
	var out bytes.Buffer
	s = newSink(&out)
	_, _ = s.Write([]byte("last\n"))
	is.NoErr(s.Sync())
	is.Equal(out.String(), "last\n")
}

// TestLongLogLines guards against a queue of long lines that takes up the memory of the
// host while the log is not read: callers decide how long a request id is.
func TestLongLogLines(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe() // a write blocks until it is read
	s := newSink(w)
	line := []byte(strings.Repeat("x", 64<<10))
	const lines = 500
	for range lines {
		n, err := s.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	if held := lines - int(s.dropped.Load()); held*len(line) > 1<<20 {
		t.Errorf("%d lines of %d bytes are held", held, len(line))
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	is.NoErr(s.Sync())
	dropped := s.dropped.Load()
	_, _ = s.Write(line)
	is.NoErr(s.Sync())
	is.Equal(s.dropped.Load(), dropped) // room again once the log is read
}
