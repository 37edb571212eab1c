// Command standin3 plays the cases of the third review: it starts entry hosts as separate
// processes, with stand-ins for the platform's store, the endpoints and the clients, and
// judges what clients and endpoints have seen.
//
// Usage: standin3 CASE FOLDER. The exit status is 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"cut-extra": cutExtra,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		return exitNotRun
	}
	f, err := newFleet(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.log.close()
	defer f.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		f.end()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[args[0]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
