package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"swiftbeam/internal/event"
	"swiftbeam/pkg/admin"
	"swiftbeam/pkg/conf"
)

// Exit codes of `config put` and `versions status`.
const (
	exitConflict   = 3
	exitRolledBack = 4
	exitRunning    = 5
)

// exitCode is an error that sets the exit code.
type exitCode struct {
	error
	code int
}

// operator contains the flags that all commands for operators have.
type operator struct {
	address string
	token   string
	asJSON  bool
}

func (o *operator) flags(c *cobra.Command) {
	c.PersistentFlags().StringVar(&o.address, "address", "http://127.0.0.1:7082", "admin address of a daemon")
	c.PersistentFlags().StringVar(&o.token, "token", os.Getenv("SWIFTBEAM_TOKEN"), "operator's token; default $SWIFTBEAM_TOKEN")
	c.PersistentFlags().BoolVar(&o.asJSON, "json", false, "print JSON")
}

func (o *operator) client() *admin.Client {
	return &admin.Client{Address: o.address, Token: o.token}
}

// print writes v as JSON with the flag --json, and otherwise calls text to write a table.
func (o *operator) print(v any, text func(io.Writer)) error {
	return printTo(os.Stdout, o.asJSON, v, text)
}

// printTo writes v as JSON, or calls text to write a table.
func printTo(to io.Writer, asJSON bool, v any, text func(io.Writer)) error {
	if asJSON {
		return json.NewEncoder(to).Encode(v)
	}
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	text(w)
	return w.Flush()
}

func configCommand() *cobra.Command {
	o := &operator{}
	c := &cobra.Command{Use: "config", Short: "Read and write sections of the operators' document"}
	o.flags(c)
	c.AddCommand(o.listCommand(), o.getCommand(), o.putCommand(), o.statusCommand(), checkCommand())
	return c
}

func (o *operator) listCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the sections", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := o.client().List(c.Context())
			if err != nil {
				return err
			}
			return o.print(list, func(w io.Writer) {
				fmt.Fprintln(w, "SECTION\tVERSION\tOWNER\tAT")
				for _, s := range list.Sections {
					fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", s.Name, s.Version, s.Owner, s.At)
				}
			})
		},
	}
}

func (o *operator) getCommand() *cobra.Command {
	return &cobra.Command{
		Use: "get SECTION", Short: "Print a section", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := o.client().Get(c.Context(), args[0])
			if err != nil {
				return err
			}
			return o.print(s, func(w io.Writer) { fmt.Fprintln(w, s.Text) })
		},
	}
}

func (o *operator) putCommand() *cobra.Command {
	var base uint64
	var operation string
	c := &cobra.Command{
		Use: "put SECTION FILE", Short: "Replace a section with a file's text", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[1])
			if err != nil {
				return invalidInput{errors.Wrap(err, "read section")}
			}
			if operation == "" {
				operation = uuid.NewString()
			}
			version, err := o.put(c.Context(), args[0], admin.PutSection{Base: base, Operation: operation, Text: string(text)})
			if err != nil {
				return err
			}
			return o.print(admin.PutAnswer{Version: version}, func(w io.Writer) {
				fmt.Fprintf(w, "%s is at version %d\n", args[0], version)
			})
		},
	}
	c.Flags().Uint64Var(&base, "base", 0, "version that the text was made from; 0 creates the section")
	c.Flags().StringVar(&operation, "operation", "", "ID of this write, to repeat it safely; default a new one")
	return c
}

func (o *operator) put(ctx context.Context, section string, p admin.PutSection) (uint64, error) {
	version, err := o.client().Put(ctx, section, p)
	var response *admin.Error
	if !errors.As(err, &response) {
		return version, err
	}
	switch response.Status {
	case http.StatusConflict:
		return 0, exitCode{error: err, code: exitConflict}
	case http.StatusBadRequest:
		return 0, invalidInput{err}
	}
	return 0, err
}

func (o *operator) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show which daemons have the newest configuration in force", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := o.client().Status(c.Context())
			if err != nil {
				return err
			}
			return o.print(s, func(w io.Writer) {
				fmt.Fprintf(w, "version %d\tin force everywhere: %v\tvoters: %s\tleader: %s\n\n", s.Version, s.InForce, s.Repair, s.Leader)
				fmt.Fprintln(w, "DAEMON\tZONE\tVOTER\tHEARD\tIN FORCE")
				for _, d := range s.Daemons {
					fmt.Fprintf(w, "%s\t%s\t%v\t%v\t%v\n", d.Name, d.Zone, d.Voter, d.Live, d.InForce)
				}
			})
		},
	}
}

