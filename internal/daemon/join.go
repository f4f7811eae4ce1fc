package daemon

import (
	"context"
	"slices"
	"strings"

	"connectrpc.com/connect"

	"swiftbeam/internal/kernel"
	"swiftbeam/internal/member"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/state"
	"swiftbeam/internal/store"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// Rhythm of joining.
const (
	joinPause    = 200 * clock.Millisecond
	joinTimeout  = 2 * clock.Second
	identifyTime = clock.Second
)

// Others returns the daemons to gossip with.
func (d *Daemon) Others() []member.Daemon {
	status := d.Store.Status()
	var others []member.Daemon
	for _, m := range status.Members {
		if m.ID != status.ID {
			others = append(others, member.Daemon{ID: string(m.ID), Name: m.Name, Address: m.Address, Zone: m.Zone, Region: m.Region})
		}
	}
	return others
}

// Applied returns the newest applied log index.
func (d *Daemon) Applied() uint64 { return d.Store.Status().Applied }

// joiner is the service that joins the replication group and keeps this daemon in it.
type joiner struct {
	*Daemon
}

// Stop does nothing; the daemon itself drains.
func (d *joiner) Stop(context.Context) error { return nil }

// Start brings the daemon into the replication group and up to date, in the background.
func (d *joiner) Start(ctx context.Context, g *kernel.Group) error {
	g.Go(func() { d.run(ctx) })
	return nil
}

func (d *joiner) run(ctx context.Context) {
	for ctx.Err() == nil && !d.isMember() {
		if d.Store.Fresh() && d.form(ctx) {
			break
		}
		d.join(ctx)
		kernel.Pause(ctx, joinPause)
	}
	d.catchUp(ctx)
	d.stay(ctx)
}

// stay joins again when the group forgot this daemon, for instance after a long partition.
func (d *joiner) stay(ctx context.Context) {
	for ctx.Err() == nil {
		kernel.Pause(ctx, joinTimeout)
		status := d.Store.Status()
		silent := d.options.Clock.Now().Sub(status.ContactAt) > d.Settings.Lease
		if !d.draining.Load() && (silent || !d.isMember()) {
			d.join(ctx)
		}
	}
}

func (d *Daemon) isMember() bool {
	status := d.Store.Status()
	return slices.ContainsFunc(status.Members, func(m quorum.Member) bool { return m.ID == status.ID })
}

// form founds the group when this daemon is a first voter and all first voters are fresh. All
// of them then found it with the same list. It reports whether the group was founded.
func (d *joiner) form(ctx context.Context) bool {
	first := d.Settings.FirstVoters
	if !slices.Contains(first, d.Settings.Listen.Peers) {
		return false
	}
	var members []quorum.Member
	for _, address := range first {
		m, formed, ok := d.identify(ctx, address)
		if !ok || formed {
			return false
		}
		m.Voter = true
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b quorum.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return d.Store.Form(ctx, members) == nil
}

func (d *joiner) identify(ctx context.Context, address string) (quorum.Member, bool, bool) {
	if address == d.Settings.Listen.Peers {
		return d.Store.Self, false, true
	}
	ctx, cancel := context.WithTimeout(ctx, identifyTime.Std())
	defer cancel()
	r, err := d.Net.Client(address).Identify(ctx, connect.NewRequest(&peerpb.IdentifyRequest{}))
	if err != nil {
		return quorum.Member{}, false, false
	}
	return wire.MemberFromPB(r.Msg.GetMember()), r.Msg.GetFormed(), true
}

// join asks the daemons of the settings to be added to the group.
func (d *joiner) join(ctx context.Context) {
	request := &peerpb.JoinRequest{Member: wire.MemberToPB(d.Store.Self)}
	for _, address := range append(slices.Clone(d.Settings.Peers), d.Settings.FirstVoters...) {
		if address == d.Settings.Listen.Peers {
			continue
		}
		timeout, cancel := context.WithTimeout(ctx, joinTimeout.Std())
		_, err := d.Net.Client(address).Join(timeout, connect.NewRequest(request))
		cancel()
		if err == nil {
			return
		}
	}
}

// catchUp commits a barrier and applies all up to it, so that this daemon knows every change
// that was accepted before it started.
func (d *joiner) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		timeout, cancel := context.WithTimeout(ctx, joinTimeout.Std())
		_, err := d.Store.Propose(timeout, state.Barrier{})
		cancel()
		if err == nil {
			d.caughtUp.Store(true)
			d.options.Log.Info("caught up", "applied", d.Store.Status().Applied)
			return
		}
	}
}

// route returns the route of a service by name.
func (d *Daemon) route(service, name string) fleet.Route {
	var found fleet.Route
	d.Store.View(func(s *state.State) {
		for _, r := range s.Document.Services[service].Routes {
			if r.Name == name {
				found = r
			}
		}
	})
	if found.Timeout == 0 {
		found.Timeout = clock.Minute
	}
	return found
}

// Dump is the shown state of a daemon as a whole.
type Dump struct {
	Name     string
	Zone     string
	Standing string
	Running  int
	Store    store.Status
}

// Dump returns the standing of the daemon.
func (d *Daemon) Dump() any {
	return Dump{
		Name: d.Settings.Name, Zone: d.Settings.Zone, Standing: d.Standing().String(),
		Running: d.Relay.Running(), Store: d.Store.Status(),
	}
}
