// Command jacinththreadd is the daemon that runs on each entry host.
package main

import (
	"os"

	"github.com/jacinththread/jacinththread/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
