package detour

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"swiftbeam/pkg/clock"
)

// world simulates entry daemons that send requests to servers which some of them do not reach.
type world struct {
	now     clock.Instant
	random  *rand.Rand
	events  events
	leader  Registry
	daemons []*entry
	silent  bool
	down    bool // no daemon reaches the servers
	ended   int  // number of servers that have ended and are still known
	sent    []*sentRequest
	probes  int
}

type entry struct {
	name    string
	zone    string
	cut     bool
	dead    bool
	path    Path
	helpers Helpers
	room    Room
	load    int
	// ejected holds the time until which a server that failed is not tried.
	ejected [worldServers]clock.Instant
	// assisted and peak count the requests of others, and the most of them at a time.
	assisted, peak int
}

type sentRequest struct {
	by     *entry
	sentAt clock.Instant
	endAt  clock.Instant
	served bool
	around bool
	direct bool
}

type event struct {
	at clock.Instant
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	worldServers  = 9
	reportTime    = 250 * clock.Millisecond
	serviceTime   = 200 * clock.Millisecond
	roundTripTime = 3 * clock.Millisecond
)

func newWorld(seed uint64, daemons, zones int, perSecond float64) *world {
	w := &world{now: 1000, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range daemons {
		d := &entry{name: fmt.Sprint("entry-", i), zone: fmt.Sprint("zone-", i%zones)}
		d.helpers.Zone = d.zone
		w.daemons = append(w.daemons, d)
		w.leader.Register(w.now, d.name, d.name, d.zone)
		w.after(clock.Duration(w.random.IntN(int(reportTime))), func() { w.report(d) })
		w.after(w.gap(perSecond), func() { w.arrive(d, perSecond) })
	}
	return w
}

func (w *world) gap(perSecond float64) clock.Duration {
	return clock.Duration(w.random.ExpFloat64() * 1000 / perSecond)
}

func (w *world) after(d clock.Duration, do func()) { heap.Push(&w.events, event{w.now.Add(d), do}) }

func (w *world) runUntil(end clock.Instant) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) report(d *entry) {
	if !d.dead {
		var unreached []string
		if d.path.State == Cut {
			unreached = []string{"engine"}
		}
		w.leader.Report(w.now, d.name, d.load, unreached, false)
		if d.path.Suspect(w.now) && d.helpers.Due(w.now) {
			d.helpers.Learn(w.now, w.leader.Offer(w.now, d.name, unreached, w.random.IntN))
		}
	}
	w.after(reportTime, func() { w.report(d) })
}

func (w *world) arrive(d *entry, perSecond float64) {
	if !d.dead {
		r := &sentRequest{by: d, sentAt: w.now}
		w.sent = append(w.sent, r)
		w.attempt(r, &Request{Repeatable: w.random.IntN(2) == 0, Draw: w.random.Float64()}, nil)
	}
	w.after(w.gap(perSecond), func() { w.arrive(d, perSecond) })
}

func (w *world) end(r *sentRequest, served bool) { r.served, r.endAt = served, w.now }

// connect calls done with the result of a connection to a random server, once it is known.
func (w *world) connect(d *entry, done func(ok bool)) {
	startedAt := w.now
	server := w.pickServer(d)
	if !d.cut && !w.down && server >= w.ended {
		w.after(roundTripTime, func() {
			d.path.Opened(w.now)
			done(true)
		})
		return
	}
	took := roundTripTime
	silent := w.silent && d.cut
	if silent {
		took = 800 * clock.Millisecond
		if d.path.Suspect(w.now) {
			took = 300 * clock.Millisecond
		}
	}
	w.after(took, func() {
		d.ejected[server] = w.now.Add(ejectionTime)
		if d.path.Failed(Failure{Server: fmt.Sprint("i-", server), StartedAt: startedAt, At: w.now, Silent: silent}, worldServers) {
			w.probe(d)
		}
		done(false)
	})
}

// ejectionTime is how long a server that could not be connected to is not tried, unless most are ejected.
const ejectionTime = clock.Second

func (w *world) pickServer(d *entry) int {
	var usable []int
	for i, until := range d.ejected {
		if until <= w.now {
			usable = append(usable, i)
		}
	}
	if len(usable) < worldServers/2 {
		return w.random.IntN(worldServers)
	}
	return usable[w.random.IntN(len(usable))]
}

func (w *world) probe(d *entry) {
	if d.path.State != Cut {
		return
	}
	if d.path.ProbeDue(w.now) {
		w.probes++
		if !d.cut && !w.down {
			d.path.Opened(w.now)
			return
		}
	}
	w.after(100*clock.Millisecond, func() { w.probe(d) })
}

