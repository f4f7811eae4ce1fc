package slope

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"swiftbeam/internal/member"
	"swiftbeam/internal/peers"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/route"
	"swiftbeam/internal/state"
	"swiftbeam/internal/stream"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/internal/wire/peerpb/peerpbconnect"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// Sizes at which the series are measured. payloadSizes are in bytes, streamSizes in tokens and journalSizes
// in calls.
var (
	groupSizes    = []int{10, 50, 200, 390}
	replicaCounts = []int{20, 200, 750, 1500}
	sectionCounts = []int{10, 50, 100, 200}
	journalSizes  = []int{100, 1000, 5000, 20000}
	streamSizes   = []int{50, 200, 500, 1000}
	payloadSizes  = []int{100, 1000, 4000, 16000}
)

// MeasureAll measures all series.
func MeasureAll() []Series {
	return []Series{
		measureSeries("leaderSecond", "daemons", "microseconds of the leader's core a second at rest", groupSizes, leaderTimePerSecond),
		measureSeries("leaderSecondUniform", "daemons", "the same with the voters' heartbeat for learners (earlier version)", groupSizes, leaderTimePerSecondUniform),
		measureSeries("leaderMessages", "daemons", "messages of the leader a second at rest", groupSizes, leaderMessages),
		measureSeries("leaderMessagesUniform", "daemons", "the same with the voters' heartbeat for learners (earlier version)", groupSizes, leaderMessagesUniform),
		measureSeries("leaderCommit", "daemons", "microseconds of the leader's core for one commit of 2 KB", groupSizes, leaderTimePerCommit),
		measureSeries("callTime", "payload bytes", "microseconds of one call between daemons, both ends", payloadSizes, callTime),
		measureSeries("callBytes", "payload bytes", "bytes on the wire of one call between daemons", payloadSizes, callBytes),
		measureSeries("gossipBytes", "replicas", "bytes of a full gossip message", replicaCounts, gossipBytes),
		measureSeries("gossipMerge", "replicas", "microseconds to merge a full gossip message", replicaCounts, gossipMerge),
		measureSeries("choice", "replicas", "microseconds of a routing choice", replicaCounts, choiceTime),
		measureSeries("tableMemory", "replicas", "KB of the lease table and the pool", replicaCounts, tableMemory),
		measureSeries("putSection", "sections", "microseconds to check and apply a section", sectionCounts, putSection),
		measureSeries("stateMemory", "sections", "KB of sections with a full history of 2 KB texts", sectionCounts, stateMemory),
		measureSeries("onceMemory", "calls in the journal", "KB of the journal", journalSizes, journalMemory),
		measureSeries("snapshotTime", "calls in the journal", "microseconds to encode a snapshot", journalSizes, snapshotTime),
		measureSeries("streamMemory", "tokens", "KB of one held stream", streamSizes, streamMemory),
		measureSeries("relayTokens", "tokens", "microseconds to append, mirror and show the tokens of a stream", streamSizes, relayTokens),
	}
}

// leaderGroup is a replication group in virtual time that consists of a real leader and of simulated members
// that reply immediately.
type leaderGroup struct {
	raft     *quorum.Raft
	now      clock.Instant
	messages int
}

func newLeaderGroup(size int, learnerHeartbeat clock.Duration) *leaderGroup {
	settings := quorum.Settings{
		Self: "d0", ElectionTimeout: 1000, Heartbeat: 150, LearnerHeartbeat: learnerHeartbeat, Voters: 5, BatchBytes: 1 << 20, Seed: 1,
	}
	g := &leaderGroup{raft: quorum.New(settings, 0)}
	var members []quorum.Member
	for i := range size {
		members = append(members, quorum.Member{ID: quorum.ID(fmt.Sprint("d", i)), Name: fmt.Sprint("d", i), Voter: i < 5})
	}
	g.raft.Bootstrap(members)
	for g.raft.Role != quorum.Leader {
		g.tick()
	}
	for range 40 {
		g.tick()
	}
	return g
}

// tick advances the time by 75 ms and replies to all messages of the leader.
func (g *leaderGroup) tick() {
	g.now = g.now.Add(75)
	g.raft.Step(g.now, quorum.Tick{})
	g.replyToAll()
}

