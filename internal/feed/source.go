// Package feed streams the state of the core daemons (rules, rollouts, server records, leader) to the
// entry daemons and to the other core daemons. Each core daemon is a Source. A Follower follows all
// of them, so that it receives changes while at least one is reachable; its OnEvent keeps the newest:
//
//	source.Publish(record, true)  // on a core daemon
//	follower.Run(ctx)             // on an entry daemon; calls OnEvent
//
// A stream starts with the complete state and continues with changes. Without changes, an event is
// sent as a keep-alive at a fixed interval; a follower that receives none in time reconnects.
package feed

import (
	"cmp"
	"container/list"
	"context"
	"slices"
	"sync"

	"connectrpc.com/connect"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/enrol"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

const (
	// keepAliveInterval is the longest time between two events of a stream. StreamTimeout is the
	// time without an event after which a stream counts as dead: three intervals and a delay on a
	// loaded machine.
	keepAliveInterval = 400 * clock.Millisecond
	StreamTimeout     = 1500 * clock.Millisecond
	// batchDelay is how long a change waits for others to be sent in the same event.
	batchDelay = 5 * clock.Millisecond
	// pausePerEntry is the pause between two events of a stream for each entry daemon that follows, in
	// milliseconds.
	pausePerEntry = 0.3
)

// SharedState is the replicated state that is sent to followers.
type SharedState struct {
	Rules    state.Rules
	Cores    []string
	Leader   string
	Rollouts []*state.Rollout
	// Crashes is the revision of the traits of requests that crash servers.
	Crashes uint64
	// Evacuations are the zones that are evacuated or were.
	Evacuations []state.Evacuation
}

// Same reports whether followers are sent the same for both.
func (s *SharedState) Same(o *SharedState) bool {
	sameRollout := func(a, b *state.Rollout) bool { return a.Service == b.Service && a.Revision == b.Revision }
	return s.Rules.Version == o.Rules.Version && s.Leader == o.Leader && s.Crashes == o.Crashes && slices.Equal(s.Cores, o.Cores) &&
		slices.EqualFunc(s.Rollouts, o.Rollouts, sameRollout) && evacuationRevision(s.Evacuations) == evacuationRevision(o.Evacuations)
}

// evacuationRevision returns the revision of the last change of the evacuations.
func evacuationRevision(list []state.Evacuation) uint64 {
	last := uint64(0)
	for i := range list {
		last = max(last, list[i].Revision)
	}
	return last
}

// Source streams the state of a core daemon to followers. Set the exported fields before use.
type Source struct {
	Clock     clock.Clock
	WallClock *WallClock
	// SharedState returns the current replicated state.
	SharedState func() SharedState
	// CrashChanges returns the changes of the traits of requests that crash servers since a revision.
	CrashChanges func(since uint64) crash.Changes

	mu       sync.Mutex
	revision uint64
	records  map[string]*publishedRecord
	// changes and announcements contain the records in order of their last change and of their last
	// announcement, the oldest first, so that an event costs as much as the records in it.
	changes       list.List
	announcements list.List
	changed       chan struct{}
	entries       map[string]int
}

// publishedRecord is a record with the source's revisions at its last change and last announcement.
type publishedRecord struct {
	record           enrol.Record
	changeRevision   uint64
	announceRevision uint64
	change           *list.Element
	announcement     *list.Element
}

// Publish stores a record for the followers. Entry daemons receive it only if it is new or changed,
// core daemons always. A change is sent at once, anything else with the next event.
func (s *Source) Publish(r *enrol.Record, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.records == nil {
		s.records = make(map[string]*publishedRecord)
	}
	s.revision++
	p := s.records[r.ID]
	if p == nil {
		p = &publishedRecord{changeRevision: s.revision}
		p.change, p.announcement = s.changes.PushBack(p), s.announcements.PushBack(p)
		s.records[r.ID] = p
	}
	p.record = *r
	p.announceRevision = s.revision
	s.announcements.MoveToBack(p.announcement)
	if changed {
		p.changeRevision = s.revision
		s.changes.MoveToBack(p.change)
		s.notifyLocked()
	}
}

// Remove drops a record that is no longer needed.
func (s *Source) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.records[id]; p != nil {
		s.changes.Remove(p.change)
		s.announcements.Remove(p.announcement)
		delete(s.records, id)
	}
}

