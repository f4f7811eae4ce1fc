package daemon

import (
	"context"

	"swiftbeam/internal/group"
	"swiftbeam/internal/member"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/internal/store"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// Peers returns the daemons to gossip with.
func (d *Daemon) Peers() []member.Daemon {
	status := d.Store.Status()
	var others []member.Daemon
	for _, m := range status.Members {
		if m.ID != status.ID {
			others = append(others, member.Daemon{ID: string(m.ID), Name: m.Name, Address: m.Address, Zone: m.Zone, Region: m.Region})
		}
	}
	return others
}

// Applied returns the highest log index that this daemon has applied.
func (d *Daemon) Applied() uint64 { return d.Store.Status().Applied }

// joinService adds the daemon to the replication group and keeps it a member.
type joinService struct {
	daemon *Daemon
}

// Dump returns the state of the daemon.
func (j joinService) Dump() any { return j.daemon.Dump() }

// Start joins in the background.
func (j joinService) Start(ctx context.Context, g *runner.Group) error {
	g.Go(func() { j.daemon.joiner.Run(ctx) })
	return nil
}

// buildJoiner creates the joiner, which forms a new group with the first voters of the settings or
// requests to join one at the peers of the settings.
func (d *Daemon) buildJoiner() {
	s := d.Settings
	d.joiner = &group.Joiner{
		Store: d.Store, Net: d.Net, Clock: d.options.Clock, Log: d.options.Log, ContactTimeout: s.Lease,
		FirstVoters: func() []string { return s.FirstVoters },
		Peers:       func() []string { return s.Peers },
		Stopping:    d.draining.Load,
	}
}

// routeByName returns a route of a service. Its timeout is one minute if the route sets none or does not
// exist.
func (d *Daemon) routeByName(service, name string) fleet.Route {
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

// Dump is the state of a daemon as /v1/dump shows it.
type Dump struct {
	Name     string
	Zone     string
	Standing string
	Running  int
	Store    store.Status
}

// Dump returns the state of the daemon.
func (d *Daemon) Dump() Dump {
	return Dump{
		Name: d.Settings.Name, Zone: d.Settings.Zone, Standing: d.LeaseStatus().String(),
		Running: d.Relay.Running(), Store: d.Store.Status(),
	}
}
