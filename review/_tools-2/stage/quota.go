package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// playQuota has a tenant that sends several times its quota, at first through one entry daemon, as the platform's hash of
// the client decides. That daemon and the core daemon that acted last are killed at the same moment, and are back shortly
// after. The clients go on through the other entry daemons.
func playQuota(s *stage) ([]string, error) {
	const (
		rate, burst  = 298970, 298970
		windowS      = 8
		overrun      = 0.1
		slack        = 140000
		clients      = 48
		beforeKill   = 4 * time.Second
		downFor      = 2 * time.Second
		afterKill    = 8 * time.Second
		tokensOfSize = 11992 + 380
	)
	for i := range 4 {
		if _, err := s.platform.start("dil-sunucu", zones[i], "v1", s.address(0, i), false); err != nil {
			return nil, err
		}
	}
	config := object{
		"version": 1, "limits": limits,
		"routes": []object{{
			"name": "r-draft", "host": "ficu95.example", "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 1200, "priority": 0,
			"service": "dil-sunucu", "maxAttempts": 2, "anonymous": false, "sticky": true, "resumable": true, "targetGapMs": 800,
		}},
		"services": []object{{"name": "dil-sunucu", "healthPath": "/healthz", "maxConnections": 310, "protocol": "h1", "tls": false}},
		"tenants": []object{
			{"name": "hot", "apiKeys": []string{"key-of-hot"}, "unit": "tokens", "uncachedTokens": 200, "ratePerS": rate, "burst": burst},
			{"name": "calm", "apiKeys": []string{"key-of-calm"}, "unit": "tokens", "uncachedTokens": 200, "ratePerS": rate, "burst": burst},
		},
	}
	headers := "Model: m\r\nToken-Count: 11992,380\r\nPrefix-Hash: 5c1e07a2:5382,91bd3f06:6610\r\n"
	if err := s.begin(config, http.MethodPost, "/draft/first?n=2&gap=5", "key-of-calm", headers); err != nil {
		return nil, err
	}
	// The deployment runs for longer than a window of quotas before the load begins.
	time.Sleep((windowS + 1) * time.Second)
	var sent sync.Map
	var down atomic.Bool
	done := make(chan struct{})
	var work sync.WaitGroup
	client := func(key string, pause time.Duration, entry func() *daemon) {
		work.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				a := s.fleet.send(entry(), http.MethodPost, fmt.Sprintf("/draft/%s?n=3&gap=30", key), key, headers, 5*time.Second)
				sent.Store(a.id, a.sentAt)
				time.Sleep(max(pause, min(a.retryAfter, 500*time.Millisecond)))
			}
		})
	}
	others := s.fleet.entries[1:]
	for c := range clients {
		client("key-of-hot", 20*time.Millisecond, func() *daemon {
			if down.Load() {
				return others[c%len(others)]
			}
			return s.fleet.entries[0]
		})
	}
	for _, e := range s.fleet.entries {
		client("key-of-calm", 250*time.Millisecond, func() *daemon { return e })
	}
	time.Sleep(beforeKill)
	if s.trouble {
		var leader *daemon
		for _, c := range s.fleet.cores {
			if c.name == s.fleet.cloud.last() {
				leader = c
			}
		}
		if leader == nil {
			close(done)
			return nil, fmt.Errorf("no core daemon has acted")
		}
		hit := []*daemon{s.fleet.entries[0], leader}
		s.record.add("%s and %s are killed", hit[0].name, hit[1].name)
		down.Store(true)
		for _, d := range hit {
			d.kill()
		}
		time.Sleep(downFor)
		for _, d := range hit {
			if err := s.fleet.start(d, false); err != nil {
				close(done)
				return nil, err
			}
		}
	}
	time.Sleep(afterKill)
	close(done)
	work.Wait()
	// A request counts in a window in which it was both sent and began to run.
	type run struct {
		sent, ran time.Time
		tokens    int
	}
	var runs []run
	counted := make(map[string]bool)
	for _, n := range s.platform.written("begins") {
		if at, ok := sent.Load(n.Request); ok && n.Tenant == "hot" && !counted[n.Request] {
			counted[n.Request] = true
			runs = append(runs, run{sent: at.(time.Time), ran: time.Unix(0, n.At), tokens: n.Tokens})
		}
	}
	slices.SortFunc(runs, func(a, b run) int { return a.sent.Compare(b.sent) })
	allowed := float64(rate*windowS+burst)*(1+overrun) + slack
	most, from := 0, time.Time{}
	for _, first := range runs {
		sum := 0
		for _, r := range runs {
			if !r.sent.Before(first.sent) && !r.ran.After(first.sent.Add(windowS*time.Second)) {
				sum += r.tokens
			}
		}
		if sum > most {
			most, from = sum, first.sent
		}
	}
	s.record.add("at most %d tokens of the tenant were sent and run in %d s, from %.3f on; allowed are %.0f; %d requests of %d tokens ran", most, windowS, s.record.since(from), allowed, len(runs), tokensOfSize)
	if len(runs) < 50 {
		return nil, fmt.Errorf("only %d requests of the tenant ran", len(runs))
	}
	if float64(most) > allowed {
		return []string{fmt.Sprintf("QUOTA: %d tokens of one tenant were sent and run in %d s; allowed are %.0f", most, windowS, allowed)}, nil
	}
	return nil, nil
}
