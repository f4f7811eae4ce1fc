// Package entry is the HTTP interface for callers: OpenAI-style completions, calls to plain services
// by route, and the outcome of earlier requests.
//
//	e := &entry.Entry{Relay: relay, Once: once, ...}
//	http.Serve(listener, e.Handler())
//
// A request is accepted when the caller receives the header X-Request-Id with a status below 300.
// Every refusal before that has notRun: true in its body, and the request has certainly not run.
// Once the first byte was sent to a backend server, no response has notRun: true.
package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/guard"
	"swiftbeam/internal/intake"
	"swiftbeam/internal/lease"
	"swiftbeam/internal/once"
	"swiftbeam/internal/relay"
	"swiftbeam/internal/roster"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/setup"
	"swiftbeam/internal/state"
	"swiftbeam/internal/store"
	"swiftbeam/internal/wire/peerpb"
	"swiftbeam/pkg/admin"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/conf"
	"swiftbeam/pkg/fleet"
)

// Names of the headers that callers send and receive.
const (
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	ReplayedHeader       = "Idempotent-Replayed"
	LastEventIDHeader    = "Last-Event-ID"
	// LastEventDigestHeader is the hexadecimal SHA-256 of the text up to the event in Last-Event-ID.
	LastEventDigestHeader = "Last-Event-Digest"
)

// Entry serves the HTTP requests of callers. Set the exported fields before Start.
type Entry struct {
	Self        string
	Clock       clock.Clock
	Settings    *setup.Settings
	Store       *store.Store
	Roster      *roster.Roster
	Relay       *relay.Relay
	Once        *once.Executor
	Versions    relay.Versions
	Guard       *guard.Guard
	LeaseStatus func() lease.Status
	// Limits bounds the requests that are handled; nil for no bound.
	Limits *intake.Limits
	Stats  Stats
	// Announce serves the announcements of backend servers; nil disables them.
	Announce http.Handler

	admission admission
}

// Stats counts the requests of callers.
type Stats struct {
	Accepted atomic.Int64
	Refused  atomic.Int64
	Resumed  atomic.Int64
}

// Start starts a goroutine that, until ctx ends, admits the waiting requests for which there is capacity
// and rejects those whose deadline has passed.
func (e *Entry) Start(ctx context.Context, g *runner.Group) error {
	e.admission.entry = e
	g.Go(func() { runner.Every(ctx, queueCheckInterval, e.admission.updateQueues) })
	return nil
}

// queueCheckInterval is the time between two checks of the waiting requests.
const queueCheckInterval = 50 * clock.Millisecond

// Loads returns the number of running requests of each service and client account.
func (e *Entry) Loads() []*peerpb.AccountLoad { return e.admission.loads() }

// Handler returns the HTTP handler for callers. It may be used once Start has returned.
func (e *Entry) Handler() http.Handler {
	r := mux.NewRouter()
	if e.Announce != nil {
		r.Handle(admin.AnnouncePath, e.Announce).Methods(http.MethodPost)
	}
	r.HandleFunc("/healthz", e.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", e.ready).Methods(http.MethodGet)
	r.HandleFunc("/v1/models", e.callerHandler(e.models)).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", e.callerHandler(e.chat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.callerHandler(e.completion)).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}", e.callerHandler(e.request)).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(e.callerHandler(e.plain))
	return r
}

func (e *Entry) health(w http.ResponseWriter, _ *http.Request) {
	e.writeJSON(w, http.StatusOK, HealthAnswer{Status: "ok"})
}

// HealthAnswer is the response of the health and readiness checks.
type HealthAnswer struct {
	Status string `json:"status"`
}

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	leaseStatus := e.LeaseStatus()
	status := http.StatusOK
	if !leaseStatus.Accepts() {
		status = http.StatusServiceUnavailable
	}
	e.writeJSON(w, status, HealthAnswer{Status: strings.ToLower(leaseStatus.String())})
}

// callerRequest is a request with the client account that was authenticated for it.
type callerRequest struct {
	*http.Request
	account fleet.ClientAccount
}

// callerHandler returns a handler that authenticates a request and passes it to next. It refuses
// requests while this daemon is catching up.
func (e *Entry) callerHandler(next func(http.ResponseWriter, *callerRequest)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		account, err := fleet.ClientAccount{}, e.checkCaughtUp()
		if err == nil {
			account, err = e.authenticate(r)
		}
		if err != nil {
			e.refuse(w, err)
			return
		}
		next(w, &callerRequest{Request: r, account: account})
	}
}

// enter takes a place for a request that was read whole. Without an error the caller calls leave at its end.
func (e *Entry) enter(q *callerRequest) (leave func(), err error) {
	if e.Limits == nil {
		return func() {}, nil
	}
	if !e.Limits.Enter(q.account.Name) {
		return nil, fault.New(fault.Unavailable, "too many requests are running at this daemon").Remedy("retry after the stated time").WithRetryAfter(1)
	}
	return func() { e.Limits.Leave(q.account.Name) }, nil
}

