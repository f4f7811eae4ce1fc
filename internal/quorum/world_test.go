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

// world runs a group on a virtual clock with a network and disks that misbehave, and checks the
// invariants of the package after each step.
type world struct {
	t     *rapid.T
	now   clock.Instant
	nodes map[ID]*node
	order []ID
	wires []Message
	cut   map[ID]bool // cut off in both directions
	mute  map[ID]bool // sends nothing, hears all

	committed []Entry
	leaders   map[uint64]ID
	ticket    uint64
	wiped     int
	wipedAt   clock.Instant
}

// node is one member with its disk. A node that is down has no core.
type node struct {
	id       ID
	core     *Core
	hard     HardState
	snapshot Snapshot
	entries  []Entry
	applied  uint64
	disk     bool
	// drift is the speed of the clock in thousandths.
	drift int64
}

func worldSettings(id ID, seed uint64) Settings {
	return Settings{
		Self: id, ElectionTimeout: 1000, Heartbeat: 150, LearnerHeartbeat: 900, ReplaceAfter: 6000, RemoveLearnerAfter: 9000,
		Voters: 3, BatchBytes: 64, Seed: seed,
	}
}

// maxDrift is the drift of the clocks in thousandths.
const maxDrift = 50

func newWorld(t *rapid.T) *world {
	w := &world{t: t, nodes: map[ID]*node{}, cut: map[ID]bool{}, mute: map[ID]bool{}, leaders: map[uint64]ID{}}
	var members []Member
	for i := range 5 {
		id := ID(fmt.Sprintf("n%d", i))
		w.add(id)
		members = append(members, Member{ID: id, Name: string(id), Zone: fmt.Sprintf("z%d", i%3), Voter: i < 3, Disk: true})
	}
	for _, id := range w.order[:3] {
		n := w.nodes[id]
		n.core.Bootstrap(members)
		w.settle(n, afterAll)
	}
	return w
}

func (w *world) add(id ID) *node {
	n := &node{id: id, disk: true, drift: int64(rapid.IntRange(-maxDrift, maxDrift).Draw(w.t, "drift"))}
	n.core = New(worldSettings(id, uint64(len(w.order)+1)), w.local(n))
	w.nodes[id] = n
	w.order = append(w.order, id)
	return n
}

// local returns the clock of a node.
func (w *world) local(n *node) clock.Instant {
	return w.now + w.now*clock.Instant(n.drift)/1000
}

// crashPoint is where a node crashes while it carries out actions.
type crashPoint int

const (
	beforeSync crashPoint = iota
	afterSync
	afterAll
)

