package settings

import (
	"bytes"
	"io"
	"testing"

	"github.com/matryer/is"
)

// TestSlowLogReader guards against a request that waits because nobody reads
// the log, and against lines that are lost at a planned stop.
func TestSlowLogReader(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe() // a write blocks until it is read
	s := newSink(w)
	for range sinkLines + 100 {
		_, err := s.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(s.dropped.Load() >= 98) // one is with the writer, one may be on its way
	is.True(s.Sync() != nil)        // bounded: a process ends although nobody reads
	go func() { _, _ = io.Copy(io.Discard, r) }()
	is.NoErr(s.Sync())
	var out bytes.Buffer
	s = newSink(&out)
	_, _ = s.Write([]byte("last\n"))
	is.NoErr(s.Sync())
	is.Equal(out.String(), "last\n")
}
