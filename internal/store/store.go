// Package store runs one member of the replication group: it feeds the pure core of package
// quorum from rings, keeps its files through package disk, and applies committed commands to
// package state.
//
//	s := &store.Store{Settings: settings, Clock: c, Network: peers}
//	err := s.Start(ctx, group)
//	result, err := s.Propose(ctx, state.PutSection{...})
//	s.View(func(v *state.State) { ... })
//
// One goroutine owns the core and the files. A command is acknowledged only after a majority of
// voters synced it and this daemon applied it.
package store

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"

	"swiftbeam/internal/disk"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/ring"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/internal/wire"
	"swiftbeam/pkg/clock"
)

// Sizes of the store.
const (
	eventRing = 1024
	// eventBatch is the number of events that may share one sync.
	eventBatch = 256
	// SnapshotEntries is the number of applied entries after which the log is shortened.
	SnapshotEntries = 4096
	// tickEvery is fine enough to keep apart the elections of daemons that start together.
	tickEvery = 20 * clock.Millisecond
	// snapshotBytes is the size of applied commands after which the log is shortened, as it is kept
	// in memory.
	snapshotBytes = 512 << 10
	// reopenEvery is the pause between attempts to use a data folder again that failed.
	reopenEvery = 300 * clock.Millisecond
)

// Network sends to other members. Send must not block; messages may be lost.
type Network interface {
	Send(to quorum.Member, messages []quorum.Message)
	// ProposeAt commits a command through the leader at address.
	ProposeAt(ctx context.Context, address string, command []byte) (index uint64, result []byte, err error)
}

// Store is one member. Set the exported fields before Start.
type Store struct {
	Settings quorum.Settings
	// Self describes this daemon; its ID and Disk are filled in by Open.
	Self quorum.Member
	// Folder is the data folder, empty for a learner without a disk.
	Folder  string
	Clock   clock.Clock
	Network Network
	Log     logr.Logger
	// SnapshotEvery overrides SnapshotEntries when it is not zero.
	SnapshotEvery uint64
	// OpenDisk replaces disk.Open.
	OpenDisk func(folder string) (*disk.Log, disk.Loaded, error)

	core   *quorum.Core
	log    *disk.Log
	fresh  bool
	events *ring.Ring[quorum.Event]
	// contacts are the senders of messages; a daemon that knows no members answers to them.
	contacts map[quorum.ID]quorum.Member
	status   atomic.Pointer[Status]
	tickets  atomic.Uint64

	mu      sync.RWMutex
	state   *state.State
	waiting map[uint64]chan answer // by ticket
	placed  map[uint64]placement   // by log index
	changed chan struct{}
	snapAt  uint64
	// since is the size of the commands applied after the snapshot.
	since    int
	failed   error
	reopenAt clock.Instant
}

// placement ties a log index to the ticket that waits for it.
type placement struct {
	term   uint64
	ticket uint64
}

// answer is the end of one proposal at the leader.
type answer struct {
	index  uint64
	result state.Result
	why    quorum.Refusal
	lost   bool
}

// Status is what the store shows of its core.
type Status struct {
	ID        quorum.ID
	Role      quorum.Role
	Term      uint64
	Leader    quorum.ID
	LeaderAt  string
	Commit    uint64
	Applied   uint64
	LogLength uint64
	Members   []quorum.Member
	Repair    quorum.Repair
	ContactAt clock.Instant
	Failed    string
}

// Open reads the data folder and prepares the member. Call it before Start.
func (s *Store) Open(identity string) error {
	s.events = ring.New[quorum.Event](eventRing)
	s.contacts = make(map[quorum.ID]quorum.Member)
	s.waiting = make(map[uint64]chan answer)
	s.placed = make(map[uint64]placement)
	s.changed = make(chan struct{})
	s.state = &state.State{}
	s.state.Rebuild()
	if s.SnapshotEvery == 0 {
		s.SnapshotEvery = SnapshotEntries
	}
	var loaded disk.Loaded
	if s.Folder != "" {
		var err error
		if s.OpenDisk == nil {
			s.OpenDisk = disk.Open
		}
		if s.log, loaded, err = s.OpenDisk(s.Folder); err != nil {
			return err
		}
		identity = loaded.Identity
	}
	s.Self.ID = quorum.ID(s.Self.Name + "." + identity)
	s.Self.Disk = s.Folder != ""
	s.Settings.Self = s.Self.ID
	return s.load(loaded)
}

func (s *Store) load(loaded disk.Loaded) error {
	if loaded.Snapshot.Index > 0 {
		restored, err := wire.DecodeState(loaded.Snapshot.Data)
		if err != nil {
			return err
		}
		s.state = restored
		s.snapAt = loaded.Snapshot.Index
	}
	s.fresh = loaded.Hard.Term == 0 && loaded.Snapshot.Index == 0 && len(loaded.Entries) == 0
	s.core = quorum.Load(s.Settings, s.Clock.Now(), loaded.Hard, loaded.Snapshot, loaded.Entries)
	s.publish(s.Clock.Now())
	return nil
}

