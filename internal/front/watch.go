package front

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// watchDelay is how long a request runs before its caller's connection is watched. Most
// requests end earlier and cost only one stopped timer.
const watchDelay = 5 * time.Millisecond

// watch detects that a caller disconnects while its request runs. fasthttp does not
// read from a connection while the handler runs, and so does not notice. The watch waits
// in the runtime's network poller and consumes no byte of the connection. It detects the
// end of the caller's sending side, so a half-close counts as a disconnect. A caller that
// disappears without sending a packet is not detected until TCP times out.
type watch struct {
	conn     *callerConn
	cancel   context.CancelFunc // cancels the current request
	timer    *time.Timer        // created for the first request of the connection
	stopping atomic.Bool
	done     chan struct{} // receives one value at the end of each run
}

// watch calls cancel when the caller closes the connection, until stop is called. A
// connection has one request at a time, and so one watch that is reused.
func (c *callerConn) watch(cancel context.CancelFunc) *watch {
	w := &c.watcher
	if c.raw == nil {
		return w
	}
	w.cancel = cancel
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
	// The read deadline of the request may expire while the chain runs.
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
		w.cancel()
	}
}

// stop ends the watch and waits until a started run has returned. fasthttp sets a new
// read deadline before it reads again.
func (w *watch) stop() {
	if w.timer == nil || w.timer.Stop() {
		return
	}
	w.stopping.Store(true)
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-w.done
}
