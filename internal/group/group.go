// Package group brings a daemon into the replication group and keeps it there:
//
//	j := &group.Joiner{Store: store, Net: net, Clock: c, First: first, Others: others}
//	j.Run(ctx)
//
// The first voters of a new group found it together; every other daemon asks to be added, also one
// whose disk was lost, which comes back as a new member.
package group

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"swiftbeam/internal/peers"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/internal/store"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// Rhythm of joining.
const (
	joinPause    = 200 * clock.Millisecond
	joinTimeout  = 2 * clock.Second
	identifyTime = clock.Second
)

// Joiner is the state of one daemon's joining. Set the exported fields before Run.
type Joiner struct {
	Store *store.Store
	Net   *peers.Net
	Clock clock.Clock
	Log   logr.Logger
	// FirstVoters returns the addresses of the first voters, none where no group may be founded.
	FirstVoters func() []string
	// Peers returns the addresses of daemons to ask.
	Peers func() []string
	// ContactTimeout is the time without contact with the group after which the daemon joins again.
	ContactTimeout clock.Duration
	// Stopping reports that the daemon is being stopped.
	Stopping func() bool
	// OnCaughtUp is called when CaughtUp is set; it may be nil.
	OnCaughtUp func()
	// CaughtUp is set once the daemon knows every change that was accepted before it started.
	CaughtUp atomic.Bool
}

// Run joins the group, catches up, and stays in the group until ctx ends.
func (j *Joiner) Run(ctx context.Context) {
	for ctx.Err() == nil && !j.isMember() {
		if j.Store.Unjoined() && j.found(ctx) {
			break
		}
		j.join(ctx)
		runner.Pause(ctx, joinPause)
	}
	j.catchUp(ctx)
	j.stay(ctx)
}

// stay joins again when the group forgot this daemon, for instance after a long partition.
func (j *Joiner) stay(ctx context.Context) {
	for ctx.Err() == nil {
		runner.Pause(ctx, joinTimeout)
		status := j.Store.Status()
		silent := j.Clock.Now().Sub(status.ContactAt) > j.ContactTimeout
		if !j.Stopping() && (silent || !j.isMember()) {
			j.join(ctx)
		}
	}
}

func (j *Joiner) isMember() bool {
	status := j.Store.Status()
	return slices.ContainsFunc(status.Members, func(m quorum.Member) bool { return m.ID == status.ID })
}

// found founds the group when this daemon is a first voter and all first voters are fresh. All of
// them then found it with the same list. It reports whether the group was founded.
func (j *Joiner) found(ctx context.Context) bool {
	first := j.FirstVoters()
	if !slices.Contains(first, j.Store.Self.Address) {
		return false
	}
	var members []quorum.Member
	for _, address := range first {
		m, formed, ok := j.identify(ctx, address)
		if !ok || formed {
			return false
		}
		m.Voter = true
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b quorum.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return j.Store.Bootstrap(ctx, members) == nil
}

func (j *Joiner) identify(ctx context.Context, address string) (quorum.Member, bool, bool) {
	if address == j.Store.Self.Address {
		return j.Store.Self, false, true
	}
	ctx, cancel := context.WithTimeout(ctx, identifyTime.Std())
	defer cancel()
	r, err := j.Net.Client(address).Identify(ctx, connect.NewRequest(&peerpb.IdentifyRequest{}))
	if err != nil {
		return quorum.Member{}, false, false
	}
	return wire.MemberFromPB(r.Msg.GetMember()), r.Msg.GetFormed(), true
}

// join asks the other daemons to be added to the group.
func (j *Joiner) join(ctx context.Context) {
	request := &peerpb.JoinRequest{Member: wire.MemberToPB(j.Store.Self)}
	for _, address := range append(slices.Clone(j.Peers()), j.FirstVoters()...) {
		if address == j.Store.Self.Address {
			continue
		}
		timeout, cancel := context.WithTimeout(ctx, joinTimeout.Std())
		_, err := j.Net.Client(address).Join(timeout, connect.NewRequest(request))
		cancel()
		if err == nil {
			return
		}
	}
}

// catchUp commits a barrier and applies all up to it, so that this daemon knows every change that
// was accepted before it started.
func (j *Joiner) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		timeout, cancel := context.WithTimeout(ctx, joinTimeout.Std())
		_, err := j.Store.Propose(timeout, state.Barrier{})
		cancel()
		if err == nil {
			j.CaughtUp.Store(true)
			if j.OnCaughtUp != nil {
				j.OnCaughtUp()
			}
			j.Log.Info("caught up", "applied", j.Store.Status().Applied)
			return
		}
	}
}
