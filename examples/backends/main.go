// Command backends runs fake backend servers on the addresses given as arguments, to
// try out "anvilfront serve" with examples/manifest.toml.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/anvilfront/anvilfront/internal/fake"
)

func main() {
	for _, address := range os.Args[1:] {
		b := &fake.Backend{Listen: address, Slots: 4, ServiceTime: 5 * time.Millisecond, Instance: address}
		if err := b.Start(); err != nil {
			fmt.Fprintln(os.Stderr, "backends:", err)
			os.Exit(1)
		}
		fmt.Println("Backend server on", b.Address())
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
}
