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

// Sizes that drive the measurements.
var (
	daemons  = []int{10, 50, 200, 390}
	replicas = []int{20, 200, 750, 1500}
	sections = []int{10, 50, 100, 200}
	records  = []int{100, 1000, 5000, 20000}
	tokens   = []int{50, 200, 500, 1000}
	payloads = []int{100, 1000, 4000, 16000}
)

// MeasureAll measures every mechanism.
func MeasureAll() []Series {
	return []Series{
		series("leaderSecond", "daemons", "microseconds of the leader's core a second at rest", daemons, leaderSecond),
		series("leaderSecondUniform", "daemons", "the same with the voters' heartbeat for learners (earlier version)", daemons, leaderSecondUniform),
		series("leaderMessages", "daemons", "messages of the leader a second at rest", daemons, leaderMessages),
		series("leaderMessagesUniform", "daemons", "the same with the voters' heartbeat for learners (earlier version)", daemons, leaderMessagesUniform),
		series("leaderCommit", "daemons", "microseconds of the leader's core for one commit of 2 KB", daemons, leaderCommit),
		series("callTime", "payload bytes", "microseconds of one call between daemons, both ends", payloads, callTime),
		series("callBytes", "payload bytes", "bytes on the wire of one call between daemons", payloads, callBytes),
		series("gossipBytes", "replicas", "bytes of a full gossip message", replicas, gossipBytes),
		series("gossipMerge", "replicas", "microseconds to merge a full gossip message", replicas, gossipMerge),
		series("choice", "replicas", "microseconds of a routing choice", replicas, choice),
		series("tableMemory", "replicas", "KB of the lease table and the pool", replicas, tableMemory),
		series("putSection", "sections", "microseconds to check and apply a section", sections, putSection),
		series("stateMemory", "sections", "KB of sections with a full history of 2 KB texts", sections, stateMemory),
		series("onceMemory", "calls in the journal", "KB of the journal", records, onceMemory),
		series("snapshotTime", "calls in the journal", "microseconds to encode a snapshot", records, snapshotTime),
		series("streamMemory", "tokens", "KB of one held stream", tokens, streamMemory),
		series("relayTokens", "tokens", "microseconds to append, mirror and show the tokens of a stream", tokens, relayTokens),
	}
}

// group returns a leader and runs a second of virtual time at a time against members that
// answer at once.
type group struct {
	core     *quorum.Core
	now      clock.Instant
	messages int
}

func newGroup(size int, learnerBeat clock.Duration) *group {
	settings := quorum.Settings{
		Self: "d0", ElectionTimeout: 1000, Heartbeat: 150, LearnerHeartbeat: learnerBeat, Voters: 5, BatchBytes: 1 << 20, Seed: 1,
	}
	g := &group{core: quorum.New(settings, 0)}
	var members []quorum.Member
	for i := range size {
		members = append(members, quorum.Member{ID: quorum.ID(fmt.Sprint("d", i)), Name: fmt.Sprint("d", i), Voter: i < 5})
	}
	g.core.Bootstrap(members)
	for g.core.Role != quorum.Leader {
		g.tick()
	}
	for range 40 {
		g.tick()
	}
	return g
}

// tick lets 75 ms pass and answers all messages of the leader.
func (g *group) tick() {
	g.now = g.now.Add(75)
	g.core.Step(g.now, quorum.Tick{})
	g.answer()
}

func (g *group) answer() {
	for a := g.core.Take(); len(a.Messages) > 0; a = g.core.Take() {
		g.messages += len(a.Messages)
		for _, m := range a.Messages {
			g.core.Step(g.now, quorum.Receive{Message: reply(m)})
		}
	}
}

func reply(m quorum.Message) quorum.Message {
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

// ticksPerSecond is the number of ticks in a second of virtual time.
const ticksPerSecond = 13

func (g *group) second() {
	for range ticksPerSecond {
		g.tick()
	}
}

func leaderSecond(size int) float64        { return microseconds(newGroup(size, 1000).second) }
func leaderSecondUniform(size int) float64 { return microseconds(newGroup(size, 0).second) }

func leaderMessages(size int) float64        { return messagesPerSecond(newGroup(size, 1000)) }
func leaderMessagesUniform(size int) float64 { return messagesPerSecond(newGroup(size, 0)) }

func messagesPerSecond(g *group) float64 {
	const seconds = 20
	g.messages = 0
	for range seconds {
		g.second()
	}
	return float64(g.messages) / seconds
}

func leaderCommit(size int) float64 {
	g := newGroup(size, 1000)
	data := make([]byte, 2048)
	ticket := uint64(0)
	return microseconds(func() {
		ticket++
		g.core.Step(g.now, quorum.Propose{Ticket: ticket, Data: data})
		g.answer()
		if ticket%64 == 0 {
			g.core.Step(g.now, quorum.Compact{Index: g.core.Commit})
		}
	})
}

// echo is a daemon that takes gossip and does nothing.
type echo struct {
	peerpbconnect.UnimplementedPeersHandler
}

// Gossip answers at once.
func (echo) Gossip(context.Context, *connect.Request[peerpb.GossipRequest]) (*connect.Response[peerpb.GossipResponse], error) {
	return connect.NewResponse(&peerpb.GossipResponse{}), nil
}

// caller returns a function that makes one call with a payload over loopback, and the count of
// its bytes.
func caller(size int) (call func(), bytes *atomic.Int64, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic("slope: " + err.Error())
	}
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeersHandler(echo{}))
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	n := peers.New(peers.Options{Token: "a token of usual length"})
	client := n.Client(l.Addr().String())
	request := &peerpb.GossipRequest{From: &peerpb.Member{Name: string(make([]byte, size))}}
	call = func() { _, _ = client.Gossip(context.Background(), connect.NewRequest(request)) }
	return call, &n.Bytes, func() { _ = server.Close() }
}

