package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playLeaving has streams of replicas that the platform reclaims. A stream in three has neither a length nor chunks and ends
// with its connection. Half of the replicas are spot replicas of one zone: they say that they are draining, and are taken
// away leavesIn later, while some of their streams run.
func playLeaving(s *stage) ([]string, error) {
	const (
		pieces, gap = 100, 60 // a stream takes 6 s
		leavesIn    = 2500 * time.Millisecond
		clients     = 80
	)
	var spot []*server
	for i := range 6 {
		zone := zones[i%2]
		r, err := s.platform.start("luthier-model", zone, "v1", s.address(0, i), zone == zones[0])
		if err != nil {
			return nil, err
		}
		if zone == zones[0] {
			spot = append(spot, r)
		}
	}
	config := object{
		"version": 1, "limits": limits,
		"routes": []object{{
			"name": "r-draft", "host": "ficu95.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 1200, "priority": 1,
			"service": "luthier-model", "maxAttempts": 1, "anonymous": false, "sticky": true, "resumable": false, "targetGapMs": 800,
		}},
		"services": []object{{"name": "luthier-model", "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false}},
		"tenants":  []object{{"name": "desk", "apiKeys": []string{"key-of-desk"}}},
	}
	const headers = "Model: m\r\nToken-Count: 120,380\r\nPrefix-Hash: 5c1e07a2:100,91bd3f06:20\r\n"
	if err := s.begin(config, http.MethodPost, "/draft/first?n=2&gap=5", "key-of-desk", headers); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var breaks []string
	whole, cut, closing := 0, 0, 0
	end := time.Now().Add(14 * time.Second)
	var work sync.WaitGroup
	for c := range clients {
		work.Go(func() {
			time.Sleep(time.Duration(c) * 50 * time.Millisecond)
			for i := c; time.Now().Before(end); i++ {
				target := fmt.Sprintf("/draft/%d-%d?n=%d&gap=%d", c, i, pieces, gap)
				unmarked := i%3 == 0
				if unmarked {
					target += "&end=close"
				}
				a := s.fleet.send(s.fleet.entries[i%len(s.fleet.entries)], http.MethodPost, target, "key-of-desk", headers, 15*time.Second)
				last, err := a.lastPiece()
				mu.Lock()
				if unmarked && a.status == 200 {
					closing++
				}
				switch {
				case a.status != 200:
				case a.err != nil:
					cut++
				case err != nil:
					breaks = append(breaks, fmt.Sprintf("ORDER: request %s: %v", a.id, err))
				case last != pieces-1:
					breaks = append(breaks, fmt.Sprintf("ORDER: the stream of request %s ended as complete after piece %d of 0 to %d", a.id, last, pieces-1))
				default:
					whole++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(6 * time.Second)
	if s.trouble {
		s.record.add("the platform reclaims the spot replicas of zone %s in %v", zones[0], leavesIn)
		for _, r := range spot {
			r.leave(leavesIn)
		}
		time.Sleep(leavesIn)
		for _, r := range spot {
			r.kill()
		}
	}
	work.Wait()
	s.record.add("%d streams were whole, %d broke off and did not look complete, %d ended as complete before their last piece; %d had neither length nor chunks", whole, cut, len(breaks), closing)
	if whole == 0 || closing == 0 || s.trouble && cut+len(breaks) == 0 {
		return nil, fmt.Errorf("nothing was shown: %d streams were whole, %d cut", whole, cut)
	}
	return breaks, nil
}
