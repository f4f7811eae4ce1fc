package proxy

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/dial"
	"swiftbeam/internal/place"
	"swiftbeam/internal/pool"
	"swiftbeam/internal/retry"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

const (
	// trialWait is how long a request waits for the leader to allow it as the trial of a blocked trait.
	trialWait = clock.Second
	// minBlockedRetryAfter and noTrialRetryAfter bound the Retry-After of a blocked request: the next trial is
	// due or under way, or there is none.
	minBlockedRetryAfter = 2 * clock.Second
	noTrialRetryAfter    = clock.Hour
	// maxBreaks is the number of servers to which a request is sent that break off soon after they began it.
	// Learning that it crashes servers takes longer than a retry.
	maxBreaks = 2
	// rejectionsDelay is how long it takes after an end until this daemon knows what a server turned away at others: two reports.
	// rejectionsSpan is the time before an end in which that is its reason.
	rejectionsDelay = 800 * clock.Millisecond
	rejectionsSpan  = 1500 * clock.Millisecond
	// maxRememberedBody is the length of a body up to which a request that was completed is remembered, so that
	// it is known to be sound when it comes again.
	maxRememberedBody = 16 << 10
	// maxNameBytes bounds the ID of a part in logs and reports.
	maxNameBytes = 64
)

// findParts returns the parts of the request's prompt as traits, but the last one, which other requests do not
// have.
func (x *exchange) findParts() []crash.Suspect {
	parts := x.request.Parts
	if len(parts) < 2 {
		return nil
	}
	suspects := make([]crash.Suspect, 0, len(parts)-1)
	for _, part := range parts[:len(parts)-1] {
		suspects = append(suspects, crash.Suspect{Trait: crash.PartTrait(x.service, part.ID), Name: part.ID[:min(len(part.ID), maxNameBytes)]})
	}
	return suspects
}

// identify adds the request itself to its traits. This reads the whole body, so a long one is read only when a
// server has ended under the request, or while such traits are known of others.
func (x *exchange) identify() {
	if x.identified {
		return
	}
	x.identified = true
	x.suspects = append(x.suspects, crash.Suspect{Trait: x.requestTrait(), Kind: crash.Request, Name: x.target()})
}

// admit reports whether the request may be sent to a server. If not, it ends the request, as no server can
// complete it. When a trial of a blocked trait is due, it waits for the leader to allow it.
func (x *exchange) admit(ctx context.Context) bool {
	p := x.proxy
	if p.tracksRequests() {
		x.identify()
	}
	if len(x.suspects) == 0 || x.trial {
		return true
	}
	decision, learned := p.admitSuspects(x.suspects)
	for end := p.Clock.Now().Add(trialWait); decision.Await && p.Clock.Now().Before(end) && ctx.Err() == nil; {
		if p.ReportCrashes != nil {
			p.ReportCrashes()
		}
		timer := time.NewTimer(end.Sub(p.Clock.Now()).Std())
		select {
		case <-learned:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		decision, learned = p.admitSuspects(x.suspects)
	}
	if decision.Trial {
		x.trial = true
		p.Log.Info("trial of a blocked request", "id", x.request.ID, "service", x.service, "suspects", suspectNames(x.suspects))
	}
	if decision.Blocked == nil {
		return true
	}
	x.endBlocked(decision.Blocked)
	return false
}

// tracksRequests reports whether servers have ended under requests that may come again.
func (p *Proxy) tracksRequests() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes.Tracks(crash.Request)
}

// admitSuspects decides whether a request with the traits may be sent. It also returns a channel that is
// closed at the next change of the blocked traits.
func (p *Proxy) admitSuspects(suspects []crash.Suspect) (crash.Decision, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashesLearned == nil {
		p.crashesLearned = make(chan struct{})
	}
	return p.crashes.Admit(p.ClusterTime(), suspects), p.crashesLearned
}

// endBlocked ends a request with a blocked trait.
func (x *exchange) endBlocked(r *crash.Record) {
	message := "requests with part " + strconv.Quote(r.Name) + " crash the servers"
	if r.Kind == crash.Request {
		message = "the request " + strconv.Quote(r.Name) + " crashes the servers"
	}
	a := x.attemptState(retry.Unsent)
	if retry.Final(a) != retry.Refuse {
		x.giveUp(a, message)
		return
	}
	retryAfter := noTrialRetryAfter
	if r.NextTrial > 0 {
		retryAfter = max(r.NextTrial.Sub(x.proxy.ClusterTime()), minBlockedRetryAfter)
	}
	x.proxy.Counts.Refused.Add(1)
	x.proxy.Counts.Blocked.Add(1)
	x.proxy.Dialect.RetryAfter(x.w.Header(), retryAfter)
	x.reply(http.StatusServiceUnavailable, "blocked", message)
}

