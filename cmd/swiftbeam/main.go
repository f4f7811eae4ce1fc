// Command swiftbeam is the daemon, its tools for operators, and the demo.
package main

import (
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailed  = 1
	exitInvalid = 2
)

func main() {
	root := &cobra.Command{
		Use:           "swiftbeam",
		Short:         "Serves models and plain services on reclaimable VMs",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(daemonCommand(), demoCommand(), settingsCommand(), configCommand(), versionsCommand(), dumpCommand(), measureCommand(), replayCommand(), capacityCommand(),
		emulateCommand(), callCommand())
	if err := root.Execute(); err != nil {
		os.Exit(report(err))
	}
}
