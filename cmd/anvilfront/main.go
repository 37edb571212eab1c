// Command anvilfront is the load balancer and its command-line client.
package main

import (
	"os"

	"github.com/anvilfront/anvilfront/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
