package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

func init() {
	cases["seven"] = struct {
		plan plan
		run  caseFunc
	}{
		plan: plan{cores: 7, entries: 2, services: []servicePlan{{
			name: "commission-ledger", servers: 2, slots: 6,
			routes: []routePlan{{name: "order-look", prefix: "/look/", kind: "idempotent", timeout: 2000, attempts: 2}},
		}}},
		run: runSeven,
	}
}

// runSeven is no case, as no sheet has seven core machines that bear the loss of three. One of them is lost for good and
// replaced by an empty one; later, three others lose their disks at once.
func runSeven(d *deployment, trouble bool) ([]string, error) {
	if trouble {
		d.kill(d.daemons[0])
		d.note("%s is gone for good", d.daemons[0].name)
		time.Sleep(time.Second)
		added, err := d.addCore()
		if err != nil {
			return nil, err
		}
		d.note("%s starts with an empty disk", added.name)
	}
	time.Sleep(calmTime)
	if err := d.configure(); err != nil {
		return nil, err
	}
	lost := d.daemons[1:4]
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
	for time.Since(back) < 2*recoveryTime {
		for _, x := range d.daemons[1:7] {
			status, _, err := d.call(x, http.MethodGet, "/Config.Read", nil, time.Second)
			if err == nil && status == http.StatusOK {
				d.note("%s reads a configuration", x.name)
				return nil, nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return []string{fmt.Sprintf("CONFIG: configuration %d can't be read %v after all were back", d.version, 2*recoveryTime)}, nil
}
