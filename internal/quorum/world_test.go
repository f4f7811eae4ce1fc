package quorum

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "swiftbeam/internal/repro"
	"swiftbeam/pkg/clock"
)

// cluster simulates a group on a virtual clock, with faults of nodes, network and disks. It checks the
// invariants of the package whenever a node carries out its actions.
type cluster struct {
	t           *rapid.T
	now         clock.Instant
	nodes       map[ID]*node
	order       []ID
	inTransit   []Message
	partitioned map[ID]bool // sends and receives are dropped
	sendBlocked map[ID]bool // sends are dropped, receives are not

	// voters is the number of voters that repair maintains.
	voters    int
	committed []Entry
	leaders   map[uint64]ID
	ticket    uint64
	wipes     int
	wipedAt   clock.Instant
}

// node is one member and the content of its disk. raft is nil while the node is down.
type node struct {
	id       ID
	raft     *Raft
	hard     HardState
	snapshot Snapshot
	entries  []Entry
	applied  uint64
	disk     bool
	// drift is the rate error of the node's clock in thousandths.
	drift int64
}

func (c *cluster) settings(id ID, seed uint64) Settings {
	return Settings{
		Self: id, ElectionTimeout: 1000, Heartbeat: 150, LearnerHeartbeat: 900, ReplaceAfter: 6000, RemoveLearnerAfter: 9000,
		Voters: c.voters, BatchBytes: 64, Seed: seed,
	}
}

// maxDrift is the largest rate error of a clock in thousandths.
const maxDrift = 50

// newCluster returns a group with a number of voters and two learners.
func newCluster(t *rapid.T, voters int) *cluster {
	c := &cluster{t: t, voters: voters, nodes: map[ID]*node{}, partitioned: map[ID]bool{}, sendBlocked: map[ID]bool{}, leaders: map[uint64]ID{}}
	var members []Member
	for i := range voters + 2 {
		id := ID(fmt.Sprintf("n%d", i))
		c.add(id)
		members = append(members, Member{ID: id, Name: string(id), Zone: fmt.Sprintf("z%d", i%3), Voter: i < voters, Disk: true})
	}
	for _, id := range c.order[:voters] {
		n := c.nodes[id]
		n.raft.Bootstrap(members)
		c.carryOut(n, afterAll)
	}
	return c
}

func (c *cluster) add(id ID) *node {
	n := &node{id: id, disk: true, drift: int64(rapid.IntRange(-maxDrift, maxDrift).Draw(c.t, "drift"))}
	n.raft = New(c.settings(id, uint64(len(c.order)+1)), c.localTime(n))
	c.nodes[id] = n
	c.order = append(c.order, id)
	return n
}

// localTime returns the reading of a node's clock.
func (c *cluster) localTime(n *node) clock.Instant {
	return c.now + c.now*clock.Instant(n.drift)/1000
}

// crashPoint is the point at which a node crashes while it carries out its actions. At afterAll it
// does not crash.
type crashPoint int

const (
	beforeSync crashPoint = iota
	afterSync
	afterAll
)

// carryOut carries out the actions of a node up to the crash point.
func (c *cluster) carryOut(n *node, point crashPoint) {
	a := n.raft.Take()
	if point == beforeSync {
		c.crash(n)
		return
	}
	n.save(a)
	if point == afterSync {
		c.crash(n)
		return
	}
	if !c.partitioned[n.id] && !c.sendBlocked[n.id] {
		c.inTransit = append(c.inTransit, a.Messages...)
	}
	if a.Restore != nil {
		n.applied = a.Restore.Index
	}
	for _, e := range a.Committed {
		c.apply(n, e)
	}
	c.checkLeader(n)
}

func (n *node) save(a Actions) {
	if a.Restore != nil {
		n.snapshot, n.entries = *a.Restore, nil
	}
	if a.HardChanged {
		n.hard = a.Hard
	}
	if len(a.Append) > 0 {
		n.entries = replaceTail(n.entries, a.Append)
	}
}

