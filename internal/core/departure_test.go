package core

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"swiftbeam/internal/enrol"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/feed"
	"swiftbeam/internal/state"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

// contactTime is the time from a fault within which all entry daemons must know what was acknowledged before it.
const contactTime = 3 * time.Second

// serverView is the table of backend servers of an entry daemon.
type serverView struct {
	mu       sync.Mutex
	table    enrol.Table
	follower *feed.Follower
}

// followServers follows the core daemons as an entry daemon does, and keeps what it learns of the servers.
func (g *cluster) followServers() *serverView {
	v, now := &serverView{}, clock.Start()
	v.follower = g.follow(func(m *peerpb.ServerRecord) {
		v.mu.Lock()
		defer v.mu.Unlock()
		if r, err := wire.RecordFromPB(now.Now(), m); err == nil && v.table.Admit(&r) == nil {
			v.table.Merge(r)
		}
	})
	return v
}

// usable returns whether the entry daemon may send requests to a server.
func (v *serverView) usable(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := v.table.ByID[id]
	return r != nil && v.table.Usable(r)
}

// awaitUsable waits until an entry daemon takes a server for usable, or for not usable.
func (v *serverView) awaitUsable(t *testing.T, id string, want bool, deadline time.Time) {
	t.Helper()
	for ; v.usable(id) != want; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("%s: got usable %v in time, want %v", id, !want, want)
			return
		}
	}
}

// awaitFollowed waits until the entry daemon receives events from n core daemons.
func (v *serverView) awaitFollowed(t *testing.T, n int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if live, _ := v.follower.CoresHeard(); live >= n {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("got events from fewer than %d core daemons in 10 s", n)
		}
	}
}

// testServer returns the announcement of a backend server.
func testServer(n int, state enrol.State, sequence uint64) enrol.Record {
	return enrol.Record{
		ID: fmt.Sprint("i-", n), Service: "s", Address: fmt.Sprint("10.0.", n/250, ".", 1+n%250, ":80"), Zone: "z", Version: "v1", Slots: 4,
		Born: 7, Sequence: sequence, State: state,
	}
}

// departures are the ways in which a server says that it leaves.
var departures = []struct {
	name string
	say  func(ctx context.Context, c *Core, n int) error
}{
	{"draining", func(ctx context.Context, c *Core, n int) error { return c.Enrol(ctx, testServer(n, enrol.Leaving, 2)) }},
	{"deregistered", func(ctx context.Context, c *Core, n int) error {
		return c.Deregister(ctx, testServer(n, enrol.Gone, 0).ID, 7)
	}},
}

// newServedCluster starts n core daemons and an entry daemon that takes the servers 0 to servers-1 for usable.
func newServedCluster(t *testing.T, n, servers int) (*cluster, *serverView) {
	t.Helper()
	g := newCluster(t, n)
	g.putRules(1)
	g.awaitHealthy(10 * time.Second)
	v := g.followServers()
	v.awaitFollowed(t, n)
	for i := range servers {
		if err := g.cores[i%n].Enrol(t.Context(), testServer(i, enrol.Ready, 1)); err != nil {
			t.Fatal(err)
		}
	}
	deadline := time.Now().Add(contactTime)
	for i := range servers {
		v.awaitUsable(t, testServer(i, enrol.Ready, 1).ID, true, deadline)
	}
	return g, v
}

