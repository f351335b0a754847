// Adapter runs the decision module on the simulator's wire, from standard input to standard output.
package main

import (
	"fmt"
	"os"

	"coursewinch/simwire"
)

func main() {
	if err := simwire.New(os.Stdin, os.Stdout).Run(); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
