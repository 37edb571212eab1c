package entryhost

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/anvilfront/anvilfront/internal/settings"
)

// TestControllerPanic guards against an entry host that keeps serving after a
// controller panicked, with state that is no longer updated.
func TestControllerPanic(t *testing.T) {
	is := is.New(t)
	s := settings.Default()
	s.Name, s.DataCentre, s.Plaintext, s.Notice = "eh1", "ktm1", true, 0
	s.Listen, s.Peer, s.Operator = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	e, err := New(s, zap.NewNop())
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() { ended <- e.Run(context.Background()) }()
	e.runController(context.Background(), func(context.Context) { panic("fault") })
	e.runController(context.Background(), func(context.Context) { panic("second fault") })
	err = <-ended
	is.True(err != nil)
	ready, _ := e.Ready()
	is.True(!ready)
}