func (w *world) attempt(r *sentRequest, q *Request, tried []string) {
	d := r.by
	if q.Unreached > 4 {
		w.end(r, false)
		return
	}
	switch d.path.Choose(w.now, *q) {
	case Nowhere:
		w.end(r, false)
		return
	case Around:
		if d.helpers.Known() == 0 {
			if d.helpers.Due(w.now) {
				d.helpers.Learn(w.now, w.leader.Offer(w.now, d.name, []string{"engine"}, w.random.IntN))
			}
		}
		if d.helpers.Known() > 0 {
			w.attemptAround(r, q, tried)
			return
		}
		if d.path.State == Cut && d.helpers.NoneReaches(w.now) {
			d.path.NobodyReached(w.now)
		}
	}
	w.attemptDirect(r, q, tried)
}

func (w *world) attemptDirect(r *sentRequest, q *Request, tried []string) {
	d := r.by
	r.direct = true
	w.connect(d, func(ok bool) {
		if !ok {
			q.Unreached++
			w.attempt(r, q, tried)
			return
		}
		openedAt := w.now
		d.load++
		w.after(serviceTime, func() {
			d.load--
			d.path.Answered(w.now, openedAt)
			w.end(r, true)
		})
	})
}

// connectTwice tries another server if the first one fails.
func (w *world) connectTwice(d *entry, done func(ok bool)) {
	w.connect(d, func(ok bool) {
		if ok || d.path.State == Cut {
			done(ok)
			return
		}
		w.connect(d, done)
	})
}

func (w *world) attemptAround(r *sentRequest, q *Request, tried []string) {
	d := r.by
	helper, ok := d.helpers.Choose(w.now, w.random.Uint64(), tried)
	if !ok || len(tried) >= 3 {
		if d.path.State == Cut {
			if d.helpers.NoneReaches(w.now) {
				d.path.NobodyReached(w.now)
			}
			w.end(r, false)
			return
		}
		w.attemptDirect(r, q, tried)
		return
	}
	r.around = true
	d.helpers.Sent(w.now, helper.Name)
	tried = append(tried, helper.Name)
	finish := func(o Outcome) {
		d.helpers.Done(w.now, helper.Name, o)
		switch o {
		case Answered:
			d.path.Helped(w.now)
			w.end(r, true)
		case Unreached:
			if d.helpers.NoneReaches(w.now) {
				d.path.NobodyReached(w.now)
			}
			w.attempt(r, q, tried)
		default:
			w.attempt(r, q, tried)
		}
	}
	w.after(roundTripTime, func() {
		var h *entry
		for _, o := range w.daemons {
			if o.name == helper.Name {
				h = o
			}
		}
		switch {
		case h.dead:
			w.after(500*clock.Millisecond, func() { finish(Failed) })
			return
		case !h.room.Take(0, 0):
			finish(NoRoom)
			return
		case h.path.State == Cut:
			h.room.Release(0)
			finish(Unreached)
			return
		}
		h.assisted++
		h.peak = max(h.peak, h.room.Requests())
		w.connectTwice(h, func(ok bool) {
			if !ok {
				h.room.Release(0)
				finish(Unreached)
				return
			}
			h.load++
			w.after(serviceTime, func() {
				h.load--
				h.room.Release(0)
				finish(Answered)
			})
		})
	})
}

// served returns the share of the requests that were served, of those sent in a time by selected daemons.
func (w *world) served(from, to clock.Instant, selected func(*entry) bool) float64 {
	sent, served := 0, 0
	for _, r := range w.sent {
		if r.sentAt < from || r.sentAt >= to || !selected(r.by) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// sizes are the deployments of the tests: few daemons in four zones and many in six.
var sizes = []struct {
	daemons, zones int
	perSecond      float64
}{{6, 4, 10}, {295, 6, 4}}

// TestCutOffDaemonsAreServedByOthers cuts daemons off: one, all of a zone, half, and five of six.
func TestCutOffDaemonsAreServedByOthers(t *testing.T) {
	cuts := map[string]func(i int, d *entry) bool{
		"one":  func(i int, _ *entry) bool { return i == 0 },
		"zone": func(_ int, d *entry) bool { return d.zone == "zone-1" },
		"half": func(i int, _ *entry) bool { return i%2 == 0 },
		"most": func(i int, _ *entry) bool { return i%6 != 0 },
	}
	for _, size := range sizes {
		for name, cut := range cuts {
			for _, silent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d/%s/silent=%t", size.daemons, name, silent), func(t *testing.T) {
					w := newWorld(7, size.daemons, size.zones, size.perSecond)
					w.silent = silent
					w.runUntil(3000)
					cutOff := 0
					for i, d := range w.daemons {
						if d.cut = cut(i, d); d.cut {
							cutOff++
						}
					}
					w.runUntil(16_000)
					for _, d := range w.daemons {
						d.cut = false
					}
					healedAt := w.now
					w.runUntil(22_000)
					isCut := func(d *entry) bool { return cut(indexOf(w, d), d) }
					if got := w.served(6000, 15_000, isCut); got < 0.9 {
						t.Errorf("served by daemons that are cut off: got %.3f, want at least 0.9", got)
					}
					if got := w.served(6000, 15_000, func(d *entry) bool { return !isCut(d) }); got < 0.99 {
						t.Errorf("served by the others: got %.3f, want at least 0.99", got)
					}
					w.checkSpread(t, cutOff)
					if most := 3 * 13 * cutOff; w.probes > most {
						t.Errorf("probes in 13 s by %d daemons: got %d, want at most %d", cutOff, w.probes, most)
					}
					around := 0
					for _, r := range w.sent {
						if r.around && r.sentAt > healedAt+3000 {
							around++
						}
					}
					if around > 0 {
						t.Errorf("requests through helpers from 3 s after the cut: got %d, want 0", around)
					}
				})
			}
		}
	}
}

