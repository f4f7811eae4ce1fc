// Package engine is the client for the published interface of model engines: OpenAI-style
// completions over server-sent events, with swiftbeam's extensions for resume, priority, cancel, KV
// cache export and fenced orders.
//
//	c := &engine.Client{HTTP: httpClient}
//	end, err := c.Stream(ctx, address, call, func(token string) { record.Append(token) })
//
// An engine may lack an extension. Without resume, the user of this package sends the prompt with
// the tokens so far as its continuation; without KV cache export, the stream is recomputed; without
// fencing, the user must delay an order until the permission of the previous sender of orders has
// expired. An engine ignores fields that it does not support, such as priority.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"swiftbeam/internal/dial"
	"swiftbeam/internal/fault"
	"swiftbeam/internal/valid"
	"swiftbeam/pkg/clock"
)

// Client sends requests to model engines.
type Client struct {
	HTTP *http.Client
}

// NewHTTPClient returns an HTTP client for backend servers, which opens connections with open, or with a
// net.Dialer if that is nil. It returns redirects instead of following them, and has no timeout: the context of
// each call limits it. Each call has a connection of its own, as responses do not name their call: on a kept one, a
// response to an earlier call that arrives again would be taken for that to the next.
func NewHTTPClient(open dial.Func) *http.Client {
	if open == nil {
		open = (&net.Dialer{Timeout: dialTimeout.Std()}).DialContext
	}
	transport := &http.Transport{
		DialContext:       dial.ReportResets(open),
		DisableKeepAlives: true,
		// A server may send headers without end.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// dialTimeout limits the time to open a connection to a backend server.
const dialTimeout = 2 * clock.Second

// Call is one request to an engine.
type Call struct {
	ID string
	// Body is the unchanged body of the caller's request.
	Body     []byte
	Chat     bool
	Version  string
	Priority int
	// Resume contains the tokens that earlier attempts generated.
	Resume []string
	// ImportFrom is the address of an engine that exported the KV cache of this request.
	ImportFrom string
}

// End describes how a stream ended.
type End struct {
	Finish string
	// Sent reports whether the call may have reached the engine.
	Sent bool
}

// Extension is the value of the field "swiftbeam" in an engine request.
type Extension struct {
	RequestID  string   `json:"requestId"`
	Priority   int      `json:"priority"`
	Resume     []string `json:"resume,omitempty"`
	ImportFrom string   `json:"importFrom,omitempty"`
}

// Chunk is one event of an engine's stream.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
}

// Choice is one choice of a Chunk; swiftbeam requests one.
type Choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a chat message, or the part of one that a Chunk adds.
type Message struct {
	Role         string          `json:"role,omitempty"`
	Content      string          `json:"content,omitempty"`
	ToolCalls    json.RawMessage `json:"tool_calls,omitempty"`
	FunctionCall json.RawMessage `json:"function_call,omitempty"`
}

// callsTools reports whether a message has calls of tools.
func (m *Message) callsTools() bool {
	return m != nil && (isPresent(m.ToolCalls) || isPresent(m.FunctionCall))
}

func isPresent(value json.RawMessage) bool {
	switch string(value) {
	case "", "null", "[]":
		return false
	}
	return true
}

// Content returns the text of a choice of a chat or a text completion.
func (c *Choice) Content() string {
	switch {
	case c.Delta != nil:
		return c.Delta.Content
	case c.Text != nil:
		return *c.Text
	}
	return ""
}

// Path returns the engine's URL path for chat completions, or for text completions if chat is false.
func Path(chat bool) string {
	if chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// Stream sends a call to the engine at address and calls token for each token. A nil error means that
// the engine sent the whole response, with a finish reason of a complete one and the end marker.
func (c *Client) Stream(ctx context.Context, address string, call Call, token func(string)) (End, error) {
	body, err := call.encode()
	if err != nil {
		return End{}, err
	}
	r, err := c.post(ctx, address, Path(call.Chat), body)
	if err != nil {
		return End{Sent: !NotSent(err)}, err
	}
	defer r.Body.Close()
	return readStream(r.Body, token)
}

// encode returns the caller's body with the swiftbeam extension, and with streaming enabled.
func (c *Call) encode() ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(c.Body, &fields); err != nil {
		return nil, errors.Wrap(err, "encode engine call")
	}
	extension, err := json.Marshal(Extension{
		RequestID: c.ID, Priority: c.Priority, Resume: c.Resume, ImportFrom: c.ImportFrom,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode engine call")
	}
	fields["swiftbeam"] = extension
	fields["stream"] = json.RawMessage("true")
	body, err := json.Marshal(fields)
	return body, errors.Wrap(err, "encode engine call")
}

// readStream reads the events of a stream up to its end marker. Any other end is an error.
func readStream(body io.Reader, token func(string)) (End, error) {
	end := End{Sent: true}
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return end, errors.Wrap(err, "read engine stream")
		}
		if event.Data == "[DONE]" {
			if end.Finish == "" {
				return end, errors.New("engine stream ended without a finish reason")
			}
			return end, nil
		}
		if err := end.readEvent(event, token); err != nil {
			return end, errors.Wrap(err, "read engine stream")
		}
	}
	return end, errors.New("engine stream ended without its end marker")
}

