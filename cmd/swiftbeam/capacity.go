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
	var folder, from string
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure how resource costs grow with size (the data in docs/CAPACITY.md)",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			list, err := slopes(from)
			if err != nil {
				return err
			}
			printSlopes(list)
			if folder == "" {
				return nil
			}
			return writeSlopes(folder, list)
		},
	}
	c.Flags().StringVar(&folder, "out", "", "folder for slopes.json, the table slopes.md and the plot slopes.png")
	c.Flags().StringVar(&from, "from", "", "slopes.json of an earlier run, to write table and plot without measuring")
	return c
}

// slopes runs the measurement, or reads the results of an earlier run from a file.
func slopes(from string) ([]slope.Series, error) {
	if from == "" {
		return slope.MeasureAll(), nil
	}
	data, err := os.ReadFile(from)
	if err != nil {
		return nil, invalidInput{err}
	}
	var list []slope.Series
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, invalidInput{err}
	}
	return list, nil
}

// table returns the slopes as a Markdown table.
func table(list []slope.Series) string {
	text := "| series | driver | slope | intercept | fit | unit |\n| --- | --- | --- | --- | --- | --- |\n"
	for _, s := range list {
		text += fmt.Sprintf("| %s | %s | %.4g | %.4g | %.3f | %s |\n", s.Name, s.Driver, s.Slope, s.Intercept, s.Fit, s.Unit)
	}
	return text
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
	if err := os.WriteFile(filepath.Join(folder, "slopes.md"), []byte(table(list)), 0o600); err != nil {
		return err
	}
	return slope.Plot(filepath.Join(folder, "slopes.png"), list)
}