func callTime(size int) float64 {
	call, _, stop := caller(size)
	defer stop()
	return microseconds(call)
}

func callBytes(size int) float64 {
	call, bytes, stop := caller(size)
	defer stop()
	call()
	const calls = 50
	before := bytes.Load()
	for range calls {
		call()
	}
	return float64(bytes.Load()-before) / calls
}

func backend(i int, sequence uint64) fleet.Backend {
	return fleet.Backend{
		Service: "luthier-model", Version: "v1", Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Zone: fmt.Sprint("zone-", i%28),
		Incarnation: 1764800000000000000, Sequence: sequence, Slots: 16, Running: 9, MachineClass: "std", Reclaimable: true,
	}
}

func gossip(size int, sequence uint64) *peerpb.GossipRequest {
	m := &peerpb.GossipRequest{From: &peerpb.Member{Id: "d1", Name: "d1", Address: "10.0.0.1:1"}}
	for i := range size {
		b := backend(i, sequence)
		m.Backends = append(m.Backends, wire.BackendToPB(0, &b))
	}
	return m
}

func gossipBytes(size int) float64 { return float64(proto.Size(gossip(size, 1000))) }

func gossipMerge(size int) float64 {
	table := &member.Table{Lease: 3000}
	sequence := uint64(0)
	list := make([]fleet.Backend, size)
	return microseconds(func() {
		sequence++
		m := gossip(size, sequence)
		for i, b := range m.GetBackends() {
			list[i] = wire.BackendFromPB(0, b)
		}
		table.MergeGossip(0, member.Daemon{ID: "d1"}, list)
	})
}

func pool(size int) *route.Pool {
	p := &route.Pool{Costs: route.DefaultCosts, Daemons: 8}
	for i := range size {
		b := backend(i, 1)
		p.Put(&b)
	}
	return p
}

func choice(size int) float64 {
	p := pool(size)
	q := &route.Query{Now: 1, Zone: "zone-1", Prefixes: []uint64{1, 2, 3, 4, 5, 6, 7, 8}}
	return microseconds(func() {
		q.Draw = q.Draw*6364136223846793005 + 1
		p.Choose(route.Score{}, q)
	})
}

// known is what routing keeps of the servers.
type known struct {
	table *member.Table
	pool  *route.Pool
}

func tableMemory(size int) float64 {
	return kilobytes(func() known {
		k := known{table: &member.Table{Lease: 3000}, pool: pool(size)}
		for i := range size {
			k.table.Announce(0, backend(i, 1))
		}
		return k
	})
}

func sectionText(i, version int) string {
	return fmt.Sprintf(`{"kind": "service", "type": "plain", "version": "v%d", "routes": [{"name": "a", "path": "/p%d"}], /* %01900d */}`, version, i, i)
}

func filled(size, versions int) *state.State {
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
	s := filled(size, 1)
	version := uint64(1)
	return microseconds(func() {
		s.Apply(s.Applied+1, state.Command{Body: state.PutSection{
			Operation: fmt.Sprint("put ", version), Section: "s0", Owner: "o", Base: version, Text: sectionText(0, int(version)),
		}})
		version++
	})
}

func stateMemory(size int) float64 {
	return kilobytes(func() *state.State { return filled(size, state.HistoryLength) })
}

func journal(size int) *state.State {
	s := &state.State{}
	for i := range size {
		key := state.OnceKey{Account: "oficina-barros", Route: "deposits", Key: fmt.Sprintf("%032d", i)}
		request := fmt.Sprintf("req_%024d", i)
		s.Apply(s.Applied+1, state.Command{Body: state.OnceBegin{OnceKey: key, Digest: make([]byte, 32), Request: request, Holder: "entry-1.0123456789abcdef"}})
		s.Apply(s.Applied+1, state.Command{Body: state.OnceEnd{OnceKey: key, Request: request, Outcome: state.Answered, Status: 200, ContentType: "application/json", Body: make([]byte, 200)}})
	}
	return s
}

func onceMemory(size int) float64 { return kilobytes(func() *state.State { return journal(size) }) }

func snapshotTime(size int) float64 {
	s := journal(size)
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
