package relay

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"

	"connectrpc.com/connect"

	"swiftbeam/internal/member"
	"swiftbeam/internal/ring"
	"swiftbeam/internal/stream"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// mirrorTimeout bounds one transfer to a mirror.
const mirrorTimeout = 400 * clock.Millisecond

// mirrorBatch bounds the records in one transfer.
const mirrorBatch = 256

// mirror sends the progress of records to one other daemon, many records in a message and one
// message at a time. While a message is under way, further tokens gather for the next.
type mirror struct {
	relay  *Relay
	daemon member.Daemon
	wake   *ring.Ring[struct{}]

	mu    sync.Mutex
	dirty map[*run]bool
}

func newMirror(r *Relay, d member.Daemon) *mirror {
	return &mirror{relay: r, daemon: d, wake: ring.New[struct{}](1), dirty: make(map[*run]bool)}
}

// touch notes that a run has tokens that the mirror lacks.
func (m *mirror) touch(x *run) {
	m.mu.Lock()
	m.dirty[x] = true
	m.mu.Unlock()
	m.wake.Offer(struct{}{})
}

func (m *mirror) loop(ctx context.Context) {
	for {
		if _, err := m.wake.Take(ctx); err != nil {
			return
		}
		for batch := m.takeDirty(); len(batch) > 0; batch = m.takeDirty() {
			m.send(ctx, batch)
		}
	}
}

func (m *mirror) takeDirty() []*run {
	m.mu.Lock()
	defer m.mu.Unlock()
	var batch []*run
	for x := range m.dirty {
		if len(batch) == mirrorBatch {
			break
		}
		batch = append(batch, x)
		delete(m.dirty, x)
	}
	return batch
}

func (m *mirror) send(ctx context.Context, batch []*run) {
	request := &peerpb.MirrorRequest{}
	counts := make([]int, len(batch))
	for i, x := range batch {
		piece := x.record.Segment(x.mirrored())
		counts[i] = piece.First + len(piece.Tokens)
		if piece.First > 0 {
			piece.Body = nil
		}
		request.Requests = append(request.Requests, wire.SegmentToPB(piece))
	}
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout.Std())
	defer cancel()
	response, err := m.relay.Net.Client(m.daemon.Address).Mirror(ctx, connect.NewRequest(request))
	for i, x := range batch {
		switch {
		case err != nil:
			x.moveMirror(m.daemon.ID)
		case slices.Contains(response.Msg.GetUnknown(), x.record.ID):
			x.resend(m)
		default:
			x.setMirrored(m, counts[i])
		}
	}
}

// place sends the whole record to the first daemon, of at most two, that takes it.
func (r *Relay) place(ctx context.Context, record *stream.Record, avoid string) (*mirror, bool) {
	candidates := r.candidates(record.ID, avoid)
	if len(candidates) > maxMirrorTries {
		candidates = candidates[:maxMirrorTries]
	}
	for _, d := range candidates {
		// The first call may meet a pooled connection to an earlier run of the daemon.
		for range copyTries {
			if r.copyTo(ctx, d, record) == nil {
				return r.mirrorFor(d), true
			}
		}
	}
	return nil, len(candidates) == 0
}

// copyTries is the number of calls to one daemon that is asked to mirror a request.
const copyTries = 2

// maxMirrorTries bounds the daemons tried as the mirror of one request.
const maxMirrorTries = 2

func (r *Relay) copyTo(ctx context.Context, d member.Daemon, record *stream.Record) error {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout.Std())
	defer cancel()
	request := &peerpb.MirrorRequest{Requests: []*peerpb.HeldRequest{wire.SegmentToPB(record.Segment(0))}}
	_, err := r.Net.Client(d.Address).Mirror(ctx, connect.NewRequest(request))
	return err
}

// candidates returns the live daemons in the order in which they may mirror a request: other
// availability zones first, then by rendezvous hash of the request ID.
func (r *Relay) candidates(id, avoid string) []member.Daemon {
	var list []member.Daemon
	var weights []uint64
	for _, d := range r.Roster.Reachable() {
		if d.Draining || d.ID == avoid {
			continue
		}
		w := rendezvous(id, d.ID) >> 1
		if d.Zone != r.Self.Zone {
			w |= 1 << 63
		}
		at := 0
		for at < len(weights) && weights[at] > w {
			at++
		}
		list = append(list[:at], append([]member.Daemon{d}, list[at:]...)...)
		weights = append(weights[:at], append([]uint64{w}, weights[at:]...)...)
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
