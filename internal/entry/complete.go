package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"swiftbeam/internal/abort"
	"swiftbeam/internal/engine"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/guard"
	"swiftbeam/internal/intake"
	"swiftbeam/internal/setup"
	"swiftbeam/internal/stream"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// markReadInterval is the time between two reports to the relay that a caller is still connected.
const markReadInterval = 5 * clock.Second

func (e *Entry) chat(w http.ResponseWriter, q *callerRequest)       { e.complete(w, q, true) }
func (e *Entry) completion(w http.ResponseWriter, q *callerRequest) { e.complete(w, q, false) }

// completionFields are the fields of a completion request that swiftbeam reads. The body goes to the
// engine with all its fields.
type completionFields struct {
	Model    string           `json:"model"`
	Messages []engine.Message `json:"messages"`
	Prompt   json.RawMessage  `json:"prompt"`
	Stream   bool             `json:"stream"`
	N        *int             `json:"n"`
}

// complete serves a completion request.
func (e *Entry) complete(w http.ResponseWriter, q *callerRequest, chat bool) {
	body, err := e.readBody(w, q)
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
	fields, param, err := parseCompletion(body, chat)
	if err != nil {
		e.Stats.Refused.Add(1)
		e.writeError(w, err, ErrorDetail{NotRun: true, Param: param})
		return
	}
	service, r, err := e.engineRoute(fields.Model)
	if err != nil {
		e.Stats.Refused.Add(1)
		e.writeError(w, err, ErrorDetail{NotRun: true, Param: "model"})
		return
	}
	if err := e.Guard.Admit(q.Context(), guard.CompletionSuspects(q.account.Name, service.Name, body, chat)); err != nil {
		e.refuse(w, err)
		return
	}
	record, err := e.accept(q, stream.Request{
		ID: newID(), Account: q.account.Name, Service: service.Name, Route: r.Name, Body: body, Chat: chat,
		AcceptedAt: e.Clock.Now(),
	}, r)
	if err != nil {
		e.refuse(w, err)
		return
	}
	e.Stats.Accepted.Add(1)
	if fields.Stream {
		e.writeStream(w, q, record, 0)
		return
	}
	e.writeCompletion(w, q, record)
}

// parseCompletion reads and checks the fields of a completion request. With an error it returns the
// name of the invalid field, if known.
func parseCompletion(body []byte, chat bool) (completionFields, string, error) {
	var f completionFields
	if err := json.Unmarshal(body, &f); err != nil {
		param := ""
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			param = typeErr.Field
		}
		return f, param, fault.New(fault.Invalid, "the body is not a completion request: %v", err).Remedy("send valid JSON")
	}
	switch {
	case f.Model == "":
		return f, "model", missingField("model", "the name of a service")
	case chat && len(f.Messages) == 0:
		return f, "messages", missingField("messages", "at least one message")
	case !chat && len(f.Prompt) == 0:
		return f, "prompt", missingField("prompt", "the text to complete")
	case f.N != nil && *f.N != 1:
		return f, "n", fault.New(fault.Invalid, "n is %d", *f.N).Remedy("request one choice")
	}
	return f, "", nil
}

func missingField(field, want string) error {
	return fault.New(fault.Invalid, "field %q is missing", field).Remedy("send %s", want)
}

// engineRoute returns the service and route of a model name such as "luthier-model", which means the
// first route of the service, or "luthier-model:dossier".
func (e *Entry) engineRoute(model string) (fleet.Service, fleet.Route, error) {
	name, route, hasRoute := strings.Cut(model, ":")
	s, ok := e.document().Services[name]
	if !ok || s.Kind != fleet.Engine {
		return s, fleet.Route{}, fault.New(fault.Missing, "no model %q", name).Remedy("list the models with GET /v1/models")
	}
	if !hasRoute {
		return s, s.Routes[0], nil
	}
	index := slices.IndexFunc(s.Routes, func(r fleet.Route) bool { return r.Name == route })
	if index < 0 {
		return s, fleet.Route{}, fault.New(fault.Missing, "model %q has no route %q", name, route).Remedy("list the models with GET /v1/models")
	}
	return s, s.Routes[index], nil
}

