package core

import (
	"context"

	"swiftbeam/internal/enrol"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

const (
	// maxDepartureBatch is the largest number of departures that share one command. The servers of a zone leave
	// together.
	maxDepartureBatch = 256
	// departureRenewal is the age at which the record of a server that still announces its departure is renewed, well
	// before it is dropped.
	departureRenewal = state.DepartureRetention / 2
)

// departure is one departure to record. The outcome is sent to done, which has room for it.
type departure struct {
	record state.Departure
	done   chan error
}

// recordDeparture commits the departure of a start of a server to the replicated state, unless it is there already.
// A server may say only once that it leaves, so its acknowledgement promises that the departure outlives this daemon.
func (c *Core) recordDeparture(ctx context.Context, r *enrol.Record) error {
	now := c.Follower.ClusterTime()
	if c.isDepartureRecorded(now, r.ID, r.Born) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout.Std())
	defer cancel()
	began := c.clock.Now()
	server := enrol.Record{ID: r.ID, State: r.State, Born: r.Born, Sequence: r.Sequence}
	server.CopyServer(r)
	err := c.requestDeparture(ctx, state.Departure{Server: server, At: now})
	if err != nil {
		c.departuresRefused.Add(1)
	}
	c.log.Info("departure of a backend server", "server", r.ID, "born", int64(r.Born), "recorded", err == nil, "ms", int64(c.clock.Now().Sub(began)), "error", errorText(err))
	return err
}

// isDepartureRecorded reports whether the replicated state contains a departure of this start of a server or of a
// later one, and keeps it for a while.
func (c *Core) isDepartureRecorded(now clock.Instant, id string, born clock.Instant) bool {
	recorded := false
	c.Store.View(func(s *state.State) {
		d, known := s.Departures[id]
		recorded = known && d.Server.Born >= born && now.Sub(d.At) < departureRenewal
	})
	return recorded
}

// requestDeparture passes a departure to commitDepartures, and waits for the outcome.
func (c *Core) requestDeparture(ctx context.Context, d state.Departure) error {
	if c.clock.Now().Sub(c.Store.Status().ContactAt) > rejoinAfter {
		return noContactError()
	}
	request := departure{record: d, done: make(chan error, 1)}
	if c.departures.Put(ctx, request) == nil {
		select {
		case err := <-request.done:
			return err
		case <-ctx.Done():
		}
	}
	return fault.New(fault.Unavailable, "the departure of %q could not be recorded in time", d.Server.ID).Remedy("call another daemon").WithRetryAfter(1)
}

// commitDepartures commits the requested departures, those that arrive during a commit together with the next one,
// until ctx ends.
func (c *Core) commitDepartures(ctx context.Context) {
	for {
		first, err := c.departures.Take(ctx)
		if err != nil {
			return
		}
		batch := c.departures.Drain([]departure{first}, maxDepartureBatch-1)
		err = c.proposeDepartures(ctx, batch)
		for _, d := range batch {
			d.done <- err
		}
	}
}

func (c *Core) proposeDepartures(ctx context.Context, batch []departure) error {
	var body state.RecordDepartures
	for _, d := range batch {
		body.Departures = append(body.Departures, d.record)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout.Std())
	defer cancel()
	result, err := c.propose(ctx, body)
	switch {
	case err != nil:
		return err
	case result.Code == state.Full:
		return fault.New(fault.Exhausted, "%d departures are recorded already", state.MaxDepartures).Remedy("call again").WithRetryAfter(1)
	case result.Code != state.Done:
		return fault.New(fault.Unavailable, "the leader does not record departures: %s", result.Detail).Remedy("upgrade all core daemons")
	}
	// A group that is still being formed has too few disks for the promise.
	c.awaitVoters(ctx)
	if ctx.Err() != nil {
		return fault.New(fault.Unavailable, "the group has too few voters").Remedy("call again").WithRetryAfter(1)
	}
	return nil
}

// mergeDepartures merges the departures that were added to the replicated state into the table of servers.
func (c *Core) mergeDepartures() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var added []state.Departure
	c.Store.View(func(s *state.State) {
		if s.DepartureRevision <= c.departureRevision {
			return
		}
		for _, d := range s.Departures {
			if d.Revision > c.departureRevision {
				added = append(added, d)
			}
		}
		c.departureRevision = s.DepartureRevision
	})
	now := c.clock.Now()
	for i := range added {
		r := added[i].Server
		r.HeardAt = now
		if err := r.Check(now); err != nil {
			c.log.Error(err, "recorded departure of a backend server rejected")
			continue
		}
		c.mergeRecord(r, false)
	}
}