func (c *cluster) apply(n *node, e Entry) {
	if e.Index <= n.applied {
		return
	}
	if e.Index != n.applied+1 {
		c.t.Fatalf("%s applied entry %d directly after entry %d", n.id, e.Index, n.applied)
	}
	n.applied = e.Index
	if int(e.Index) > len(c.committed) {
		c.committed = append(c.committed, e)
		return
	}
	if got, want := e, c.committed[e.Index-1]; got.Term != want.Term || !bytes.Equal(got.Data, want.Data) {
		c.t.Fatalf("%s applied entry %d of term %d %q, want entry %d of term %d %q", n.id, got.Index, got.Term, got.Data, want.Index, want.Term, want.Data)
	}
}

func (c *cluster) checkLeader(n *node) {
	if n.raft == nil || n.raft.Role != Leader {
		return
	}
	term := n.raft.Hard.Term
	if other, known := c.leaders[term]; known && other != n.id {
		c.t.Fatalf("%s and %s both lead term %d", other, n.id, term)
	}
	c.leaders[term] = n.id
	// A partitioned leader may lack entries committed in later terms, but none of earlier terms.
	for _, e := range c.committed {
		got, found := n.raft.log.term(e.Index)
		compacted := e.Index <= n.raft.log.base.Index
		if e.Term < term && !compacted && (!found || got != e.Term) {
			c.t.Fatalf("leader %s of term %d lacks committed entry %d of term %d", n.id, term, e.Index, e.Term)
		}
	}
}

func (c *cluster) crash(n *node) { n.raft = nil }

func (c *cluster) restart(n *node) {
	if n.raft != nil {
		return
	}
	n.applied = n.snapshot.Index
	n.raft = Load(c.settings(n.id, uint64(c.now)+1), c.localTime(n), n.hard, n.snapshot, slices.Clone(n.entries))
}

// wipe replaces a node by one with an empty disk and a new ID, which joins as a learner.
func (c *cluster) wipe(n *node) {
	c.wipes++
	c.wipedAt = c.now
	delete(c.nodes, n.id)
	c.order = slices.DeleteFunc(c.order, func(id ID) bool { return id == n.id })
	replacement := c.add(ID(fmt.Sprintf("w%d", c.wipes)))
	c.join(replacement)
}

func (c *cluster) join(n *node) {
	if l := c.leader(); l != nil {
		c.ticket++
		l.raft.Step(c.localTime(l), Change{Ticket: c.ticket, Kind: AddLearner, Member: Member{ID: n.id, Name: string(n.id), Disk: true, Zone: "z9"}})
		c.carryOut(l, afterAll)
	}
}

// leader returns the leader with the latest term among the nodes that are up and not partitioned, or
// nil.
func (c *cluster) leader() *node {
	var best *node
	for _, id := range c.order {
		n := c.nodes[id]
		if n.raft != nil && n.raft.Role == Leader && !c.partitioned[id] && (best == nil || n.raft.Hard.Term > best.raft.Hard.Term) {
			best = n
		}
	}
	return best
}

func (c *cluster) step(n *node, e Event, point crashPoint) {
	if n.raft == nil {
		return
	}
	n.raft.Step(c.localTime(n), e)
	c.carryOut(n, point)
}

// deliver takes message i from the network and passes it to its receiver.
func (c *cluster) deliver(i int, point crashPoint) {
	m := c.inTransit[i]
	c.inTransit = slices.Delete(c.inTransit, i, i+1)
	n := c.nodes[m.To]
	if n == nil || c.partitioned[m.To] {
		return
	}
	c.step(n, Receive{Message: m}, point)
}

// run advances time by d. All nodes tick, and messages are delivered in the order in which they were
// sent. If loss is above zero, about one in loss+1 messages is lost.
func (c *cluster) run(d clock.Duration, loss int) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(50) {
		for _, id := range slices.Clone(c.order) {
			c.step(c.nodes[id], Tick{}, afterAll)
		}
		for round := 0; round < 4 && len(c.inTransit) > 0; round++ {
			c.deliverAll(loss)
		}
	}
}