// accept waits for the admission of a request and passes it to the relay. After an error the request
// was not run.
func (e *Entry) accept(q *callerRequest, r stream.Request, route fleet.Route) (*stream.Record, error) {
	if err := e.checkAccepting(); err != nil {
		return nil, err
	}
	ctx, cancel := waitContext(q.Context(), route)
	defer cancel()
	if err := e.admission.admit(ctx, r.Service, q.account, route); err != nil {
		return nil, err
	}
	leave, release := e.releaseAfter(r.Service, q.account.Name), intake.Keep(q.Request)
	done := func() {
		leave()
		release()
	}
	if err := e.checkAccepting(); err != nil {
		done()
		return nil, err
	}
	record, err := e.Relay.Accept(q.Context(), r, done)
	if err != nil {
		done()
		return nil, err
	}
	return record, nil
}

// writeStream sends the tokens of a record as server-sent events, starting at index first. The ID of
// an event is the number of tokens up to and including it. Only a complete answer completes the response.
func (e *Entry) writeStream(w http.ResponseWriter, q *callerRequest, record *stream.Record, first int) {
	if !e.sendStream(w, q, record, first) {
		abort.Response(w, q.Request)
	}
}

// sendStream reports whether it sent the complete answer.
func (e *Entry) sendStream(w http.ResponseWriter, q *callerRequest, record *stream.Record, first int) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.Header().Set(RequestIDHeader, record.ID)
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	defer e.limitWrite(w, 0)()
	_ = controller.Flush()
	for {
		tokens, end, err := e.nextTokens(q.Context(), record, first)
		if err != nil {
			return false
		}
		_ = controller.SetWriteDeadline(time.Now().Add(e.writeTime(0)))
		for _, token := range tokens {
			first++
			writeEvent(w, first, e.newChunk(record, token))
		}
		if end.Moved {
			return false
		}
		if end.Done {
			e.writeEnd(w, record, first, end)
			return controller.Flush() == nil && end.Failure == ""
		}
		if controller.Flush() != nil {
			return false
		}
	}
}

// pieceBytes is the size of the pieces of a long response, each of which callers have the write timeout for.
const pieceBytes = 512 << 10

// writeTime returns the time in which a caller must read a response of a number of bytes.
func (e *Entry) writeTime(bytes int) time.Duration {
	timeout := setup.DefaultLimits.WriteTimeout
	if e.Settings != nil {
		timeout = e.Settings.Limits.WriteTimeout
	}
	return timeout.Std() * time.Duration(1+bytes/pieceBytes)
}

