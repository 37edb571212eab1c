package entryhost

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"
)

// Run serves until ctx is cancelled or a controller panics, and then stops
// gracefully: readiness becomes false, requests are served during the notice period
// and refused after it, in-flight requests are completed, and order records are
// handed over. Abort and stop_bound of the settings end the stop early.
func (e *EntryHost) Run(ctx context.Context) error {
	defer close(e.done)
	// The controllers outlive ctx, because the graceful stop needs them.
	controllersCtx, cancelControllers := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelControllers()
	var wg conc.WaitGroup
	e.start(controllersCtx, &wg)
	select {
	case <-ctx.Done():
	case <-e.aborted.Done():
	case <-e.panicked:
	}
	err := e.stop()
	cancelControllers()
	e.close()
	wg.Wait()
	if p := e.recovered.Load(); p != nil {
		return errors.Wrap(p.AsError(), "controller failed")
	}
	return err
}

// runController runs a controller. After a panic the host stops gracefully: the
// controller's part of the state has no writer any more, so other hosts must take
// over.
func (e *EntryHost) runController(ctx context.Context, run func(context.Context)) {
	p := panics.Try(func() { run(ctx) })
	if p == nil || !e.recovered.CompareAndSwap(nil, p) {
		return
	}
	e.log.Named("entryhost").Error("A controller panicked. The host stops gracefully.", zap.Error(p.AsError()))
	close(e.panicked)
}

// start starts the controllers and then the listener for callers.
func (e *EntryHost) start(ctx context.Context, wg *conc.WaitGroup) {
	wg.Go(e.peerServer.Serve)
	for _, run := range []func(context.Context){
		e.pauseDetector.Run, e.members.Run, e.servers.Run, e.heartbeats.Run, e.measures.Run, e.orders.Run, e.poisonrequests.Run, e.alerts.Run,
		e.connections.Run, e.transport.Run,
	} {
		wg.Go(func() { e.runController(ctx, run) })
	}
	wg.Go(func() {
		if err := e.operator.Serve(e.operatorListener); err != nil {
			e.log.Named("operator").Error("Operator listener failed.", zap.Error(err))
		}
	})
	wg.Go(func() {
		// The manifest of the platform and the peers is fetched first, so that no
		// request is served with state older than theirs.
		e.manifests.InitialSync(ctx)
		wg.Go(func() { e.runController(ctx, e.manifests.Run) })
		if ctx.Err() != nil {
			return
		}
		e.stage.CompareAndSwap(stageStarting, stageServing)
		e.log.Named("entryhost").Info("Serving callers.", zap.String("address", e.Address()))
		if err := e.front.Serve(); err != nil && ctx.Err() == nil {
			e.log.Named("front").Error("Caller listener failed.", zap.Error(err))
		}
	})
}

// resync refreshes the state after a pause of the process. Requests are sent again once
// the servers of the refreshed manifest are known.
func (e *EntryHost) resync(ctx context.Context) {
	e.manifests.Resync(ctx)
	e.servers.WaitApplied(ctx)
}

// stop runs the graceful stop. stop_bound of the settings limits the time of all
// steps after the notice period.
func (e *EntryHost) stop() error {
	log := e.log.Named("entryhost")
	e.stage.Store(stageNotice)
	e.stopping.Announce(e.clock.Now().Add(toDuration(e.settings.Notice) + toDuration(e.settings.StopBound)))
	notice := time.NewTimer(toDuration(e.settings.Notice))
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-e.aborted.Done():
	}
	e.stopping.Stop()
	e.stage.Store(stageStopping)
	ctx, cancel := context.WithTimeout(e.aborted, toDuration(e.settings.StopBound))
	defer cancel()
	if e.aborted.Err() == nil {
		e.handOver(ctx)
	}
	unfinished := e.stopping.Inflight()
	err := e.front.Shutdown(ctx)
	if err != nil || unfinished > 0 {
		log.Warn("Graceful stop ended early.", zap.Int64("requests_cut", unfinished), zap.Error(err))
		return err
	}
	log.Info("Stopped.", zap.Int64("requests_cut", 0))
	return nil
}

// handOver waits for the in-flight requests and hands over the state that this host
// owns. Order records are handed over last, because in-flight requests complete
// them.
func (e *EntryHost) handOver(ctx context.Context) {
	if err := e.stopping.Drain(ctx); err != nil {
		e.log.Named("entryhost").Warn("Requests still in flight at the end of the drain.", zap.Int64("count", e.stopping.Inflight()))
	}
	e.members.Leave(ctx)
	e.orders.Stop(ctx)
	// Announces the successor of the order records. Until redirectTime is over, this
	// host answers peers that have not received the update with the successor's name.
	e.members.Leave(ctx)
	redirect := time.NewTimer(redirectTime)
	defer redirect.Stop()
	select {
	case <-redirect.C:
	case <-ctx.Done():
	}
}

// redirectTime is how long a stopping host still refers peers to its successor.
// Within this time gossip carries the update to all hosts of a fleet of the current
// size.
const redirectTime = 500 * time.Millisecond

// close closes the listeners and the connections to peers.
func (e *EntryHost) close() {
	e.closeOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = e.operator.Shutdown(ctx)
		e.peerServer.Close()
		e.peerClient.Close()
		e.closeListeners()
	})
}

// Stopping reports whether new requests are refused because of a stop.
func (e *EntryHost) Stopping() bool { return e.stage.Load() == stageStopping }

// Done returns a channel that is closed when Run returns.
func (e *EntryHost) Done() <-chan struct{} { return e.done }

// Abort makes Run return without waiting for in-flight requests or peers. A second
// signal calls it, and tests use it to end a host without notice.
func (e *EntryHost) Abort() { e.abort() }
