package entryhost

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"
)

// Run serves until ctx ends and then stops gracefully: readiness becomes false,
// requests are served for the notice period and refused after it, requests in
// flight are answered, order records are handed over. Abort and the
// settings' stop bound end the stop early.
func (e *EntryHost) Run(ctx context.Context) error {
	defer close(e.done)
	// The controllers outlive ctx: the stop needs them.
	running, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var wg conc.WaitGroup
	e.start(running, &wg)
	select {
	case <-ctx.Done():
	case <-e.aborted.Done():
	case <-e.broken:
	}
	err := e.stop()
	end()
	e.close()
	wg.Wait()
	if p := e.fault.Load(); p != nil {
		return errors.Wrap(p.AsError(), "controller")
	}
	return err
}

// guarded runs a controller. A panic ends the host with a graceful stop: its
// state has no writer any more, so another host must take over.
func (e *EntryHost) guarded(ctx context.Context, run func(context.Context)) {
	p := panics.Try(func() { run(ctx) })
	if p == nil || !e.fault.CompareAndSwap(nil, p) {
		return
	}
	e.log.Named("entryhost").Error("A controller panicked. The host stops.", zap.Error(p.AsError()))
	close(e.broken)
}

// start starts the controllers and then the listener for callers.
func (e *EntryHost) start(ctx context.Context, wg *conc.WaitGroup) {
	wg.Go(e.peerServer.Serve)
	for _, run := range []func(context.Context){
		e.guard.Run, e.members.Run, e.servers.Run, e.beats.Run, e.measures.Run, e.orders.Run, e.suspects.Run, e.alerts.Run,
		e.connections.Run, e.transport.Run,
	} {
		wg.Go(func() { e.guarded(ctx, run) })
	}
	wg.Go(func() {
		if err := e.operator.Serve(e.operators); err != nil {
			e.log.Named("operator").Error("Listener failed.", zap.Error(err))
		}
	})
	wg.Go(func() {
		// The platform and the peers are asked first, so that no request meets
		// a state older than theirs.
		e.manifests.InitialSync(ctx)
		wg.Go(func() { e.guarded(ctx, e.manifests.Run) })
		if ctx.Err() != nil {
			return
		}
		e.stage.CompareAndSwap(stageStarting, stageServing)
		e.log.Named("entryhost").Info("Serving callers.", zap.String("address", e.Address()))
		if err := e.front.Serve(); err != nil && ctx.Err() == nil {
			e.log.Named("front").Error("Listener failed.", zap.Error(err))
		}
	})
}

// stop is the graceful stop. Each step is bounded by the settings' stop bound.
func (e *EntryHost) stop() error {
	log := e.log.Named("entryhost")
	e.stage.Store(stageNotice)
	notice := time.NewTimer(bound(e.settings.Notice))
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-e.aborted.Done():
	}
	e.stopping.Stop()
	e.stage.Store(stageStopping)
	ctx, cancel := context.WithTimeout(e.aborted, bound(e.settings.StopBound))
	defer cancel()
	if e.aborted.Err() == nil {
		e.handOver(ctx)
	}
	cut := e.stopping.Inflight()
	err := e.front.Shutdown(ctx)
	if err != nil || cut > 0 {
		log.Warn("The stop ended early.", zap.Int64("requests_cut", cut), zap.Error(err))
		return err
	}
	log.Info("Stopped.", zap.Int64("requests_cut", 0))
	return nil
}

// handOver waits for the requests in flight and passes on what this host owns.
// Order records go last, since requests in flight finish them.
func (e *EntryHost) handOver(ctx context.Context) {
	if err := e.stopping.Drain(ctx); err != nil {
		e.log.Named("entryhost").Warn("Requests are still in flight.", zap.Int64("count", e.stopping.Inflight()))
	}
	e.members.Leave(ctx)
	e.orders.Stop(ctx)
	// Tells peers of the successor of the order records, and answers those that
	// have not heard of it with its name.
	e.members.Leave(ctx)
	redirect := time.NewTimer(redirectTime)
	defer redirect.Stop()
	select {
	case <-redirect.C:
	case <-ctx.Done():
	}
}

// redirectTime is how long a stopped host still names its successor to peers.
// Heartbeats spread the news in a fleet of today's size within it.
const redirectTime = 500 * time.Millisecond

// close ends the listeners and the connections to peers.
func (e *EntryHost) close() {
	e.closing.Do(func() {
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

// Abort makes Run return without waiting for requests in flight or peers. It is
// what a second signal calls, and how tests end a host without notice.
func (e *EntryHost) Abort() { e.abort() }
