// Command swiftbeam contains the daemons, tools for operators and callers, measurements and a demo.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"swiftbeam/internal/setup"
)

// Exit codes.
const (
	exitFailed  = 1
	exitInvalid = 2
)

func main() {
	root := &cobra.Command{
		Use:           "swiftbeam",
		Short:         "Serve models and plain services on reclaimable VMs",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(daemonCommand(), demoCommand(), settingsCommand(), configCommand(), versionsCommand(), dumpCommand(), measureCommand(), replayCommand(), capacityCommand(),
		emulateCommand(), callCommand(), zoneCommand(),
		nodeCommand(setup.Entry, "entry", "Run one entry daemon until SIGTERM"),
		nodeCommand(setup.Core, "core", "Run one core daemon until SIGTERM"))
	if err := root.Execute(); err != nil {
		os.Exit(report(err))
	}
}
