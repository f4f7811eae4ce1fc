// Package manage is the HTTP API for operators and backend servers: sections of the operators'
// document, version moves, state dumps, metrics and announcements of backend servers.
//
//	s := &manage.Server{Store: store, Roster: roster, ...}
//	http.Serve(listener, s.Handler())
package manage

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"swiftbeam/internal/fault"
	"swiftbeam/internal/intake"
	"swiftbeam/internal/member"
	"swiftbeam/internal/roster"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/setup"
	"swiftbeam/internal/state"
	"swiftbeam/internal/store"
	"swiftbeam/pkg/admin"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// putTimeout is the maximum time to commit a section.
const putTimeout = 8 * clock.Second

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 1 << 20

// Server serves the API. All fields are required.
type Server struct {
	Clock    clock.Clock
	Settings *setup.Settings
	Runner   *runner.Runner
	Store    *store.Store
	Roster   *roster.Roster
	Metrics  metrics.Registry
	Self     member.Daemon
}

// Handler returns the HTTP handler for operators and backend servers.
func (m *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle(admin.AnnouncePath, m.AnnounceHandler()).Methods(http.MethodPost)
	r.HandleFunc(admin.SectionsPath, m.operator(m.list)).Methods(http.MethodGet)
	r.HandleFunc(admin.SectionsPath+"/{name}", m.operator(m.get)).Methods(http.MethodGet)
	r.HandleFunc(admin.SectionsPath+"/{name}", m.operator(m.put)).Methods(http.MethodPut)
	r.HandleFunc(admin.StatusPath, m.operator(m.status)).Methods(http.MethodGet)
	r.HandleFunc(admin.VersionsPath, m.operator(m.versions)).Methods(http.MethodGet)
	r.HandleFunc(admin.WatchPath, m.operator(m.watch)).Methods(http.MethodGet)
	r.HandleFunc(admin.DumpPath, m.operator(m.dump)).Methods(http.MethodGet)
	r.HandleFunc(admin.DumpPath+"/{name}", m.operator(m.dump)).Methods(http.MethodGet)
	r.HandleFunc("/metrics", m.operator(m.metrics)).Methods(http.MethodGet)
	return r
}

// action is a request and the operator that it was authenticated as.
type action struct {
	*http.Request
	principal setup.Principal
}

func (m *Server) operator(next func(http.ResponseWriter, *action) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		principal, err := m.authenticate(r, m.Settings.Operators)
		if err == nil {
			err = next(w, &action{Request: r, principal: principal})
		}
		if err != nil {
			writeError(w, err)
		}
	}
}

// authenticate returns the principal that matches the bearer token or the verified client certificate
// of a request. With open access, a request that matches none gets a principal that may do anything.
func (m *Server) authenticate(r *http.Request, principals []setup.Principal) (setup.Principal, error) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	common := ""
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		common = r.TLS.VerifiedChains[0][0].Subject.CommonName
	}
	for _, p := range principals {
		if token != "" && p.TokenSHA256 == digest || common != "" && p.CommonName == common {
			return p, nil
		}
	}
	if m.Settings.OpenAccess {
		return setup.Principal{Name: "anyone", Names: []string{"*"}}, nil
	}
	return setup.Principal{}, fault.New(fault.Denied, "unknown credentials").
		Remedy("send a token or client certificate that is listed in the daemon's settings")
}

// mayAccess reports whether one of the principal's names or name patterns matches name.
func mayAccess(p setup.Principal, name string) bool {
	return slices.ContainsFunc(p.Names, func(allowed string) bool {
		prefix, isPattern := strings.CutSuffix(allowed, "*")
		return allowed == name || isPattern && strings.HasPrefix(name, prefix)
	})
}

func (m *Server) list(w http.ResponseWriter, _ *action) error {
	response := admin.SectionList{Sections: []admin.Section{}}
	m.Store.View(func(s *state.State) {
		for _, section := range s.Sections {
			response.Sections = append(response.Sections, sectionResponse(section, false))
		}
	})
	slices.SortFunc(response.Sections, func(a, b admin.Section) int { return strings.Compare(a.Name, b.Name) })
	return writeJSON(w, response)
}

