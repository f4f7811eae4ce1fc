package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"swiftbeam/internal/demo"
)

func demoCommand() *cobra.Command {
	var seed uint64
	var asJSON, verbose bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run three daemons with emulated backend servers through reclaims, a crash and two version moves",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			o := demo.Options{Seed: seed, Out: os.Stdout}
			if verbose {
				o.Log = newLogger(os.Stderr)
			}
			r, err := demo.Run(c.Context(), o)
			fmt.Println(r)
			if asJSON {
				fmt.Println(r.JSON())
			}
			if err == nil && !r.Passed() {
				err = errors.New("the demo violated a guarantee")
			}
			return err
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "varies the load and the times of the faults")
	c.Flags().BoolVar(&asJSON, "json", false, "print the counts as JSON on the last line")
	c.Flags().BoolVar(&verbose, "verbose", false, "log the daemons' changes of state to standard error")
	return c
}
