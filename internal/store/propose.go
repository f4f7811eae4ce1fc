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

// proposeRetryPause is the pause before a failed proposal is repeated, possibly at another leader.
const proposeRetryPause = 50 * clock.Millisecond

// Propose commits a command and returns its result once this daemon has applied it. Commands carry
// identifiers that make them idempotent, so Propose repeats them across leader changes until ctx
// ends or this daemon's disk hangs. An error of kind Unknown means that the command may have taken
// effect or still take effect.
func (s *Store) Propose(ctx context.Context, body state.Body) (state.Result, error) {
	command := wire.EncodeCommand(state.Command{At: s.Clock.Now(), Body: body})
	sent := false
	for {
		if s.hangs.Load() {
			return state.Result{}, hangError(sent)
		}
		index, result, err := s.proposeOnce(ctx, command)
		if err == nil {
			return result, s.WaitApplied(ctx, index)
		}
		if fault.KindOf(err) != fault.Unavailable {
			sent = true
		}
		if ctx.Err() != nil {
			return state.Result{}, deadlineError(sent)
		}
		runner.Pause(ctx, proposeRetryPause)
	}
}

func deadlineError(sent bool) error {
	if !sent {
		return noLeaderError()
	}
	return fault.New(fault.Unknown, "the command was sent, but no result arrived in time").
		Remedy("repeat it with the same operation ID").WithRetryAfter(1)
}

// hangError is the error of a proposal at a daemon whose disk hangs. Another daemon may be able to commit it.
func hangError(sent bool) error {
	kind := fault.Unavailable
	if sent {
		kind = fault.Unknown
	}
	return fault.New(kind, "the data folder of this daemon does not respond").Remedy("call another daemon").WithRetryAfter(1)
}

func (s *Store) proposeOnce(ctx context.Context, command []byte) (uint64, state.Result, error) {
	status := s.Status()
	switch {
	case status.Role == quorum.Leader:
		return s.ProposeLocal(ctx, command)
	case status.LeaderAt == "":
		return 0, state.Result{}, noLeaderError()
	}
	ctx, cancel := s.untilNextLeader(ctx, status.Term)
	defer cancel()
	index, data, err := s.Network.ProposeAt(ctx, status.LeaderAt, command)
	if err != nil {
		return 0, state.Result{}, err
	}
	result, err := wire.DecodeResult(data)
	return index, result, err
}

// untilNextLeader returns a context that ends with ctx or when a leader of another term is known. A leader that was
// lost may never respond.
func (s *Store) untilNextLeader(ctx context.Context, term uint64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			s.mu.RLock()
			changed := s.leaderChanged
			s.mu.RUnlock()
			if status := s.Status(); status.LeaderAt != "" && status.Term != term {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// ProposeLocal commits an encoded command. It fails if this daemon is not the leader.
func (s *Store) ProposeLocal(ctx context.Context, command []byte) (uint64, state.Result, error) {
	ticket := s.tickets.Add(1)
	r, err := s.await(ctx, ticket, quorum.Propose{Ticket: ticket, Data: command})
	switch {
	case err != nil:
		return 0, state.Result{}, err
	case r.hangs:
		return 0, state.Result{}, hangError(true)
	case r.refusal != quorum.Accepted:
		return 0, state.Result{}, noLeaderError()
	case r.lost:
		return 0, state.Result{}, noLeaderError()
	}
	return r.index, r.result, nil
}

// Change commits a membership change. It fails if this daemon is not the leader.
func (s *Store) Change(ctx context.Context, kind quorum.ChangeKind, m quorum.Member) error {
	ticket := s.tickets.Add(1)
	r, err := s.await(ctx, ticket, quorum.Change{Ticket: ticket, Kind: kind, Member: m})
	if err != nil {
		return err
	}
	if r.hangs {
		return hangError(true)
	}
	if r.refusal != quorum.Accepted || r.lost {
		return fault.New(fault.Unavailable, "membership change refused: %v", r.refusal).Remedy("retry").WithRetryAfter(1)
	}
	return nil
}

func (s *Store) await(ctx context.Context, ticket uint64, e quorum.Event) (proposalResult, error) {
	done := make(chan proposalResult, 1)
	s.mu.Lock()
	s.waiters[ticket] = done
	s.mu.Unlock()
	defer s.removeWaiter(ticket)
	if !s.events.Offer(e) {
		return proposalResult{}, fault.New(fault.Unavailable, "too many proposals are queued at this daemon").Remedy("retry").WithRetryAfter(1)
	}
	select {
	case r := <-done:
		return r, nil
	case <-ctx.Done():
		return proposalResult{}, deadlineError(true)
	}
}

func (s *Store) removeWaiter(ticket uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, ticket)
}

// recordOutcome records the ticket that waits for the log index of an accepted proposal, or completes
// a refused proposal. An older proposal at the same index is lost.
func (s *Store) recordOutcome(o quorum.Outcome) {
	if o.Refusal != quorum.Accepted {
		s.complete(o.Ticket, proposalResult{refusal: o.Refusal})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.proposals[o.Index]; ok {
		s.completeLocked(old.ticket, proposalResult{lost: true})
	}
	s.proposals[o.Index] = proposal{term: o.Term, ticket: o.Ticket}
}

func (s *Store) complete(ticket uint64, r proposalResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeLocked(ticket, r)
}

func (s *Store) completeLocked(ticket uint64, r proposalResult) {
	if done := s.waiters[ticket]; done != nil {
		done <- r
		delete(s.waiters, ticket)
	}
}

// WaitApplied waits until this daemon has applied the log up to index.
func (s *Store) WaitApplied(ctx context.Context, index uint64) error {
	for {
		changed := s.Changed()
		s.mu.RLock()
		applied := s.state.Applied
		s.mu.RUnlock()
		if applied >= index {
			return nil
		}
		if s.hangs.Load() {
			return hangError(true)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return deadlineError(true)
		}
	}
}