// limitWrite sets the time until which a response of a number of bytes must be written. The returned function lifts the limit,
// as it would end later responses on a kept connection.
func (e *Entry) limitWrite(w http.ResponseWriter, bytes int) (lift func()) {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(time.Now().Add(e.writeTime(bytes)))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

// nextTokens waits until the token at index first exists and returns all tokens from there on. While it
// waits, it reports to the relay that the caller is connected.
func (e *Entry) nextTokens(ctx context.Context, record *stream.Record, first int) ([]string, stream.End, error) {
	for {
		e.Relay.MarkRead(record.ID)
		wait, cancel := context.WithTimeout(ctx, markReadInterval.Std())
		tokens, end, err := record.Next(wait, first)
		cancel()
		if err == nil || ctx.Err() != nil {
			return tokens, end, err
		}
	}
}

func writeEvent(w io.Writer, id int, c engine.Chunk) {
	data, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
}

func (e *Entry) writeEnd(w io.Writer, record *stream.Record, last int, end stream.End) {
	if end.Failure != "" {
		data, _ := json.Marshal(ErrorAnswer{Error: ErrorDetail{
			Message: end.Failure, Type: "server_error", RequestID: record.ID,
		}})
		_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
		return
	}
	c := e.newChunk(record, "")
	c.Choices[0].FinishReason = &end.Finish
	writeEvent(w, last, c)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// newChunk returns an event with a token, or a response with its text. Each part of an answer names the time at which the
// request was accepted, also when the answer is resumed.
func (e *Entry) newChunk(record *stream.Record, token string) engine.Chunk {
	at := record.AcceptedAt
	if at == 0 {
		at = e.Clock.Now()
	}
	c := engine.Chunk{ID: record.ID, Created: int64(at) / int64(clock.Second), Model: record.Service}
	if record.Chat {
		c.Object = "chat.completion.chunk"
		c.Choices = []engine.Choice{{Delta: &engine.Message{Content: token}}}
		return c
	}
	c.Object = "text_completion"
	c.Choices = []engine.Choice{{Text: &token}}
	return c
}

// CompletionAnswer is the response to a completion request without streaming.
type CompletionAnswer struct {
	engine.Chunk
	Usage Usage `json:"usage"`
}

// Usage is the number of tokens of a response.
type Usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// writeCompletion waits for the end of a record and sends the complete text in one response.
func (e *Entry) writeCompletion(w http.ResponseWriter, q *callerRequest, record *stream.Record) {
	w.Header().Set(RequestIDHeader, record.ID)
	var text strings.Builder
	count := 0
	for {
		tokens, end, err := e.nextTokens(q.Context(), record, count)
		if err != nil {
			// The handler must not return, as net/http would send status 200 with an empty body.
			panic(http.ErrAbortHandler)
		}
		count += len(tokens)
		for _, token := range tokens {
			text.WriteString(token)
		}
		if end.Moved {
			e.writeError(w, fault.New(fault.Unknown, "another daemon relays the request").Remedy("resume it with GET /v1/requests/%s", record.ID), ErrorDetail{RequestID: record.ID})
			return
		}
		if !end.Done {
			continue
		}
		if end.Failure != "" {
			e.writeError(w, fault.New(fault.Unknown, "%s", end.Failure), ErrorDetail{RequestID: record.ID})
			return
		}
		e.writeJSON(w, http.StatusOK, e.completionAnswer(record, text.String(), count, end.Finish))
		return
	}
}

func (e *Entry) completionAnswer(record *stream.Record, text string, count int, finish string) CompletionAnswer {
	c := e.newChunk(record, text)
	c.Choices[0].FinishReason = &finish
	if record.Chat {
		c.Object = "chat.completion"
		c.Choices[0].Delta = nil
		c.Choices[0].Message = &engine.Message{Role: "assistant", Content: text}
	}
	return CompletionAnswer{Chunk: c, Usage: Usage{CompletionTokens: count}}
}

// request resumes a stream after the event in Last-Event-ID, or reports the outcome of a call to a
// plain service.
func (e *Entry) request(w http.ResponseWriter, q *callerRequest) {
	id := mux.Vars(q.Request)["id"]
	have, err := parsePosition(q.Header)
	if err != nil {
		e.writeError(w, err, ErrorDetail{})
		return
	}
	leave, err := e.enter(q)
	if err != nil {
		e.writeError(w, err, ErrorDetail{RequestID: id})
		return
	}
	defer leave()
	record, err := e.Relay.Find(q.Context(), id, q.account.Name, have)
	if fault.KindOf(err) == fault.Missing {
		e.outcome(w, q, id)
		return
	}
	if err != nil {
		e.writeError(w, err, ErrorDetail{RequestID: id})
		return
	}
	e.Stats.Resumed.Add(1)
	if strings.Contains(q.Header.Get("Accept"), "text/event-stream") || q.Header.Get(LastEventIDHeader) != "" {
		e.writeStream(w, q, record, have.Tokens)
		return
	}
	e.writeCompletion(w, q, record)
}

// parsePosition returns what a caller that resumes a stream has of it.
func parsePosition(h http.Header) (stream.Position, error) {
	have := stream.Position{Digest: strings.ToLower(h.Get(LastEventDigestHeader))}
	if text := h.Get(LastEventIDHeader); text != "" {
		tokens, err := strconv.Atoi(text)
		if err != nil || tokens < 0 {
			return have, fault.New(fault.Invalid, "%s is %q", LastEventIDHeader, text).Remedy("send the ID of the last event")
		}
		have.Tokens = tokens
	}
	if digest, err := hex.DecodeString(have.Digest); have.Digest != "" && (err != nil || len(digest) != sha256.Size) {
		return have, fault.New(fault.Invalid, "%s is %q", LastEventDigestHeader, have.Digest).
			Remedy("send the hexadecimal SHA-256 of the text received")
	}
	return have, nil
}

// ModelList is the response to GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is a service that is a model engine, or one route of such a service.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Entry) models(w http.ResponseWriter, _ *callerRequest) {
	list := ModelList{Object: "list", Data: []Model{}}
	for name, s := range e.document().Services {
		if s.Kind != fleet.Engine {
			continue
		}
		list.Data = append(list.Data, Model{ID: name, Object: "model", OwnedBy: "swiftbeam"})
		for _, r := range s.Routes {
			list.Data = append(list.Data, Model{ID: name + ":" + r.Name, Object: "model", OwnedBy: "swiftbeam"})
		}
	}
	slices.SortFunc(list.Data, func(a, b Model) int { return strings.Compare(a.ID, b.ID) })
	e.writeJSON(w, http.StatusOK, list)
}