func (g *leaderGroup) replyToAll() {
	for a := g.raft.Take(); len(a.Messages) > 0; a = g.raft.Take() {
		g.messages += len(a.Messages)
		for _, m := range a.Messages {
			g.raft.Step(g.now, quorum.Receive{Message: newReply(m)})
		}
	}
}

func newReply(m quorum.Message) quorum.Message {
	r := quorum.Message{From: m.To, To: m.From, Term: m.Term, Index: m.Index + uint64(len(m.Entries))}
	switch m.Kind {
	case quorum.PreVote:
		r.Kind = quorum.PreVoteReply
	case quorum.Vote:
		r.Kind = quorum.VoteReply
	default:
		r.Kind = quorum.AppendReply
	}
	return r
}

// ticksPerSecond is the number of ticks in about one second of virtual time.
const ticksPerSecond = 13

func (g *leaderGroup) runSecond() {
	for range ticksPerSecond {
		g.tick()
	}
}

func leaderTimePerSecond(size int) float64 { return microseconds(newLeaderGroup(size, 1000).runSecond) }
func leaderTimePerSecondUniform(size int) float64 {
	return microseconds(newLeaderGroup(size, 0).runSecond)
}

func leaderMessages(size int) float64        { return messagesPerSecond(newLeaderGroup(size, 1000)) }
func leaderMessagesUniform(size int) float64 { return messagesPerSecond(newLeaderGroup(size, 0)) }

func messagesPerSecond(g *leaderGroup) float64 {
	const seconds = 20
	g.messages = 0
	for range seconds {
		g.runSecond()
	}
	return float64(g.messages) / seconds
}

func leaderTimePerCommit(size int) float64 {
	g := newLeaderGroup(size, 1000)
	data := make([]byte, 2048)
	ticket := uint64(0)
	return microseconds(func() {
		ticket++
		g.raft.Step(g.now, quorum.Propose{Ticket: ticket, Data: data})
		g.replyToAll()
		if ticket%64 == 0 {
			g.raft.Step(g.now, quorum.Compact{Index: g.raft.Commit})
		}
	})
}

// gossipServer accepts gossip messages and ignores them.
type gossipServer struct {
	peerpbconnect.UnimplementedPeersHandler
}

// Gossip returns an empty response.
func (gossipServer) Gossip(context.Context, *connect.Request[peerpb.GossipRequest]) (*connect.Response[peerpb.GossipResponse], error) {
	return connect.NewResponse(&peerpb.GossipResponse{}), nil
}

// startCaller starts a gossipServer on loopback. It returns a function that makes one call with a payload of
// size bytes, the counter of the bytes sent and received, and a function that stops the server.
func startCaller(size int) (call func(), bytes *atomic.Int64, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic("slope: " + err.Error())
	}
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeersHandler(gossipServer{}))
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	n := peers.New(peers.Options{Token: "a token of usual length"})
	client := n.Client(l.Addr().String())
	request := &peerpb.GossipRequest{From: &peerpb.Member{Name: string(make([]byte, size))}}
	call = func() { _, _ = client.Gossip(context.Background(), connect.NewRequest(request)) }
	return call, &n.Bytes, func() { _ = server.Close() }
}

func callTime(size int) float64 {
	call, _, stop := startCaller(size)
	defer stop()
	return microseconds(call)
}

func callBytes(size int) float64 {
	call, bytes, stop := startCaller(size)
	defer stop()
	call()
	const calls = 50
	before := bytes.Load()
	for range calls {
		call()
	}
	return float64(bytes.Load()-before) / calls
}

func newBackend(i int, sequence uint64) fleet.Backend {
	return fleet.Backend{
		Service: "luthier-model", Version: "v1", Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Zone: fmt.Sprint("zone-", i%28),
		Incarnation: 1764800000000000000, Sequence: sequence, Slots: 16, Running: 9, MachineClass: "std", Reclaimable: true,
	}
}

func newGossip(size int, sequence uint64) *peerpb.GossipRequest {
	m := &peerpb.GossipRequest{From: &peerpb.Member{Id: "d1", Name: "d1", Address: "10.0.0.1:1"}}
	for i := range size {
		b := newBackend(i, sequence)
		m.Backends = append(m.Backends, wire.BackendToPB(0, &b))
	}
	return m
}

func gossipBytes(size int) float64 { return float64(proto.Size(newGossip(size, 1000))) }