// readEvent reads one event before the end marker.
func (e *End) readEvent(event sse.Event, token func(string)) error {
	var data struct {
		Chunk
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal([]byte(event.Data), &data); err != nil {
		return err
	}
	if event.Type == "error" || isPresent(data.Error) {
		return errors.Newf("the engine reported an error: %.200s", event.Data)
	}
	for i := range data.Choices {
		choice := &data.Choices[i]
		if choice.Index != 0 {
			return errors.Newf("event of choice %d, of which none was requested", choice.Index)
		}
		if choice.Delta.callsTools() {
			return ErrToolCalls
		}
		text := choice.Content()
		if text != "" && e.Finish != "" {
			return errors.Newf("token after finish reason %q", e.Finish)
		}
		if text != "" {
			token(text)
		}
		if choice.FinishReason == nil || *choice.FinishReason == "" {
			continue
		}
		if reason := *choice.FinishReason; reason == "tool_calls" || reason == "function_call" {
			return ErrToolCalls
		}
		if !isComplete(*choice.FinishReason) {
			return errors.Newf("finish reason %q", *choice.FinishReason)
		}
		e.Finish = *choice.FinishReason
	}
	return nil
}

// ErrToolCalls reports an answer with tool calls, which the relay does not pass on.
var ErrToolCalls = errors.New("the answer contains tool calls, which are not relayed")

// Exported is the finish reason of a stream whose KV cache the engine exported.
const Exported = "exported"

// isComplete reports whether a finish reason is one of a complete answer. Engines have others for answers that
// they gave up, such as "abort" and "error".
func isComplete(reason string) bool {
	switch reason {
	case "stop", "length", "content_filter", Exported:
		return true
	}
	return false
}

// Cancel cancels a request at the engine. Engines that lack this extension stop when the connection
// of the stream is closed.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	return c.control(ctx, address, "/v1/cancel", CancelRequest{RequestID: id})
}

// CancelRequest is the body of a cancel request.
type CancelRequest struct {
	RequestID string `json:"requestId"`
}

// ExportRequest is the body of a request to export a KV cache.
type ExportRequest struct {
	RequestID string `json:"requestId"`
	Target    string `json:"target"`
}

// Export requests that the engine at address copies the KV cache of a request to the engine at
// target.
func (c *Client) Export(ctx context.Context, address, id, target string) error {
	return c.control(ctx, address, "/v1/kv/export", ExportRequest{RequestID: id, Target: target})
}

// Order is the body of an order. Fence is the fencing number of the daemon that sends the order.
type Order struct {
	Operation string `json:"operation"`
	Kind      string `json:"kind"`
	Argument  string `json:"argument"`
	Fence     uint64 `json:"fence"`
}

// SendOrder sends an order to the engine at address.
func (c *Client) SendOrder(ctx context.Context, address string, o Order) error {
	return c.control(ctx, address, "/v1/orders", o)
}

func (c *Client) control(ctx context.Context, address, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode "+path)
	}
	r, err := c.post(ctx, address, path, body)
	if err != nil {
		return err
	}
	return r.Body.Close()
}

func (c *Client) post(ctx context.Context, address, path string, body []byte) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build engine request")
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := c.HTTP.Do(q)
	if err != nil {
		return nil, errors.Wrap(err, "call engine")
	}
	if err := valid.CheckStatus(r.StatusCode); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "call engine"), r.Body.Close())
	}
	if r.StatusCode < http.StatusMultipleChoices {
		return r, nil
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	return nil, &StatusError{Status: r.StatusCode, Text: strings.TrimSpace(string(text))}
}

// maxErrorBytes is the maximum length of the text that is kept of an error response.
const maxErrorBytes = 4096

// StatusError is a response of an engine with a status of 300 or above.
type StatusError struct {
	Status int
	Text   string
}

// Error returns the status with the text of the engine's response.
func (e *StatusError) Error() string {
	return fault.New(fault.Unavailable, "engine answered %d: %s", e.Status, e.Text).Error()
}

// Refused reports whether the engine refused the call without running it. In the published interface,
// 429 and 503 mean that the call was not run, and the other 4xx statuses that the request is invalid.
func (e *StatusError) Refused() bool {
	return e.Status < 500 || e.Status == http.StatusServiceUnavailable
}

// NotSent reports whether err proves that no byte of the call was sent, because no connection could
// be opened.
func NotSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
