// Package engine is the client of a model engine's published interface: OpenAI-style
// completions over SSE, with the swiftbeam fields for resume, priority and cancel, and orders.
//
//	c := &engine.Client{HTTP: httpClient}
//	end, err := c.Stream(ctx, address, call, func(token string) { record.Append(token) })
//
// What happens where an engine lacks a capability: without resume the caller sends the prompt
// with the tokens so far as its continuation; without KV export the stream is recomputed;
// without fencing, orders wait out the earlier holder's permission; unknown fields such as
// priority are ignored by the engine.
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

	"swiftbeam/internal/fault"
)

// Client talks to model engines.
type Client struct {
	HTTP *http.Client
}

// Call is one request to an engine.
type Call struct {
	ID string
	// Body is the caller's body as it came.
	Body     []byte
	Chat     bool
	Version  string
	Priority int
	// Resume holds the tokens that were generated before.
	Resume []string
	// ImportFrom is the address of an engine that exported the KV cache of this request.
	ImportFrom string
}

// End is how a stream ended.
type End struct {
	Finish string
	// Sent reports whether the call may have reached the engine.
	Sent bool
}

// Extension is the swiftbeam part of an engine request.
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

// Choice is the only choice of a Chunk.
type Choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a chat message or a part of one.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Content returns the text of a choice in either form.
func (c *Choice) Content() string {
	switch {
	case c.Delta != nil:
		return c.Delta.Content
	case c.Text != nil:
		return *c.Text
	}
	return ""
}

// Path returns the engine path of a call.
func Path(chat bool) string {
	if chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// Stream runs a call and hands over each token. A nil error means that the engine finished the
// answer.
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

func readStream(body io.Reader, token func(string)) (End, error) {
	end := End{Sent: true}
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return end, errors.Wrap(err, "read engine stream")
		}
		if event.Data == "[DONE]" {
			break
		}
		var chunk Chunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return end, errors.Wrap(err, "read engine stream")
		}
		for i := range chunk.Choices {
			choice := &chunk.Choices[i]
			if text := choice.Content(); text != "" {
				token(text)
			}
			if choice.FinishReason != nil {
				end.Finish = *choice.FinishReason
			}
		}
	}
	if end.Finish == "" {
		return end, errors.New("engine stream ended before its answer")
	}
	return end, nil
}

// Cancel ends a request at the engine. Engines without cancel notice the closed connection.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	return c.control(ctx, address, "/v1/cancel", CancelRequest{RequestID: id})
}

// CancelRequest is the body of a cancel.
type CancelRequest struct {
	RequestID string `json:"requestId"`
}

// ExportRequest is the body of a KV cache export.
type ExportRequest struct {
	RequestID string `json:"requestId"`
	Target    string `json:"target"`
}

// Export copies the KV cache of a request to the engine at target.
func (c *Client) Export(ctx context.Context, address, id, target string) error {
	return c.control(ctx, address, "/v1/kv/export", ExportRequest{RequestID: id, Target: target})
}

// Order is the body of an order to an engine.
type Order struct {
	Operation string `json:"operation"`
	Kind      string `json:"kind"`
	Argument  string `json:"argument"`
	Fence     uint64 `json:"fence"`
}

// SendOrder sends an order.
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
	if r.StatusCode < http.StatusMultipleChoices {
		return r, nil
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	return nil, &StatusError{Status: r.StatusCode, Text: strings.TrimSpace(string(text))}
}

// maxErrorBytes bounds the part of an error answer that is kept.
const maxErrorBytes = 4096

// StatusError is an answer of an engine that is not a success.
type StatusError struct {
	Status int
	Text   string
}

// Error returns the status with the engine's words.
func (e *StatusError) Error() string {
	return fault.New(fault.Unavailable, "engine answered %d: %s", e.Status, e.Text).Error()
}

// Refused reports whether the engine refused the call without running it: 429 and 503 mean
// that by the published interface, 4xx that the request itself is wrong.
func (e *StatusError) Refused() bool {
	return e.Status < 500 || e.Status == http.StatusServiceUnavailable
}

// NotSent reports whether err shows that no byte of the call left this daemon.
func NotSent(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}
