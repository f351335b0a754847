package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"coursewinch/rehearsal/report"
	"coursewinch/rehearsal/trial"
)

// sweepCommand plays a script at several loads and fleet sizes.
func sweepCommand() *cobra.Command {
	var plan trial.Sweep
	var asJSON bool
	c := &cobra.Command{
		Use:   "sweep SCRIPT",
		Short: "Play a script at several multiples of its demand and numbers of nodes, in virtual time",
		Long: "Sweep keeps the script's hosts and plays it at multiples of its rate, with given numbers of nodes in each zone.\n" +
			"Goodput is the served benefit relative to the demand at the script's own rate. It is printed beside the goodput\n" +
			"of the best distribution that is possible with full knowledge.",
		Example: "  rehearse sweep fleet-overload\n  rehearse sweep fleet-overload --set cluster.on=false --nodes 1,4,16",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			plan.Script = args[0]
			if plan.Seeds < 1 || len(plan.DemandFactors) == 0 || len(plan.Nodes) == 0 {
				return fmt.Errorf("%d seeds, %d multiples and %d sizes: at least one of each is required", plan.Seeds,
					len(plan.DemandFactors), len(plan.Nodes))
			}
			for _, n := range plan.Nodes {
				if n < 1 {
					return fmt.Errorf("%d nodes in each zone: at least one is required", n)
				}
			}
			if _, err := redirectLogs(""); err != nil {
				return err
			}
			all, err := plan.Run()
			if err != nil {
				return err
			}
			if asJSON {
				return report.WriteJSON(os.Stdout, all)
			}
			trial.WriteSweepText(os.Stdout, all)
			return nil
		},
	}
	c.Flags().Float64SliceVar(&plan.DemandFactors, "times", []float64{1, 2, 5, 10}, "multiples of the script's rate")
	c.Flags().IntSliceVar(&plan.Nodes, "nodes", []int{1, 4, 16}, "nodes in each zone")
	c.Flags().IntVar(&plan.Seeds, "seeds", 3, "seeds; the median of them is printed")
	c.Flags().IntVar(&plan.Workers, "workers", 0, "concurrent runs; 0 for one per core")
	c.Flags().StringArrayVar(&plan.Changes, "set", nil, "set a value of the script, `KEY=VALUE`")
	c.Flags().BoolVar(&asJSON, "json", false, "print figures as JSON")
	return c
}
