// Command lab runs one case of the review: the project's own core and entry daemons as processes on loopback
// addresses, with stand-ins for servers, clients and the operator. Its exit code is 1 if the rule of the case was
// broken, 0 if it held, and 2 if the case could not run.
//
//	lab -case deadly -record record.txt
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseFunc plays a case on a started deployment. It returns a line for each breach of the rule.
type caseFunc func(d *deployment, trouble bool) ([]string, error)

// cases has the cases by name, with the deployment that each needs.
var cases = map[string]struct {
	plan plan
	run  caseFunc
}{}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for the record")
	binary := flag.String("binary", "target/swiftbeam", "program under review")
	limit := flag.Duration("limit", 110*time.Second, "longest time of the run")
	flag.Parse()
	os.Exit(play(*name, *record, *binary, *limit))
}

func play(name, record, binary string, limit time.Duration) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return 2
	}
	d, err := newDeployment(c.plan, record, binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	type outcome struct {
		breaches []string
		err      error
	}
	done := make(chan outcome, 1)
	go func() {
		if err := d.start(); err != nil {
			done <- outcome{err: err}
			return
		}
		breaches, err := c.run(d, os.Getenv("TROUBLE") != "0")
		done <- outcome{breaches, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-signals:
		o.err = fmt.Errorf("stopped by a signal")
	case <-time.After(limit):
		o.err = fmt.Errorf("the case took longer than %v", limit)
	}
	// The end of a daemon is not the rule of the case.
	if ends := d.unexpectedEnds(); o.err == nil && len(ends) > 0 {
		o.err = fmt.Errorf("%s", ends[0])
	}
	code := 0
	switch {
	case o.err != nil:
		d.note("the case could not run: %v", o.err)
		fmt.Println("could not run:", o.err)
		code = 2
	case len(o.breaches) > 0:
		for _, b := range o.breaches {
			d.note("BROKEN %s", b)
			fmt.Println("broken:", b)
		}
		code = 1
	default:
		d.note("the rule held")
		fmt.Println("held")
	}
	d.stop()
	return code
}
