package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Doses of the disruptions of case "resume", at most those of the site file: of nine servers, one at a time is grey (a
// share of 0.11) for 6.5 s and fails 0.45 of its requests, and one at a time crashes for 4.5 s. Each cycle takes the next
// servers.
const (
	greyFailures = 0.45
	crashTime    = 4500 * time.Millisecond
	greyTime     = 6500 * time.Millisecond
	firstCrash   = 500 * time.Millisecond
	secondCrash  = 5200 * time.Millisecond
	cycleTime    = 10 * time.Second
	resumeTime   = 86 * time.Second
	// draftEvents is the number of events of a draft.
	draftEvents = 76
)

func init() {
	cases["resume"] = struct {
		plan plan
		run  caseFunc
	}{
		plan: plan{cores: 5, entries: 7, services: []servicePlan{{
			name: "luthier-model", servers: 9, slots: 64, engine: true, events: draftEvents, eventTime: 90 * time.Millisecond,
			routes: []routePlan{{name: "dossier-draft", prefix: "/draft/", kind: "streaming", timeout: 15000, attempts: 2, sticky: true, resumable: true}},
		}}},
		run: runResume,
	}
}

// runResume lets servers crash in the middle of streams while one server has lost its model: its health check is good,
// and it answers part of the requests with 404.
func runResume(d *deployment, trouble bool) ([]string, error) {
	// grey is the address of the server that is grey now; empty for none.
	var grey atomic.Value
	grey.Store("")
	var resumed atomic.Int64
	d.setBehaviour(func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) bool {
		id, last := r.Header.Get("Attempt-Id"), r.Header.Get("Last-Event-Id")
		if last != "" {
			resumed.Add(1)
			d.note("server %s gets %s again, after event %s", s.id, id, last)
		}
		if s.address != grey.Load() || rand.Float64() >= greyFailures {
			return false
		}
		d.note("server %s answers %s with 404", s.id, id)
		const text = `{"error":"model m is not loaded"}`
		w.Header().Set("Replica-Signature", "3e1b."+s.id+"."+id)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write([]byte(text))
		return true
	})
	var mu sync.Mutex
	var short []string
	var whole, cut, failed int
	check := func(id string, p reply) {
		mu.Lock()
		defer mu.Unlock()
		events := strings.Count(p.body, "\n\n")
		switch {
		case p.status != http.StatusOK:
			failed++
		case !p.complete:
			cut++
			d.note("stream %s is cut after %d events: %v", id, events, p.err)
		case events < draftEvents:
			short = append(short, id)
			d.note("stream %s ends as complete after %d of %d events", id, events, draftEvents)
		default:
			whole++
		}
	}
	t := d.startTraffic(12.7, func(i int) request {
		return request{
			method: http.MethodPost, path: fmt.Sprintf("/draft/%x", i), body: fmt.Sprintf("wood %d", i), tokens: "11992,380",
			prefix: fmt.Sprintf("5c1e07a2:512,%x:4870,a%x:6610", 0x100+i%126, i), deadline: 15 * time.Second, check: check,
		}
	})
	began := time.Now()
	servers := d.plan.services[0].servers
	crash := func(n int) {
		if s := d.runningServer(n % servers); s != nil {
			d.note("server %s crashes", s.id)
			s.crashFor(crashTime)
		}
	}
	for n := 0; trouble && time.Since(began)+cycleTime <= resumeTime; n += 3 {
		cycle := time.Now()
		if s := d.runningServer(n % servers); s != nil {
			grey.Store(s.address)
			d.note("server %s turns grey", s.id)
		}
		time.Sleep(firstCrash)
		crash(n + 1)
		time.Sleep(secondCrash - time.Since(cycle))
		crash(n + 2)
		time.Sleep(greyTime - time.Since(cycle))
		grey.Store("")
		d.note("no server is grey")
		time.Sleep(cycleTime - time.Since(cycle))
	}
	time.Sleep(max(resumeTime-time.Since(began), 0))
	t.stop()
	d.note("streams: %d whole, %d cut, %d other answers, %d ended as complete before their last event; %d sent again", whole, cut, failed, len(short), resumed.Load())
	if len(short) > 0 {
		return []string{fmt.Sprintf("ORDER: %d streams ended as complete before their last event (%d whole, %d cut, %d resumed), the first %s", len(short), whole, cut, resumed.Load(), short[0])}, nil
	}
	if trouble && resumed.Load() == 0 {
		return nil, fmt.Errorf("no stream was resumed")
	}
	if !trouble && (cut > 0 || failed > 0) {
		return nil, fmt.Errorf("without trouble, %d streams were cut and %d failed", cut, failed)
	}
	return nil, nil
}
