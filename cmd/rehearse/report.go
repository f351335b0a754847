package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"coursewinch/rehearsal/report"
	"coursewinch/rehearsal/rules"
	"coursewinch/rehearsal/scenario"
	"coursewinch/rehearsal/virtual"
)

// reportCommand plays a script and writes a page about the run.
func reportCommand() *cobra.Command {
	var opt virtual.Options
	var to string
	c := &cobra.Command{
		Use:     "report SCRIPT",
		Short:   "Play a script in virtual time and write a page with plots that needs no network",
		Example: "  rehearse report zone-cut --to zone-cut.html",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			if _, err := redirectLogs(""); err != nil {
				return err
			}
			r, err := virtual.Play(s, opt)
			if err != nil {
				return err
			}
			if to == "" {
				to = s.Name + ".html"
			}
			f, err := os.Create(to)
			if err != nil {
				return err
			}
			defer f.Close()
			if err := report.WriteHTML(f, r, rules.Check(r)); err != nil {
				return err
			}
			fmt.Println("written:", to)
			return nil
		},
	}
	c.Flags().StringVar(&to, "to", "", "`file` of the page; by default the script's name with .html")
	c.Flags().Uint64Var(&opt.Seed, "seed", 0, "seed instead of the script's")
	return c
}
