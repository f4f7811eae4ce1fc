package proxy

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/detour"
	"swiftbeam/internal/hops"
	"swiftbeam/internal/moves"
	"swiftbeam/internal/place"
	"swiftbeam/internal/pool"
	"swiftbeam/internal/retry"
	"swiftbeam/pkg/clock"
)

// Peers is how a proxy sends requests through other entry daemons.
type Peers struct {
	// Name is the name of the daemon, Token the secret that all daemons share.
	Name  string
	Token string
	// Pool holds the connections to other daemons. Without it, the proxy sends no request through them.
	Pool *pool.Pool
	// RequestHelpers requests a report to the leader without delay, so that it offers helpers.
	RequestHelpers func()
}

const (
	// maxHelpersTried is the number of helpers to which a request is sent that they do not forward.
	maxHelpersTried = 3
	// suspectDialTimeout bounds the opening of a connection while other servers do not accept any. It allows for
	// the loss of the first packet.
	suspectDialTimeout = 300 * clock.Millisecond
	// helpersTimeout is how long a request waits for the leader's offer of helpers.
	helpersTimeout = 300 * clock.Millisecond
	// helperResponseTimeout is how long a helper may take to show that it works on a request, before the request is
	// sent to another one if it may run twice.
	helperResponseTimeout = clock.Second
	// maxHelperConnections bounds the connections to one helper.
	maxHelperConnections = 128
	// maxAvoided bounds the servers that a request excludes at a helper.
	maxAvoided = 16
)

// UpdateHelpers calls change with the helpers while the proxy's lock is held.
func (p *Proxy) UpdateHelpers(change func(*detour.Helpers)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.helpers)
	if p.helpersLearned != nil {
		close(p.helpersLearned)
		p.helpersLearned = nil
	}
}

// Unreached returns the services whose servers this daemon does not reach, and whether it needs new helpers.
func (p *Proxy) Unreached() (services []string, helpersDue bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	suspect := false
	for name, s := range p.services {
		if s.Path.State == detour.Cut {
			services = append(services, name)
		}
		suspect = suspect || s.Path.Suspect(now)
	}
	return services, suspect && p.Peers.Pool != nil && p.helpers.Due(now)
}

// Resumed records that the process was paused until now.
func (p *Proxy) Resumed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for _, s := range p.services {
		s.Path.Resumed(now)
	}
}

// observeFailure records that a server could not be connected to, or that the system ended a connection to it
// because its VM did not respond. The caller does not hold the lock.
func (p *Proxy) observeFailure(service string, f detour.Failure) {
	p.mu.Lock()
	s := p.serviceState(service)
	first := !s.Path.Suspect(f.At)
	cut := s.Path.Failed(f, len(s.Servers))
	p.mu.Unlock()
	if first && p.Peers.RequestHelpers != nil {
		p.Peers.RequestHelpers()
	}
	if cut {
		p.Log.Info("servers of service are unreachable from this daemon", "service", service, "server", f.Server, "silent", f.Silent, "startedMsAgo", int64(f.At.Sub(f.StartedAt)))
		p.startProbe(service)
	}
}

// ObserveTimeout records that an idle connection to an address was ended because the VM did not respond.
func (p *Proxy) ObserveTimeout(address string) {
	p.mu.Lock()
	now := p.Clock.Now()
	service := ""
	for name, s := range p.services {
		if slices.ContainsFunc(s.Servers, func(o *place.Server) bool { return o.Address == address }) {
			service = name
		}
	}
	p.mu.Unlock()
	if service != "" {
		p.observeFailure(service, detour.Failure{Server: address, StartedAt: now, At: now, Silent: true})
	}
}

// observeOpened records that a connection was opened. The caller holds the lock.
func (p *Proxy) observeOpened(service string) {
	s := p.serviceState(service)
	if s.Path.Opened(p.Clock.Now()) {
		p.pathChanged(s)
	}
}

// observeAnswer records a response on a connection. The caller holds the lock.
func (p *Proxy) observeAnswer(service string, openedAt clock.Instant) {
	s := p.serviceState(service)
	if s.Path.Answered(p.Clock.Now(), openedAt) {
		p.pathChanged(s)
	}
}

// pathChanged acts on a path that has become better. The caller holds the lock.
func (p *Proxy) pathChanged(s *ServiceState) {
	p.Log.Info("servers of service are reachable from this daemon", "service", s.Name, "path", s.Path.State.String())
	if s.Path.State == detour.Returning {
		s.Readmit()
	}
}