func gossipMerge(size int) float64 {
	table := &member.Table{Lease: 3000}
	sequence := uint64(0)
	list := make([]fleet.Backend, size)
	return microseconds(func() {
		sequence++
		m := newGossip(size, sequence)
		for i, b := range m.GetBackends() {
			list[i], _ = wire.BackendFromPB(0, b)
		}
		table.MergeGossip(0, member.Daemon{ID: "d1"}, list)
	})
}

func newPool(size int) *route.Pool {
	p := &route.Pool{Costs: route.DefaultCosts, Daemons: 8}
	for i := range size {
		b := newBackend(i, 1)
		p.Put(&b)
	}
	return p
}

func choiceTime(size int) float64 {
	p := newPool(size)
	q := &route.Query{Now: 1, Zone: "zone-1", Prefixes: []uint64{1, 2, 3, 4, 5, 6, 7, 8}}
	return microseconds(func() {
		q.Draw = q.Draw*6364136223846793005 + 1
		p.Choose(route.Score{}, q)
	})
}

// routingTables contains the data that routing stores about the backend servers.
type routingTables struct {
	table *member.Table
	pool  *route.Pool
}

func tableMemory(size int) float64 {
	return kilobytes(func() routingTables {
		k := routingTables{table: &member.Table{Lease: 3000}, pool: newPool(size)}
		for i := range size {
			k.table.Announce(0, newBackend(i, 1))
		}
		return k
	})
}

func sectionText(i, version int) string {
	return fmt.Sprintf(`{"kind": "service", "type": "plain", "version": "v%d", "routes": [{"name": "a", "path": "/p%d"}], /* %01900d */}`, version, i, i)
}

func newStateWithSections(size, versions int) *state.State {
	s := &state.State{}
	for version := range versions {
		for i := range size {
			s.Apply(s.Applied+1, state.Command{Body: state.PutSection{
				Operation: fmt.Sprint(i, "/", version), Section: fmt.Sprint("s", i), Owner: "o", Base: uint64(version), Text: sectionText(i, version),
			}})
		}
	}
	return s
}

func putSection(size int) float64 {
	s := newStateWithSections(size, 1)
	version := uint64(1)
	return microseconds(func() {
		s.Apply(s.Applied+1, state.Command{Body: state.PutSection{
			Operation: fmt.Sprint("put ", version), Section: "s0", Owner: "o", Base: version, Text: sectionText(0, int(version)),
		}})
		version++
	})
}

func stateMemory(size int) float64 {
	return kilobytes(func() *state.State { return newStateWithSections(size, state.HistoryLength) })
}

func newStateWithJournal(size int) *state.State {
	s := &state.State{}
	for i := range size {
		key := state.OnceKey{Account: "oficina-barros", Route: "deposits", Key: fmt.Sprintf("%032d", i)}
		request := fmt.Sprintf("req_%024d", i)
		s.Apply(s.Applied+1, state.Command{Body: state.OnceBegin{OnceKey: key, Digest: make([]byte, 32), Request: request, Holder: "entry-1.0123456789abcdef"}})
		s.Apply(s.Applied+1, state.Command{Body: state.OnceEnd{OnceKey: key, Request: request, Outcome: state.Answered, Status: 200, ContentType: "application/json", Body: make([]byte, 200)}})
	}
	return s
}

func journalMemory(size int) float64 {
	return kilobytes(func() *state.State { return newStateWithJournal(size) })
}

func snapshotTime(size int) float64 {
	s := newStateWithJournal(size)
	return microseconds(func() { wire.EncodeState(s) })
}

func streamMemory(size int) float64 {
	const streams = 64
	return kilobytes(func() []*stream.Record {
		var list []*stream.Record
		for range streams {
			r := stream.NewRecord(stream.Request{ID: "req_0123456789abcdef01234567", Body: make([]byte, 4096)})
			for i := range size {
				r.Append(fmt.Sprintf("t%04x ", i))
			}
			list = append(list, r)
		}
		return list
	}) / streams
}

func relayTokens(size int) float64 {
	return microseconds(func() {
		holder := stream.NewRecord(stream.Request{ID: "r"})
		holder.SetHolder("d0", 1)
		mirror := stream.Restore(0, holder.Segment(0))
		for i := range size {
			holder.Append("token ")
			m := wire.SegmentToPB(holder.Segment(i))
			mirror.Merge(0, wire.SegmentFromPB(m))
			holder.Show(i + 1)
		}
	})
}
