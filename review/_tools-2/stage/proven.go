package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playProven has a request that is answered several times, and from some moment on crashes each replica that begins to run
// it. It comes again, with the same path and caller, at any entry daemon, beside other requests of the service.
func playProven(s *stage) ([]string, error) {
	const (
		replicas  = 8
		perSecond = 40
		again     = time.Second // between two tries of the client that sends the request
		sound     = 6
		deadlyFor = 20 * time.Second
		backAfter = 3 * time.Second
		most      = 3 // retries that may reach replicas later
		target    = "/look/17?ms=20"
	)
	s.record.isBackground = func(t string) bool { return strings.HasPrefix(t, "/look/w") }
	for i := range replicas {
		r, err := s.platform.start("order-desk", zones[i%len(zones)], "v1", s.address(0, i), false)
		if err != nil {
			return nil, err
		}
		go s.platform.restart(r, backAfter)
	}
	config := object{
		"version": 1, "limits": limits,
		"routes": []object{{
			"name": "r-look", "host": "ficu95.example", "pathPrefix": "/look/", "kind": "idempotent", "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 2,
			"service": "order-desk", "maxAttempts": 2, "anonymous": false, "sticky": false, "resumable": false,
		}},
		"services": []object{{"name": "order-desk", "healthPath": "/healthz", "maxConnections": 400, "protocol": "h1", "tls": false}},
		"tenants":  []object{{"name": "desk", "apiKeys": []string{"key-of-desk"}}},
	}
	if err := s.begin(config, http.MethodGet, "/look/wfirst?ms=5", "key-of-desk", ""); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	var work sync.WaitGroup
	defer work.Wait()
	defer sync.OnceFunc(func() { close(done) })()
	const workers = 6
	for w := range workers {
		work.Go(func() {
			for i := w; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				s.fleet.send(s.fleet.entries[i%len(s.fleet.entries)], http.MethodGet, fmt.Sprintf("/look/w%d-%d?ms=20", w, i), "key-of-desk", "", 4*time.Second)
				time.Sleep(workers * time.Second / perSecond)
			}
		})
	}
	try := func() *attempt {
		return s.fleet.send(s.fleet.entries[rand.IntN(len(s.fleet.entries))], http.MethodGet, target, "key-of-desk", "", 4*time.Second)
	}
	for range sound {
		if a := try(); a.status != http.StatusOK {
			return nil, fmt.Errorf("the request was answered %d before it crashes replicas", a.status)
		}
		time.Sleep(again)
	}
	if s.trouble {
		s.record.add("from now on the request crashes each replica that begins to run it")
		s.platform.order("deadly /look/17")
	}
	began := time.Now()
	for time.Since(began) < deadlyFor {
		try()
		time.Sleep(again)
	}
	if !s.trouble {
		return nil, nil
	}
	var arrivals []note
	for _, n := range s.platform.written("begins") {
		if n.Target == target && n.At > began.UnixNano() {
			arrivals = append(arrivals, n)
		}
	}
	if len(arrivals) < 3 {
		return nil, fmt.Errorf("the request reached replicas %d times only", len(arrivals))
	}
	late := lateAttempts(arrivals)
	s.record.add("the request crashed replicas %d times; %d attempts of its client reached some later than contactMs after the third crash", len(arrivals), late)
	if late > most {
		return []string{fmt.Sprintf("BUDGET: a request that crashes replicas reached some in %d attempts later than contactMs after it had crashed the third", late)}, nil
	}
	return nil, nil
}
