// Package group adds a daemon to the replication group and keeps it a member:
//
//	j := &group.Joiner{
//		Store: store, Net: net, Clock: c, Log: log,
//		FirstVoters: firstVoters, Peers: peers, ContactTimeout: lease, Stopping: stopping,
//	}
//	j.Run(ctx)
//
// The first voters of a new group form it together. Every other daemon requests to be added. So does a
// daemon that lost its disk; it joins as a new member.
package group

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

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

// Intervals and timeouts of joining.
const (
	joinPause       = 200 * clock.Millisecond
	joinTimeout     = 2 * clock.Second
	joinStagger     = 300 * clock.Millisecond
	catchUpPause    = 50 * clock.Millisecond
	identifyTimeout = clock.Second
)

// Joiner keeps one daemon in the replication group. Set the exported fields before Run.
type Joiner struct {
	Store *store.Store
	Net   *peers.Net
	Clock clock.Clock
	Log   logr.Logger
	// FirstVoters returns the addresses of the first voters of a new group. It returns none if this
	// daemon must not form a group.
	FirstVoters func() []string
	// Peers returns the addresses of daemons to which join requests are sent.
	Peers func() []string
	// ContactTimeout is the time without contact with a quorum after which the daemon requests to join
	// again.
	ContactTimeout clock.Duration
	// Stopping reports whether the daemon is being stopped; it does not join again then.
	Stopping func() bool
	// OnCaughtUp is called when CaughtUp is set; it may be nil.
	OnCaughtUp func()
	// CaughtUp is set once the daemon has applied every change that was accepted before it started.
	CaughtUp atomic.Bool
}

// Run joins the group, catches up with it, and keeps the daemon a member until ctx ends.
func (j *Joiner) Run(ctx context.Context) {
	for ctx.Err() == nil && !j.isMember() {
		if j.enter(ctx) {
			break
		}
		runner.Pause(ctx, joinPause)
	}
	// The membership in this daemon's own log may be older than its removal, and only members catch up.
	var catchUp runner.Group
	catchUp.Go(func() { j.catchUp(ctx) })
	j.maintain(ctx)
	catchUp.Wait()
}

// enter forms the group or requests to join it. It reports whether it formed the group.
func (j *Joiner) enter(ctx context.Context) bool {
	if j.Store.Unjoined() && j.bootstrap(ctx) {
		return true
	}
	j.join(ctx)
	return false
}

// maintain requests to join again if the group has removed this daemon, for instance during a long
// network partition, or if contact is lost. It forms the group again if that did not reach the disk.
func (j *Joiner) maintain(ctx context.Context) {
	pause := joinPause
	for ctx.Err() == nil {
		runner.Pause(ctx, pause)
		lostContact := j.Clock.Now().Sub(j.Store.Status().ContactAt) > j.ContactTimeout
		if j.Stopping() || j.isMember() && !lostContact {
			pause = joinPause
			continue
		}
		j.enter(ctx)
		pause = min(2*pause, joinTimeout)
	}
}

func (j *Joiner) isMember() bool {
	status := j.Store.Status()
	return slices.ContainsFunc(status.Members, func(m quorum.Member) bool { return m.ID == status.ID })
}

// bootstrap forms the group if this daemon is a first voter and no first voter is in a group yet. All
// first voters form it with the same list of members. It reports whether it formed the group.
func (j *Joiner) bootstrap(ctx context.Context) bool {
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

// identify returns the member at address, whether it has joined a group already, and whether it
// responded.
func (j *Joiner) identify(ctx context.Context, address string) (quorum.Member, bool, bool) {
	if address == j.Store.Self.Address {
		return j.Store.Self, false, true
	}
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout.Std())
	defer cancel()
	r, err := j.Net.Client(address).Identify(ctx, connect.NewRequest(&peerpb.IdentifyRequest{}))
	if err != nil {
		return quorum.Member{}, false, false
	}
	return wire.MemberFromPB(r.Msg.GetMember()), r.Msg.GetFormed(), true
}

// join sends join requests until one of them succeeds. It asks the next daemon when one refuses, or when
// one has not responded within joinStagger.
func (j *Joiner) join(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := &peerpb.JoinRequest{Member: wire.MemberToPB(j.Store.Self)}
	var calls runner.Group
	defer calls.Wait()
	for _, address := range append(slices.Clone(j.Peers()), j.FirstVoters()...) {
		if address == j.Store.Self.Address {
			continue
		}
		done := make(chan struct{})
		calls.Go(func() {
			defer close(done)
			timeout, stop := context.WithTimeout(ctx, joinTimeout.Std())
			defer stop()
			if _, err := j.Net.Client(address).Join(timeout, connect.NewRequest(request)); err == nil {
				cancel()
			}
		})
		select {
		case <-done:
		case <-time.After(joinStagger.Std()):
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// catchUp commits a barrier and waits until this daemon has applied the log up to it. The daemon then
// has every change that was accepted before it started.
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
		runner.Pause(ctx, catchUpPause)
	}
}