// checkCommand checks a folder of section files as one document; it needs no daemon.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FOLDER", Short: "Check a folder of section files as one document", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			files, err := filepath.Glob(filepath.Join(args[0], "*.json"))
			if err != nil || len(files) == 0 {
				return invalidInput{errors.Newf("no section files *.json in %s", args[0])}
			}
			return checkSections(files)
		},
	}
}

func checkSections(files []string) error {
	var sections []conf.Section
	errorCount := 0
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return invalidInput{errors.Wrap(err, "read section")}
		}
		s, problems := conf.ParseSection(strings.TrimSuffix(filepath.Base(file), ".json"), text)
		for _, p := range problems {
			fmt.Fprintf(os.Stderr, "%s:%s\n", file, p)
		}
		errorCount += len(problems)
		sections = append(sections, s)
	}
	_, problems := conf.Assemble(sections)
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if errorCount += len(problems); errorCount > 0 {
		return invalidInput{errors.Newf("the document has %d errors", errorCount)}
	}
	fmt.Printf("%d sections: correct\n", len(sections))
	return nil
}

func versionsCommand() *cobra.Command {
	o := &operator{}
	c := &cobra.Command{Use: "versions", Short: "Show version moves"}
	o.flags(c)
	c.AddCommand(o.movesCommand("list"), o.movesCommand("status SERVICE"), o.watchCommand())
	return c
}

// movesCommand returns the command that lists all moves, or the one that shows the move of one service and
// reports its state by the exit code.
func (o *operator) movesCommand(use string) *cobra.Command {
	one := strings.HasPrefix(use, "status")
	c := &cobra.Command{
		Use: use, Short: "List the version moves", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, args []string) error {
			list, err := o.client().Moves(c.Context())
			if err != nil {
				return err
			}
			if one {
				return o.moveStatus(list, args[0])
			}
			return o.print(list, func(w io.Writer) { printMoves(w, list.Moves) })
		},
	}
	if one {
		c.Short = "Show the move of a service; exit 0 finished, 4 rolled back or cancelled, 5 running"
		c.Args = cobra.ExactArgs(1)
	}
	return c
}

func printMoves(w io.Writer, moves []admin.Move) {
	fmt.Fprintln(w, "SERVICE\tFROM\tTO\tSTAGE\tPERCENT\tFINISH BY\tREASON\tEVIDENCE")
	for _, m := range moves {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f\t%s\t%s\t%s\n", m.Service, m.From, m.To, m.Stage, m.Percent, m.FinishBy, m.Reason, m.Evidence)
	}
}

func (o *operator) moveStatus(list admin.MoveList, service string) error {
	for _, m := range list.Moves {
		if m.Service != service {
			continue
		}
		if err := o.print(m, func(w io.Writer) { printMoves(w, []admin.Move{m}) }); err != nil {
			return err
		}
		switch {
		case !m.Ended:
			return exitCode{error: errors.Newf("the move to %s is running", m.To), code: exitRunning}
		case m.Stage != "finished":
			return exitCode{error: errors.Newf("the move to %s ended: %s", m.To, m.Stage), code: exitRolledBack}
		}
		return nil
	}
	return errors.Newf("service %s has no version move", service)
}

func (o *operator) watchCommand() *cobra.Command {
	return &cobra.Command{
		Use: "watch", Short: "Print each change of a version move as a JSON line", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			q, err := http.NewRequestWithContext(c.Context(), http.MethodGet, o.address+admin.WatchPath, nil)
			if err != nil {
				return err
			}
			q.Header.Set("Authorization", "Bearer "+o.token)
			r, err := http.DefaultClient.Do(q)
			if err != nil {
				return err
			}
			defer r.Body.Close()
			if r.StatusCode != http.StatusOK {
				return errors.Newf("watch: status %d; check the address and the token", r.StatusCode)
			}
			return printEvents(r.Body)
		},
	}
}

// printEvents prints the data of each whole event until the stream ends, which a daemon does not do by itself.
func printEvents(body io.Reader) error {
	for in := event.NewReader(body); ; {
		b, err := in.Next()
		if err != nil {
			return errors.Wrap(err, "the stream of the daemon ended")
		}
		for line := range bytes.Lines(b.Bytes) {
			if data, ok := bytes.CutPrefix(line, []byte("data: ")); ok {
				fmt.Println(string(bytes.TrimRight(data, "\r\n")))
			}
		}
	}
}

func dumpCommand() *cobra.Command {
	o := &operator{}
	c := &cobra.Command{
		Use: "dump [SERVICE]", Short: "Print the state of a daemon, or of one of its services, as JSON", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), dumpTimeout)
			defer cancel()
			data, err := o.client().Dump(ctx, strings.Join(args, ""))
			if err != nil {
				return err
			}
			fmt.Println(string(data))
			return nil
		},
	}
	o.flags(c)
	return c
}

// dumpTimeout is the maximum time to fetch a state dump.
const dumpTimeout = 10 * time.Second
