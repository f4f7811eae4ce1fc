package core

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

const (
	// crashBatchDelay is how long evidence of crashes waits for that of other daemons, as several observe
	// the end of a server.
	crashBatchDelay = 20 * clock.Millisecond
	// crashInterval is the interval at which the leader checks which traits are to be blocked.
	crashInterval = 200 * clock.Millisecond
	// maxQueuedEnds bounds the ends that wait to be committed. Daemons repeat those that are dropped.
	maxQueuedEnds = 256
)

// crashQueue contains the evidence of crashes that the leader has received and not committed yet.
type crashQueue struct {
	added chan struct{}

	mu     sync.Mutex
	queued crash.Evidence
}

// add queues the evidence that is not queued yet.
func (q *crashQueue) add(e crash.Evidence) {
	if e.Empty() {
		return
	}
	q.mu.Lock()
	for _, end := range e.Ends {
		same := func(o crash.End) bool { return o.Server == end.Server && o.Daemon == end.Daemon }
		if len(q.queued.Ends) < maxQueuedEnds && !slices.ContainsFunc(q.queued.Ends, same) {
			q.queued.Ends = append(q.queued.Ends, end)
		}
	}
	for _, s := range e.Successes {
		if !slices.ContainsFunc(q.queued.Successes, func(o crash.Success) bool { return o.Trait == s.Trait && o.SentAt >= s.SentAt && o.At >= s.At }) {
			q.queued.Successes = append(q.queued.Successes, s)
		}
	}
	for _, t := range e.Trials {
		if !slices.ContainsFunc(q.queued.Trials, func(o crash.Trial) bool { return o.Trait == t.Trait }) {
			q.queued.Trials = append(q.queued.Trials, t)
		}
	}
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// take returns the queued evidence and empties the queue.
func (q *crashQueue) take() crash.Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.queued
	q.queued = crash.Evidence{}
	return e
}

// recordCrashes commits evidence of crashes until ctx ends, if this daemon is the leader. The table in the
// replicated state decides on it.
func (c *Core) recordCrashes(ctx context.Context) {
	for ctx.Err() == nil {
		wait, cancel := context.WithTimeout(ctx, crashInterval.Std())
		select {
		case <-c.crashes.added:
			runner.Pause(ctx, crashBatchDelay)
		case <-wait.Done():
		}
		cancel()
		if evidence := c.crashes.take(); c.isLeader() && !c.draining.Load() {
			c.commitCrashes(ctx, &evidence)
		}
	}
}

// commitCrashes commits the evidence that is new. Without any, it commits only if a trait is to be blocked.
func (c *Core) commitCrashes(ctx context.Context, e *crash.Evidence) {
	now := c.Follower.ClusterTime()
	traffic := c.crashTraffic(e)
	var news crash.Evidence
	due := false
	c.Store.View(func(s *state.State) {
		news = s.Crashes.Filter(now, e)
		due = s.Crashes.Due(now, func(service string) crash.Traffic { return traffic[service] })
	})
	if news.Empty() && !due {
		return
	}
	for _, t := range traffic {
		news.Traffic = append(news.Traffic, t)
	}
	slices.SortFunc(news.Traffic, func(a, b crash.Traffic) int { return cmp.Compare(a.Service, b.Service) })
	before := c.blockedTraits()
	result, err := c.propose(ctx, state.RecordCrashes{At: now, Evidence: news})
	c.log.Info("crashes recorded", "ends", len(news.Ends), "successes", len(news.Successes), "trials", len(news.Trials), "revision", result.Version, "error", errorText(err))
	if err != nil {
		return
	}
	for trait, r := range c.blockedTraits() {
		if _, known := before[trait]; !known {
			c.log.Info("requests blocked that crash servers", "service", r.Service, "name", r.Name, "trait", trait.String(), "ends", r.Ends(), "broken", r.Broken,
				"sinceMs", int64(now.Sub(r.FirstEnd)), "proven", r.Proven, "revision", r.Revision)
		}
	}
}

// crashTraffic returns the traffic of the services in the table and in the evidence. Where this daemon does
// not know it yet, it is that in the table.
func (c *Core) crashTraffic(e *crash.Evidence) map[string]crash.Traffic {
	traffic := make(map[string]crash.Traffic)
	c.Store.View(func(s *state.State) {
		for service := range s.Crashes.Services(e) {
			traffic[service] = crash.Traffic{Service: service, PerSecond: s.Crashes.Traffic[service].PerSecond, Completed: s.Crashes.Traffic[service].Completed}
		}
	})
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, known := range traffic {
		m := c.duties.services[service]
		if m == nil {
			continue
		}
		t := crash.Traffic{Service: service, PerSecond: m.rate(now, &m.sent), Completed: m.completed}
		if t.PerSecond == 0 {
			t.PerSecond = known.PerSecond
		}
		traffic[service] = t
	}
	return traffic
}

// blockedTraits returns the blocked traits.
func (c *Core) blockedTraits() map[crash.Trait]crash.Record {
	blocked := make(map[crash.Trait]crash.Record)
	c.Store.View(func(s *state.State) {
		for trait, r := range s.Crashes.Records {
			if r.Blocked() {
				blocked[trait] = *r
			}
		}
	})
	return blocked
}

// crashChanges returns the changes of the traits of requests that crash servers since a revision.
func (c *Core) crashChanges(since uint64) crash.Changes {
	var changes crash.Changes
	c.Store.View(func(s *state.State) { changes = s.Crashes.Since(since) })
	return changes
}
