// Adapter runs the decision module on the simulator's wire, from standard input to standard output.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"coursewinch/simwire"
)

func main() {
	// The work is one loop: more threads would only spin, and rare collections keep a busy second within its share.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	if err := simwire.New(os.Stdin, os.Stdout).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
