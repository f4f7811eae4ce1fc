package main

import (
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

func init() { cases["budget"] = playBudget }

const budgetRules = `{"version": 1, "routes": [
 {"name": "look", "host": "desk.example", "pathPrefix": "/look/", "kind": "idempotent", "timeoutMs": 4000, "targetLatencyMs": 300, "priority": 0, "service": "ledger", "maxAttempts": 2}],
 "services": [{"name": "ledger", "healthPath": "/healthz", "maxConnections": 100}],
 "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
 "tenants": [{"name": "shop", "apiKeys": ["key-1"]}]}`

// arrival is a request at a replica.
type arrival struct {
	at    time.Time
	again bool
}

// One half of the entry daemons and the other are killed by turns, herds times.
const (
	herds     = 8
	herdPause = 1500 * time.Millisecond
	// A replica runs a request for runTime, so that few fit, and clients send one each budgetPause.
	runTime     = 1200 * time.Millisecond
	budgetPause = 40 * time.Millisecond
)

func playBudget(p *play) (int, error) {
	f := newFleet(p.binary, p.folder, 3, 4, 284, p.record)
	p.fleet = f
	defer f.stop()
	if err := f.start(); err != nil {
		return unable, err
	}
	if err := f.order("/Config.Replace", budgetRules); err != nil {
		return unable, err
	}
	var mu sync.Mutex
	var sent []time.Time
	var arrivals []arrival
	seen := make(map[string]bool)
	for i := range 3 {
		slots := make(chan struct{}, 2)
		handle := func(s *server, conn net.Conn, r *http.Request, _ []byte) bool {
			id := r.Header.Get("Attempt-Id")
			mu.Lock()
			arrivals = append(arrivals, arrival{time.Now(), seen[id]})
			seen[id] = true
			mu.Unlock()
			select {
			case slots <- struct{}{}:
			default:
				p.printf("%s rejects %s", s.id, id)
				return s.whole(conn, r, 503, "Not-Executed: 1\r\n", "full")
			}
			p.printf("%s runs %s", s.id, id)
			time.Sleep(runTime)
			<-slots
			return s.whole(conn, r, 200, "", "fine")
		}
		if err := f.addServer(&server{id: fmt.Sprintf("i-%d", i+1), service: "ledger", slots: 2, handle: handle}, i); err != nil {
			return unable, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return unable, err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(30 * time.Second)
	var work sync.WaitGroup
	if p.trouble {
		work.Go(func() {
			time.Sleep(10 * time.Second)
			for n := range herds {
				half := f.entries[2*(n%2):][:2]
				for _, e := range half {
					e.mu.Lock()
					e.wanted = false
					e.mu.Unlock()
					e.signal(syscall.SIGKILL)
				}
				p.printf("%s and %s are killed", half[0].name, half[1].name)
				time.Sleep(300 * time.Millisecond)
				for _, e := range half {
					_ = f.launch(e)
				}
				time.Sleep(herdPause)
			}
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		e, id := f.entries[n%len(f.entries)], fmt.Sprintf("r%d", n)
		mu.Lock()
		sent = append(sent, time.Now())
		mu.Unlock()
		work.Go(func() {
			status, _ := send(e.ip, "GET", "/look/"+id, id, "key-1", "", 4*time.Second)
			p.printf("%s at %s: %d", id, e.name, status)
		})
		time.Sleep(budgetPause)
	}
	work.Wait()
	return checkBudget(p, sent, arrivals), nil
}

// checkBudget checks the retry budget in all windows that begin with a repeat.
func checkBudget(p *play, sent []time.Time, arrivals []arrival) int {
	const window, ratio, slack = 10 * time.Second, 0.2, 54
	requests := func(from time.Time) int {
		i := sort.Search(len(sent), func(i int) bool { return !sent[i].Before(from) })
		j := sort.Search(len(sent), func(i int) bool { return !sent[i].Before(from.Add(window)) })
		return j - i
	}
	worst, result := -1e9, held
	for i, first := range arrivals {
		if !first.again {
			continue
		}
		repeats := 0
		for _, a := range arrivals[i:] {
			if a.again && a.at.Before(first.at.Add(window)) {
				repeats++
			}
		}
		most := max(requests(first.at), requests(first.at.Add(-window)), requests(first.at.Add(-window/2)))
		allowed := ratio*float64(most) + slack
		if over := float64(repeats) - allowed; over > worst {
			worst = over
			p.printf("window from %.3f: %d repeats, %d requests, %.1f allowed", first.at.Sub(p.began).Seconds(), repeats, most, allowed)
		}
		if float64(repeats) > allowed {
			result = broken
		}
	}
	return result
}
