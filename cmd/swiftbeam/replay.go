package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"swiftbeam/internal/moves"
	"swiftbeam/internal/replay"
)

func replayCommand() *cobra.Command {
	var generate, method string
	var verbose bool
	c := &cobra.Command{
		Use:   "replay FILE...",
		Short: "Replay traces of version moves and compare the outcomes with the expected ones",
		RunE: func(_ *cobra.Command, args []string) error {
			if generate != "" {
				return generateTrace(generate)
			}
			if len(args) == 0 {
				return invalidInput{errors.New("no trace file given; name one, or use --generate")}
			}
			return replayFiles(args, methodOf(method), verbose)
		},
	}
	c.Flags().StringVar(&generate, "generate", "", "write the trace of a deployment, barros or minik, to standard output")
	c.Flags().StringVar(&method, "method", "sequential", "sequential or fixedWindow")
	c.Flags().BoolVar(&verbose, "verbose", false, "print each move")
	return c
}

func methodOf(name string) moves.Method {
	if name == "fixedWindow" {
		return moves.FixedWindow{StdErrors: 4, MinRequests: 20}
	}
	return moves.DefaultTest
}

func generateTrace(name string) error {
	for _, d := range replay.Deployments {
		if d.Name == name {
			return replay.Write(os.Stdout, replay.Generate(d))
		}
	}
	return invalidInput{errors.Newf("no deployment %q; write barros or minik", name)}
}

func replayFiles(files []string, method moves.Method, verbose bool) error {
	mismatches := 0
	for _, file := range files {
		cases, err := readTrace(file)
		if err != nil {
			return invalidInput{err}
		}
		results := replay.RunAll(cases, replay.Options{Method: method})
		for _, r := range results {
			if r.Mismatch() != "" {
				mismatches++
			}
			if verbose || r.Mismatch() != "" {
				fmt.Println(r)
			}
		}
		fmt.Printf("%s: %s\n", file, replay.Summarize(results))
	}
	if mismatches > 0 {
		return errors.Newf("%d moves did not have the expected outcome", mismatches)
	}
	return nil
}

func readTrace(file string) ([]*replay.Case, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return replay.Read(f)
}
