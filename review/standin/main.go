// Command standin plays one case of the review with the project's program as separate
// processes: standin CASE RECORD. The environment variable TROUBLE=0 leaves the
// disruption out. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"
)

const maxTime = 115 * time.Second

var cases = map[string]func(*deployment, bool) (int, error){
	"memory": memoryCase,
	"storm":  stormCase,
	"watch":  watchCase,
	"poison": poisonCase,
	"nodes":  nodesCase,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d := &deployment{dir: dir, record: newRecord(out)}
	defer func() {
		for _, h := range d.hosts {
			h.stop()
		}
		time.Sleep(300 * time.Millisecond) // until they have ended
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs in", dir)
		}
	}()
	if err := d.open(); err != nil {
		d.record.printf("can't run: %v", err)
		return 2
	}
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	go func() {
		code, err := cases[os.Args[1]](d, trouble)
		done <- result{code, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			d.record.printf("can't run: %v", r.err)
			return 2
		}
		d.record.printf("exit code %d", r.code)
		fmt.Println("exit code", r.code)
		return r.code
	case <-time.After(maxTime):
		d.record.printf("can't run: not ended in time")
		return 2
	}
}

// operatorPort is the port that deploy/settings.toml sets.
const operatorPort = 9180

// open starts the store and chooses the ports that all hosts share, and a part of the
// loopback network on which the port of the settings is free.
func (d *deployment) open() (err error) {
	for range 20 {
		d.net = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.101:%d", d.net, operatorPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		break
	}
	if d.store, err = newStore(d.net + ".3"); err != nil {
		return err
	}
	if d.control, err = freePort("tcp", d.net+".101"); err != nil {
		return err
	}
	d.mesh, err = freePort("udp", d.net+".101")
	return err
}
