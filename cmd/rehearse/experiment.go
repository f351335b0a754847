package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"coursewinch/rehearsal/report"
	"coursewinch/rehearsal/scenario"
	"coursewinch/rehearsal/trial"
)

// experimentCommand compares variants over many seeds.
func experimentCommand() *cobra.Command {
	var variants []string
	var html string
	var asJSON, quiet bool
	plan := trial.Experiment{FirstSeed: 1}
	c := &cobra.Command{
		Use:   "experiment SCRIPT...",
		Short: "Play scripts over many seeds with several builds, settings or baselines, and compare them",
		Long: "Experiment plays each script with each variant over the same seeds, in parallel over cores, and prints mean\n" +
			"differences from the first variant with 95 % bootstrap intervals. Variants are module, baseline:NAME,\n" +
			"build:PROGRAM (another build of rehearse) and set:KEY=VALUE[;KEY=VALUE]; NAME@ before one names it.\n" +
			"The script name all stands for every shipped script except full-size and full-core.",
		Example: "  rehearse experiment all --variant module --variant baseline:random --seeds 20\n" +
			"  rehearse experiment busy-evening --variant module --variant few@set:node.max_connects=1\n" +
			"  rehearse experiment zone-cut --variant now@module --variant before@build:old/rehearse --html out.html",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			plan.Scripts = expandScripts(args)
			for _, text := range variants {
				v, err := trial.ParseVariant(text)
				if err != nil {
					return err
				}
				plan.Variants = append(plan.Variants, v)
			}
			if plan.Seeds < 1 {
				return fmt.Errorf("%d seeds: at least one is required", plan.Seeds)
			}
			plan.Progress = func(done, all int) {
				if !quiet {
					printProgress(done, all)
				}
			}
			if _, err := redirectLogs(""); err != nil {
				return err
			}
			cells, err := plan.Run()
			if err != nil {
				return err
			}
			if html != "" {
				f, err := os.Create(html)
				if err != nil {
					return err
				}
				defer f.Close()
				if err := trial.WriteHTML(f, cells, plan.Seeds); err != nil {
					return err
				}
			}
			if asJSON {
				return report.WriteJSON(os.Stdout, cells)
			}
			trial.WriteText(os.Stdout, cells, plan.Seeds)
			return nil
		},
	}
	c.Flags().StringArrayVar(&variants, "variant", []string{"module"}, "a variant to compare; the first one is the reference")
	c.Flags().IntVar(&plan.Seeds, "seeds", 20, "seeds for each script and variant")
	c.Flags().Uint64Var(&plan.FirstSeed, "first-seed", 1, "the first seed")
	c.Flags().IntVar(&plan.Workers, "workers", 0, "concurrent runs; 0 for one per core")
	c.Flags().BoolVar(&quiet, "quiet", false, "print no progress")
	c.Flags().StringVar(&html, "html", "", "write a page with plots to this `file`")
	c.Flags().BoolVar(&asJSON, "json", false, "print figures as JSON")
	return c
}

// expandScripts replaces the name all by the shipped scripts except full-size and full-core.
func expandScripts(names []string) (scripts []string) {
	for _, name := range names {
		if name != "all" {
			scripts = append(scripts, name)
			continue
		}
		for _, s := range scenario.ShippedNames() {
			if s != "full-size" && s != "full-core" {
				scripts = append(scripts, s)
			}
		}
	}
	return scripts
}

// printProgress prints the number of finished runs after each twentieth of them.
func printProgress(done, all int) {
	if step := max(all/20, 1); done%step == 0 || done == all {
		fmt.Fprintf(os.Stderr, "\r%d of %d runs", done, all)
	}
	if done == all {
		fmt.Fprintln(os.Stderr)
	}
}
