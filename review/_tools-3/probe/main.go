// Command probe plays the scripts of the review: it starts the project's programs as processes on loopback addresses, stands in
// for their clients, replicas, operator and platform, and checks one rule.
//
//	target/review/probe CASE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Results of a case.
const (
	held = iota
	broken
	unable
)

var cases = map[string]func(p *play) (int, error){}

// play is one run of a case.
type play struct {
	*record
	binary, folder string
	trouble        bool
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: probe CASE")
		os.Exit(unable)
	}
	os.Exit(run(os.Args[1]))
}

func run(name string) int {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	out, err := os.Create("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer out.Close()
	binary := os.Getenv("SWIFTBEAM")
	if binary, err = filepath.Abs(binary); err != nil {
		return unable
	}
	p := &play{record: &record{out: out, began: time.Now()}, binary: binary, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	result, err := cases[name](p)
	if err != nil {
		p.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return unable
	}
	p.printf("result %d", result)
	return result
}
