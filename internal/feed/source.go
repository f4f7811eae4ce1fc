// Package feed brings the state of the core daemons to the entry daemons and their load back.
// Each core daemon is a Source; each entry daemon follows all of them, so that it goes on learning
// while any one is within reach, and keeps what is newest:
//
//	source.Publish(record, true)                  // at a core daemon
//	follower.Run(ctx)                             // at an entry daemon; calls OnEvent
//
// A stream begins with the whole state and goes on with changes; without changes a sign of life
// comes at each interval. A follower that misses those connects anew.
package feed

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"connectrpc.com/connect"

	"swiftbeam/internal/enrol"
	"swiftbeam/internal/state"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

const (
	// signEvery is the interval of signs of life, and SilentAfter the time without one after which
	// a stream counts as dead: three signs and a delay on a busy machine.
	signEvery     = 400 * clock.Millisecond
	StreamTimeout = 1500 * clock.Millisecond
	// gather is how long changes wait for others to travel with.
	gather = 5 * clock.Millisecond
)

// Shared is the replicated state that followers learn.
type Shared struct {
	Rules    state.Rules
	Cores    []string
	Leader   string
	Rollouts []*state.Rollout
}

// Source streams to followers. Set the exported fields before use.
type Source struct {
	Clock     clock.Clock
	WallClock *WallClock
	// Shared returns the present replicated state.
	Shared func() Shared

	mu       sync.Mutex
	revision uint64
	records  map[string]*published
	changed  chan struct{}
	entries  map[string]int
}

// published is a record with the revisions of its last change and last announcement.
type published struct {
	record enrol.Record
	change uint64
	beat   uint64
}

// Publish takes a record. Entry daemons are sent those with a change, core daemons all.
func (s *Source) Publish(r *enrol.Record, change bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records == nil {
		s.records = make(map[string]*published)
	}
	s.revision++
	p := s.records[r.ID]
	if p == nil {
		p = &published{change: s.revision}
		s.records[r.ID] = p
	}
	p.record = *r
	p.beat = s.revision
	if change {
		p.change = s.revision
		s.wakeLocked()
	}
}

// Remove drops a record that has outlived its use.
func (s *Source) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, id)
}

// Notify sends changes of the shared state to all followers.
func (s *Source) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLocked()
}

func (s *Source) wakeLocked() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Entries returns the number of entry daemons that follow this source.
func (s *Source) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// collect returns the records that changed after revision since, and the present revision.
func (s *Source) collect(since uint64, entry bool) ([]enrol.Record, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []enrol.Record
	for _, p := range s.records {
		if entry && p.change > since || !entry && p.beat > since {
			list = append(list, p.record)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	slices.SortFunc(list, func(a, b enrol.Record) int { return cmp.Compare(a.ID, b.ID) })
	return list, s.revision, s.changed
}

func (s *Source) count(name string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = make(map[string]int)
	}
	s.entries[name] += n
	if s.entries[name] <= 0 {
		delete(s.entries, name)
	}
}

// sent is what a follower has.
type sent struct {
	revision uint64
	rules    uint64
	cores    []string
	rollouts map[string]uint64
}

// Watch streams to one follower until it leaves.
func (s *Source) Watch(ctx context.Context, r *connect.Request[peerpb.WatchRequest], stream *connect.ServerStream[peerpb.FeedEvent]) error {
	entry := r.Msg.GetEntry()
	if entry {
		s.count(r.Msg.GetName(), 1)
		defer s.count(r.Msg.GetName(), -1)
	}
	has := &sent{rollouts: make(map[string]uint64)}
	for {
		event, changed := s.next(has, entry)
		if err := stream.Send(event); err != nil {
			return err
		}
		if !waitFor(ctx, changed, signEvery) {
			return ctx.Err()
		}
	}
}

func (s *Source) next(has *sent, entry bool) (*peerpb.FeedEvent, <-chan struct{}) {
	records, revision, changed := s.collect(has.revision, entry)
	has.revision = revision
	shared := s.Shared()
	event := &peerpb.FeedEvent{Clock: int64(s.WallClock.Now()), Leader: shared.Leader}
	now := s.Clock.Now()
	for i := range records {
		event.Servers = append(event.Servers, wire.RecordToPB(now, &records[i]))
	}
	if shared.Rules.Version > has.rules {
		has.rules = shared.Rules.Version
		event.Rules = &peerpb.Document{Version: shared.Rules.Version, Text: shared.Rules.Text}
	}
	if !slices.Equal(shared.Cores, has.cores) {
		has.cores = shared.Cores
		event.Cores = shared.Cores
	}
	for _, rollout := range shared.Rollouts {
		if has.rollouts[rollout.Service] < rollout.Revision {
			has.rollouts[rollout.Service] = rollout.Revision
			event.Rollouts = append(event.Rollouts, wire.RolloutToPB(rollout))
		}
	}
	return event, changed
}