// Notify sends changes of the shared state to all followers.
func (s *Source) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyLocked()
}

func (s *Source) notifyLocked() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Entries returns the number of entry daemons that follow the source.
func (s *Source) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// changesSince returns the records to send after the given revision, the current revision, and a
// channel that is closed at the next change.
func (s *Source) changesSince(since uint64, entry bool) ([]enrol.Record, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []enrol.Record
	order := &s.announcements
	if entry {
		order = &s.changes
	}
	for e := order.Back(); e != nil; e = e.Prev() {
		p := e.Value.(*publishedRecord)
		if entry && p.changeRevision <= since || !entry && p.announceRevision <= since {
			break
		}
		records = append(records, p.record)
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	slices.SortFunc(records, func(a, b enrol.Record) int { return cmp.Compare(a.ID, b.ID) })
	return records, s.revision, s.changed
}

func (s *Source) countEntry(name string, n int) {
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

// followerState is what was sent to a follower.
type followerState struct {
	revision uint64
	rules    uint64
	cores    []string
	rollouts map[string]uint64
	crashes  uint64
	// evacuations is the revision of the last evacuation or return that was sent.
	evacuations uint64
}

// Watch streams to one follower until it disconnects.
func (s *Source) Watch(ctx context.Context, r *connect.Request[peerpb.WatchRequest], stream *connect.ServerStream[peerpb.FeedEvent]) error {
	entry := r.Msg.GetEntry()
	if entry {
		s.countEntry(r.Msg.GetName(), 1)
		defer s.countEntry(r.Msg.GetName(), -1)
	}
	follower := &followerState{rollouts: make(map[string]uint64)}
	for {
		event, changed := s.nextEvent(follower, entry)
		if err := stream.Send(event); err != nil {
			return err
		}
		runner.Pause(ctx, s.pauseBetweenEvents())
		if !awaitChange(ctx, changed, keepAliveInterval) {
			return ctx.Err()
		}
	}
}

// pauseBetweenEvents returns how long a follower's stream pauses after an event. It grows with the number
// of followers, so that a series of changes costs fewer events; a single change is sent without it.
func (s *Source) pauseBetweenEvents() clock.Duration {
	return clock.Duration(float64(s.Entries()) * pausePerEntry)
}

func (s *Source) nextEvent(follower *followerState, entry bool) (*peerpb.FeedEvent, <-chan struct{}) {
	records, revision, changed := s.changesSince(follower.revision, entry)
	follower.revision = revision
	shared := s.SharedState()
	event := &peerpb.FeedEvent{Clock: int64(s.WallClock.Now()), Leader: shared.Leader}
	now := s.Clock.Now()
	for i := range records {
		event.Servers = append(event.Servers, wire.RecordToPB(now, &records[i]))
	}
	if shared.Rules.Version > follower.rules {
		follower.rules = shared.Rules.Version
		event.Rules = &peerpb.Document{Version: shared.Rules.Version, Text: shared.Rules.Text}
	}
	if !slices.Equal(shared.Cores, follower.cores) {
		follower.cores = shared.Cores
		event.Cores = shared.Cores
	}
	for _, rollout := range shared.Rollouts {
		if follower.rollouts[rollout.Service] < rollout.Revision {
			follower.rollouts[rollout.Service] = rollout.Revision
			event.Rollouts = append(event.Rollouts, wire.RolloutToPB(rollout))
		}
	}
	for _, e := range shared.Evacuations {
		if entry && e.Revision > follower.evacuations {
			event.Evacuations = append(event.Evacuations, wire.EvacuationToPB(e))
		}
	}
	follower.evacuations = max(follower.evacuations, evacuationRevision(shared.Evacuations))
	if entry && shared.Crashes > follower.crashes {
		changes := s.CrashChanges(follower.crashes)
		follower.crashes = changes.Revision
		event.Crashes = wire.CrashChangesToPB(&changes)
	}
	return event, changed
}
