package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"swiftbeam/internal/runner"
	"swiftbeam/internal/valid"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/internal/wire/peerpb/peerpbconnect"
	"swiftbeam/pkg/clock"
)

const (
	reconnectPause = 150 * clock.Millisecond
	// startupPause is the pause between attempts during the first startupPeriod after a follower
	// starts to follow a core daemon, as the core daemons may still be starting then.
	startupPause      = 50 * clock.Millisecond
	startupPeriod     = 3 * clock.Second
	maxReconnectPause = clock.Second
	// maxClockAge is the age up to which another daemon's time of day is used.
	maxClockAge = 10 * clock.Second
)

// awaitChange returns after the interval, or batchDelay after changed was closed. It reports false when
// ctx has ended.
func awaitChange(ctx context.Context, changed <-chan struct{}, interval clock.Duration) bool {
	timer := time.NewTimer(interval.Std())
	defer timer.Stop()
	select {
	case <-changed:
		runner.Pause(ctx, batchDelay)
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// Follower keeps a stream open to each core daemon except itself, to receive the state that entry daemons
// use, and its changes. Set the exported fields before Run.
type Follower struct {
	Name  string
	Zone  string
	Entry bool
	// Self is this daemon's own address, which is not followed.
	Self      string
	Clock     clock.Clock
	WallClock *WallClock
	Log       logr.Logger
	Client    func(address string) peerpbconnect.FeedClient
	// Seeds returns the core daemons' addresses in the current settings.
	Seeds func() []string
	// OnEvent is called with each event. Calls for one address are never concurrent.
	OnEvent func(address string, e *peerpb.FeedEvent)

	mu      sync.Mutex
	streams map[string]*upstream
	cores   []string
	leader  string
	clocks  map[string]clockReading
	// rejections selects the invalid addresses to log.
	rejections valid.Rejections
}

// upstream is the state of following one core daemon.
type upstream struct {
	cancel      context.CancelFunc
	lastEventAt clock.Instant
	// newCores is the last list of core daemons that was received before its sender knew the leader.
	newCores []string
}

// clockReading is the offset of a core daemon's time of day from this daemon's monotonic clock.
type clockReading struct {
	offset clock.Duration
	at     clock.Instant
}

// Run follows the core daemons until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.streams = make(map[string]*upstream)
	f.clocks = make(map[string]clockReading)
	f.mu.Unlock()
	for ctx.Err() == nil {
		f.updateStreams(ctx)
		runner.Pause(ctx, reconnectPause)
	}
}

// addressesLocked returns the core daemons to follow: those of the settings and those that the core
// daemons themselves list.
func (f *Follower) addressesLocked() []string {
	all := slices.Clone(f.cores)
	for _, a := range f.Seeds() {
		if !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	return slices.DeleteFunc(all, func(a string) bool { return a == f.Self })
}

// Leader returns the leader's address that was received last, or an empty string.
func (f *Follower) Leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// CoresHeard returns the number of core daemons that sent an event within StreamTimeout, and the
// number that are followed.
func (f *Follower) CoresHeard() (live, known int) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.streams {
		if s.lastEventAt > 0 && now.Sub(s.lastEventAt) < StreamTimeout {
			live++
		}
	}
	return live, len(f.streams)
}

// ClusterTime returns the time of day on which most daemons agree: the median of this VM's time of
// day and those that the core daemons sent within maxClockAge.
func (f *Follower) ClusterTime() clock.Instant {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	all := []clock.Duration{f.WallClock.Now().Sub(now)}
	for _, r := range f.clocks {
		if now.Sub(r.at) < maxClockAge {
			all = append(all, r.offset)
		}
	}
	slices.Sort(all)
	return now.Add(all[(len(all)-1)/2])
}

func (f *Follower) updateStreams(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	addresses := f.addressesLocked()
	for _, address := range addresses {
		if f.streams[address] == nil {
			streamCtx, cancel := context.WithCancel(ctx)
			f.streams[address] = &upstream{cancel: cancel}
			go f.follow(streamCtx, address)
		}
	}
	for address, s := range f.streams {
		if !slices.Contains(addresses, address) {
			s.cancel()
			delete(f.streams, address)
			delete(f.clocks, address)
			f.Log.Info("stopped following core daemon", "address", address)
		}
	}
}

// follow keeps a stream from one core daemon open, and reconnects when it ends.
func (f *Follower) follow(ctx context.Context, address string) {
	startedAt := f.Clock.Now()
	pause := reconnectPause
	attempted := false
	for ctx.Err() == nil {
		events, err := f.readStream(ctx, address)
		if events > 0 {
			pause = reconnectPause
		}
		if ctx.Err() == nil && (events > 0 || !attempted) {
			f.Log.Info("lost stream from core daemon", "address", address, "events", events, "error", errorText(err))
		}
		attempted = true
		if f.Clock.Now().Sub(startedAt) < startupPeriod {
			runner.Pause(ctx, startupPause)
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

func (f *Follower) readStream(ctx context.Context, address string) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(StreamTimeout.Std(), cancel)
	defer watchdog.Stop()
	stream, err := f.Client(address).Watch(ctx, connect.NewRequest(&peerpb.WatchRequest{Name: f.Name, Zone: f.Zone, Entry: f.Entry}))
	if err != nil {
		return 0, err
	}
	defer func() { _ = stream.Close() }()
	count := 0
	for stream.Receive() {
		watchdog.Reset(StreamTimeout.Std())
		if count++; count == 1 {
			f.Log.Info("following core daemon", "address", address)
		}
		f.recordEvent(address, stream.Msg())
		f.OnEvent(address, stream.Msg())
		f.recordHeard(address)
	}
	return count, stream.Err()
}

func (f *Follower) recordEvent(address string, e *peerpb.FeedEvent) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clocks[address] = clockReading{offset: clock.Instant(e.GetClock()).Sub(now), at: now}
	if s := f.streams[address]; s != nil {
		f.updateCoresLocked(s, f.usableLocked(now, address, e.GetCores()), e.GetLeader())
	}
	if e.GetLeader() != "" {
		f.leader = e.GetLeader()
	}
}

// updateCoresLocked uses the list of core daemons of a stream once its sender knows the leader. The list of
// one that does not may be outdated, as the group may have removed it.
func (f *Follower) updateCoresLocked(s *upstream, cores []string, leader string) {
	if len(cores) > 0 {
		s.newCores = cores
	}
	switch {
	case len(s.newCores) == 0:
	case leader != "":
		f.cores, s.newCores = s.newCores, nil
	case f.leader == "":
		f.cores = s.newCores
	}
}

// usableLocked returns the addresses of core daemons that an event contains, without those that are none.
func (f *Follower) usableLocked(now clock.Instant, from string, addresses []string) []string {
	usable := make([]string, 0, len(addresses))
	for _, a := range addresses {
		if valid.IsAddress(a) {
			usable = append(usable, a)
		} else if f.rejections.Add(now, a) {
			f.Log.Info("address of a core daemon rejected", "address", valid.Quote(a), "from", from)
		}
	}
	return usable
}

// recordHeard records that an event of a core daemon has been applied. Until then, what it contains is not in force.
func (f *Follower) recordHeard(address string) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.streams[address]; s != nil {
		s.lastEventAt = now
	}
}
