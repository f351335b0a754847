package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"coursewinch/capture"
	"coursewinch/rehearsal/replay"
	"coursewinch/rehearsal/scenario"
	"coursewinch/rehearsal/virtual"
)

// replayCommand plays recorded clients.
func replayCommand() *cobra.Command {
	var fleet, flows string
	var from time.Duration
	var opt virtual.Options
	var out outputs
	c := &cobra.Command{
		Use:   "replay CAPTURE...",
		Short: "Play the clients of captures, which nodes have written, on a script's fleet",
		Long: "Replay joins the captures of all nodes, client by client over retries, disconnects and moves, and plays them\n" +
			"in virtual time on the fleet of a script, with its faults. With --flows it also writes them as a file that\n" +
			"demand.flows of a script can name.",
		Example: "  rehearse replay captures/*.capture --fleet busy-evening\n" +
			"  rehearse replay captures/*.capture --fleet my-fleet.toml --flows evening.flows",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := scenario.Load(fleet)
			if err != nil {
				return err
			}
			all, err := readCaptures(args)
			if err != nil {
				return err
			}
			var skipped []string
			s.RecordedClients, skipped = replay.RecordedDemand(all, s, from.Microseconds())
			for _, text := range skipped {
				fmt.Fprintln(os.Stderr, "left out:", text)
			}
			if len(s.RecordedClients) == 0 {
				return fmt.Errorf("no client in the captures of %s", replay.NodeNames(all))
			}
			s.Demand.Flows, s.Name = filepath.Base(flows), s.Name+" (replay)"
			if flows != "" {
				if err := writeFlows(flows, s); err != nil {
					return err
				}
			}
			done, err := redirectLogs(out.logs)
			if err != nil {
				return err
			}
			defer done()
			r, err := virtual.Play(s, opt)
			if err != nil {
				return err
			}
			return out.write(r)
		},
	}
	c.Flags().StringVar(&fleet, "fleet", "", "`script` with the fleet, the behaviour of clients and the faults")
	c.MarkFlagRequired("fleet")
	c.Flags().StringVar(&flows, "flows", "", "write the clients to this `file`")
	c.Flags().DurationVar(&from, "from", 0, "time in the captures at which the script begins; captures of play and live\nbegin 3s before it")
	c.Flags().Uint64Var(&opt.Seed, "seed", 0, "seed instead of the script's")
	c.Flags().Uint64Var(&opt.NodeSeed, "node-seed", 0, "separate seed for the nodes' random choices")
	out.addFlags(c)
	return c
}

// readCaptures reads capture files.
func readCaptures(paths []string) (captures []*capture.Capture, err error) {
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		c, err := capture.Read(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		captures = append(captures, c)
	}
	return captures, nil
}

// writeFlows writes the recorded clients of a script to a file.
func writeFlows(path string, s *scenario.Script) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return scenario.WriteFlows(f, s, s.RecordedClients)
}
