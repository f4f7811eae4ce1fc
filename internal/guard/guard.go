// Package guard keeps requests that crash backend servers from reaching further ones, on a daemon that has the
// replicated state itself:
//
//	suspects := guard.CompletionSuspects(account, service, body, true)
//	err := g.Admit(ctx, suspects)           // before a request is accepted
//	g.Sent(service)
//	g.Broke(ctx, address, crash.Break{...}) // the connection to a server broke
//	err = g.AwaitVerdict(ctx, suspects)     // before the request is sent to another server
//	g.Succeeded(service, suspects, sentAt)
//
// The decisions are those of package crash. A Recorder commits the evidence at the leader, also for daemons
// whose entry daemons have no replicated state.
package guard

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/dial"
	"swiftbeam/internal/engine"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/peers"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/ring"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/internal/store"
	"swiftbeam/internal/window"
	"swiftbeam/internal/wire"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/clock"
)

const (
	// reportInterval is the interval of reports while there is anything to report; an end is reported at once.
	reportInterval = 250 * clock.Millisecond
	reportTimeout  = clock.Second
	proposeTimeout = 2 * clock.Second
	// checkTimeout bounds the check whether a server has ended.
	checkTimeout = 800 * clock.Millisecond
	// trialWait is how long a request waits for the leader to allow it as a trial.
	trialWait = clock.Second
	// verdictWait is how long a request whose server has ended waits until its traits are cleared or blocked,
	// before it is sent to another one. It is longer than a trait is listed before it is blocked.
	verdictWait  = 3 * clock.Second
	pollInterval = 50 * clock.Millisecond
	// rateSpan is the time over which requests are counted.
	rateSpan = 12 * clock.Second
	// maxRetryAfter is the Retry-After in seconds of a blocked request without a further trial.
	maxRetryAfter = 3600
)

// Guard is the service of one daemon. Set the exported fields before Start.
type Guard struct {
	// Self identifies this run of the daemon.
	Self  string
	Clock clock.Clock
	Store *store.Store
	Net   *peers.Net
	Log   logr.Logger
	// Dial opens connections to servers.
	Dial dial.Func
	// AnnouncedAt returns the time up to which announcements of a start of a server, which its ends name, have arrived;
	// zero if there are none, or if the start is not the last one.
	AnnouncedAt func(service, startID string) clock.Instant

	recorder *Recorder
	group    *runner.Group
	trigger  *ring.Ring[struct{}]

	mu       sync.Mutex
	watch    crash.Watch
	services map[string]*traffic
	// reported is what the daemons reported of their traffic; only the leader uses it.
	reported map[string]map[string]crash.Traffic
}

// traffic counts the requests of this daemon to one service.
type traffic struct {
	startedAt clock.Instant
	sent      window.Sliding
	completed uint64
}

// Start runs the reports, the updates and, on the leader, the recorder until ctx ends.
func (g *Guard) Start(ctx context.Context, group *runner.Group) error {
	g.group = group
	g.trigger = ring.New[struct{}](1)
	g.watch.Daemon = g.Self
	g.services = make(map[string]*traffic)
	g.reported = make(map[string]map[string]crash.Traffic)
	g.recorder = &Recorder{
		Log: g.Log, Now: g.Clock.Now, Leads: func() bool { return g.Store.Status().Role == quorum.Leader },
		View: g.Store.View, Propose: g.propose, Traffic: g.totalTraffic, AnnouncedAt: g.AnnouncedAt,
	}
	group.Go(func() { g.recorder.Run(ctx) })
	group.Go(func() { g.runReports(ctx) })
	group.Go(func() { g.follow(ctx) })
	group.Go(func() { runner.Every(ctx, reportInterval, func() { g.checkServers(ctx) }) })
	return nil
}

func (g *Guard) propose(ctx context.Context, body state.Body) (state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Std())
	defer cancel()
	return g.Store.Propose(ctx, body)
}