func indexOf(w *world, d *entry) int {
	for i, o := range w.daemons {
		if o == d {
			return i
		}
	}
	return -1
}

// checkSpread checks that no helper got much more than the mean of them.
func (w *world) checkSpread(t *testing.T, cutOff int) {
	t.Helper()
	total, most := 0, 0
	for _, d := range w.daemons {
		total += d.assisted
		most = max(most, d.assisted)
	}
	mean := float64(total) / float64(len(w.daemons)-cutOff)
	if cutOff > len(w.daemons)/8 && float64(most) > 4*mean+20 {
		t.Errorf("requests at the busiest helper: got %d, want at most 4 times the mean %.1f", most, mean)
	}
}

// TestDeadHelpersAreAvoided kills half of the helpers in a cut.
func TestDeadHelpersAreAvoided(t *testing.T) {
	for _, size := range sizes {
		w := newWorld(3, size.daemons, size.zones, size.perSecond)
		w.runUntil(3000)
		w.daemons[0].cut = true
		w.runUntil(8000)
		for i, d := range w.daemons {
			d.dead = i%2 == 1
		}
		w.runUntil(16_000)
		own := func(d *entry) bool { return d == w.daemons[0] }
		if got := w.served(11_000, 15_000, own); got < 0.9 {
			t.Errorf("%d daemons: served from 3 s after helpers died: got %.3f, want at least 0.9", size.daemons, got)
		}
	}
}

// TestEndedServersCostNoDetours ends nearly half of the servers, which refuse connections and are known still. Nearly all
// requests must go directly, and all must be served.
func TestEndedServersCostNoDetours(t *testing.T) {
	for _, size := range sizes {
		w := newWorld(9, size.daemons, size.zones, size.perSecond)
		w.runUntil(3000)
		w.ended = worldServers / 2
		w.runUntil(13_000)
		if got := w.served(3000, 12_000, func(*entry) bool { return true }); got < 0.98 {
			t.Errorf("%d daemons: served: got %.3f, want at least 0.98", size.daemons, got)
		}
		around, sent := 0, 0
		for _, r := range w.sent {
			if r.sentAt >= 4000 {
				sent++
				if r.around {
					around++
				}
			}
		}
		// Servers are tried again each second, so that two attempts in a row fail for some requests.
		if around > sent/5 {
			t.Errorf("%d daemons: requests through helpers: got %d of %d, want at most a fifth", size.daemons, around, sent)
		}
	}
}

// TestServersThatAreDownAreNotACut takes all servers down. Requests are refused soon, and served directly soon
// after the servers are back.
func TestServersThatAreDownAreNotACut(t *testing.T) {
	for _, size := range sizes {
		w := newWorld(5, size.daemons, size.zones, size.perSecond)
		w.runUntil(3000)
		w.down = true
		w.runUntil(8000)
		w.down = false
		w.runUntil(12_000)
		all := func(*entry) bool { return true }
		if got := w.served(9000, 11_500, all); got < 0.99 {
			t.Errorf("%d daemons: served from 1 s after the servers are back: got %.3f, want at least 0.99", size.daemons, got)
		}
		late, sent, around := 0, 0, 0
		for _, r := range w.sent {
			if r.sentAt >= 5000 && r.sentAt < 7500 {
				sent++
				if r.endAt-r.sentAt > 100 {
					late++
				}
			}
			if r.around && r.sentAt >= 9000 {
				around++
			}
		}
		if late > sent/10 {
			t.Errorf("%d daemons: refused after more than 100 ms: got %d of %d, want at most a tenth", size.daemons, late, sent)
		}
		if around > 0 {
			t.Errorf("%d daemons: requests through helpers after the servers are back: got %d, want 0", size.daemons, around)
		}
	}
}
