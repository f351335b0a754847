// Rehearse tests the node with an emulated fleet: it plays scripts of clients, hosts and faults in virtual time, or in real
// time on loopback, and checks each run against rules.
package main

import (
	"errors"
	"fmt"
	"io"
	"log"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitUsage  = 1 // a script, file or flag cannot be used
	exitBroken = 2 // a rule was broken
	exitVoid   = 3 // the machine ran late, so the run proves nothing
)

// exitError is an error with the exit code of the program. Its text is empty if the reason has been printed.
type exitError struct {
	code int
	text string
}

// Error returns the text to print; it is empty if the reason has been printed.
func (e *exitError) Error() string { return e.text }

func main() {
	root := &cobra.Command{
		Use:   "rehearse",
		Short: "Play incidents on an emulated fleet around the real node",
		Long: "Rehearse plays scripts of fleets, clients and faults, and checks every run against the rules.\n\n" +
			"Exit codes: 0 success; 1 a script, file or flag cannot be used; 2 a rule was broken; 3 the run is void\n" +
			"because the machine ran late.",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(playCommand(), liveCommand(), replayCommand(), experimentCommand(), sweepCommand(), reportCommand(),
		checkCommand(), scriptsCommand())
	err := root.Execute()
	if err == nil {
		return
	}
	code := exitUsage
	var e *exitError
	if errors.As(err, &e) {
		code = e.code
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(os.Stderr, "rehearse:", text)
	}
	os.Exit(code)
}

// redirectLogs writes the nodes' log lines to a file, or discards them if path is empty. The result closes the file.
func redirectLogs(path string) (restore func(), err error) {
	log.SetOutput(io.Discard)
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	log.SetOutput(f)
	return func() { f.Close() }, nil
}