func (c *cluster) deliverAll(loss int) {
	for range len(c.inTransit) {
		if loss > 0 && rapid.IntRange(0, loss).Draw(c.t, "loss") == 0 {
			c.inTransit = slices.Delete(c.inTransit, 0, 1)
			continue
		}
		c.deliver(0, afterAll)
	}
}

func (c *cluster) any(t *rapid.T) *node {
	return c.nodes[rapid.SampledFrom(c.order).Draw(t, "node")]
}

// heal ends all faults and checks that the group elects a leader and commits a command.
func (c *cluster) heal() {
	clear(c.partitioned)
	clear(c.sendBlocked)
	for _, id := range c.order {
		c.restart(c.nodes[id])
	}
	c.run(20_000, 0)
	l := c.leader()
	if l == nil {
		c.t.Fatalf("got no leader within 20 s after the end of all faults")
	}
	before := len(c.committed)
	c.ticket++
	c.step(l, Propose{Ticket: c.ticket, Data: []byte("after")}, afterAll)
	c.run(2000, 0)
	if len(c.committed) <= before {
		c.t.Fatalf("no entry was committed within 2 s after the end of all faults")
	}
}

// TestStatefulQuorum applies random events and faults to a cluster: crashes around a sync, partitions,
// lost, reordered and duplicated messages, lost disks and membership changes. Afterwards the group must
// commit again.
func TestStatefulQuorum(t *testing.T) { checkRandomEvents(t, 3) }

// TestStatefulQuorumOfMostVoters does the same in a group of the largest size.
func TestStatefulQuorumOfMostVoters(t *testing.T) { checkRandomEvents(t, MaxVoters) }

func checkRandomEvents(t *testing.T, voters int) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, voters)
		c.run(4000, 0)
		t.Repeat(map[string]func(*rapid.T){
			"run":    func(t *rapid.T) { c.run(clock.Duration(rapid.IntRange(50, 3000).Draw(t, "time")), 0) },
			"lossy":  func(t *rapid.T) { c.run(clock.Duration(rapid.IntRange(50, 2000).Draw(t, "time")), 4) },
			"tick":   func(t *rapid.T) { c.step(c.any(t), Tick{}, randomCrashPoint(t)) },
			"late":   c.deliverRandom,
			"twice":  c.duplicate,
			"write":  c.proposeCommands,
			"crash":  func(t *rapid.T) { c.crash(c.any(t)) },
			"start":  func(t *rapid.T) { c.restart(c.any(t)) },
			"cut":    func(t *rapid.T) { id := c.any(t).id; c.partitioned[id] = !c.partitioned[id] },
			"mute":   func(t *rapid.T) { id := c.any(t).id; c.sendBlocked[id] = !c.sendBlocked[id] },
			"shift":  func(t *rapid.T) { c.step(c.any(t), Transfer{}, afterAll) },
			"shrink": c.compact,
			"change": c.changeMember,
			"wipe":   c.wipeRandom,
			"repair": func(t *rapid.T) { clear(c.partitioned); clear(c.sendBlocked); c.run(8000, 0) },
			"":       func(*rapid.T) {},
		})
		c.heal()
	})
}

func randomCrashPoint(t *rapid.T) crashPoint {
	return crashPoint(rapid.SampledFrom([]int{int(beforeSync), int(afterSync), int(afterAll), int(afterAll)}).Draw(t, "crash"))
}

func (c *cluster) deliverRandom(t *rapid.T) {
	if len(c.inTransit) == 0 {
		t.Skip("no message in transit")
	}
	c.deliver(rapid.IntRange(0, len(c.inTransit)-1).Draw(t, "message"), randomCrashPoint(t))
}

func (c *cluster) duplicate(t *rapid.T) {
	if len(c.inTransit) == 0 {
		t.Skip("no message in transit")
	}
	c.inTransit = append(c.inTransit, rapid.SampledFrom(c.inTransit).Draw(t, "message"))
}

