package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/guard"
	"swiftbeam/internal/once"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/fleet"
)

// plain serves a call to a plain service.
func (e *Entry) plain(w http.ResponseWriter, q *callerRequest) {
	service, route, ok := e.plainRoute(q.URL.Path)
	if !ok {
		e.refuse(w, fault.New(fault.Missing, "no route %q", q.URL.Path).Remedy("check the path"))
		return
	}
	body, err := e.readBody(w, q)
	if err == nil {
		err = e.checkAccepting()
	}
	if err != nil {
		e.refuse(w, err)
		return
	}
	leave, err := e.enter(q)
	if err != nil {
		e.refuse(w, err)
		return
	}
	defer leave()
	suspects := guard.CallSuspects(q.account.Name, service.Name, q.Method, q.URL.RequestURI(), body)
	if err := e.Guard.Admit(q.Context(), suspects); err != nil {
		e.refuse(w, err)
		return
	}
	ctx, cancel := waitContext(q.Context(), route)
	defer cancel()
	if err := e.admission.admit(ctx, service.Name, q.account, route); err != nil {
		e.refuse(w, err)
		return
	}
	defer e.releaseAfter(service.Name, q.account.Name)()
	e.call(w, q, service, route, body, suspects)
}

// plainRoute returns the route with the longest path that is equal to path or one of its parents.
func (e *Entry) plainRoute(path string) (fleet.Service, fleet.Route, bool) {
	var service fleet.Service
	var route fleet.Route
	for _, s := range e.document().Services {
		for _, r := range s.Routes {
			matches := path == r.Path || strings.HasPrefix(path, strings.TrimSuffix(r.Path, "/")+"/")
			if r.Path != "" && matches && len(r.Path) > len(route.Path) {
				service, route = s, r
			}
		}
	}
	return service, route, route.Path != ""
}

// call runs a call and writes its response.
func (e *Entry) call(w http.ResponseWriter, q *callerRequest, service fleet.Service, route fleet.Route, body []byte, suspects []crash.Suspect) {
	id := newID()
	c := once.Call{
		OnceKey: state.OnceKey{Account: q.account.Name, Route: route.Name, Key: q.Header.Get(IdempotencyKeyHeader)},
		Request: id, Service: service.Name, Method: q.Method, Path: q.URL.RequestURI(),
		Type: q.Header.Get("Content-Type"), Body: body, Timeout: route.Timeout, Suspects: suspects,
		Version: func() string {
			version, _ := e.Versions.Pick(service.Name, route.Name, id)
			return version
		},
	}
	answer, err := e.runCall(q, route, c)
	defer answer.Release()
	w.Header().Set(RequestIDHeader, id)
	switch {
	case err == nil:
		e.Stats.Accepted.Add(1)
		e.writeAnswer(w, answer)
	case fault.KindOf(err) == fault.Unknown:
		e.Stats.Accepted.Add(1)
		e.writeError(w, err, ErrorDetail{RequestID: id})
	default:
		e.refuse(w, err)
	}
}

// maxKeyLength is the maximum length of an idempotency key in bytes.
const maxKeyLength = 255

// runCall runs a call through the journal when the route requires that it runs at most once, unless
// it only reads; other calls run with safe retries.
func (e *Entry) runCall(q *callerRequest, route fleet.Route, c once.Call) (once.Answer, error) {
	if len(c.Key) > maxKeyLength {
		return once.Answer{}, fault.New(fault.Invalid, "the idempotency key is longer than %d characters", maxKeyLength).
			Remedy("use a shorter key, such as a UUID")
	}
	if !utf8.ValidString(c.Key) {
		return once.Answer{}, fault.New(fault.Invalid, "the idempotency key is not UTF-8").Remedy("use printable characters, such as a UUID")
	}
	if !route.Once || isRead(c.Method) {
		return e.Once.Forward(c)
	}
	if c.Key == "" {
		c.Key = "request:" + c.Request
	}
	return e.Once.Do(q.Context(), c)
}

func isRead(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func (e *Entry) writeAnswer(w http.ResponseWriter, a once.Answer) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	if a.Replayed {
		w.Header().Set(ReplayedHeader, "true")
	}
	if len(a.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	defer e.limitWrite(w, len(a.Body))()
	// Before the limit is lifted.
	defer a.Release()
	a.Interrupt(func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Now()) })
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// outcome responds with the recorded outcome of a call that must not be repeated.
func (e *Entry) outcome(w http.ResponseWriter, q *callerRequest, id string) {
	var found *state.OnceRecord
	e.Store.View(func(s *state.State) {
		for _, r := range s.Once {
			if r.Request == id && r.Account == q.account.Name {
				c := *r
				found = &c
			}
		}
	})
	if found == nil {
		e.writeError(w, fault.New(fault.Missing, "no request %q", id).Remedy("check the ID and the client account"), ErrorDetail{})
		return
	}
	e.writeJSON(w, http.StatusOK, OutcomeAnswer{
		RequestID: id, Outcome: outcomeNames[found.Outcome], Status: found.Status, Body: string(found.Body),
		BodyOmitted: found.BodyOmitted,
	})
}

// OutcomeAnswer is the recorded outcome of a call that must not be repeated.
type OutcomeAnswer struct {
	RequestID string `json:"requestId"`
	// Outcome is pending, answered, notRun or unknown.
	Outcome string `json:"outcome"`
	Status  int    `json:"status,omitempty"`
	Body    string `json:"body,omitempty"`
	// BodyOmitted is true if the body was too long to be kept.
	BodyOmitted bool `json:"bodyOmitted,omitempty"`
}

var outcomeNames = [...]string{
	state.Pending: "pending", state.Answered: "answered", state.NotRun: "notRun", state.Unsure: "unknown",
}