func sectionResponse(s *state.Section, text bool) admin.Section {
	last := s.Last()
	response := admin.Section{
		Name: s.Name, Version: last.Version, Owner: last.Owner, Operation: last.Operation, At: last.At.String(),
	}
	if text {
		response.Text = last.Text
	}
	return response
}

func (m *Server) get(w http.ResponseWriter, a *action) error {
	name := mux.Vars(a.Request)["name"]
	var response admin.Section
	found := false
	m.Store.View(func(s *state.State) {
		if section := s.Sections[name]; section != nil {
			response, found = sectionResponse(section, true), true
		}
	})
	if !found {
		return fault.New(fault.Missing, "no section %q", name).Remedy("put the section with base 0 to create it")
	}
	return writeJSON(w, response)
}

func (m *Server) put(w http.ResponseWriter, a *action) error {
	name := mux.Vars(a.Request)["name"]
	if !mayAccess(a.principal, name) {
		return fault.New(fault.Denied, "%s may not write section %q", a.principal.Name, name).
			Remedy("ask its owner, or extend the operator's sections in the settings")
	}
	var p admin.PutSection
	if err := readBody(w, a.Request, &p); err != nil {
		return invalidBody(err, "a section write", "send a JSON object with base, operation and text")
	}
	if p.Operation == "" {
		return fault.New(fault.Invalid, `field "operation" is missing`).Remedy("send an ID that is unique to this write")
	}
	ctx, cancel := context.WithTimeout(a.Context(), putTimeout.Std())
	defer cancel()
	result, err := m.Store.Propose(ctx, state.PutSection{
		Operation: a.principal.Name + "/" + p.Operation, Section: name, Owner: a.principal.Name, Base: p.Base, Text: p.Text,
	})
	if err != nil {
		return err
	}
	return m.writePutResult(w, result)
}

func (m *Server) writePutResult(w http.ResponseWriter, r state.Result) error {
	switch r.Code {
	case state.Done:
		return writeJSON(w, admin.PutAnswer{Version: r.Version})
	case state.Stale:
		return &conflict{version: r.Version, err: fault.New(fault.Conflict, "the section is at version %d", r.Version).Remedy("%s", r.Detail)}
	}
	return fault.New(fault.Invalid, "%s", r.Detail)
}

// conflict is an error with the current version of the section.
type conflict struct {
	version uint64
	err     error
}

func (c *conflict) Error() string { return c.err.Error() }
func (c *conflict) Unwrap() error { return c.err }

func (m *Server) status(w http.ResponseWriter, _ *action) error {
	var version, versionAt, applied uint64
	m.Store.View(func(s *state.State) { version, versionAt, applied = s.Version, s.VersionAt, s.Applied })
	status := m.Store.Status()
	response := admin.Status{Version: version, InForce: true, Repair: strings.ToLower(status.Repair.String())}
	live := make(map[string]member.Daemon)
	for _, d := range m.Roster.Live() {
		live[d.ID] = d
	}
	for _, v := range status.Members {
		d, isLive := live[string(v.ID)]
		if v.ID == status.ID {
			isLive, d.Applied = true, applied
		}
		if v.ID == status.Leader {
			response.Leader = v.Name
		}
		daemon := admin.DaemonStatus{Name: v.Name, Zone: v.Zone, Voter: v.Voter, Live: isLive, InForce: isLive && d.Applied >= versionAt}
		response.InForce = response.InForce && (daemon.InForce || !isLive)
		response.Daemons = append(response.Daemons, daemon)
	}
	return writeJSON(w, response)
}

func (m *Server) versions(w http.ResponseWriter, _ *action) error {
	return writeJSON(w, m.moveList())
}

func (m *Server) moveList() admin.MoveList {
	list := admin.MoveList{Moves: []admin.Move{}}
	m.Store.View(func(s *state.State) {
		for _, v := range s.Moves {
			list.Moves = append(list.Moves, moveResponse(v))
		}
	})
	slices.SortFunc(list.Moves, func(a, b admin.Move) int { return strings.Compare(a.Service, b.Service) })
	return list
}