func (c *cluster) proposeCommands(t *rapid.T) {
	n := c.any(t)
	for range rapid.IntRange(1, 5).Draw(t, "writes") {
		c.ticket++
		c.step(n, Propose{Ticket: c.ticket, Data: fmt.Appendf(nil, "command %d", c.ticket)}, randomCrashPoint(t))
	}
}

func (c *cluster) compact(t *rapid.T) {
	n := c.any(t)
	if n.raft == nil || n.applied <= n.snapshot.Index {
		t.Skip("no applied entry to compact")
	}
	n.raft.Step(c.localTime(n), Compact{Index: n.applied, Data: fmt.Appendf(nil, "up to %d", n.applied)})
	n.snapshot, n.entries = n.raft.SnapshotAndEntries()
	n.entries = slices.Clone(n.entries)
}

// changeMember requests a random change of one member from a random node, which may not be the leader.
func (c *cluster) changeMember(t *rapid.T) {
	n, m := c.any(t), c.any(t)
	if c.wipes > 0 && c.now.Sub(c.wipedAt) < 3000 {
		t.Skip("removing a member right after a lost disk would be a second loss")
	}
	kind := rapid.SampledFrom([]ChangeKind{Promote, Remove, AddLearner}).Draw(t, "kind")
	c.ticket++
	c.step(n, Change{Ticket: c.ticket, Kind: kind, Member: Member{ID: m.id, Name: string(m.id), Disk: true}}, randomCrashPoint(t))
}

// wipeRandom wipes the disk of a random node other than the leader, but only while the group can lose
// one more member without losing data.
func (c *cluster) wipeRandom(t *rapid.T) {
	l := c.leader()
	n := c.any(t)
	if l == nil || l == n || l.raft.RepairState(c.localTime(l)) != Healthy || c.wipes > 6 || c.wipes > 0 && c.now.Sub(c.wipedAt) < 3000 {
		t.Skip("losing one more member could lose data")
	}
	c.wipe(n)
}

// deliverBetween delivers up to limit messages between nodes a and b and drops all others.
func (c *cluster) deliverBetween(a, b ID, limit int) {
	for len(c.inTransit) > 0 && limit > 0 {
		m := c.inTransit[0]
		if (m.From == a && m.To == b) || (m.From == b && m.To == a) {
			c.deliver(0, afterAll)
			limit--
			continue
		}
		c.inTransit = c.inTransit[1:]
	}
	c.inTransit = nil
}

// electionMessages counts a pre-vote and a vote, each with its reply.
const electionMessages = 4

// elect makes node id campaign, with only the messages between it and voter delivered.
func (c *cluster) elect(id, voter ID) {
	c.now = c.now.Add(10_000)
	c.inTransit = nil
	c.step(c.nodes[id], Tick{}, afterAll)
	c.deliverBetween(id, voter, electionMessages)
}

// TestEarlierTermsCommitOnlyWithCurrentTerm covers an entry of an earlier term that is stored by a
// majority but may still be overwritten: it must not be committed before an entry of the leader's own
// term is. Each command fills a message, so that the leader's own entry arrives in a later message than
// those before it.
func TestEarlierTermsCommitOnlyWithCurrentTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		voters := []ID{c.order[0], c.order[1], c.order[2]}
		for range rapid.IntRange(3, 6).Draw(t, "leaders") {
			ids := rapid.Permutation(voters).Draw(t, "order")
			c.restart(c.nodes[ids[0]])
			c.restart(c.nodes[ids[1]])
			c.elect(ids[0], ids[1])
			if rapid.Bool().Draw(t, "write") {
				c.ticket++
				data := fmt.Appendf(nil, "command %064d", c.ticket)
				c.step(c.nodes[ids[0]], Propose{Ticket: c.ticket, Data: data}, afterAll)
			}
			c.step(c.nodes[ids[0]], Tick{}, afterAll)
			c.deliverBetween(ids[0], ids[1], rapid.IntRange(0, 8).Draw(t, "messages"))
			c.crash(c.nodes[ids[0]])
		}
		c.heal()
	})
}
