// Package store runs one member of the replication group. It passes events from a bounded queue to
// the Raft state machine of package quorum, which does no input or output of its own, writes the log
// and snapshots through package disk, and applies committed commands to package state.
//
//	s := &store.Store{Settings: settings, Clock: c, Network: peers}
//	err := s.Open(identity)
//	err = s.Start(ctx, group)
//	result, err := s.Propose(ctx, state.PutSection{...})
//	s.View(func(v *state.State) { ... })
//
// One goroutine owns the Raft state machine and the files. A command is acknowledged only after a
// majority of voters have synced it to disk and this daemon has applied it.
package store

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
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

// Sizes and intervals of the store.
const (
	eventQueueSize = 1024
	// maxEventBatch is the largest number of events that share one sync of the log.
	maxEventBatch = 256
	// SnapshotEntries is the number of applied entries after which the log is compacted.
	SnapshotEntries = 4096
	// tickInterval is short enough that daemons which start together rarely begin an election in the
	// same tick.
	tickInterval = 20 * clock.Millisecond
	// snapshotAfterBytes is the total size of applied commands after which the log is compacted. It
	// bounds the log entries that are kept in memory.
	snapshotAfterBytes = 512 << 10
	// reopenInterval is the pause between attempts to reopen a data folder after a failure.
	reopenInterval = 300 * clock.Millisecond
)

// Network sends to other members of the replication group. Send must not block and may drop messages.
type Network interface {
	Send(to quorum.Member, messages []quorum.Message)
	// ProposeAt commits a command through the leader at address.
	ProposeAt(ctx context.Context, address string, command []byte) (index uint64, result []byte, err error)
}

// Store is one member of the replication group. Set the exported fields before Open.
type Store struct {
	Settings quorum.Settings
	// Self describes this daemon. Open sets its ID and Disk.
	Self quorum.Member
	// Folder is the data folder. It is empty for a learner without a disk.
	Folder  string
	Clock   clock.Clock
	Network Network
	Log     logr.Logger
	// SnapshotEvery overrides SnapshotEntries if it is not zero.
	SnapshotEvery uint64
	// OpenDisk replaces disk.Open if it is not nil.
	OpenDisk func(folder string) (*disk.Log, disk.Loaded, error)

	raft *quorum.Raft
	log  *disk.Log
	// startedEmpty is set if the data folder had no term, snapshot or log entry at Open.
	startedEmpty bool
	events       *ring.Ring[quorum.Event]
	// contacts are the members that have sent messages, by ID. They supply the addresses for replies to
	// members that are not in this daemon's member list.
	contacts map[quorum.ID]quorum.Member
	status   atomic.Pointer[Status]
	tickets  atomic.Uint64
	// passes counts the batches of events that were handled, and hangs is set while none is for longer than the other
	// voters wait for this daemon.
	passes atomic.Uint64
	hangs  atomic.Bool

	mu            sync.RWMutex
	state         *state.State
	waiters       map[uint64]chan proposalResult // by ticket
	proposals     map[uint64]proposal            // by log index
	changed       chan struct{}
	leaderChanged chan struct{}
	snapshotIndex uint64
	// bytesSinceSnapshot is the total size of the commands applied since the last snapshot.
	bytesSinceSnapshot int
	diskErr            error
	reopenAt           clock.Instant
}

// proposal is a proposed entry whose commit is awaited. Its term distinguishes the entry from one of
// another leader at the same index.
type proposal struct {
	term   uint64
	ticket uint64
}

// proposalResult is the outcome of a proposal at the leader. lost reports that another entry took the
// log index or that this daemon lost leadership before the entry was applied; hangs, that its disk hangs.
type proposalResult struct {
	index   uint64
	result  state.Result
	refusal quorum.Refusal
	lost    bool
	hangs   bool
}

// Status is the published state of the store and its Raft state machine.
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

// Open loads the data folder and prepares the member. Call it before Start. identity makes the ID
// of a member without a data folder unique; other members have their identity in the folder.
func (s *Store) Open(identity string) error {
	s.events = ring.New[quorum.Event](eventQueueSize)
	s.contacts = make(map[quorum.ID]quorum.Member)
	s.waiters = make(map[uint64]chan proposalResult)
	s.proposals = make(map[uint64]proposal)
	s.changed = make(chan struct{})
	s.leaderChanged = make(chan struct{})
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
		began := s.Clock.Now()
		if s.log, loaded, err = s.OpenDisk(s.Folder); err != nil {
			return err
		}
		s.logSlowDisk("open", began)
		identity = loaded.Identity
	}
	s.Self.ID = s.memberID(identity)
	s.Self.Disk = s.Folder != ""
	s.Settings.Self = s.Self.ID
	return s.load(loaded)
}

