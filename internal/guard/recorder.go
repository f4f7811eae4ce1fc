package guard

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/go-logr/logr"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/ring"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

const (
	// batchDelay is how long evidence waits for that of other daemons, as several observe the end of a server.
	batchDelay = 20 * clock.Millisecond
	// decideInterval is the interval at which the leader checks which traits are to be blocked.
	decideInterval = 200 * clock.Millisecond
	// maxQueuedEnds bounds the ends that wait to be committed. Daemons repeat those that are dropped.
	maxQueuedEnds = 256
)

// Recorder commits evidence of crashes while this daemon is the leader. Set the exported fields before use.
type Recorder struct {
	Log logr.Logger
	// Now returns the time that the daemons agree on.
	Now func() clock.Instant
	// Leads reports whether this daemon is the leader.
	Leads   func() bool
	View    func(f func(*state.State))
	Propose func(ctx context.Context, body state.Body) (state.Result, error)
	// AnnouncedAt returns the time up to which announcements of a start of a server, which its ends name, have arrived;
	// zero if there are none.
	AnnouncedAt func(service, startID string) clock.Instant
	// Traffic returns the traffic of a service as far as this daemon knows it; unknown values are zero.
	Traffic func(service string) crash.Traffic

	mu     sync.Mutex
	queued crash.Evidence
	checks crash.Checker
	added  *ring.Ring[struct{}]
}

// Add queues evidence to be committed, unless it is queued already.
func (r *Recorder) Add(e crash.Evidence) {
	if e.Empty() {
		return
	}
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checks.Add(now, e.Ends)
	r.checks.Found(now, e.Survivors)
	for _, end := range e.Ends {
		same := func(o crash.End) bool { return o.Server == end.Server && o.Daemon == end.Daemon }
		if i := slices.IndexFunc(r.queued.Ends, same); i >= 0 {
			r.queued.Ends[i] = end
		} else if len(r.queued.Ends) < maxQueuedEnds {
			r.queued.Ends = append(r.queued.Ends, end)
		}
	}
	for _, s := range e.Successes {
		later := func(o crash.Success) bool { return o.Trait == s.Trait && o.SentAt >= s.SentAt && o.At >= s.At }
		if !slices.ContainsFunc(r.queued.Successes, later) {
			r.queued.Successes = append(r.queued.Successes, s)
		}
	}
	for _, t := range e.Trials {
		if !slices.ContainsFunc(r.queued.Trials, func(o crash.Trial) bool { return o.Trait == t.Trait }) {
			r.queued.Trials = append(r.queued.Trials, t)
		}
	}
	r.signalLocked().Offer(struct{}{})
}

// Checks returns the servers that a daemon is to check, as others reported their ends.
func (r *Recorder) Checks(daemon string) []crash.Check {
	now := r.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checks.Next(now, daemon)
}

func (r *Recorder) signalLocked() *ring.Ring[struct{}] {
	if r.added == nil {
		r.added = ring.New[struct{}](1)
	}
	return r.added
}

// Run commits evidence until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	r.mu.Lock()
	added := r.signalLocked()
	r.mu.Unlock()
	for ctx.Err() == nil {
		wait, cancel := context.WithTimeout(ctx, decideInterval.Std())
		if _, err := added.Take(wait); err == nil {
			runner.Pause(ctx, batchDelay)
		}
		cancel()
		if e := r.take(); r.Leads() {
			r.commit(ctx, &e)
		}
	}
}

// take returns the queued evidence and empties the queue.
func (r *Recorder) take() crash.Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.queued
	r.queued = crash.Evidence{}
	return e
}

// commit commits the evidence that is new. Without any, it commits only if a trait is to be blocked.
func (r *Recorder) commit(ctx context.Context, e *crash.Evidence) {
	now := r.Now()
	traffic := r.traffic(e)
	r.mu.Lock()
	seenAt := r.checks.Survivors()
	r.mu.Unlock()
	announcedAt := r.announcements()
	var news crash.Evidence
	empty := false
	r.View(func(s *state.State) {
		e.Survivors = s.Crashes.Survivors(seenAt, func(_, server string) clock.Instant { return announcedAt[server] })
		ofService := func(service string) crash.Traffic { return traffic[service] }
		e.Ends = append(e.Ends, s.Crashes.Copies(now, ofService)...)
		news = s.Crashes.Filter(now, e)
		if empty = news.Empty() && !s.Crashes.Due(now, ofService); empty {
			return
		}
		for _, t := range traffic {
			news.Traffic = append(news.Traffic, t)
		}
		slices.SortFunc(news.Traffic, func(a, b crash.Traffic) int { return cmp.Compare(a.Service, b.Service) })
		s.Crashes.Explain(now, &news)
	})
	if empty {
		return
	}
	before := r.blocked()
	result, err := r.Propose(ctx, state.RecordCrashes{At: now, Evidence: news})
	message := ""
	if err != nil {
		message = err.Error()
	}
	r.Log.Info("crashes recorded", "ends", len(news.Ends), "successes", len(news.Successes), "trials", len(news.Trials), "survivors", news.Survivors, "revision", result.Version, "error", message)
	if err != nil {
		return
	}
	for trait, b := range r.blocked() {
		if _, known := before[trait]; !known {
			r.Log.Info("requests blocked that crash servers", "service", b.Service, "kind", b.Kind.String(), "name", b.Name, "trait", trait.String(), "ends", b.Ends(), "broken", b.Broken,
				"sinceMs", int64(now.Sub(b.FirstEnd)), "proven", b.Proven, "revision", b.Revision)
		}
	}
}

// announcements returns the times up to which announcements of the servers with ends have arrived. AnnouncedAt is not called
// while the state is locked: others read the state while they hold the lock that it needs.
func (r *Recorder) announcements() map[string]clock.Instant {
	var ended map[string]string
	r.View(func(s *state.State) { ended = s.Crashes.EndedServers() })
	announcedAt := make(map[string]clock.Instant, len(ended))
	for server, service := range ended {
		announcedAt[server] = r.AnnouncedAt(service, server)
	}
	return announcedAt
}

// traffic returns the traffic of the services in the table and in the evidence. Where this daemon does not
// know it yet, it is that in the table.
func (r *Recorder) traffic(e *crash.Evidence) map[string]crash.Traffic {
	traffic := make(map[string]crash.Traffic)
	r.View(func(s *state.State) {
		for service := range s.Crashes.Services(e) {
			traffic[service] = s.Crashes.Traffic[service]
		}
	})
	for service, known := range traffic {
		t := r.Traffic(service)
		t.Service = service
		if t.PerSecond == 0 {
			t.PerSecond = known.PerSecond
		}
		if t.Completed == 0 {
			t.Completed = known.Completed
		}
		traffic[service] = t
	}
	return traffic
}

// blocked returns the blocked records.
func (r *Recorder) blocked() map[crash.Trait]crash.Record {
	blocked := make(map[crash.Trait]crash.Record)
	r.View(func(s *state.State) {
		for trait, b := range s.Crashes.Records {
			if b.Blocked() {
				blocked[trait] = *b
			}
		}
	})
	return blocked
}