// Unjoined reports whether the member belongs to no group yet.
func (s *Store) Unjoined() bool {
	return s.fresh && len(s.Status().Members) == 0
}

// Start begins to take part.
func (s *Store) Start(ctx context.Context, g *runner.Group) error {
	g.Go(func() { s.run(ctx) })
	g.Go(func() { s.tick(ctx) })
	return nil
}

// Stop hands leadership over, so that a planned stop costs no election timeout.
func (s *Store) Stop(ctx context.Context) error {
	for s.Status().Role == quorum.Leader && len(s.Status().Members) > 1 && ctx.Err() == nil {
		_ = s.events.Put(ctx, quorum.Transfer{})
		runner.Pause(ctx, s.Settings.Heartbeat)
	}
	return nil
}

// Status returns the newest published status.
func (s *Store) Status() Status { return *s.status.Load() }

// View calls f with the state. f must not keep references to it nor change it.
func (s *Store) View(f func(*state.State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.state)
}

// Changed returns a channel that is closed at the next applied command.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Deliver hands over messages of another member. Messages that find the ring full are lost, as
// on a network; the core repairs that.
func (s *Store) Deliver(from quorum.Member, messages []quorum.Message) {
	s.events.Offer(contact{member: from})
	for _, m := range messages {
		s.events.Offer(quorum.Receive{Message: m})
	}
}

// bootstrap is the event that forms a new group.
type bootstrap struct {
	quorum.Event
	members []quorum.Member
}

// contact is the event that names the address of a member that sent a message.
type contact struct {
	quorum.Event
	member quorum.Member
}

// Bootstrap makes a fresh member one of the first voters. All first voters must be given equal
// lists.
func (s *Store) Bootstrap(ctx context.Context, members []quorum.Member) error {
	return s.events.Put(ctx, bootstrap{members: members})
}

// Dump returns the status and the size of the state.
func (s *Store) Dump() any {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Dump{
		Status: s.Status(), Version: s.state.Version, Sections: len(s.state.Sections),
		OnceRecords: len(s.state.Once), Moves: len(s.state.Moves), Orders: len(s.state.Orders),
	}
}

// Dump is the shown state of a store.
type Dump struct {
	Status      Status
	Version     uint64
	Sections    int
	OnceRecords int
	Moves       int
	Orders      int
}

func (s *Store) tick(ctx context.Context) {
	for ctx.Err() == nil {
		s.events.Offer(quorum.Tick{})
		runner.Pause(ctx, min(s.Settings.Heartbeat/2, tickEvery))
	}
}

func (s *Store) run(ctx context.Context) {
	batch := make([]quorum.Event, 0, eventBatch)
	for {
		first, err := s.events.Take(ctx)
		if err != nil {
			break
		}
		batch = s.events.Drain(append(batch[:0], first), eventBatch-1)
		s.handle(batch)
	}
	if s.log != nil {
		_ = s.log.Close()
	}
}

func (s *Store) handle(batch []quorum.Event) {
	now := s.Clock.Now()
	if s.failed != nil && !s.reopen(now) {
		s.refuse(batch)
		return
	}
	for _, e := range batch {
		switch e := e.(type) {
		case bootstrap:
			s.form(e.members)
		case contact:
			s.contacts[e.member.ID] = e.member
		default:
			s.core.Step(now, e)
		}
	}
	if err := s.carryOut(s.core.Take()); err != nil {
		s.failed = err
		s.reopenAt = now.Add(reopenEvery)
		s.Log.Error(err, "data folder failed; this daemon does not vote until it works again")
	}
	s.publish(now)
}

// reopen reads a data folder again that failed, for instance because the disk was full, and goes
// on from what is in it. It reports false while the folder does not take a write.
func (s *Store) reopen(now clock.Instant) bool {
	if now.Before(s.reopenAt) {
		return false
	}
	s.reopenAt = now.Add(reopenEvery)
	_ = s.log.Close()
	log, loaded, err := s.OpenDisk(s.Folder)
	if err == nil {
		s.log = log
		log.AppendHard(loaded.Hard)
		err = log.Sync()
	}
	if err != nil {
		return false
	}
	// What was applied stays; it was committed.
	s.core = quorum.Load(s.Settings, now, loaded.Hard, loaded.Snapshot, loaded.Entries)
	s.failed = nil
	s.Log.Info("data folder works again", "lastIndex", s.core.LastIndex(), "term", loaded.Hard.Term)
	return true
}

func (s *Store) form(members []quorum.Member) {
	if !s.fresh || len(s.core.Members()) > 0 {
		return
	}
	s.core.Bootstrap(members)
	s.Log.Info("formed a group", "voters", len(members))
}

// refuse answers proposals after the data folder failed.
func (s *Store) refuse(batch []quorum.Event) {
	for _, e := range batch {
		switch e := e.(type) {
		case quorum.Propose:
			s.finish(e.Ticket, answer{why: quorum.NotLeader})
		case quorum.Change:
			s.finish(e.Ticket, answer{why: quorum.NotLeader})
		}
	}
}

