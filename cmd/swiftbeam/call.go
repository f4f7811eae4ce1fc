package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"swiftbeam/pkg/caller"
)

// callCommand sends one request with the client library for callers.
func callCommand() *cobra.Command {
	var addresses, key, idempotencyKey string
	var tokens int
	c := &cobra.Command{
		Use:   "call MODEL PROMPT | call PATH BODY",
		Short: "Send a request as a caller: a prompt to a model, or a body to a path",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			client := &caller.Client{Addresses: strings.Split(addresses, ","), Key: key}
			if strings.HasPrefix(args[0], "/") {
				reply, err := client.Call(c.Context(), args[0], idempotencyKey, []byte(args[1]))
				if err != nil {
					return err
				}
				fmt.Println(string(reply.Body))
				return nil
			}
			p := caller.Prompt{Model: args[0], Prompt: args[1], MaxTokens: tokens}
			response, err := client.Stream(c.Context(), p, func(token string) { fmt.Print(token) })
			fmt.Println()
			if err == nil {
				fmt.Fprintf(os.Stderr, "request %s: %d tokens, first after %v, %d resumes\n", response.RequestID, response.Tokens, response.FirstToken, response.Resumes)
			}
			return err
		},
	}
	c.Flags().StringVar(&addresses, "addresses", "http://127.0.0.1:7080", "caller addresses of daemons, separated by commas")
	c.Flags().StringVar(&key, "key", os.Getenv("SWIFTBEAM_KEY"), "key of the client account; default $SWIFTBEAM_KEY")
	c.Flags().StringVar(&idempotencyKey, "idempotency-key", "", "key of a call that must not be repeated")
	c.Flags().IntVar(&tokens, "tokens", 64, "most tokens of an answer")
	return c
}