// startProbe finds out at intervals whether a server accepts connections again.
func (p *Proxy) startProbe(service string) {
	go func() {
		for p.probe(service) {
			time.Sleep(probePause.Std())
		}
	}()
}

// probePause is the time between two checks whether a probe is due.
const probePause = 50 * clock.Millisecond

// probe opens a connection to a random server if that is due. It reports false when the path is not cut any
// more.
func (p *Proxy) probe(service string) bool {
	p.mu.Lock()
	s := p.serviceState(service)
	now := p.Clock.Now()
	due := s.Path.ProbeDue(now)
	open := s.Path.State != detour.Cut || p.closed
	address := ""
	if due {
		address = s.probeAddress(p.isEvacuated)
	}
	p.mu.Unlock()
	if open || address == "" {
		return !open
	}
	ctx, cancel := context.WithTimeout(context.Background(), pool.DialTimeout.Std())
	defer cancel()
	_, err := p.Pool.Probe(ctx, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && s.Path.Opened(p.Clock.Now()) {
		p.pathChanged(s)
	}
	return s.Path.State == detour.Cut && !p.closed
}

// probeAddress returns the address of a random server, rather one that has not failed; empty if there is none outside of
// the evacuated zones.
func (s *ServiceState) probeAddress(evacuated func(*place.Server) bool) string {
	address := ""
	for _, i := range rand.Perm(len(s.Servers)) {
		if evacuated(s.Servers[i]) {
			continue
		}
		if address = s.Servers[i].Address; !s.Path.HasFailed(address) {
			break
		}
	}
	return address
}

// Close ends the background work of the proxy.
func (p *Proxy) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// chooseWay decides how to send the next attempt. If the path is cut, idleOnly reports that a server may be
// reached over a connection that is open still.
func (x *exchange) chooseWay() detour.Way {
	p := x.proxy
	p.mu.Lock()
	s := p.serviceState(x.service)
	now := p.Clock.Now()
	x.idleOnly = false
	if s.Path.State == detour.Cut {
		x.idleOnly, x.idleSince = true, s.Path.TrustedSince()
		if choice := s.Choose(x.query()); choice.Server != nil {
			p.mu.Unlock()
			return detour.Direct
		}
		x.idleOnly = false
	}
	way := s.Path.Choose(now, detour.Request{Repeatable: x.route.Repeatable(), Unreached: x.unreached, Draw: rand.Float64()})
	p.mu.Unlock()
	return way
}

// pathState returns the state of the daemon's path to the service.
func (x *exchange) pathState() detour.State {
	p := x.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serviceState(x.service).Path.State
}

// awaitHelpers reports whether the daemon knows helpers. If it has none yet, it asks the leader.
func (x *exchange) awaitHelpers(ctx context.Context) bool {
	p := x.proxy
	if p.Peers.Pool == nil || p.Peers.RequestHelpers == nil {
		return false
	}
	p.mu.Lock()
	if p.helpers.Known() > 0 || x.askedForHelpers {
		defer p.mu.Unlock()
		return p.helpers.Known() > 0
	}
	x.askedForHelpers = true
	if p.helpersLearned == nil {
		p.helpersLearned = make(chan struct{})
	}
	learned := p.helpersLearned
	p.mu.Unlock()
	p.Peers.RequestHelpers()
	timer := time.NewTimer(helpersTimeout.Std())
	defer timer.Stop()
	select {
	case <-learned:
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.helpers.Known() > 0
}

// allowedVersions returns the versions of the service that may serve the next attempt; none allows all. It
// reports false if no known server has such a version.
func (x *exchange) allowedVersions() ([]string, bool) {
	p := x.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.serviceState(x.service)
	x.pickVersion(s)
	if x.allowVersion == nil {
		return nil, true
	}
	list := x.versions(s)
	if len(list) == 0 && x.allowFallback(s.Rollout) {
		list = x.versions(s)
	}
	return list, len(list) > 0
}

// versions returns the versions of the known servers that are allowed.
func (x *exchange) versions(s *ServiceState) []string {
	var list []string
	for _, o := range s.Servers {
		if x.allowVersion(o.Version) && !x.avoids(o) && !slices.Contains(list, o.Version) {
			list = append(list, o.Version)
		}
	}
	return list
}

// avoided returns the servers that must not get the request: those that it was sent to, and those that said
// that they leave.
func (x *exchange) avoided() []string {
	p := x.proxy
	list := slices.Clone(x.tried)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.serviceState(x.service).Servers {
		if len(list) < maxAvoided && p.notices.IsLeaving(noticeServer(s)) {
			list = append(list, s.ID)
		}
	}
	return list
}

// runAround makes an attempt through a helper. It reports false if there is none to ask.
func (x *exchange) runAround(ctx context.Context) (retry.Result, bool) {
	p := x.proxy
	versions, ok := x.allowedVersions()
	if !ok {
		return retry.Unsent, false
	}
	p.mu.Lock()
	helper, ok := p.helpers.Choose(p.Clock.Now(), rand.Uint64(), slices.Concat(x.triedHelpers, x.brokenHelpers))
	if !ok {
		helper, ok = p.helpers.Choose(p.Clock.Now(), rand.Uint64(), x.triedHelpers)
	}
	if ok {
		p.helpers.Sent(p.Clock.Now(), helper.Name)
	}
	p.mu.Unlock()
	if !ok || len(x.triedHelpers) >= maxHelpersTried {
		x.observeNoHelper()
		return retry.Unsent, false
	}
	x.helper, x.lastResponse = helper.Name, responseInfo{}
	a := &attempt{exchange: x, helper: &helper}
	eventsBefore := x.sequence.Events
	result, outcome := a.roundTripAround(ctx, versions)
	p.Counts.Detours.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	service := p.serviceState(x.service)
	p.helpers.Done(now, helper.Name, outcome)
	switch outcome {
	case detour.Answered, detour.Broken, detour.Lost:
		if result == retry.Incomplete {
			x.brokenHelpers = append(x.brokenHelpers, helper.Name)
		}
	default:
		x.triedHelpers = append(x.triedHelpers, helper.Name)
	}
	switch outcome {
	case detour.Unreached:
		if p.helpers.NoneReaches(now) && service.Path.NobodyReached(now) {
			p.Log.Info("servers of service are unreachable from helpers too", "service", x.service, "id", x.request.ID, "helpers", x.triedHelpers)
		}
	case detour.Answered, detour.Broken:
		service.Path.Helped(now)
	}
	if a.choice.Server != nil {
		a.observeEnd(service, result, result == retry.Incomplete || result == retry.Failed, x.sequence.Events-eventsBefore)
	}
	service.Output += uint64((x.sequence.Events - eventsBefore) * service.EventTokens)
	return result, true
}

// observeNoHelper records that no helper is left to ask, if that is because none reaches the servers.
func (x *exchange) observeNoHelper() {
	p := x.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.Clock.Now(); p.helpers.NoneReaches(now) {
		p.serviceState(x.service).Path.NobodyReached(now)
	}
}

// errUnidentified reports a response without a nonce on a connection that was used before. Helpers of builds without
// nonces get a new connection for each request.
var errUnidentified = errors.New("the response may belong to an earlier request")

// roundTripAround sends the request to the helper and handles the response.
func (a *attempt) roundTripAround(ctx context.Context, versions []string) (retry.Result, detour.Outcome) {
	x, p := a.exchange, a.proxy
	conn, err := p.Peers.Pool.Get(ctx, a.helper.Address, maxHelperConnections)
	if err != nil {
		if ctx.Err() == nil {
			p.Log.Info("could not connect to helper", "id", x.request.ID, "helper", a.helper.Name, "address", a.helper.Address, "error", err.Error())
		}
		return retry.Unsent, detour.Failed
	}
	a.conn = conn
	stopAbort := context.AfterFunc(ctx, conn.Abort)
	var hop hops.Response
	nonce := strconv.FormatUint(rand.Uint64(), 36)
	defer func() { conn.Release(stopAbort() && a.complete && hop.Nonce == nonce) }()
	a.sentAt = p.Clock.Now()
	sent, err := conn.Send(a.hopHead(nonce, versions), x.body)
	if err != nil && !sent {
		return retry.Unsent, detour.Failed
	}
	x.attempts++
	if err != nil {
		return a.failedAround(ctx, "request not sent whole", err), detour.Failed
	}
	if x.route.Repeatable() {
		if err := conn.AwaitInterim(x.r.Method, helperResponseTimeout); err != nil {
			return a.failedAround(ctx, "the helper does not respond", err), outcomeOf(err)
		}
	}
	var hopErr error
	response, err := conn.Receive(x.r.Method, func(h http.Header) bool {
		hop, hopErr = hops.ParseResponse(h.Get(hops.Header))
		return hopErr != nil || hop.Nonce == "" || hop.Nonce == nonce
	})
	if err != nil {
		return a.failedAround(ctx, "no answer of the helper", err), outcomeOf(err)
	}
	defer response.Body.Close()
	p.mu.Lock()
	p.helpers.Responded(p.Clock.Now(), a.helper.Name)
	p.mu.Unlock()
	if hopErr == nil && hop.Nonce == "" && conn.Reused {
		hopErr = errUnidentified
	}
	if hopErr != nil {
		conn.Abort()
		return a.failedAround(ctx, "answer of the helper", hopErr), detour.Failed
	}
	response.Header.Del(hops.Header)
	return a.handleHop(ctx, &hop, response), hop.Outcome
}

// outcomeOf returns the outcome for an error of a connection to a helper that was open before. A helper that has ended
// refuses the next one.
func outcomeOf(err error) detour.Outcome {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		return detour.Lost
	}
	return detour.Failed
}

// handleHop acts on the outcome at the helper.
func (a *attempt) handleHop(ctx context.Context, hop *hops.Response, response *http.Response) retry.Result {
	x := a.exchange
	if hop.Server != "" {
		x.server, x.version, x.expectedWait = hop.Server, hop.Version, float64(hop.Wait)
		x.tried = append(x.tried, hop.Server)
	}
	if hop.Outcome == detour.Answered {
		server := a.knownServer(hop)
		a.choice = place.Choice{Server: server, Wait: float64(hop.Wait), Cached: hop.Cached}
		return a.handleResponse(ctx, server, response)
	}
	_, err := io.CopyN(io.Discard, response.Body, maxRefusal)
	a.complete = errors.Is(err, io.EOF)
	a.proxy.Log.Info("helper did not get an answer", "id", x.request.ID, "helper", a.helper.Name, "outcome", hop.Outcome.String(), "server", hop.Server, "retryAfterMs", int64(hop.RetryAfter))
	if hop.Outcome == detour.Broken {
		return a.failedAround(ctx, "the server of the helper", errors.New("no answer"))
	}
	x.attempts--
	x.hopRetryAfter = max(x.hopRetryAfter, hop.RetryAfter)
	return retry.Unsent
}

// knownServer returns the record of the server that the helper chose, or a new one if this daemon does not
// know it.
func (a *attempt) knownServer(hop *hops.Response) *place.Server {
	p := a.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.serviceState(a.service).Servers {
		if s.ID == hop.Server {
			return s
		}
	}
	return &place.Server{ID: hop.Server, Version: hop.Version}
}

// failedAround logs an attempt through a helper whose result is not known, and returns its result.
func (a *attempt) failedAround(ctx context.Context, message string, err error) retry.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		a.mayHaveRun = true
		return retry.TimedOut
	}
	if ctx.Err() == nil {
		a.proxy.Log.Info("attempt through helper failed", "id", a.request.ID, "helper", a.helper.Name, "server", a.server, "what", message, "error", err.Error(),
			"reused", a.conn.Reused, "events", a.sequence.Events)
	}
	return retry.Incomplete
}

// hopHead returns the request line and the headers of a request to a helper.
func (a *attempt) hopHead(nonce string, versions []string) []byte {
	x, p := a.exchange, a.proxy
	h := x.request.Header.Clone()
	hop := hops.Request{
		Nonce: nonce, From: p.Peers.Name, Service: x.service, Account: x.accountName(), Remaining: x.deadline.Sub(p.Clock.Now()),
		Urgency: a.urgency(), After: x.sequence.Last, Versions: versions, Avoid: x.avoided(), AvoidZones: p.EvacuatedZones(),
	}
	h.Set(hops.Header, hop.Encode())
	h.Set("Authorization", "Bearer "+p.Peers.Token)
	if x.body != nil || x.r.Method == http.MethodPost || x.r.Method == http.MethodPut {
		h.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	return x.head(h)
}

// observeEvidence records evidence on the version of the server; at a helper, which does not decide on
// versions, it records none. The caller holds the lock.
func (a *attempt) observeEvidence(service *ServiceState, o moves.Observation) {
	if a.hop == nil {
		a.recordEvidence(service, o)
	}
}
