package main

import (
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"coursewinch/rehearsal/live"
	"coursewinch/rehearsal/scenario"
)

// defaultNodeProgram returns the path of the node's program in the folder of this program.
func defaultNodeProgram() string {
	self, err := os.Executable()
	if err != nil {
		return "coursewinch"
	}
	return filepath.Join(filepath.Dir(self), "coursewinch")
}

// liveCommand plays a script with real processes.
func liveCommand() *cobra.Command {
	var opt live.Options
	var out outputs
	c := &cobra.Command{
		Use:   "live SCRIPT",
		Short: "Play a script against real node processes on loopback, in real time",
		Long: "Live starts the script's nodes as processes on addresses of 127.0.0.0/8 and plays the same fleet behind real\n" +
			"sockets. If the machine ran late, the run is void (exit code 3) and proves nothing about the node.",
		Example: "  rehearse live calm-evening\n  rehearse live busy-evening --node-logs logs --seed 4",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			r, err := live.Play(s, opt)
			if err != nil {
				return err
			}
			return out.write(r)
		},
	}
	c.Flags().Uint64Var(&opt.Seed, "seed", 0, "seed instead of the script's")
	c.Flags().StringVar(&opt.Program, "node", defaultNodeProgram(), "the node's `program`")
	c.Flags().StringVar(&opt.Logs, "node-logs", "", "`folder` for the nodes' files and logs; a temporary one if empty")
	c.Flags().StringVar(&opt.Capture, "capture", "", "`folder` where the nodes write captures")
	out.addFlags(c)
	return c
}
