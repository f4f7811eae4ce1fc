package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"swiftbeam/internal/slope"
)

func capacityCommand() *cobra.Command {
	var folder string
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure how costs grow with size; the data of docs/CAPACITY.md",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			list := slope.All()
			printSlopes(list)
			if folder == "" {
				return nil
			}
			return writeSlopes(folder, list)
		},
	}
	c.Flags().StringVar(&folder, "out", "", "folder for slopes.json and slopes.png")
	return c
}

func printSlopes(list []slope.Series) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tDRIVER\tSLOPE\tINTERCEPT\tFIT\tUNIT")
	for _, s := range list {
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%.3f\t%s\n", s.Name, s.Driver, s.Slope, s.Intercept, s.Fit, s.Unit)
	}
	_ = w.Flush()
}

func writeSlopes(folder string, list []slope.Series) error {
	data, err := json.MarshalIndent(list, "", "\t")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "slopes.json"), append(data, '\n'), 0o600); err != nil {
		return err
	}
	return slope.Plot(filepath.Join(folder, "slopes.png"), list)
}
