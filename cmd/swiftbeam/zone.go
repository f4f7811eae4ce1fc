package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"swiftbeam/internal/fault"
	"swiftbeam/platform"
)

// zoneTimeout bounds an order about an availability zone, with its repetitions at other daemons.
const zoneTimeout = 10 * time.Second

func zoneCommand() *cobra.Command {
	o := &platform.Operator{}
	asJSON := false
	c := &cobra.Command{Use: "zone", Short: "Evacuate availability zones, and take them back"}
	c.PersistentFlags().StringSliceVar(&o.Addresses, "address", []string{"127.0.0.1:7100"}, "control addresses of core daemons, asked one after the other")
	c.PersistentFlags().StringVar(&o.Name, "by", os.Getenv("USER"), "who gives the order; default $USER")
	c.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	c.AddCommand(
		zoneOrder("evacuate ZONE", "Send nothing more to the backend servers of a zone", o.Evacuate),
		zoneOrder("return ZONE", "Withdraw the evacuation of a zone", o.ReturnZone),
		&cobra.Command{Use: "list", Short: "List the evacuated zones", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), zoneTimeout)
			defer cancel()
			list, err := o.Evacuations(ctx)
			if err != nil {
				return err
			}
			return printTo(c.OutOrStdout(), asJSON, list, func(w io.Writer) {
				fmt.Fprintln(w, "ZONE\tSINCE\tBY\tREVISION")
				for _, e := range list {
					fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", e.Zone, time.UnixMilli(e.SinceMs).UTC().Format(time.RFC3339), e.By, e.Revision)
				}
			})
		}},
	)
	return c
}

func zoneOrder(use, short string, order func(ctx context.Context, zone string) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		ctx, cancel := context.WithTimeout(c.Context(), zoneTimeout)
		defer cancel()
		err := order(ctx, args[0])
		if fault.KindOf(err) == fault.Invalid {
			return invalidInput{err}
		}
		return err
	}}
}