// memberID returns the ID of this daemon with the identity in a data folder.
func (s *Store) memberID(identity string) quorum.ID {
	return quorum.ID(s.Self.Name + "." + identity)
}

func (s *Store) load(loaded disk.Loaded) error {
	if loaded.Snapshot.Index > 0 {
		restored, err := wire.DecodeState(loaded.Snapshot.Data)
		if err != nil {
			return err
		}
		s.state = restored
		s.snapshotIndex = loaded.Snapshot.Index
	}
	s.startedEmpty = loaded.Hard.Term == 0 && loaded.Snapshot.Index == 0 && len(loaded.Entries) == 0
	s.raft = quorum.Load(s.Settings, s.Clock.Now(), loaded.Hard, loaded.Snapshot, loaded.Entries)
	s.publish(s.Clock.Now())
	return nil
}

// Unjoined reports whether the member does not belong to a replication group yet.
func (s *Store) Unjoined() bool {
	status := s.Status()
	return s.startedEmpty && len(status.Members) == 0 && status.Applied == 0
}

// Start runs the member in the background until ctx ends.
func (s *Store) Start(ctx context.Context, g *runner.Group) error {
	g.Go(func() { s.run(ctx) })
	g.Go(func() { s.tick(ctx) })
	return nil
}

// Stop transfers leadership to another member, so that a planned stop does not cost an election
// timeout.
func (s *Store) Stop(ctx context.Context) error {
	for s.Status().Role == quorum.Leader && len(s.Status().Members) > 1 && ctx.Err() == nil {
		_ = s.events.Put(ctx, quorum.Transfer{})
		runner.Pause(ctx, s.Settings.Heartbeat)
	}
	return nil
}

// Status returns the last published status.
func (s *Store) Status() Status { return *s.status.Load() }

// View calls f with the state under a read lock. f must neither modify the state nor keep references
// to it.
func (s *Store) View(f func(*state.State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.state)
}

// Changed returns a channel that is closed when the next commands are applied or a snapshot is
// restored.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Deliver queues messages from another member. If the queue is full, messages are dropped; Raft
// recovers from that as from loss on the network.
func (s *Store) Deliver(from quorum.Member, messages []quorum.Message) {
	s.events.Offer(contactEvent{member: from})
	for _, m := range messages {
		s.events.Offer(quorum.Receive{Message: m})
	}
}

// bootstrapEvent forms a new replication group.
type bootstrapEvent struct {
	quorum.Event
	members []quorum.Member
}

// contactEvent records the address of a member that has sent messages.
type contactEvent struct {
	quorum.Event
	member quorum.Member
}

