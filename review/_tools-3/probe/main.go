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
	"sync/atomic"
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
	fleet          *fleet
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
	stalled := watchStalls()
	result, err := cases[name](p)
	if err != nil {
		p.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return unable
	}
	if longest := time.Duration(stalled.Load()); result == broken && longest > maxStall {
		p.printf("the script itself stood still for %v, so the result says nothing", longest)
		result = unable
	}
	if result == broken && p.ownEnds() > 0 {
		p.printf("%d processes ended by themselves, which is not what the case shows", p.ownEnds())
		result = unable
	}
	p.printf("result %d", result)
	return result
}

// maxStall is the longest pause of the script with which a broken rule is reported.
const maxStall = 500 * time.Millisecond

// watchStalls returns the longest time by which a timer of the script was late.
func watchStalls() *atomic.Int64 {
	const tick = 20 * time.Millisecond
	var longest atomic.Int64
	go func() {
		for last := time.Now(); ; {
			time.Sleep(tick)
			now := time.Now()
			longest.Store(max(longest.Load(), int64(now.Sub(last)-tick)))
			last = now
		}
	}()
	return &longest
}

// ownEnds returns how often processes ended that nobody ended.
func (p *play) ownEnds() int {
	n := 0
	for _, process := range p.fleet.all() {
		process.mu.Lock()
		n += process.ends
		process.mu.Unlock()
	}
	return n
}
