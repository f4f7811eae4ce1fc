package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"swiftbeam/internal/runner"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/internal/wire/peerpb/peerpbconnect"
	"swiftbeam/pkg/clock"
)

const (
	reconnectPause = 150 * clock.Millisecond
	// firstPause is the pause between attempts of a daemon that has just started, together with
	// the core daemons perhaps, and firstTime how long that lasts.
	firstPause        = 50 * clock.Millisecond
	firstTime         = 3 * clock.Second
	maxReconnectPause = clock.Second
	// clockAge is the age up to which another daemon's time of day counts.
	clockAge = 10 * clock.Second
)

// waitFor returns after the interval, or a little after changed was closed. It reports false when
// ctx ended.
func waitFor(ctx context.Context, changed <-chan struct{}, interval clock.Duration) bool {
	timer := time.NewTimer(interval.Std())
	defer timer.Stop()
	select {
	case <-changed:
		runner.Pause(ctx, gather)
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// Follower follows all core daemons. Set the exported fields before Run.
type Follower struct {
	Name  string
	Zone  string
	Entry bool
	// Self is the address not to follow.
	Self      string
	Clock     clock.Clock
	WallClock *WallClock
	Log       logr.Logger
	Client    func(address string) peerpbconnect.FeedClient
	// Seeds returns the addresses that the settings name now.
	Seeds func() []string
	// OnEvent takes each event. Calls for one address follow one another.
	OnEvent func(address string, e *peerpb.FeedEvent)

	mu      sync.Mutex
	streams map[string]*stream
	cores   []string
	leader  string
	clocks  map[string]reading
}

// stream is the state of following one core daemon.
type stream struct {
	cancel context.CancelFunc
	heard  clock.Instant
}

// reading is the difference between a daemon's time of day and this one's steady clock.
type reading struct {
	offset clock.Duration
	at     clock.Instant
}

// Run follows the core daemons until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.streams = make(map[string]*stream)
	f.clocks = make(map[string]reading)
	f.mu.Unlock()
	for ctx.Err() == nil {
		f.adjust(ctx)
		runner.Pause(ctx, reconnectPause)
	}
}

// addressesLocked returns the core daemons that are known: those of the settings and those that the
// others name.
func (f *Follower) addressesLocked() []string {
	all := slices.Clone(f.cores)
	for _, a := range f.Seeds() {
		if !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	return slices.DeleteFunc(all, func(a string) bool { return a == f.Self })
}

// Leader returns the address of the leader as last heard, or an empty text.
func (f *Follower) Leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// CoresHeard returns the number of core daemons heard lately, of how many.
func (f *Follower) CoresHeard() (heard, known int) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.streams {
		if s.heard > 0 && now.Sub(s.heard) < StreamTimeout {
			heard++
		}
	}
	return heard, len(f.streams)
}

// ClusterTime returns the time of day on which most daemons agree: the median of those heard lately and
// this machine's own.
func (f *Follower) ClusterTime() clock.Instant {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	all := []clock.Duration{f.WallClock.Now().Sub(now)}
	for _, r := range f.clocks {
		if now.Sub(r.at) < clockAge {
			all = append(all, r.offset)
		}
	}
	slices.Sort(all)
	return now.Add(all[(len(all)-1)/2])
}

func (f *Follower) adjust(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	want := f.addressesLocked()
	for _, address := range want {
		if f.streams[address] == nil {
			one, cancel := context.WithCancel(ctx)
			f.streams[address] = &stream{cancel: cancel}
			go f.follow(one, address)
		}
	}
	for address, s := range f.streams {
		if !slices.Contains(want, address) {
			s.cancel()
			delete(f.streams, address)
			delete(f.clocks, address)
			f.Log.Info("core daemon no longer followed", "address", address)
		}
	}
}

// follow keeps a stream from one core daemon.
func (f *Follower) follow(ctx context.Context, address string) {
	began := f.Clock.Now()
	pause := reconnectPause
	connected := false
	for ctx.Err() == nil {
		events, err := f.read(ctx, address)
		if events > 0 {
			pause = reconnectPause
		}
		if ctx.Err() == nil && (events > 0 || !connected) {
			f.Log.Info("core daemon lost", "address", address, "events", events, "error", errorText(err))
		}
		connected = true
		if f.Clock.Now().Sub(began) < firstTime {
			runner.Pause(ctx, firstPause)
			continue
		}
		runner.Pause(ctx, pause)
		pause = min(2*pause, maxReconnectPause)
	}
}

func errorText(err error) string {
	if err == nil {
		return "stream ended"
	}
	return err.Error()
}

func (f *Follower) read(ctx context.Context, address string) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(StreamTimeout.Std(), cancel)
	defer watchdog.Stop()
	events, err := f.Client(address).Watch(ctx, connect.NewRequest(&peerpb.WatchRequest{Name: f.Name, Zone: f.Zone, Entry: f.Entry}))
	if err != nil {
		return 0, err
	}
	defer func() { _ = events.Close() }()
	count := 0
	for events.Receive() {
		watchdog.Reset(StreamTimeout.Std())
		if count++; count == 1 {
			f.Log.Info("core daemon followed", "address", address)
		}
		f.note(address, events.Msg())
		f.OnEvent(address, events.Msg())
	}
	return count, events.Err()
}

func (f *Follower) note(address string, e *peerpb.FeedEvent) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.streams[address]; s != nil {
		s.heard = now
	}
	f.clocks[address] = reading{offset: clock.Instant(e.GetClock()).Sub(now), at: now}
	if len(e.GetCores()) > 0 {
		f.cores = e.GetCores()
	}
	if e.GetLeader() != "" {
		f.leader = e.GetLeader()
	}
}
