package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// leaveAfter is the time from the start of a planned replacement to the SIGTERM of the machine that leaves, as
	// the bench plays it.
	leaveAfter = 4 * time.Second
	// outage is the time for which the killed machine is down.
	outage = 3500 * time.Millisecond
	// calmTime is the time in which the core has all its machines again, well over catchUpS.
	calmTime = 15 * time.Second
	// recoveryTime is recoveryS.
	recoveryTime = 12 * time.Second
)

func init() {
	cases["rejoin"] = struct {
		plan plan
		run  caseFunc
	}{
		plan: plan{cores: 5, entries: 2, services: []servicePlan{{
			name: "commission-ledger", servers: 2, slots: 6,
			routes: []routePlan{{name: "order-look", prefix: "/look/", kind: "idempotent", timeout: 2000, attempts: 2}},
		}}},
		run: runRejoin,
	}
}

// runRejoin replaces one core machine as planned while another one is killed for some seconds. Later, two disks are
// lost at once, which the deployment must bear.
func runRejoin(d *deployment, trouble bool) ([]string, error) {
	// Machines 1 to 5 are the core. The first one is replaced, the second one is killed, the third and the fourth lose
	// their disks.
	old, killed := d.daemons[0], d.daemons[1]
	lost := []*daemon{d.daemons[2], d.daemons[3]}
	added, err := d.addCore()
	if err != nil {
		return nil, err
	}
	d.note("%s starts with an empty disk and replaces %s", added.name, old.name)
	if trouble {
		time.Sleep(200 * time.Millisecond)
		d.kill(killed)
		d.note("%s is killed", killed.name)
		time.AfterFunc(outage, func() {
			d.note("%s is started again, with its disk", killed.name)
			_ = d.run(killed)
		})
	}
	time.Sleep(leaveAfter)
	old.signal(syscall.SIGTERM, true)
	<-old.gone
	d.note("%s has left after a SIGTERM", old.name)
	time.Sleep(calmTime)
	running := []*daemon{killed, d.daemons[4], added, lost[0], lost[1]}
	d.version += 3
	version := d.version
	acknowledged := false
	for deadline := time.Now().Add(10 * time.Second); !acknowledged && time.Now().Before(deadline); {
		for _, x := range running {
			status, _, err := d.call(x, http.MethodPost, "/Config.Replace", d.configuration(version), time.Second)
			if acknowledged = err == nil && status == http.StatusOK; acknowledged {
				d.note("configuration %d acknowledged by %s", version, x.name)
				break
			}
			d.note("configuration %d sent to %s: status %d, %v", version, x.name, status, err)
		}
	}
	if !acknowledged {
		return nil, fmt.Errorf("configuration %d was not acknowledged", version)
	}
	for _, x := range lost {
		d.kill(x)
		if err := os.RemoveAll(x.data); err != nil {
			return nil, err
		}
		d.note("%s is killed and loses its disk", x.name)
	}
	time.Sleep(time.Second)
	for _, x := range lost {
		if err := d.run(x); err != nil {
			return nil, err
		}
	}
	back := time.Now()
	d.note("both are started again, with empty disks")
	for time.Since(back) < 2*recoveryTime {
		for _, x := range running {
			status, text, err := d.call(x, http.MethodGet, "/Config.Read", nil, time.Second)
			if err != nil || status != http.StatusOK {
				d.note("%s reads: status %d, %s %v", x.name, status, bytes.TrimSpace(text), err)
				continue
			}
			var read struct{ Version int }
			if err := json.Unmarshal(text, &read); err != nil || read.Version < version {
				return []string{fmt.Sprintf("CONFIG: %s reads configuration %d, and %d was acknowledged", x.name, read.Version, version)}, nil
			}
			d.note("%s reads configuration %d", x.name, read.Version)
			return nil, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return []string{fmt.Sprintf("CONFIG, LOST: configuration %d was acknowledged and cannot be read from any machine of the core %v after all were back", version, 2*recoveryTime)}, nil
}