// follow applies the changes of the replicated table until ctx ends.
func (g *Guard) follow(ctx context.Context) {
	for ctx.Err() == nil {
		changed := g.Store.Changed()
		g.learn()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (g *Guard) learn() {
	g.mu.Lock()
	revision := g.watch.Revision
	g.mu.Unlock()
	var changes crash.Changes
	g.Store.View(func(s *state.State) {
		if s.Crashes.Revision > revision {
			changes = s.Crashes.Since(revision)
		}
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watch.Learn(&changes)
}

// CompletionSuspects returns the traits of a completion request: the request itself and the messages of a chat
// but the last one, which belongs to this request alone.
func CompletionSuspects(account, service string, body []byte, chat bool) []crash.Suspect {
	path := engine.Path(chat)
	suspects := []crash.Suspect{{
		Trait: crash.RequestTrait(service, &crash.Identity{Account: account, Method: http.MethodPost, Target: path, Body: body}),
		Kind:  crash.Request, Name: shorten("POST " + path + " of " + account),
	}}
	if !chat {
		return suspects
	}
	var fields struct {
		Messages []engine.Message `json:"messages"`
	}
	if err := json.Unmarshal(body, &fields); err != nil || len(fields.Messages) < 2 {
		return suspects
	}
	for _, m := range fields.Messages[:len(fields.Messages)-1] {
		suspects = append(suspects, crash.Suspect{Trait: crash.PartTrait(service, m.Role+": "+m.Content), Name: shorten(m.Content)})
	}
	return suspects
}

// CallSuspects returns the trait of a call to a plain service, which is the call itself.
func CallSuspects(account, service, method, target string, body []byte) []crash.Suspect {
	return []crash.Suspect{{
		Trait: crash.RequestTrait(service, &crash.Identity{Account: account, Method: method, Target: target, Body: body}),
		Kind:  crash.Request, Name: shorten(method + " " + target),
	}}
}

// maxNameBytes bounds the names of traits.
const maxNameBytes = 64

func shorten(text string) string { return text[:min(len(text), maxNameBytes)] }

// Admit returns an error if requests with the traits are blocked. When a trial is due, it waits for the
// leader to allow the request as one.
func (g *Guard) Admit(ctx context.Context, suspects []crash.Suspect) error {
	if len(suspects) == 0 {
		return nil
	}
	decision := g.decide(suspects)
	for end := g.Clock.Now().Add(trialWait); decision.Await && g.Clock.Now().Before(end) && ctx.Err() == nil; {
		changed := g.Store.Changed()
		g.trigger.Offer(struct{}{})
		timer := time.NewTimer(end.Sub(g.Clock.Now()).Std())
		select {
		case <-changed:
			g.learn()
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		decision = g.decide(suspects)
	}
	if decision.Blocked == nil {
		return nil
	}
	return blockedError(g.Clock.Now(), decision.Blocked)
}

func (g *Guard) decide(suspects []crash.Suspect) crash.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.watch.Admit(g.Clock.Now(), suspects)
}

func blockedError(now clock.Instant, r *crash.Record) error {
	retryAfter := maxRetryAfter
	if r.NextTrial > 0 {
		retryAfter = int(max(r.NextTrial.Sub(now)/clock.Second, 0)) + 1
	}
	return fault.New(fault.Unavailable, "requests with %q crash the backend servers", r.Name).
		Remedy("change the request, or retry later").WithRetryAfter(retryAfter)
}

// AwaitVerdict waits while several servers have ended under requests with one of the traits, for verdictWait
// at most. It returns an error if such requests are blocked.
func (g *Guard) AwaitVerdict(ctx context.Context, suspects []crash.Suspect) error {
	for end := g.Clock.Now().Add(verdictWait); g.Clock.Now().Before(end) && ctx.Err() == nil; {
		g.mu.Lock()
		suspected := g.watch.Suspected(suspects)
		blocked, _ := g.watch.Blocked(suspects)
		g.mu.Unlock()
		switch {
		case blocked != nil:
			return blockedError(g.Clock.Now(), blocked)
		case !suspected:
			return nil
		}
		runner.Pause(ctx, pollInterval)
	}
	return nil
}

// Sent counts a request that is sent to a server.
func (g *Guard) Sent(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service(service).sent.Add(g.Clock.Now(), 1)
}

// service returns the counts of a service. The caller holds the lock.
func (g *Guard) service(name string) *traffic {
	t := g.services[name]
	if t == nil {
		t = &traffic{startedAt: g.Clock.Now()}
		t.sent.Span = rateSpan
		g.services[name] = t
	}
	return t
}

// Succeeded records that a server completed a request.
func (g *Guard) Succeeded(service string, suspects []crash.Suspect, sentAt clock.Instant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service(service).completed++
	g.watch.Succeeded(suspects, sentAt, g.Clock.Now())
}

// Broke records that the connection of a request to a server broke, and finds out whether the server has
// ended. It does not wait for that.
func (g *Guard) Broke(ctx context.Context, address string, b crash.Break) {
	b.At = g.Clock.Now()
	g.mu.Lock()
	check := g.watch.Broke(b)
	g.mu.Unlock()
	if !check {
		return
	}
	g.group.Go(func() {
		refuses := dial.HasEnded(context.WithoutCancel(ctx), func(ctx context.Context) (bool, error) { return g.refusesConnections(ctx, address) })
		g.mu.Lock()
		end, ended := g.watch.Checked(b.Server, refuses)
		g.mu.Unlock()
		if ended {
			g.Log.Info("backend server has ended", "service", end.Service, "server", end.Server, "begun", len(end.Runs))
			g.trigger.Offer(struct{}{})
		}
	})
}

// checkServers finds out, at the leader, whether servers accept connections that daemons reported to have ended.
func (g *Guard) checkServers(ctx context.Context) {
	if g.Store.Status().Role != quorum.Leader {
		return
	}
	for _, check := range g.recorder.Checks("") {
		address, _ := crash.SplitStartID(check.Server)
		g.group.Go(func() {
			runner.Pause(ctx, check.From().Sub(g.Clock.Now()))
			checkCtx, cancel := context.WithTimeout(ctx, check.Until().Sub(g.Clock.Now()).Std())
			defer cancel()
			conn, err := g.Dial(checkCtx, "tcp", address)
			if err != nil {
				return
			}
			_ = conn.Close()
			if g.AnnouncedAt(check.Service, check.Server) == 0 {
				return
			}
			now := g.Clock.Now()
			g.recorder.Add(crash.Evidence{Survivors: []crash.Survivor{{Server: check.Server, SeenAt: now}}})
			g.Log.Info("backend server has not ended", "service", check.Service, "server", check.Server)
		})
	}
}

// refusesConnections reports whether the VM at address refuses connections, as no process listens there. The error is nil if
// it accepted one.
func (g *Guard) refusesConnections(ctx context.Context, address string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout.Std())
	defer cancel()
	conn, err := g.Dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), err
	}
	_ = conn.Close()
	return false, nil
}

func (g *Guard) runReports(ctx context.Context) {
	for ctx.Err() == nil {
		wait, cancel := context.WithTimeout(ctx, reportInterval.Std())
		_, _ = g.trigger.Take(wait)
		cancel()
		g.report(ctx)
	}
}

// report sends the evidence of this daemon to the leader, with its traffic.
func (g *Guard) report(ctx context.Context) {
	now := g.Clock.Now()
	g.mu.Lock()
	e := g.watch.Report(now)
	if g.watch.Suspicious() || !e.Empty() {
		e.Traffic = g.ownTraffic(now)
	}
	g.mu.Unlock()
	if e.Empty() && len(e.Traffic) == 0 {
		return
	}
	m := &peerpb.ReportRequest{Daemon: g.Self, Now: int64(now), Crashes: wire.EvidenceToPB(&e)}
	status := g.Store.Status()
	if status.Role == quorum.Leader {
		g.Collect(m)
		return
	}
	g.mu.Lock()
	clear(g.reported)
	g.mu.Unlock()
	if status.LeaderAt == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Std())
	defer cancel()
	if _, err := g.Net.Client(status.LeaderAt).Report(ctx, connect.NewRequest(m)); err != nil {
		g.Log.Info("could not report crashes to leader", "address", status.LeaderAt, "error", err.Error())
	}
}