// checkCaughtUp returns an error while this daemon does not yet have the present configuration, so
// that it can neither check an API key nor look up a request ID.
func (e *Entry) checkCaughtUp() error {
	if e.LeaseStatus() != lease.CatchingUp {
		return nil
	}
	return fault.New(fault.Unavailable, "this daemon has just started and is catching up").
		Remedy("retry; the load balancer selects another daemon").WithRetryAfter(1)
}

func (e *Entry) authenticate(r *http.Request) (fleet.ClientAccount, error) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(key))
	name := hex.EncodeToString(digest[:])
	document := e.document()
	for _, a := range document.Accounts {
		if key != "" && a.KeySHA256 == name {
			return a, nil
		}
	}
	if e.Settings.OpenAccess {
		return fleet.ClientAccount{Name: "anyone", Share: 1}, nil
	}
	return fleet.ClientAccount{}, fault.New(fault.Denied, "unknown client account").
		Remedy("send the account's key as a bearer token")
}

func (e *Entry) document() conf.Document {
	var d conf.Document
	e.Store.View(func(s *state.State) { d = s.Document })
	return d
}

// checkAccepting returns an error while this daemon accepts no requests.
func (e *Entry) checkAccepting() error {
	leaseStatus := e.LeaseStatus()
	if leaseStatus.Accepts() {
		return nil
	}
	return fault.New(fault.Unavailable, "this daemon accepts no requests: %v", leaseStatus).
		Remedy("retry; the load balancer selects another daemon").WithRetryAfter(1)
}

// readBody reads the body of a request. After an error the connection is closed, as the rest of the body was not read.
func (e *Entry) readBody(w http.ResponseWriter, q *callerRequest) ([]byte, error) {
	data, err := intake.Read(q.Request, e.Settings.Limits.BodyBytes, time.Time{})
	if err == nil {
		return data, nil
	}
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, intake.ErrTooLong):
		return nil, fault.New(fault.Invalid, "the request body is longer than %d bytes", e.Settings.Limits.BodyBytes).
			Remedy("send a shorter request")
	case errors.Is(err, intake.ErrFull):
		return nil, fault.New(fault.Unavailable, "too many long bodies arrive at the same time").Remedy("retry after the stated time").WithRetryAfter(1)
	}
	return nil, fault.New(fault.Invalid, "cannot read the request body: %v", err).Remedy("send the request again")
}

// newID returns a random request ID.
func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return "req_" + hex.EncodeToString(b[:])
}

// ErrorAnswer is the response body of every refusal and error.
type ErrorAnswer struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error to a caller.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	// NotRun is true when the request had no effect, and absent when it may have had one.
	NotRun    bool   `json:"notRun,omitempty"`
	RequestID string `json:"requestId,omitempty"`
}

var statusByKind = map[fault.Kind]int{
	fault.Invalid:     http.StatusBadRequest,
	fault.Denied:      http.StatusUnauthorized,
	fault.Missing:     http.StatusNotFound,
	fault.Conflict:    http.StatusConflict,
	fault.Exhausted:   http.StatusTooManyRequests,
	fault.Unavailable: http.StatusServiceUnavailable,
	fault.Unknown:     http.StatusBadGateway,
}

// refuse responds with an error to a request that was not run.
func (e *Entry) refuse(w http.ResponseWriter, err error) {
	e.Stats.Refused.Add(1)
	e.writeError(w, err, ErrorDetail{NotRun: true})
}

// writeError responds with an error.
func (e *Entry) writeError(w http.ResponseWriter, err error, d ErrorDetail) {
	kind := fault.KindOf(err)
	status, ok := statusByKind[kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	var f *fault.Error
	if errors.As(err, &f) && f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(f.RetryAfter))
	}
	d.Message = err.Error()
	d.Type = errorType(kind)
	e.writeJSON(w, status, ErrorAnswer{Error: d})
}

func errorType(k fault.Kind) string {
	switch k {
	case fault.Invalid:
		return "invalid_request_error"
	case fault.Denied:
		return "authentication_error"
	case fault.Exhausted:
		return "rate_limit_error"
	case fault.Missing:
		return "not_found_error"
	}
	return "server_error"
}

func (e *Entry) writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	data = append(data, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	defer e.limitWrite(w, len(data))()
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// releaseAfter returns a function that ends the admission of a request; it must be called once.
func (e *Entry) releaseAfter(service, account string) func() {
	started := e.Clock.Now()
	return func() { e.admission.finish(service, account, e.Clock.Now().Sub(started)) }
}

// waitContext returns a context that ends when a request of the route has waited too long for
// admission.
func waitContext(ctx context.Context, r fleet.Route) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, admissionWait(r).Std())
}

// admissionDivisor limits the wait for admission to the timeout of the route divided by it.
const admissionDivisor = 4

func admissionWait(r fleet.Route) clock.Duration { return r.Timeout / admissionDivisor }
