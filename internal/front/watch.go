package front

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// watchDelay is how long a request runs before its caller's connection is
// watched. Most requests end before and cost one stopped timer.
const watchDelay = 5 * time.Millisecond

// watch tells when a caller goes away while its request runs. fasthttp does
// not read from a connection while the handler runs, and so does not notice.
// The watch waits in the runtime's poller and takes no byte from the
// connection; it sees the end of the caller's sending side, and so takes a
// caller that half-closes for one that is gone. A caller that vanishes without
// a packet is not seen until TCP gives up.
type watch struct {
	conn     *callerConn
	gone     context.CancelFunc // of the current request
	timer    *time.Timer        // made for the first request of the connection
	stopping atomic.Bool
	done     chan struct{} // one token for each run
}

// watch calls gone when the caller closes the connection, until stop. A
// connection has one request at a time, and so one watch that is used again.
func (c *callerConn) watch(gone context.CancelFunc) *watch {
	w := &c.watcher
	if c.raw == nil {
		return w
	}
	w.gone = gone
	w.stopping.Store(false)
	if w.timer == nil {
		w.conn, w.done = c, make(chan struct{}, 1)
		w.timer = time.AfterFunc(watchDelay, w.run)
	} else {
		w.timer.Reset(watchDelay)
	}
	return w
}

func (w *watch) run() {
	defer func() { w.done <- struct{}{} }()
	// The read time of the request may end while the chain runs.
	_ = w.conn.SetReadDeadline(time.Time{})
	if w.stopping.Load() {
		return
	}
	closed := false
	_ = w.conn.raw.Read(func(fd uintptr) bool {
		p := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p[:], 0)
		closed = n > 0 && err == nil
		return closed
	})
	if closed {
		w.gone()
	}
}

// stop ends the watch. fasthttp sets a new read deadline before it reads again.
func (w *watch) stop() {
	if w.timer == nil || w.timer.Stop() {
		return
	}
	w.stopping.Store(true)
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-w.done
}