// ownTraffic returns the traffic of this daemon. The caller holds the lock.
func (g *Guard) ownTraffic(now clock.Instant) []crash.Traffic {
	var list []crash.Traffic
	for name, t := range g.services {
		span := max(min(rateSpan, now.Sub(t.startedAt)), clock.Second)
		list = append(list, crash.Traffic{Service: name, PerSecond: t.sent.Sum(now) / span.Std().Seconds(), Completed: t.completed})
	}
	return list
}

// Collect receives the report of a daemon, at the leader. Its times become those of the leader's clock.
func (g *Guard) Collect(m *peerpb.ReportRequest) {
	if m.GetCrashes() == nil {
		return
	}
	e := wire.EvidenceFromPB(m.GetCrashes())
	e.Shift(g.Clock.Now().Sub(clock.Instant(m.GetNow())))
	g.mu.Lock()
	for _, t := range e.Traffic {
		if g.reported[t.Service] == nil {
			g.reported[t.Service] = make(map[string]crash.Traffic)
		}
		g.reported[t.Service][m.GetDaemon()] = t
	}
	g.mu.Unlock()
	e.Traffic = nil
	g.recorder.Add(e)
}

// totalTraffic returns the traffic of a service at all daemons that reported it.
func (g *Guard) totalTraffic(service string) crash.Traffic {
	g.mu.Lock()
	defer g.mu.Unlock()
	var total crash.Traffic
	for _, t := range g.reported[service] {
		total.PerSecond += t.PerSecond
		total.Completed += t.Completed
	}
	return total
}