func moveResponse(v *state.Move) admin.Move {
	return admin.Move{
		Service: v.Service, From: v.From, To: v.To, Stage: toCamelCase(v.Stage.String()),
		Percent: float64(v.Share) * 100 / state.FullShare, Reason: toCamelCase(v.Reason.String()), Evidence: v.Evidence,
		Started: v.Started.String(), FinishBy: v.FinishBy.String(), Ended: v.Stage.Ended(), Revision: v.Revision,
	}
}

// toCamelCase converts the name of an enum value to camel case, the form that the JSON responses use.
func toCamelCase(name string) string { return strings.ToLower(name[:1]) + name[1:] }

// watch streams the state of each version move, and then each change, as server-sent events.
func (m *Server) watch(w http.ResponseWriter, a *action) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	sent := make(map[string]uint64)
	for {
		changed := m.Store.Changed()
		for _, v := range m.moveList().Moves {
			key := v.Service + "/" + v.To + "/" + v.Started
			if sent[key] == v.Revision {
				continue
			}
			sent[key] = v.Revision
			data, _ := json.Marshal(v)
			_, _ = w.Write([]byte("event: move\ndata: " + string(data) + "\n\n"))
		}
		if out.Flush() != nil {
			return nil
		}
		select {
		case <-changed:
		case <-a.Context().Done():
			return nil
		}
	}
}

func (m *Server) dump(w http.ResponseWriter, a *action) error {
	states, err := m.Runner.Dump(mux.Vars(a.Request)["name"])
	if err != nil {
		return err
	}
	return writeJSON(w, states)
}

// AnnounceHandler returns the HTTP handler for announcements of backend servers.
func (m *Server) AnnounceHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := m.announce(w, r); err != nil {
			writeError(w, err)
		}
	})
}

func (m *Server) announce(w http.ResponseWriter, r *http.Request) error {
	principal, err := m.authenticate(r, m.Settings.Backends)
	if err != nil {
		return err
	}
	var a admin.Announcement
	if err := readBody(w, r, &a); err != nil {
		return invalidBody(err, "an announcement", "send the documented fields")
	}
	if !mayAccess(principal, a.Service) {
		return fault.New(fault.Denied, "%s may not announce service %q", principal.Name, a.Service).
			Remedy("add the service to backendServers in the settings")
	}
	b, err := backend(m.Clock.Now(), a)
	if err != nil {
		return err
	}
	m.Roster.Announce(b)
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// readBody reads the body of a request and decodes it.
func readBody(w http.ResponseWriter, r *http.Request, v any) error {
	data, err := intake.Read(r, maxBodyBytes, time.Time{})
	if err != nil {
		// The rest of the body was not read.
		w.Header().Set("Connection", "close")
		return err
	}
	return json.NewDecoder(bytes.NewReader(data)).Decode(v)
}

// invalidBody returns the error of a request whose body could not be read as what it should be.
func invalidBody(err error, what, remedy string) error {
	switch {
	case errors.Is(err, intake.ErrFull):
		return fault.New(fault.Unavailable, "too many long bodies arrive at the same time").Remedy("retry after the stated time").WithRetryAfter(1)
	case errors.Is(err, intake.ErrTooLong):
		remedy = "send at most " + strconv.Itoa(maxBodyBytes) + " bytes"
	}
	return fault.New(fault.Invalid, "cannot decode the body as %s: %v", what, err).Remedy("%s", remedy)
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	kind := fault.KindOf(err)
	switch kind {
	case fault.Invalid:
		status = http.StatusBadRequest
	case fault.Denied:
		status = http.StatusForbidden
	case fault.Missing:
		status = http.StatusNotFound
	case fault.Conflict:
		status = http.StatusConflict
	case fault.Unavailable, fault.Exhausted, fault.Unknown:
		status = http.StatusServiceUnavailable
	}
	e := admin.Error{Kind: toCamelCase(kind.String()), Message: err.Error()}
	var c *conflict
	if errors.As(err, &c) {
		e.Version = c.version
	}
	var f *fault.Error
	if errors.As(err, &f) && f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(f.RetryAfter))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e)
}

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
	return nil
}

var kinds = map[string]fleet.BackendKind{"engine": fleet.Engine, "plain": fleet.Plain}

var states = map[string]fleet.BackendState{
	"": fleet.Ready, "ready": fleet.Ready, "leaving": fleet.Leaving, "reclaimed": fleet.Reclaimed,
}