// Bootstrap makes a member that has not joined a group one of the first voters of a new group. All
// first voters must be given the same list.
func (s *Store) Bootstrap(ctx context.Context, members []quorum.Member) error {
	return s.events.Put(ctx, bootstrapEvent{members: members})
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

// Dump is the diagnostic state of a store.
type Dump struct {
	Status      Status
	Version     uint64
	Sections    int
	OnceRecords int
	Moves       int
	Orders      int
}

func (s *Store) tick(ctx context.Context) {
	interval := min(s.Settings.Heartbeat/2, tickInterval)
	passes, without := s.passes.Load(), clock.Duration(0)
	for ctx.Err() == nil {
		clock.Refresh(s.Clock)
		s.events.Offer(quorum.Tick{})
		runner.Pause(ctx, interval)
		// Ticks are counted rather than the time, so that a pause of the process is not taken for one of the disk.
		without += interval
		if p := s.passes.Load(); p != passes {
			passes, without = p, 0
		}
		s.checkDisk(without > s.Settings.ElectionTimeout)
	}
}

// checkDisk ends what waits for this daemon's disk while it hangs and other voters can do without it.
func (s *Store) checkDisk(hangs bool) {
	hangs = hangs && s.isGroup()
	changed := s.hangs.Swap(hangs) != hangs
	if !hangs {
		return
	}
	s.endWaiting(proposalResult{hangs: true})
	if changed {
		s.Log.Info("data folder does not respond; proposals are refused")
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notifyChanged()
	}
}

// isGroup reports whether there are other voters.
func (s *Store) isGroup() bool {
	return slices.ContainsFunc(s.Status().Members, func(m quorum.Member) bool { return m.Voter && m.ID != s.Self.ID })
}

func (s *Store) run(ctx context.Context) {
	batch := make([]quorum.Event, 0, maxEventBatch)
	for {
		first, err := s.events.Take(ctx)
		if err != nil {
			break
		}
		batch = s.events.Drain(append(batch[:0], first), maxEventBatch-1)
		s.handle(batch)
		s.passes.Add(1)
	}
	if s.log != nil {
		_ = s.log.Close()
	}
}

func (s *Store) handle(batch []quorum.Event) {
	now := s.Clock.Now()
	if s.diskErr != nil && !s.reopen(now) {
		s.refuseProposals(batch)
		return
	}
	for _, e := range batch {
		switch e := e.(type) {
		case bootstrapEvent:
			s.handleBootstrap(e.members)
		case contactEvent:
			s.contacts[e.member.ID] = e.member
		case quorum.Receive:
			if !s.isUsable(e.Message) {
				continue
			}
			s.raft.Step(now, e)
			s.readmit(now, e.Message)
		default:
			s.raft.Step(now, e)
		}
	}
	if err := s.perform(s.raft.Take()); err != nil {
		s.diskErr = err
		s.reopenAt = now.Add(reopenInterval)
		s.Log.Error(err, "data folder failed; this daemon does not vote until the folder is usable again")
	}
	s.publish(now)
}

// isUsable reports whether a message is no snapshot, or one that can be restored. Others must not be stored: the data folder
// could not be opened again.
func (s *Store) isUsable(m quorum.Message) bool {
	if m.Kind != quorum.Install {
		return true
	}
	if _, err := decodeSnapshot(m.Snapshot); err != nil {
		s.Log.Error(err, "snapshot of the leader ignored", "member", string(m.From), "index", m.Snapshot.Index)
		return false
	}
	return true
}

// decodeSnapshot returns the state after the last entry that a snapshot replaces.
func decodeSnapshot(snap *quorum.Snapshot) (*state.State, error) {
	restored, err := wire.DecodeState(snap.Data)
	if err != nil {
		return nil, err
	}
	if restored.Applied != snap.Index {
		return nil, errors.Newf("the snapshot of entry %d has the state after entry %d", snap.Index, restored.Applied)
	}
	return restored, nil
}

// reopen reloads the data folder after a failure, for instance of a full disk, and continues from
// its content. It reports false as long as the folder cannot be read and written.
func (s *Store) reopen(now clock.Instant) bool {
	if now.Before(s.reopenAt) {
		return false
	}
	s.reopenAt = now.Add(reopenInterval)
	_ = s.log.Close()
	log, loaded, err := s.OpenDisk(s.Folder)
	if err == nil {
		s.log = log
		if s.memberID(loaded.Identity) != s.Self.ID {
			s.rejectFolder()
			return false
		}
		log.AppendHard(loaded.Hard)
		err = log.Sync()
	}
	// The applied state is kept, because only committed entries are applied. A snapshot that was stored before the failure
	// may be newer.
	if err == nil && loaded.Snapshot.Index > s.state.Applied {
		err = s.restore(&loaded.Snapshot)
	}
	if err != nil {
		return false
	}
	s.raft = quorum.Load(s.Settings, now, loaded.Hard, loaded.Snapshot, loaded.Entries)
	s.diskErr = nil
	s.Log.Info("data folder is usable again", "lastIndex", s.raft.LastIndex(), "term", loaded.Hard.Term)
	return true
}

// rejectFolder records that the data folder was replaced. Without its term and vote, this member could vote twice in a term.
func (s *Store) rejectFolder() {
	err := fault.New(fault.Damaged, "data folder %s was replaced while the daemon ran", s.Folder).
		Remedy("restart the daemon to join as a new member, or put the old folder back")
	if s.diskErr.Error() != err.Error() {
		s.diskErr = err
		s.Log.Error(err, "data folder is that of another member; this daemon does not vote")
	}
}

func (s *Store) handleBootstrap(members []quorum.Member) {
	if !s.startedEmpty || len(s.raft.Members()) > 0 {
		return
	}
	s.raft.Bootstrap(members)
	s.Log.Info("formed a group", "voters", len(members))
}

// readmit adds the sender of a pre-vote that is not a member as a learner. The group removed it while it
// was unreachable, and it still takes itself for a voter.
func (s *Store) readmit(now clock.Instant, m quorum.Message) {
	sender, known := s.contacts[m.From]
	if m.Kind != quorum.PreVote || s.raft.Role != quorum.Leader || !known {
		return
	}
	if slices.ContainsFunc(s.raft.Members(), func(o quorum.Member) bool { return o.ID == m.From }) {
		return
	}
	s.raft.Step(now, quorum.Change{Kind: quorum.AddLearner, Member: sender})
	s.Log.Info("removed voter asks for votes; adding it again", "member", string(m.From))
}

// refuseProposals rejects the proposals of a batch while the data folder is unusable.
func (s *Store) refuseProposals(batch []quorum.Event) {
	for _, e := range batch {
		switch e := e.(type) {
		case quorum.Propose:
			s.complete(e.Ticket, proposalResult{refusal: quorum.NotLeader})
		case quorum.Change:
			s.complete(e.Ticket, proposalResult{refusal: quorum.NotLeader})
		}
	}
}

func (s *Store) perform(a quorum.Actions) error {
	began := s.Clock.Now()
	if err := s.persist(a); err != nil {
		return err
	}
	s.logSlowDisk("sync", began)
	s.send(a.Messages)
	if a.Restore != nil {
		if err := s.restore(a.Restore); err != nil {
			return err
		}
	}
	for _, o := range a.Outcomes {
		s.recordOutcome(o)
	}
	s.apply(a.Committed)
	return s.compact()
}

func (s *Store) persist(a quorum.Actions) error {
	if s.log == nil {
		return nil
	}
	if a.Restore != nil {
		return s.log.SaveSnapshot(*a.Restore, s.raft.Hard, a.Append)
	}
	if a.HardChanged {
		s.log.AppendHard(a.Hard)
	}
	s.log.Append(a.Append)
	return s.log.Sync()
}

// logSlowDisk logs a call that took longer than the group waits for a member.
func (s *Store) logSlowDisk(call string, began clock.Instant) {
	if took := s.Clock.Now().Sub(began); took > s.Settings.ElectionTimeout {
		s.Log.Info("data folder is slow", "call", call, "tookMs", int64(took))
	}
}

func (s *Store) send(messages []quorum.Message) {
	if len(messages) == 0 {
		return
	}
	byMember := make(map[quorum.ID][]quorum.Message)
	for _, m := range messages {
		byMember[m.To] = append(byMember[m.To], m)
	}
	for _, m := range s.raft.Members() {
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
	restored, err := decodeSnapshot(snap)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = restored
	s.snapshotIndex = snap.Index
	s.notifyChanged()
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
	s.notifyChanged()
}

func (s *Store) applyOne(e quorum.Entry) {
	var result state.Result
	s.bytesSinceSnapshot += len(e.Data)
	if e.Kind != quorum.Command {
		s.state.Skip(e.Index)
	} else if c, err := wire.DecodeCommand(e.Data); err != nil {
		s.state.Skip(e.Index)
		result = state.Result{Code: state.Rejected, Detail: err.Error()}
	} else {
		result = s.state.Apply(e.Index, c)
	}
	p, ok := s.proposals[e.Index]
	if !ok {
		return
	}
	delete(s.proposals, e.Index)
	s.completeLocked(p.ticket, proposalResult{index: e.Index, result: result, lost: p.term != e.Term})
}

func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact takes a snapshot and truncates the log before it once enough entries or bytes have been
// applied.
func (s *Store) compact() error {
	s.mu.RLock()
	applied := s.state.Applied
	due := applied >= s.snapshotIndex+s.SnapshotEvery || s.bytesSinceSnapshot > snapshotAfterBytes && applied > s.snapshotIndex
	var data []byte
	if due {
		data = wire.EncodeState(s.state)
	}
	s.mu.RUnlock()
	if !due {
		return nil
	}
	s.snapshotIndex, s.bytesSinceSnapshot = applied, 0
	s.raft.Step(s.Clock.Now(), quorum.Compact{Index: applied, Data: data})
	if s.log == nil {
		return nil
	}
	base, rest := s.raft.SnapshotAndEntries()
	return s.log.SaveSnapshot(base, s.raft.Hard, rest)
}

func (s *Store) publish(now clock.Instant) {
	c := s.raft
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
	if s.diskErr != nil {
		status.Failed = s.diskErr.Error()
		status.Role = quorum.Follower
	}
	s.logChanges(status)
	last := s.status.Swap(status)
	if last != nil && last.Role == quorum.Leader && status.Role != quorum.Leader {
		// Propose repeats them at the new leader.
		s.endWaiting(proposalResult{lost: true})
	}
	if last != nil && (last.Term != status.Term || last.LeaderAt != status.LeaderAt) {
		s.mu.Lock()
		defer s.mu.Unlock()
		close(s.leaderChanged)
		s.leaderChanged = make(chan struct{})
	}
}

// endWaiting gives all waiting proposals the same result.
func (s *Store) endWaiting(r proposalResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ticket := range s.waiters {
		s.completeLocked(ticket, r)
	}
}

func (s *Store) logChanges(next *Status) {
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

func noLeaderError() error {
	return fault.New(fault.Unavailable, "no leader of the quorum is known").
		Remedy("retry; if the error persists, check for missing voters with `swiftbeam dump`").WithRetryAfter(1)
}