// observeBreak records that the connection to the server broke, and checks whether the server has ended.
func (a *attempt) observeBreak(ctx context.Context, server *place.Server) {
	if ctx.Err() != nil || a.helper != nil {
		return
	}
	x, p := a.exchange, a.proxy
	x.identify()
	now := p.Clock.Now()
	p.mu.Lock()
	clusterTime := p.ClusterTime()
	brittle := p.notices.Limits.IsBrittle(server.ID)
	toClusterTime := func(at clock.Instant) clock.Instant { return clusterTime.Add(at.Sub(now)) }
	b := crash.Break{
		Service: x.service, Server: startID(server), Run: crash.Run{SentAt: toClusterTime(a.sentAt), Suspects: x.suspects}, At: clusterTime,
		Explained: p.notices.IsLeaving(noticeServer(server)) || p.serviceState(x.service).onTrial(server.Version) || brittle && !p.notices.Limits.Counted,
	}
	if brittle {
		p.notices.Gate.Down(now, server.ID)
	}
	p.suspectCold(x.service, server)
	if a.firstEventAt > 0 {
		b.RespondedAt = toClusterTime(a.firstEventAt)
	}
	check := p.crashes.Broke(b)
	p.mu.Unlock()
	if b.Beginning() {
		x.breaks++
	}
	if !check {
		return
	}
	p.requests.Add(1)
	go func() {
		defer p.requests.Done()
		p.checkServer(context.WithoutCancel(ctx), &b, server, brittle)
	}()
}

func startID(server *place.Server) string { return crash.StartID(server.ID, int64(server.Born)) }

// onTrial reports whether a rollout to the version is in progress, and the version does not get all requests yet. Once it
// does, a request that crashes its servers would crash those of any version that is left.
func (s *ServiceState) onTrial(version string) bool {
	r := s.Rollout
	return r != nil && !r.Stage.Ended() && r.To == version && r.Share < state.FullShare
}

// checkServer finds out whether a server has ended after connections to it broke, and has that reported. A brittle one may
// have ended as it had to turn too many requests away, which this daemon learns later.
func (p *Proxy) checkServer(ctx context.Context, b *crash.Break, server *place.Server, brittle bool) {
	service := b.Service
	refuses := dial.HasEnded(ctx, func(ctx context.Context) (bool, error) {
		ctx, cancel := context.WithTimeout(ctx, pool.DialTimeout.Std())
		defer cancel()
		return p.Pool.Probe(ctx, server.Address)
	})
	if refuses {
		p.mu.Lock()
		p.serviceState(service).Path.Ended(server.Address)
		p.mu.Unlock()
	}
	if refuses && brittle {
		runner.Pause(ctx, b.At.Add(rejectionsDelay).Sub(p.ClusterTime()))
	}
	p.mu.Lock()
	overfull := brittle && p.notices.Limits.Exceeded(server.ID, b.At.Add(-rejectionsSpan))
	end, ended := p.crashes.Checked(b.Server, refuses && !overfull)
	p.mu.Unlock()
	if refuses && overfull {
		p.Log.Info("brittle backend server has ended", "server", server.ID, "service", service, "address", server.Address)
	}
	if !ended {
		return
	}
	var names []string
	for _, run := range end.Runs {
		names = append(names, suspectNames(run.Suspects)...)
	}
	p.Log.Info("backend server has ended", "server", server.ID, "service", service, "address", server.Address, "begun", len(end.Runs), "suspects", names)
	if p.ReportCrashes != nil {
		p.ReportCrashes()
	}
}

// CheckServer finds out whether a server accepts connections that another daemon reported to have ended, and reports
// that it does.
func (p *Proxy) CheckServer(ctx context.Context, address string, c crash.Check) {
	runner.Pause(ctx, c.From().Sub(p.ClusterTime()))
	ctx, cancel := context.WithTimeout(ctx, c.Until().Sub(p.ClusterTime()).Std())
	defer cancel()
	if ctx.Err() != nil {
		return
	}
	if _, err := p.Pool.Probe(ctx, address); err != nil {
		return
	}
	p.mu.Lock()
	survived := p.crashes.Survived(p.ClusterTime(), &c)
	p.mu.Unlock()
	if !survived {
		return
	}
	p.Log.Info("backend server has not ended", "server", c.Server, "service", c.Service, "address", address)
	if p.ReportCrashes != nil {
		p.ReportCrashes()
	}
}

func suspectNames(suspects []crash.Suspect) []string {
	names := make([]string, 0, len(suspects))
	for i := range suspects {
		names = append(names, suspects[i].Name)
	}
	return names
}

// observeCompletion counts an attempt, and records that a server completed it. The caller holds the lock.
func (a *attempt) observeCompletion(service *ServiceState, result retry.Result) {
	p := a.proxy
	if a.sentAt == 0 || result == retry.NotRun || result == retry.Moved {
		return
	}
	service.Sent++
	if result != retry.Complete {
		return
	}
	service.Completed++
	now, clusterTime := p.Clock.Now(), p.ClusterTime()
	p.crashes.Succeeded(a.suspects, clusterTime.Add(a.sentAt.Sub(now)), clusterTime)
}
