// Adapter connects the balancer's decisions to the simulator, with its line protocol on standard input and output.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"coursewinch/simwire"
)

// gcPercent is the heap growth between collections: the default is 100.
const gcPercent = 400

func main() {
	// The work is one loop, so more threads would only spin. Rare garbage collections keep the work of a busy second within
	// the time that the simulator allows.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if err := simwire.New(os.Stdin, os.Stdout).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