// TestAcknowledgedDeparturesOutliveTheDaemon guards against servers that are sent requests after their departure was
// acknowledged, as the core daemon that acknowledged it failed before any other had heard of it.
func TestAcknowledgedDeparturesOutliveTheDaemon(t *testing.T) {
	follower := func(g *cluster) int { return (g.leader() + 1) % len(g.cores) }
	crash := func(wipe, restart bool, others ...int) func(g *cluster, i int) {
		return func(g *cluster, i int) {
			lost := []int{i}
			for _, o := range others {
				lost = append(lost, (i+o)%len(g.cores))
			}
			for _, j := range lost {
				g.crash(j, wipe)
			}
			for _, j := range lost {
				if restart {
					g.start(j)
				}
			}
		}
	}
	cases := []struct {
		name    string
		witness func(g *cluster) int
		fail    func(g *cluster, i int)
	}{
		{"follower killed", follower, crash(false, false)},
		{"leader killed", (*cluster).leader, crash(false, false)},
		{"follower and leader killed", follower, crash(false, false, 4)},
		{"leader killed and back at once", (*cluster).leader, crash(false, true)},
		{"two disks lost", (*cluster).leader, crash(true, true, 1)},
		{"all killed and back", follower, crash(false, true, 1, 2, 3, 4)},
		{"follower cut off", follower, func(g *cluster, i int) { g.links.setCut(g.settings[i].Peers, true) }},
		{"leader cut off", (*cluster).leader, func(g *cluster, i int) { g.links.setCut(g.settings[i].Peers, true) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g, v := newServedCluster(t, 5, len(departures))
			i := c.witness(g)
			var calls sync.WaitGroup
			errs := make([]error, len(departures))
			for n := range departures {
				calls.Go(func() { errs[n] = departures[n].say(t.Context(), g.cores[i], n) })
			}
			calls.Wait()
			c.fail(g, i)
			deadline := time.Now().Add(contactTime)
			for n, d := range departures {
				if errs[n] != nil {
					t.Errorf("%s: got %v, want an acknowledgement", d.name, errs[n])
				}
				v.awaitUsable(t, testServer(n, enrol.Ready, 1).ID, false, deadline)
			}
		})
	}
}

// ackTimeout is how long a server waits for the response to a call before it calls another daemon.
const ackTimeout = time.Second

