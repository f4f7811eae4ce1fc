package store

import (
	"context"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/internal/wire"
	"swiftbeam/pkg/clock"
)

// proposeRetry is the pause before a proposal is tried again at another leader.
const proposeRetry = 50 * clock.Millisecond

// Propose commits a command and returns its result once this daemon has applied it. Commands
// are idempotent by their own identifiers, so Propose repeats them across leader changes until
// ctx ends. An error of kind Unknown means that the command may still take effect.
func (s *Store) Propose(ctx context.Context, body state.Body) (state.Result, error) {
	command := wire.EncodeCommand(state.Command{At: s.Clock.Now(), Body: body})
	sent := false
	for {
		index, result, err := s.proposeOnce(ctx, command)
		if err == nil {
			return result, s.WaitApplied(ctx, index)
		}
		if fault.KindOf(err) != fault.Unavailable {
			sent = true
		}
		if ctx.Err() != nil {
			return state.Result{}, proposalEnded(sent)
		}
		runner.Pause(ctx, proposeRetry)
	}
}

func proposalEnded(sent bool) error {
	if !sent {
		return noLeader()
	}
	return fault.New(fault.Unknown, "the command was sent and not answered in time").
		Remedy("repeat it with the same operation ID").After(1)
}

func (s *Store) proposeOnce(ctx context.Context, command []byte) (uint64, state.Result, error) {
	status := s.Status()
	switch {
	case status.Role == quorum.Leader:
		return s.ProposeLocal(ctx, command)
	case status.LeaderAt == "":
		return 0, state.Result{}, noLeader()
	}
	index, data, err := s.Network.ProposeAt(ctx, status.LeaderAt, command)
	if err != nil {
		return 0, state.Result{}, err
	}
	result, err := wire.DecodeResult(data)
	return index, result, err
}

// ProposeLocal commits an encoded command with this daemon as the leader.
func (s *Store) ProposeLocal(ctx context.Context, command []byte) (uint64, state.Result, error) {
	ticket := s.tickets.Add(1)
	a, err := s.await(ctx, ticket, quorum.Propose{Ticket: ticket, Data: command})
	switch {
	case err != nil:
		return 0, state.Result{}, err
	case a.why != quorum.Accepted:
		return 0, state.Result{}, noLeader()
	case a.lost:
		return 0, state.Result{}, noLeader()
	}
	return a.index, a.result, nil
}

// Change commits a membership change with this daemon as the leader.
func (s *Store) Change(ctx context.Context, kind quorum.ChangeKind, m quorum.Member) error {
	ticket := s.tickets.Add(1)
	a, err := s.await(ctx, ticket, quorum.Change{Ticket: ticket, Kind: kind, Member: m})
	if err != nil {
		return err
	}
	if a.why != quorum.Accepted || a.lost {
		return fault.New(fault.Unavailable, "membership change refused: %v", a.why).Remedy("retry").After(1)
	}
	return nil
}

func (s *Store) await(ctx context.Context, ticket uint64, e quorum.Event) (answer, error) {
	done := make(chan answer, 1)
	s.mu.Lock()
	s.waiting[ticket] = done
	s.mu.Unlock()
	defer s.forget(ticket)
	if !s.events.Offer(e) {
		return answer{}, fault.New(fault.Unavailable, "the quorum has too many proposals waiting").Remedy("retry").After(1)
	}
	select {
	case a := <-done:
		return a, nil
	case <-ctx.Done():
		return answer{}, proposalEnded(true)
	}
}

func (s *Store) forget(ticket uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, ticket)
}

// place remembers which ticket waits for a log index, or answers a refusal.
func (s *Store) place(o quorum.Outcome) {
	if o.Refusal != quorum.Accepted {
		s.finish(o.Ticket, answer{why: o.Refusal})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.placed[o.Index]; ok {
		s.finishLocked(old.ticket, answer{lost: true})
	}
	s.placed[o.Index] = placement{term: o.Term, ticket: o.Ticket}
}

func (s *Store) finish(ticket uint64, a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishLocked(ticket, a)
}

func (s *Store) finishLocked(ticket uint64, a answer) {
	if done := s.waiting[ticket]; done != nil {
		done <- a
		delete(s.waiting, ticket)
	}
}

// WaitApplied returns once this daemon has applied the log up to index.
func (s *Store) WaitApplied(ctx context.Context, index uint64) error {
	for {
		changed := s.Changed()
		s.mu.RLock()
		applied := s.state.Applied
		s.mu.RUnlock()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return proposalEnded(true)
		}
	}
}
