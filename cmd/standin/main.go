// Command standin serves a fake of an external system on a loopback address: the
// platform, a model engine or a plain service.
package main

import (
	"os"

	"github.com/jacinththread/jacinththread/internal/standin/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:]))
}
