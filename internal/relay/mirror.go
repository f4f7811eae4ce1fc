package relay

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"swiftbeam/internal/member"
	"swiftbeam/internal/ring"
	"swiftbeam/internal/stream"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// mirrorTimeout bounds one call to a mirror.
const mirrorTimeout = 400 * clock.Millisecond

// maxBatch is the maximum number of records in one call to a mirror.
const maxBatch = 256

// mirror sends the progress of sessions to one other daemon: many records in one call, and one call
// at a time. Tokens that arrive during a call are sent with the next one.
type mirror struct {
	relay  *Relay
	daemon member.Daemon
	signal *ring.Ring[struct{}]

	mu    sync.Mutex
	dirty map[*session]bool // sessions with tokens that the mirror lacks
}

func newMirror(r *Relay, d member.Daemon) *mirror {
	return &mirror{relay: r, daemon: d, signal: ring.New[struct{}](1), dirty: make(map[*session]bool)}
}

// enqueue marks a session for the next call to the mirror.
func (m *mirror) enqueue(s *session) {
	m.mu.Lock()
	m.dirty[s] = true
	m.mu.Unlock()
	m.signal.Offer(struct{}{})
}

func (m *mirror) loop(ctx context.Context) {
	for {
		if _, err := m.signal.Take(ctx); err != nil {
			return
		}
		for batch := m.nextBatch(); len(batch) > 0; batch = m.nextBatch() {
			m.send(ctx, batch)
		}
	}
}

// nextBatch removes up to maxBatch sessions from dirty and returns them.
func (m *mirror) nextBatch() []*session {
	m.mu.Lock()
	defer m.mu.Unlock()
	var batch []*session
	for s := range m.dirty {
		if len(batch) == maxBatch {
			break
		}
		batch = append(batch, s)
		delete(m.dirty, s)
	}
	return batch
}

func (m *mirror) send(ctx context.Context, batch []*session) {
	request := &peerpb.MirrorRequest{}
	counts := make([]int, len(batch))
	for i, s := range batch {
		segment := s.record.Segment(s.ackedCount())
		counts[i] = segment.First + len(segment.Tokens)
		if segment.First > 0 {
			segment.Body = nil
		}
		request.Requests = append(request.Requests, wire.SegmentToPB(segment))
	}
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout.Std())
	defer cancel()
	response, err := m.relay.Net.Client(m.daemon.Address).Mirror(ctx, connect.NewRequest(request))
	for i, s := range batch {
		switch {
		case err != nil:
			s.replaceMirror(m.daemon.ID)
		case slices.Contains(response.Msg.GetUnknown(), s.record.ID):
			s.resend(m)
		default:
			s.setAcked(m, counts[i])
		}
	}
}

// selectMirror sends the complete record to the candidates in turn, at most maxMirrorCandidates, and
// returns the first one that stores it. Without any candidate it returns no mirror and no error, so that a
// daemon without reachable peers relays without a mirror.
func (r *Relay) selectMirror(ctx context.Context, record *stream.Record, avoid string) (*mirror, error) {
	candidates := r.candidates(record.ID, avoid)
	if len(candidates) > maxMirrorCandidates {
		candidates = candidates[:maxMirrorCandidates]
	}
	var err error
	for _, d := range candidates {
		// The first call may fail on a pooled connection to an earlier run of the daemon.
		for range copyAttempts {
			if err = r.sendCopy(ctx, d, record); err == nil {
				return r.mirrorFor(d), nil
			}
			if errors.Is(err, errSuperseded) {
				return nil, err
			}
		}
	}
	return nil, err
}

// errSuperseded reports that another daemon has taken the request over.
var errSuperseded = errors.New("another daemon has taken the request over")

// copyAttempts is the number of calls to one candidate for the mirror.
const copyAttempts = 2

// maxMirrorCandidates is the maximum number of daemons tried in one selection of a mirror.
const maxMirrorCandidates = 2

func (r *Relay) sendCopy(ctx context.Context, d member.Daemon, record *stream.Record) error {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout.Std())
	defer cancel()
	request := &peerpb.MirrorRequest{Requests: []*peerpb.HeldRequest{wire.SegmentToPB(record.Segment(0))}}
	response, err := r.Net.Client(d.Address).Mirror(ctx, connect.NewRequest(request))
	if err == nil && len(response.Msg.GetUnknown()) > 0 {
		err = errSuperseded
	}
	return err
}

// candidates returns the reachable daemons in order of preference as the mirror of a request: those
// in other availability zones first, then by rendezvous hash of the request ID.
func (r *Relay) candidates(id, avoid string) []member.Daemon {
	var list []member.Daemon
	var weights []uint64
	for _, d := range r.Roster.Reachable() {
		if d.Draining || d.ID == avoid {
			continue
		}
		weight := rendezvous(id, d.ID) >> 1
		if d.Zone != r.Self.Zone {
			weight |= 1 << 63
		}
		index := 0
		for index < len(weights) && weights[index] > weight {
			index++
		}
		list = append(list[:index], append([]member.Daemon{d}, list[index:]...)...)
		weights = append(weights[:index], append([]uint64{weight}, weights[index:]...)...)
	}
	return list
}

func rendezvous(id, daemon string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(daemon))
	return h.Sum64()
}

func (r *Relay) mirrorFor(d member.Daemon) *mirror {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.mirrors[d.ID]
	if m == nil {
		m = newMirror(r, d)
		r.mirrors[d.ID] = m
		r.group.Go(func() { m.loop(r.ctx) })
	}
	return m
}
