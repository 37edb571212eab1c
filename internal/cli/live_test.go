package cli

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/anvilfront/anvilfront/internal/localfleet"
)

// TestPageCommandsRun guards against commands of the operators' page that fail with
// a running entry host. The process tests cover serve, TestEntryCommand covers entry.
func TestPageCommandsRun(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f, err := localfleet.Start(ctx, localfleet.Config{DataCentreCount: 1, HostCount: 1, ServerCount: 1})
	is.NoErr(err)
	defer f.Close()
	is.NoErr(f.WaitReady(ctx))
	executed := 0
	for _, l := range strings.Split(operatorsPage(t), "\n") {
		command, ok := strings.CutPrefix(strings.TrimSpace(l), "anvilfront ")
		if !ok || !strings.HasPrefix(l, "    ") || strings.HasPrefix(command, "serve") || strings.HasPrefix(command, "entry") {
			continue
		}
		command = strings.ReplaceAll(command, "127.0.0.1:9001", f.Host(0).OperatorAddress())
		command = strings.ReplaceAll(command, "examples/", "../../examples/")
		var stdout, stderr bytes.Buffer
		if code := Main(strings.Fields(command), &stdout, &stderr); code != ExitOK {
			t.Errorf("anvilfront %s: exit code %d, %s", command, code, stderr.String())
		}
		is.True(stdout.Len() > 0) // each command prints its result
		executed++
	}
	is.True(executed >= 8)
}
