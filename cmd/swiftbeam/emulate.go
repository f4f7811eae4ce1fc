package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"swiftbeam/internal/fakes"
)

// emulation contains the flags of the emulate command.
type emulation struct {
	service string
	version string
	zone    string
	token   string
	daemons string
	gap     time.Duration
	fail    int
}

func emulateCommand() *cobra.Command {
	e := &emulation{}
	c := &cobra.Command{
		Use:   "emulate engine|ledger",
		Short: "Run an emulated backend server, to try a deployment without real ones",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, args []string) error { return e.run(c.Context(), args[0]) },
	}
	c.Flags().StringVar(&e.service, "service", "luthier-model", "service to announce")
	c.Flags().StringVar(&e.version, "version", "v1", "version to announce")
	c.Flags().StringVar(&e.zone, "zone", "porto-a", "availability zone")
	c.Flags().StringVar(&e.token, "token", os.Getenv("SWIFTBEAM_TOKEN"), "token of the backend server; default $SWIFTBEAM_TOKEN")
	c.Flags().StringVar(&e.daemons, "daemons", "127.0.0.1:7082", "admin or caller addresses of daemons, separated by commas")
	c.Flags().DurationVar(&e.gap, "gap", 20*time.Millisecond, "time between tokens of an engine")
	c.Flags().IntVar(&e.fail, "fail", 0, "percentage of the requests that an engine fails")
	return c
}

// run serves until SIGTERM or an interrupt, then announces that it is stopping and serves for drainTime.
func (e *emulation) run(ctx context.Context, kind string) error {
	var announceLeaving func(context.Context)
	switch kind {
	case "engine":
		engine := &fakes.Engine{
			Announcer: e.announcer(), Slots: 16, TokenGap: e.gap, PrefillPerBlock: 6 * time.Millisecond, Fault: fakes.Fault{FailPercent: e.fail},
		}
		if err := engine.Start(ctx); err != nil {
			return err
		}
		announceLeaving = engine.AnnounceLeaving
		fmt.Println("engine at", engine.Address)
	case "ledger":
		paymentServer := &fakes.PaymentServer{Announcer: e.announcer(), RunLog: &fakes.RunLog{}, ProcessingTime: e.gap}
		if err := paymentServer.Start(ctx); err != nil {
			return err
		}
		announceLeaving = paymentServer.AnnounceLeaving
		fmt.Println("ledger at", paymentServer.Address)
	default:
		return invalidInput{fmt.Errorf("unknown kind %q; write engine or ledger", kind)}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	announceLeaving(ctx)
	time.Sleep(drainTime)
	return nil
}

func (e *emulation) announcer() fakes.Announcer {
	return fakes.Announcer{
		Service: e.service, Version: e.version, Zone: e.zone, Token: e.token, Daemons: strings.Split(e.daemons, ","),
	}
}

// drainTime is how long an emulated server serves running requests after it announced that it is stopping.
const drainTime = 5 * time.Second
