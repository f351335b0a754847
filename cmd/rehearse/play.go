package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"coursewinch/node"
	"coursewinch/rehearsal/record"
	"coursewinch/rehearsal/report"
	"coursewinch/rehearsal/rules"
	"coursewinch/rehearsal/scenario"
	"coursewinch/rehearsal/virtual"
)

// outputs are the flags for the results of a run. The texts are paths of files to write; a file without a path is not
// written.
type outputs struct {
	json    bool // print figures as JSON
	answers string
	logs    string
	html    string
}

// addFlags adds the flags to a command.
func (o *outputs) addFlags(c *cobra.Command) {
	c.Flags().BoolVar(&o.json, "json", false, "print figures as JSON")
	c.Flags().StringVar(&o.html, "html", "", "write a page with plots to this `file`")
	c.Flags().StringVar(&o.answers, "answers", "", "write the final answers, one line for each flow, to this `file`")
	c.Flags().StringVar(&o.logs, "logs", "", "write the nodes' log lines to this `file`")
}

// write writes the results of a run. It returns an exitError if the run is void or broke a rule.
func (o *outputs) write(r *record.Run) error {
	broken := rules.Check(r)
	if o.answers != "" {
		f, err := os.Create(o.answers)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := r.WriteAnswers(f); err != nil {
			return err
		}
	}
	if o.html != "" {
		f, err := os.Create(o.html)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := report.WriteHTML(f, r, broken); err != nil {
			return err
		}
	}
	if o.json {
		if err := report.WriteJSON(os.Stdout, report.Summarize(r, broken)); err != nil {
			return err
		}
	} else {
		report.WriteText(os.Stdout, r, broken)
	}
	switch {
	case r.VoidReason != "":
		return &exitError{exitVoid, ""}
	case len(broken) > 0:
		return &exitError{exitBroken, ""}
	}
	return nil
}

// playCommand plays a script in virtual time.
func playCommand() *cobra.Command {
	var opt virtual.Options
	var out outputs
	var holdings string
	c := &cobra.Command{
		Use:   "play SCRIPT",
		Short: "Play a script in virtual time: the same script and seed give the same answers on every machine",
		Example: "  rehearse play calm-evening\n  rehearse play my-script.toml --seed 7 --answers answers.txt\n" +
			"  rehearse play zone-cut --json",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			done, err := redirectLogs(out.logs)
			if err != nil {
				return err
			}
			defer done()
			if holdings != "" {
				f, err := os.Create(holdings)
				if err != nil {
					return err
				}
				defer f.Close()
				opt.OnSecond = func(at int64, all map[int][]node.Holding) {
					for no := range s.NodeCount() {
						for _, h := range all[no] {
							fmt.Fprintf(f, "%d n-%d %s %d %d\n", at/1_000_000, no, h.Purpose, h.Count, h.Bytes)
						}
					}
				}
			}
			start := time.Now()
			r, err := virtual.Play(s, opt)
			if err != nil {
				return err
			}
			took := time.Since(start)
			err = out.write(r)
			if !out.json {
				fmt.Printf("  played in %.2f s, %.0f events a second; answers %s\n", took.Seconds(),
					float64(r.Counts.Events)/took.Seconds(), report.AnswersHash(r)[:16])
			}
			return err
		},
	}
	c.Flags().Uint64Var(&opt.Seed, "seed", 0, "seed instead of the script's")
	c.Flags().Uint64Var(&opt.NodeSeed, "node-seed", 0, "separate seed for the nodes' random choices")
	c.Flags().StringVar(&opt.Capture, "capture", "", "`folder` where the nodes write captures")
	c.Flags().StringVar(&holdings, "holdings", "", "write what the nodes hold by purpose, each second, to this `file`")
	out.addFlags(c)
	return c
}

// checkCommand checks scripts without playing them.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check SCRIPT...",
		Short:   "Check scripts and print errors with their lines",
		Example: "  rehearse check my-script.toml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			bad := 0
			for _, name := range args {
				if _, err := scenario.Load(name); err != nil {
					fmt.Fprintln(os.Stderr, err)
					bad++
					continue
				}
				fmt.Printf("%s: sound\n", name)
			}
			if bad > 0 {
				return &exitError{exitUsage, ""}
			}
			return nil
		},
	}
}

// scriptsCommand lists the shipped scripts.
func scriptsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "scripts",
		Short: "List the scripts that are included in the program",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			for _, name := range scenario.ShippedNames() {
				s, err := scenario.Load(name)
				if err != nil {
					return err
				}
				fmt.Printf("%-24s %s\n", name, s.About)
			}
			return nil
		},
	}
}