// depart repeats the departure of a server as the server does, at one daemon after the other. It returns how long the
// acknowledgement took.
func (g *cluster) depart(n, first int, say func(ctx context.Context, c *Core, n int) error) time.Duration {
	g.t.Helper()
	began := time.Now()
	for i := first; time.Since(began) < ackTime; i++ {
		c := g.cores[i%len(g.cores)]
		if c == nil {
			continue
		}
		called := time.Now()
		err := say(g.t.Context(), c, n)
		if took := time.Since(called); took > ackTimeout {
			g.t.Errorf("core %d: got the response after %v, want at most %v", i%len(g.cores), took, ackTimeout)
		}
		if err == nil {
			return time.Since(began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.t.Errorf("server %d: got no acknowledgement in %v", n, ackTime)
	return ackTime
}

// TestDeparturesAreAcknowledgedBesideFaults guards against departures that wait for a daemon which is lost, frozen or
// without room on its disk, in groups of each size.
func TestDeparturesAreAcknowledgedBesideFaults(t *testing.T) {
	for _, size := range []int{1, 3, 5, 7} {
		t.Run(fmt.Sprint(size, " daemons"), func(t *testing.T) {
			g, v := newServedCluster(t, size, 12)
			follower, other := 0, 0
			faults := []struct {
				name  string
				cause func() (end func())
			}{
				{"none", func() func() { return func() {} }},
				{"stalled disk of a follower", func() func() { return g.stallDisk(follower) }},
				{"full disk of a follower", func() func() {
					failing := failCalls("write")
					g.full[follower].failing.Store(&failing)
					return func() { g.full[follower].failing.Store(nil) }
				}},
				{"stalled disk of the leader", func() func() { return g.stallDisk(other) }},
				{"follower cut off", func() func() {
					g.links.setCut(g.settings[follower].Peers, true)
					return func() { g.links.setCut(g.settings[follower].Peers, false) }
				}},
				{"as many lost as may be", func() func() {
					var lost []int
					for i := 1; i <= g.settings[0].Losses; i++ {
						j := (other + i) % size
						lost = append(lost, j)
						g.crash(j, false)
					}
					return func() {
						for _, j := range lost {
							g.start(j)
						}
					}
				}},
			}
			for n, f := range faults {
				if size == 1 && n > 0 {
					break
				}
				leader := g.leader()
				follower, other = (leader+1)%size, leader
				end := f.cause()
				for k, d := range departures {
					server := 2*n + k
					took := g.depart(server, leader, d.say)
					t.Logf("%s, %s: acknowledged after %v", f.name, d.name, took)
					v.awaitUsable(t, testServer(server, enrol.Ready, 1).ID, false, time.Now().Add(contactTime))
				}
				end()
				g.awaitHealthy(10 * time.Second)
			}
		})
	}
}

// TestDaemonsWhoseDiskHangsRefuse guards against calls that wait for a disk that hangs until their time is over, and against
// further ones that wait as long, although the other daemons can do without this one.
func TestDaemonsWhoseDiskHangsRefuse(t *testing.T) {
	for _, c := range []struct {
		name  string
		ahead int
	}{{"leader", 0}, {"follower", 1}} {
		t.Run(c.name, func(t *testing.T) {
			g, _ := newServedCluster(t, 3, 1)
			i := (g.leader() + c.ahead) % len(g.cores)
			release := g.stallDisk(i)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if _, err := g.cores[i].Store.Propose(ctx, state.Barrier{}); fault.KindOf(err) != fault.Unknown || ctx.Err() != nil {
				t.Errorf("got %v, %v, want an error of kind Unknown before the time of the call is over", err, ctx.Err())
			}
			for _, d := range departures {
				called := time.Now()
				if err := d.say(t.Context(), g.cores[i], 0); fault.KindOf(err) != fault.Unavailable {
					t.Errorf("%s: got %v, want an error of kind Unavailable", d.name, err)
				}
				if took := time.Since(called); took > ackTimeout/2 {
					t.Errorf("%s: got the refusal after %v, want at most %v", d.name, took, ackTimeout/2)
				}
			}
			release()
			for deadline := time.Now().Add(10 * time.Second); departures[0].say(t.Context(), g.cores[i], 0) != nil; time.Sleep(50 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("got no acknowledgement in 10 s after the disk was free")
				}
			}
		})
	}
}

// TestOnlyVoterWaitsForItsDisk guards against refusals where no other daemon can do without the disk.
func TestOnlyVoterWaitsForItsDisk(t *testing.T) {
	g, _ := newServedCluster(t, 1, 1)
	release := g.stallDisk(0)
	time.AfterFunc((2 * ElectionTimeout).Std(), release)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := g.cores[0].Store.Propose(ctx, state.Barrier{}); err != nil {
		t.Errorf("got %v, want the commit once the disk is free", err)
	}
}

// TestDepartureWithoutLeaderIsRefusedAndInForce guards against an acknowledgement by daemons that are cut off from the
// majority of the group, and against entry daemons which send on to a server that says it leaves, as it is not acknowledged.
func TestDepartureWithoutLeaderIsRefusedAndInForce(t *testing.T) {
	g, v := newServedCluster(t, 5, len(departures))
	cut := (g.leader() + 1) % len(g.cores)
	for i := range g.cores {
		if i != cut {
			g.links.cutBetween(g.settings[cut].Peers, g.settings[i].Peers)
		}
	}
	time.Sleep(rejoinAfter.Std() + ElectionTimeout.Std())
	for n, d := range departures {
		called := time.Now()
		if err := d.say(t.Context(), g.cores[cut], n); fault.KindOf(err) != fault.Unavailable {
			t.Errorf("%s: got %v, want an error of kind Unavailable", d.name, err)
		}
		if took := time.Since(called); took > ackTimeout/10 {
			t.Errorf("%s: got the refusal after %v, want it at once", d.name, took)
		}
		v.awaitUsable(t, testServer(n, enrol.Ready, 1).ID, false, time.Now().Add(ackTimeout))
		if took := g.depart(n, g.leader(), d.say); took > ackTimeout {
			t.Errorf("%s: got the acknowledgement of the majority after %v, want at most %v", d.name, took, ackTimeout)
		}
	}
}

// TestOnlyDeparturesWaitForTheGroup guards against announcements that wait for a commit although they change nothing
// that a daemon promises: those of ready servers, and repeated ones of servers that leave.
func TestOnlyDeparturesWaitForTheGroup(t *testing.T) {
	g, _ := newServedCluster(t, 3, 2)
	i := g.leader()
	g.depart(0, i, departures[0].say)
	applied := g.cores[i].Store.Status().Applied
	for k := range g.cores {
		if k != i {
			g.stallDisk(k)
		}
	}
	for _, c := range []struct {
		name string
		call func() error
	}{
		{"ready", func() error { return g.cores[i].Enrol(t.Context(), testServer(1, enrol.Ready, 2)) }},
		{"still draining", func() error { return g.cores[i].Enrol(t.Context(), testServer(0, enrol.Leaving, 3)) }},
		{"deregistered after it drained", func() error { return g.cores[i].Deregister(t.Context(), testServer(0, enrol.Gone, 0).ID, 7) }},
	} {
		called := time.Now()
		if err := c.call(); err != nil {
			t.Errorf("%s: got %v, want an acknowledgement", c.name, err)
		}
		if took := time.Since(called); took > ackTimeout/10 {
			t.Errorf("%s: got the acknowledgement after %v, want it at once", c.name, took)
		}
	}
	if got := g.cores[i].Store.Status().Applied; got != applied {
		t.Errorf("got %d commands for announcements that change nothing, want 0", got-applied)
	}
}

// TestServersOfAZoneLeaveTogether guards against a leaving zone whose departures are committed one by one, so that their
// acknowledgements come too late.
func TestServersOfAZoneLeaveTogether(t *testing.T) {
	const servers = 375
	g, v := newServedCluster(t, 5, servers)
	applied := g.cores[g.leader()].Store.Status().Applied
	began := time.Now()
	var calls sync.WaitGroup
	for n := range servers {
		calls.Go(func() {
			if err := departures[n%2].say(t.Context(), g.cores[n%5], n); err != nil {
				t.Errorf("server %d: got %v, want an acknowledgement", n, err)
			}
		})
	}
	calls.Wait()
	took := time.Since(began)
	if took > ackTimeout {
		t.Errorf("got the last acknowledgement after %v, want at most %v", took, ackTimeout)
	}
	commands := g.cores[g.leader()].Store.Status().Applied - applied
	if commands > servers/10 {
		t.Errorf("got %d commands for %d departures, want at most %d", commands, servers, servers/10)
	}
	t.Logf("%d departures in %v with %d commands", servers, took, commands)
	for n := range servers {
		v.awaitUsable(t, testServer(n, enrol.Ready, 1).ID, false, began.Add(contactTime))
	}
}

// TestNewStartIsNotHeldForTheOldOne guards against a server that gets no requests because an earlier start with the same ID, or
// another server at the same address, has left.
func TestNewStartIsNotHeldForTheOldOne(t *testing.T) {
	g, v := newServedCluster(t, 5, 2)
	for n, d := range departures {
		g.depart(n, g.leader(), d.say)
	}
	again, other := testServer(0, enrol.Ready, 1), testServer(1, enrol.Ready, 1)
	again.Born, other.Born, other.ID = 8, 8, "i-other"
	// A heartbeat of the old start that was delayed arrives after the announcements of the new ones.
	for _, r := range []enrol.Record{again, other, testServer(0, enrol.Ready, 9), testServer(1, enrol.Ready, 9)} {
		if err := g.cores[0].Enrol(t.Context(), r); err != nil && r.Born == 8 {
			t.Fatal(err)
		}
	}
	deadline := time.Now().Add(contactTime)
	v.awaitUsable(t, again.ID, true, deadline)
	v.awaitUsable(t, other.ID, true, deadline)
	i := g.leader()
	g.crash(i, false)
	g.start(i)
	late := g.followServers()
	late.awaitFollowed(t, 5)
	deadline = time.Now().Add(contactTime)
	late.awaitUsable(t, again.ID, true, deadline)
	late.awaitUsable(t, other.ID, true, deadline)
	if id := testServer(1, enrol.Ready, 1).ID; late.usable(id) {
		t.Errorf("%s: got usable after its departure, want not", id)
	}
}
