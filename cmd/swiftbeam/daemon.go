package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"swiftbeam/internal/daemon"
	"swiftbeam/internal/setup"
	"swiftbeam/pkg/conf"
)

// invalidInput is an error in the user's input; it sets the exit code exitInvalid.
type invalidInput struct{ error }

// report prints an error to standard error and returns the exit code.
func report(err error) int {
	fmt.Fprintln(os.Stderr, "swiftbeam:", err)
	var invalid invalidInput
	if errors.As(err, &invalid) {
		return exitInvalid
	}
	var exit exitCode
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailed
}

func newLogger(w io.Writer) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(w, nil))
}

func daemonCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "daemon",
		Short: "Run one daemon until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := loadSettings(path)
			if err != nil {
				return err
			}
			return runDaemon(c.Context(), s)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file")
	_ = c.MarkFlagRequired("settings")
	return c
}

func loadSettings(path string) (*setup.Settings, error) {
	s, problems, err := setup.Load(path)
	if err != nil {
		return nil, invalidInput{errors.Wrap(err, "read settings")}
	}
	return s, reportProblems(path, problems)
}

// runDaemon runs a daemon until the first SIGTERM or interrupt, and then stops it gracefully. A second
// signal exits at once with a failure.
func runDaemon(ctx context.Context, s *setup.Settings) error {
	limitRuntime(s.Memory())
	// From before the listeners open, as a signal without a handler ends the process at once.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	d, err := daemon.New(s, daemon.Options{Log: newLogger(os.Stderr)})
	if err != nil {
		return err
	}
	if err := d.Start(ctx); err != nil {
		return err
	}
	<-signals
	go func() {
		<-signals
		os.Exit(exitFailed)
	}()
	stop, cancel := context.WithTimeout(ctx, s.StopTimeout.Std())
	defer cancel()
	return d.Stop(stop)
}

// reportProblems prints the problems in a settings file and returns an error when there are any.
func reportProblems(path string, problems []conf.Problem) error {
	for _, p := range problems {
		fmt.Fprintf(os.Stderr, "%s:%s\n", path, p)
	}
	if len(problems) > 0 {
		return invalidInput{errors.Newf("%s has %d errors", path, len(problems))}
	}
	return nil
}

// checkSettings checks a settings file, as one of an entry or core daemon when it has a role.
func checkSettings(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return invalidInput{errors.Wrap(err, "read settings")}
	}
	if setup.HasRole(text) {
		_, err = loadNode(path)
		return err
	}
	_, err = loadSettings(path)
	return err
}

func settingsCommand() *cobra.Command {
	c := &cobra.Command{Use: "settings", Short: "Work with settings files"}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and print all errors in it",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := checkSettings(args[0]); err != nil {
				return err
			}
			fmt.Println(args[0] + ": correct")
			return nil
		},
	})
	return c
}