// settle carries out the actions of a node up to the crash point.
func (w *world) settle(n *node, point crashPoint) {
	a := n.core.Take()
	if point == beforeSync {
		w.crash(n)
		return
	}
	n.save(a)
	if point == afterSync {
		w.crash(n)
		return
	}
	if !w.cut[n.id] && !w.mute[n.id] {
		w.wires = append(w.wires, a.Messages...)
	}
	if a.Restore != nil {
		n.applied = a.Restore.Index
	}
	for _, e := range a.Committed {
		w.apply(n, e)
	}
	w.checkLeader(n)
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

func (w *world) apply(n *node, e Entry) {
	if e.Index <= n.applied {
		return
	}
	if e.Index != n.applied+1 {
		w.t.Fatalf("%s applied entry %d after %d", n.id, e.Index, n.applied)
	}
	n.applied = e.Index
	if int(e.Index) > len(w.committed) {
		w.committed = append(w.committed, e)
		return
	}
	if got, want := e, w.committed[e.Index-1]; got.Term != want.Term || !bytes.Equal(got.Data, want.Data) {
		w.t.Fatalf("%s applied %d/%d %q, want %d/%d %q", n.id, got.Index, got.Term, got.Data, want.Index, want.Term, want.Data)
	}
}

func (w *world) checkLeader(n *node) {
	if n.core == nil || n.core.Role != Leader {
		return
	}
	term := n.core.Hard.Term
	if other, taken := w.leaders[term]; taken && other != n.id {
		w.t.Fatalf("%s and %s lead term %d", other, n.id, term)
	}
	w.leaders[term] = n.id
	// A leader that was cut off may lack what later terms committed, but nothing of earlier ones.
	for _, e := range w.committed {
		got, held := n.core.log.term(e.Index)
		compacted := e.Index <= n.core.log.base.Index
		if e.Term < term && !compacted && (!held || got != e.Term) {
			w.t.Fatalf("leader %s of term %d lacks committed entry %d of term %d", n.id, term, e.Index, e.Term)
		}
	}
}

func (w *world) crash(n *node) { n.core = nil }

func (w *world) restart(n *node) {
	if n.core != nil {
		return
	}
	n.applied = n.snapshot.Index
	n.core = Load(worldSettings(n.id, uint64(w.now)+1), w.local(n), n.hard, n.snapshot, slices.Clone(n.entries))
}

// wipe replaces a node by one with an empty disk and a new identity, which joins as a learner.
func (w *world) wipe(n *node) {
	w.wiped++
	w.wipedAt = w.now
	delete(w.nodes, n.id)
	w.order = slices.DeleteFunc(w.order, func(id ID) bool { return id == n.id })
	fresh := w.add(ID(fmt.Sprintf("w%d", w.wiped)))
	w.join(fresh)
}

func (w *world) join(n *node) {
	if l := w.leader(); l != nil {
		w.ticket++
		l.core.Step(w.local(l), Change{Ticket: w.ticket, Kind: AddLearner, Member: Member{ID: n.id, Name: string(n.id), Disk: true, Zone: "z9"}})
		w.settle(l, afterAll)
	}
}

// leader returns the leader of the latest term that is up and not cut off.
func (w *world) leader() *node {
	var best *node
	for _, id := range w.order {
		n := w.nodes[id]
		if n.core != nil && n.core.Role == Leader && !w.cut[id] && (best == nil || n.core.Hard.Term > best.core.Hard.Term) {
			best = n
		}
	}
	return best
}

func (w *world) step(n *node, e Event, point crashPoint) {
	if n.core == nil {
		return
	}
	n.core.Step(w.local(n), e)
	w.settle(n, point)
}

// deliver hands over message i and removes it from the network.
func (w *world) deliver(i int, point crashPoint) {
	m := w.wires[i]
	w.wires = slices.Delete(w.wires, i, i+1)
	n := w.nodes[m.To]
	if n == nil || w.cut[m.To] {
		return
	}
	w.step(n, Receive{Message: m}, point)
}

// run lets time pass with all nodes ticking and the network delivering in order, losing one in
// loss messages.
func (w *world) run(d clock.Duration, loss int) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(50) {
		for _, id := range slices.Clone(w.order) {
			w.step(w.nodes[id], Tick{}, afterAll)
		}
		for round := 0; round < 4 && len(w.wires) > 0; round++ {
			w.deliverAll(loss)
		}
	}
}

func (w *world) deliverAll(loss int) {
	for range len(w.wires) {
		if loss > 0 && rapid.IntRange(0, loss).Draw(w.t, "loss") == 0 {
			w.wires = slices.Delete(w.wires, 0, 1)
			continue
		}
		w.deliver(0, afterAll)
	}
}

func (w *world) any(t *rapid.T) *node {
	return w.nodes[rapid.SampledFrom(w.order).Draw(t, "node")]
}

// heal ends all faults and checks that the group commits again.
func (w *world) heal() {
	clear(w.cut)
	clear(w.mute)
	for _, id := range w.order {
		w.restart(w.nodes[id])
	}
	w.run(20_000, 0)
	l := w.leader()
	if l == nil {
		w.t.Fatalf("no leader after the faults ended")
	}
	before := len(w.committed)
	w.ticket++
	w.step(l, Propose{Ticket: w.ticket, Data: []byte("after")}, afterAll)
	w.run(2000, 0)
	if len(w.committed) <= before {
		w.t.Fatalf("nothing was committed after the faults ended")
	}
}

func TestStatefulQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.run(4000, 0)
		t.Repeat(map[string]func(*rapid.T){
			"run":    func(t *rapid.T) { w.run(clock.Duration(rapid.IntRange(50, 3000).Draw(t, "time")), 0) },
			"lossy":  func(t *rapid.T) { w.run(clock.Duration(rapid.IntRange(50, 2000).Draw(t, "time")), 4) },
			"tick":   func(t *rapid.T) { w.step(w.any(t), Tick{}, drawPoint(t)) },
			"late":   w.deliverOutOfOrder,
			"twice":  w.duplicate,
			"write":  w.write,
			"crash":  func(t *rapid.T) { w.crash(w.any(t)) },
			"start":  func(t *rapid.T) { w.restart(w.any(t)) },
			"cut":    func(t *rapid.T) { id := w.any(t).id; w.cut[id] = !w.cut[id] },
			"mute":   func(t *rapid.T) { id := w.any(t).id; w.mute[id] = !w.mute[id] },
			"shift":  func(t *rapid.T) { w.step(w.any(t), Transfer{}, afterAll) },
			"shrink": w.compact,
			"change": w.change,
			"wipe":   w.wipeOne,
			"repair": func(t *rapid.T) { clear(w.cut); clear(w.mute); w.run(8000, 0) },
			"":       func(*rapid.T) {},
		})
		w.heal()
	})
}

