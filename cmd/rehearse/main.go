// Rehearse plays incidents before they happen: an emulated fleet round the real node, in virtual time or on loopback.
package main

import (
	"errors"
	"fmt"
	"io"
	"log"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitUsage  = 1 // a script, file or flag that can't be used
	exitBroken = 2 // a rule was broken
	exitVoid   = 3 // the machine ran late: the run says nothing
)

// exitError is an error that carries its code. Its text may be empty where all was said.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

func main() {
	root := &cobra.Command{
		Use:   "rehearse",
		Short: "Plays incidents on an emulated fleet round the real node",
		Long: "Rehearse plays scripts of fleets, clients and faults, and checks every run against the rules.\n\n" +
			"Exit codes: 0 all well; 1 a script, file or flag can't be used; 2 a rule was broken; 3 the run is void\n" +
			"because the machine ran late.",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(playCommand(), liveCommand(), replayCommand(), experimentCommand(), sweepCommand(), reportCommand(), checkCommand(), scriptsCommand())
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

// redirectLogs sends the nodes' log lines to a file, or nowhere.
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
