// Command stage plays one case of the review: it starts the project's core and entry daemons as processes on loopback
// addresses, with a stand-in for the platform, replicas and clients, brings about a disruption, and checks one rule by what
// the stand-ins have seen:
//
//	target/review/stage leaving review/6
//
// It writes record.txt into the folder of the case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync/atomic"
	"time"
)

// scenario plays a case and returns the breaks of its rule.
type scenario func(s *stage) (breaks []string, err error)

var scenarios = map[string]scenario{"leaving": playLeaving, "quota": playQuota, "rollout": playRollout, "proven": playProven}

// stage is what a scenario works with.
type stage struct {
	trouble  bool
	folder   string
	record   *record
	fleet    *fleet
	platform *platform
	net      *network
}

// longest bounds a case.
const longest = 115 * time.Second

func main() {
	// The daemons are killed with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		os.Exit(runReplica(os.Args[2:]))
	}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage leaving|quota|rollout|proven FOLDER")
		os.Exit(2)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(p scenario, folder string) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	s := &stage{trouble: os.Getenv("TROUBLE") != "0", record: r}
	if s.folder, err = os.MkdirTemp("", "swiftbeam-stage"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(s.folder)
	time.AfterFunc(longest, func() {
		r.add("could not run: the case takes too long")
		r.close()
		_ = os.RemoveAll(s.folder)
		os.Exit(2)
	})
	pause := longestPause()
	breaks, err := s.run(p)
	if late := pause(); err == nil && late > maxPause {
		err = fmt.Errorf("the machine is too busy: the script itself stood still for %v", late)
	}
	switch {
	case err != nil:
		r.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case len(breaks) > 0:
		for _, b := range breaks {
			r.add("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		return 1
	}
	r.add("HELD")
	fmt.Println("held")
	return 0
}

func (s *stage) run(p scenario) ([]string, error) {
	var err error
	if s.net, err = newNetwork(); err != nil {
		return nil, err
	}
	if s.fleet, err = newFleet(s.record, s.net, s.folder, 5, 4); err != nil {
		return nil, err
	}
	defer s.fleet.stop()
	if logs := os.Getenv("STAGE_LOGS"); logs != "" {
		defer s.fleet.saveLogs(logs)
	}
	s.platform = &platform{fleet: s.fleet}
	defer s.platform.stop()
	breaks, err := p(s)
	if name := s.fleet.ended(); err == nil && name != "" {
		err = fmt.Errorf("%s ended by itself", name)
	}
	return breaks, err
}

// maxPause is how long the script may stand still. With more, the machine is too busy to tell anything.
const maxPause = 500 * time.Millisecond

// longestPause returns a function that returns by how much a timer was late at most since.
func longestPause() func() time.Duration {
	const interval = 20 * time.Millisecond
	var longest atomic.Int64
	go func() {
		for {
			before := time.Now()
			time.Sleep(interval)
			longest.Store(max(longest.Load(), int64(time.Since(before)-interval)))
		}
	}()
	return func() time.Duration { return time.Duration(longest.Load()) }
}

// lateAttempts returns how many client attempts of a request reached replicas later than contactMs after it had reached the
// third, which it crashes at once; margin is allowed for the way to the replica.
func lateAttempts(arrivals []note) int {
	const contact, margin = 3 * time.Second, 200 * time.Millisecond
	slices.SortFunc(arrivals, func(a, b note) int { return cmp.Compare(a.At, b.At) })
	late := make(map[string]bool)
	for _, n := range arrivals {
		if n.At > arrivals[2].At+int64(contact+margin) {
			late[n.Request] = true
		}
	}
	return len(late)
}

// address returns the address of replica i of a group.
func (s *stage) address(group, i int) string {
	return fmt.Sprintf("%s:%d", s.net.host(10+group, i+1), serverPort)
}

// begin sends the first configuration and waits until the entry daemons serve a request on the path.
func (s *stage) begin(config any, method, target, key, headers string) error {
	if err := s.fleet.call("/Config.Replace", config); err != nil {
		return err
	}
	if err := s.fleet.awaitReady(); err != nil {
		return err
	}
	for _, e := range s.fleet.entries {
		end := time.Now().Add(10 * time.Second)
		for s.fleet.send(e, method, target, key, headers, 3*time.Second).status != 200 {
			if time.Now().After(end) {
				return fmt.Errorf("%s serves no request", e.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

// object is a JSON object.
type object = map[string]any

var limits = object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