func (s *Store) carryOut(a quorum.Actions) error {
	if err := s.save(a); err != nil {
		return err
	}
	s.transmit(a.Messages)
	if a.Restore != nil {
		if err := s.restore(a.Restore); err != nil {
			return err
		}
	}
	for _, o := range a.Outcomes {
		s.place(o)
	}
	s.apply(a.Committed)
	return s.compact()
}

func (s *Store) save(a quorum.Actions) error {
	if s.log == nil {
		return nil
	}
	if a.Restore != nil {
		return s.log.SaveSnapshot(*a.Restore, s.core.Hard, a.Append)
	}
	if a.HardChanged {
		s.log.AppendHard(a.Hard)
	}
	s.log.Append(a.Append)
	return s.log.Sync()
}

func (s *Store) transmit(messages []quorum.Message) {
	if len(messages) == 0 {
		return
	}
	byMember := make(map[quorum.ID][]quorum.Message)
	for _, m := range messages {
		byMember[m.To] = append(byMember[m.To], m)
	}
	for _, m := range s.core.Members() {
		if list := byMember[m.ID]; list != nil {
			s.Network.Send(m, list)
			delete(byMember, m.ID)
		}
	}
	for id, list := range byMember {
		if m, known := s.contacts[id]; known {
			s.Network.Send(m, list)
		}
	}
}

func (s *Store) restore(snap *quorum.Snapshot) error {
	restored, err := wire.DecodeState(snap.Data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = restored
	s.snapAt = snap.Index
	s.wake()
	return nil
}

func (s *Store) apply(entries []quorum.Entry) {
	if len(entries) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		if e.Index <= s.state.Applied {
			continue
		}
		s.applyOne(e)
	}
	s.wake()
}

func (s *Store) applyOne(e quorum.Entry) {
	var result state.Result
	s.since += len(e.Data)
	if e.Kind != quorum.Command {
		s.state.Skip(e.Index)
	} else if c, err := wire.DecodeCommand(e.Data); err != nil {
		s.state.Skip(e.Index)
		result = state.Result{Code: state.Rejected, Detail: err.Error()}
	} else {
		result = s.state.Apply(e.Index, c)
	}
	p, ok := s.placed[e.Index]
	if !ok {
		return
	}
	delete(s.placed, e.Index)
	s.finishLocked(p.ticket, answer{index: e.Index, result: result, lost: p.term != e.Term})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact saves a snapshot once enough entries were applied.
func (s *Store) compact() error {
	s.mu.RLock()
	applied := s.state.Applied
	due := applied >= s.snapAt+s.SnapshotEvery || s.since > snapshotBytes && applied > s.snapAt
	var data []byte
	if due {
		data = wire.EncodeState(s.state)
	}
	s.mu.RUnlock()
	if !due {
		return nil
	}
	s.snapAt, s.since = applied, 0
	s.core.Step(s.Clock.Now(), quorum.Compact{Index: applied, Data: data})
	if s.log == nil {
		return nil
	}
	base, rest := s.core.SnapshotAndEntries()
	return s.log.SaveSnapshot(base, s.core.Hard, rest)
}

func (s *Store) publish(now clock.Instant) {
	c := s.core
	status := &Status{
		ID: s.Self.ID, Role: c.Role, Term: c.Hard.Term, Leader: c.Leader, Commit: c.Commit,
		LogLength: c.LastIndex() + 1 - c.FirstIndex(), Members: c.Members(), ContactAt: c.ContactAt(),
	}
	s.mu.RLock()
	status.Applied = s.state.Applied
	s.mu.RUnlock()
	for _, m := range status.Members {
		if m.ID == c.Leader {
			status.LeaderAt = m.Address
		}
	}
	if c.Role == quorum.Leader {
		status.Repair = c.RepairState(now)
	}
	if s.failed != nil {
		status.Failed = s.failed.Error()
		status.Role = quorum.Follower
	}
	s.logChange(status)
	last := s.status.Swap(status)
	if last != nil && last.Role == quorum.Leader && status.Role != quorum.Leader {
		s.loseWaiting()
	}
}

// loseWaiting answers all proposals after this daemon lost the lead, so that they are repeated
// at the new leader.
func (s *Store) loseWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ticket := range s.waiting {
		s.finishLocked(ticket, answer{lost: true})
	}
}

func (s *Store) logChange(next *Status) {
	last := s.status.Load()
	if last == nil {
		return
	}
	if last.Role != next.Role && (last.Role == quorum.Leader || next.Role == quorum.Leader) {
		s.Log.Info("role changed", "from", last.Role.String(), "to", next.Role.String(), "term", next.Term)
	}
	if last.Repair != next.Repair {
		s.Log.Info("voters changed", "repair", next.Repair.String())
	}
}

func noLeader() error {
	return fault.New(fault.Unavailable, "no leader of the quorum is known").
		Remedy("retry; if it lasts, look for missing voters with `swiftbeam dump`").After(1)
}