func drawPoint(t *rapid.T) crashPoint {
	return crashPoint(rapid.SampledFrom([]int{int(beforeSync), int(afterSync), int(afterAll), int(afterAll)}).Draw(t, "crash"))
}

func (w *world) deliverOutOfOrder(t *rapid.T) {
	if len(w.wires) == 0 {
		t.Skip("nothing on the network")
	}
	w.deliver(rapid.IntRange(0, len(w.wires)-1).Draw(t, "message"), drawPoint(t))
}

func (w *world) duplicate(t *rapid.T) {
	if len(w.wires) == 0 {
		t.Skip("nothing on the network")
	}
	w.wires = append(w.wires, rapid.SampledFrom(w.wires).Draw(t, "message"))
}

func (w *world) write(t *rapid.T) {
	n := w.any(t)
	for range rapid.IntRange(1, 5).Draw(t, "writes") {
		w.ticket++
		w.step(n, Propose{Ticket: w.ticket, Data: fmt.Appendf(nil, "command %d", w.ticket)}, drawPoint(t))
	}
}

func (w *world) compact(t *rapid.T) {
	n := w.any(t)
	if n.core == nil || n.applied <= n.snapshot.Index {
		t.Skip("nothing to compact")
	}
	n.core.Step(w.local(n), Compact{Index: n.applied, Data: fmt.Appendf(nil, "up to %d", n.applied)})
	n.snapshot, n.entries = n.core.SnapshotAndEntries()
	n.entries = slices.Clone(n.entries)
}

// change asks a random member, leader or not, for a random change of one member.
func (w *world) change(t *rapid.T) {
	n, m := w.any(t), w.any(t)
	if w.wiped > 0 && w.now.Sub(w.wipedAt) < 3000 {
		t.Skip("a removal right after a lost disk is a second loss")
	}
	kind := rapid.SampledFrom([]ChangeKind{Promote, Remove, AddLearner}).Draw(t, "kind")
	w.ticket++
	w.step(n, Change{Ticket: w.ticket, Kind: kind, Member: Member{ID: m.id, Name: string(m.id), Disk: true}}, drawPoint(t))
}

// wipeOne loses the disk of a member, as long as one more loss loses nothing.
func (w *world) wipeOne(t *rapid.T) {
	l := w.leader()
	n := w.any(t)
	if l == nil || l == n || l.core.RepairState(w.local(l)) != Healthy || w.wiped > 6 || w.wiped > 0 && w.now.Sub(w.wipedAt) < 3000 {
		t.Skip("one more loss could lose something")
	}
	w.wipe(n)
}

// link delivers up to limit messages between two nodes and loses all others.
func (w *world) link(a, b ID, limit int) {
	for len(w.wires) > 0 && limit > 0 {
		m := w.wires[0]
		if (m.From == a && m.To == b) || (m.From == b && m.To == a) {
			w.deliver(0, afterAll)
			limit--
			continue
		}
		w.wires = w.wires[1:]
	}
	w.wires = nil
}

// electionMessages are a pre-vote and a vote, each with its answer.
const electionMessages = 4

// elect lets a node campaign for the vote of another one.
func (w *world) elect(id, vote ID) {
	w.now = w.now.Add(10_000)
	w.wires = nil
	w.step(w.nodes[id], Tick{}, afterAll)
	w.link(id, vote, electionMessages)
}

// TestEarlierTermsCommitThroughTheLeadersOwn covers the case in which an entry of an earlier
// term is on a majority and may still be replaced. Commands fill a message each, so that a
// leader's own entry arrives later than those before it.
func TestEarlierTermsCommitThroughTheLeadersOwn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		voters := []ID{w.order[0], w.order[1], w.order[2]}
		for range rapid.IntRange(3, 6).Draw(t, "leaders") {
			ids := rapid.Permutation(voters).Draw(t, "order")
			w.restart(w.nodes[ids[0]])
			w.restart(w.nodes[ids[1]])
			w.elect(ids[0], ids[1])
			if rapid.Bool().Draw(t, "write") {
				w.ticket++
				data := fmt.Appendf(nil, "command %064d", w.ticket)
				w.step(w.nodes[ids[0]], Propose{Ticket: w.ticket, Data: data}, afterAll)
			}
			w.step(w.nodes[ids[0]], Tick{}, afterAll)
			w.link(ids[0], ids[1], rapid.IntRange(0, 8).Draw(t, "messages"))
			w.crash(w.nodes[ids[0]])
		}
		w.heal()
	})
}
