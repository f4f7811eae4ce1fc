package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// playRollout has a rollout of a good version, and a request that crashes each replica that begins to run it and comes
// again. The request comes from the moment on at which the new version gets all requests.
func playRollout(s *stage) ([]string, error) {
	const (
		durationS = 90
		replicas  = 8
		perSecond = 150
		again     = time.Second // between two tries of the client that sends the request
		backAfter = 3 * time.Second
		deadlyFor = 20 * time.Second
		most      = 3 // retries that may reach replicas later
	)
	s.record.isBackground = func(target string) bool {
		return strings.HasPrefix(target, "/look/") && strings.HasSuffix(target, "?ms=5") && !strings.Contains(target, "/17?")
	}
	var old []*server
	for i := range replicas {
		r, err := s.platform.start("order-desk", zones[i%len(zones)], "v1", s.address(0, i), false)
		if err != nil {
			return nil, err
		}
		old = append(old, r)
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
	if err := s.begin(config, http.MethodGet, "/look/first?ms=5", "key-of-desk", ""); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	stopped := func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	}
	var work sync.WaitGroup
	defer work.Wait()
	defer sync.OnceFunc(func() { close(done) })()
	const workers = 12
	for w := range workers {
		work.Go(func() {
			for i := w; !stopped(); i++ {
				s.fleet.send(s.fleet.entries[i%len(s.fleet.entries)], http.MethodGet, fmt.Sprintf("/look/w%d-%d?ms=5", w, i), "key-of-desk", "", 4*time.Second)
				time.Sleep(workers * time.Second / perSecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if err := s.fleet.call("/Rollouts.Start", object{"service": "order-desk", "target": "v2", "durationS": durationS}); err != nil {
		return nil, err
	}
	ordered := time.Now()
	for i := range replicas {
		r, err := s.platform.start("order-desk", zones[i%len(zones)], "v2", s.address(1, i), false)
		if err != nil {
			return nil, err
		}
		go s.platform.restart(r, backAfter)
	}
	// The request comes once the new version gets all requests.
	for !s.allTo("v2") {
		if time.Since(ordered) > durationS*time.Second {
			return nil, fmt.Errorf("the new version did not get all requests before the end of the rollout")
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.record.add("the new version gets all requests")
	target := "/look/deadly/17?ms=5"
	if !s.trouble {
		target = "/look/sound/17?ms=5"
	}
	state := ""
	for began := time.Now(); time.Since(began) < deadlyFor; {
		s.fleet.send(s.fleet.entries[rand.IntN(len(s.fleet.entries))], http.MethodGet, target, "key-of-desk", "", 4*time.Second)
		if now := s.fleet.readRollout("order-desk"); now != state {
			state = now
			s.record.add("the rollout is %s", state)
			if state == "completed" {
				for _, r := range old {
					r.kill()
				}
			}
		}
		time.Sleep(again)
	}
	var arrivals []note
	for _, n := range s.platform.written("begins") {
		if n.Target == target {
			arrivals = append(arrivals, n)
		}
	}
	if len(arrivals) < 3 {
		return nil, fmt.Errorf("the request reached replicas %d times only", len(arrivals))
	}
	late := lateAttempts(arrivals)
	s.record.add("the request reached replicas %d times; %d attempts of its client reached some later than contactMs after the third", len(arrivals), late)
	if s.trouble && late > most {
		return []string{fmt.Sprintf("BUDGET: a request that crashes replicas reached some in %d attempts later than contactMs after it had crashed the third", late)}, nil
	}
	return nil, nil
}

// allTo reports whether the last hundred requests ran at replicas of a version.
func (s *stage) allTo(version string) bool {
	list := s.platform.written("begins")
	if len(list) < 100 {
		return false
	}
	return !slices.ContainsFunc(list[len(list)-100:], func(n note) bool { return n.Version != version })
}
