// Package caller is the client library for callers. It resumes a stream at any daemon and retries a call
// only when the retry cannot execute it twice.
//
//	c := &caller.Client{Addresses: []string{"http://10.0.0.5:7080"}, Key: key}
//	answer, err := c.Stream(ctx, caller.Prompt{Model: "luthier-model", Prompt: "..."}, nil)
//	reply, err := c.Call(ctx, "/deposits", idempotencyKey, body)
package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"
)

// Client sends requests to a deployment. Each attempt goes to an address chosen at random.
type Client struct {
	// Addresses are URLs such as http://10.0.0.5:7080.
	Addresses []string
	// Key authenticates the client account.
	Key string
	// HTTP is nil for http.DefaultClient.
	HTTP *http.Client
	// MaxAttempts is the maximum number of attempts of one request; zero means 8.
	MaxAttempts int
}

// Prompt is a completion request.
type Prompt struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	User      string `json:"user,omitempty"`
	Stream    bool   `json:"stream"`
}

// Answer is the response to a completion request, read from its stream.
type Answer struct {
	RequestID string
	Text      string
	Tokens    int
	// Finish is the finish reason reported by the model engine.
	Finish string
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// Gaps are the times between successive tokens.
	Gaps []time.Duration
	// Resumes is the number of attempts to resume the stream.
	Resumes int
	// OutOfOrder is the number of events that were rejected because their ID was not the next in sequence.
	OutOfOrder int
}

// Refusal is a response with an error status. NotRun is set when the daemon reports that the request was
// not executed.
type Refusal struct {
	Status     int
	Message    string
	RetryAfter time.Duration
	NotRun     bool
}

// Error returns the status and the daemon's message.
func (r *Refusal) Error() string { return fmt.Sprintf("refused with %d: %s", r.Status, r.Message) }

// retryPause is the wait before a retry when the response has no Retry-After header.
const retryPause = 100 * time.Millisecond

func (c *Client) maxAttempts() int {
	if c.MaxAttempts > 0 {
		return c.MaxAttempts
	}
	return 8
}

// ErrNoAddress is returned without Addresses. Nothing was sent.
var ErrNoAddress = errors.New("no address of a daemon is known; set Addresses")

func (c *Client) address() (string, error) {
	if len(c.Addresses) == 0 {
		return "", ErrNoAddress
	}
	return c.Addresses[rand.IntN(len(c.Addresses))], nil
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// Stream sends a completion request and returns the complete response. Token, which may be nil, is called
// for each token as it arrives. Stream retries after any error except an error event in the stream, and
// returns the error of the last attempt.
func (c *Client) Stream(ctx context.Context, p Prompt, token func(string)) (Answer, error) {
	s := &streamState{client: c, started: time.Now(), token: token}
	p.Stream = true
	body, err := json.Marshal(p)
	if err != nil {
		return s.answer, errors.Wrap(err, "encode prompt")
	}
	for range c.maxAttempts() {
		err = s.attempt(ctx, body)
		if err == nil || ctx.Err() != nil {
			return s.answer, err
		}
		var final *failure
		if errors.As(err, &final) {
			return s.answer, err
		}
		pause(ctx, err)
	}
	return s.answer, err
}

// pause waits before a retry: for the Retry-After of err, but at most two seconds, or for retryPause
// if err has none.
func pause(ctx context.Context, err error) {
	wait := retryPause
	var r *Refusal
	if errors.As(err, &r) && r.RetryAfter > 0 {
		wait = min(r.RetryAfter, 2*time.Second)
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// failure is an error event in a stream. It is final: a retry gives the same result.
type failure struct{ text string }

func (f *failure) Error() string { return f.text }

// streamState is the state of one streamed response across attempts.
type streamState struct {
	client  *Client
	started time.Time
	last    time.Time
	answer  Answer
	token   func(string)
	text    strings.Builder
}

func (s *streamState) attempt(ctx context.Context, body []byte) error {
	q, err := s.request(ctx, body)
	if err != nil {
		return err
	}
	r, err := s.client.client().Do(q)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return refusal(r)
	}
	id := r.Header.Get("X-Request-Id")
	if id == "" || s.answer.RequestID != "" && id != s.answer.RequestID {
		return errors.Newf("response to request %q, want that to request %q", id, s.answer.RequestID)
	}
	s.answer.RequestID = id
	return s.read(r.Body)
}

// request returns an HTTP request that sends the prompt, or one that resumes the stream after the last
// token received if a daemon has accepted the request.
func (s *streamState) request(ctx context.Context, body []byte) (*http.Request, error) {
	method, path, content := http.MethodPost, "/v1/completions", io.Reader(bytes.NewReader(body))
	if s.answer.RequestID != "" {
		s.answer.Resumes++
		method, path, content = http.MethodGet, "/v1/requests/"+s.answer.RequestID, nil
	}
	address, err := s.client.address()
	if err != nil {
		return nil, err
	}
	q, err := http.NewRequestWithContext(ctx, method, address+path, content)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	q.Header.Set("Authorization", "Bearer "+s.client.Key)
	q.Header.Set("Content-Type", "application/json")
	if method == http.MethodGet {
		q.Header.Set("Accept", "text/event-stream")
		q.Header.Set("Last-Event-ID", strconv.Itoa(s.answer.Tokens))
		digest := sha256.Sum256([]byte(s.text.String()))
		q.Header.Set("Last-Event-Digest", hex.EncodeToString(digest[:]))
	}
	return q, nil
}

type event struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// read reads the events of one response up to the end marker. Any other end is an error.
func (s *streamState) read(body io.Reader) error {
	s.answer.Finish = ""
	for e, err := range sse.Read(body, nil) {
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		if e.Data == "[DONE]" {
			if s.answer.Finish == "" {
				return errors.New("stream ended without a finish reason")
			}
			s.answer.Text = s.text.String()
			return nil
		}
		if err := s.handleEvent(e); err != nil {
			return err
		}
	}
	return errors.New("stream ended before [DONE]")
}

func (s *streamState) handleEvent(e sse.Event) error {
	var data event
	err := json.Unmarshal([]byte(e.Data), &data)
	switch {
	case data.Error != nil:
		return &failure{text: data.Error.Message}
	case e.Type == "error":
		return &failure{text: e.Data}
	case err != nil:
		return errors.Wrap(err, "decode event")
	}
	for _, choice := range data.Choices {
		if choice.Text != "" || choice.FinishReason == nil {
			if err := s.addToken(e.LastEventID, choice.Text); err != nil {
				return err
			}
		}
		if choice.FinishReason != nil {
			if err := s.finish(e.LastEventID, *choice.FinishReason); err != nil {
				return err
			}
		}
	}
	return nil
}

// finish records the finish reason. The ID of its event is that of the last token.
func (s *streamState) finish(id, reason string) error {
	if reason == "error" || reason == "abort" {
		return &failure{text: "the answer was given up with finish reason " + reason}
	}
	if id != strconv.Itoa(s.answer.Tokens) {
		s.answer.OutOfOrder++
		return errors.Newf("finish reason in event %q after %d tokens", id, s.answer.Tokens)
	}
	s.answer.Finish = reason
	return nil
}

func (s *streamState) addToken(id, text string) error {
	if id != strconv.Itoa(s.answer.Tokens+1) || s.answer.Finish != "" {
		s.answer.OutOfOrder++
		return errors.Newf("token in event %q after %d tokens and finish reason %q", id, s.answer.Tokens, s.answer.Finish)
	}
	now := time.Now()
	if s.answer.Tokens == 0 {
		s.answer.FirstToken = now.Sub(s.started)
	} else {
		s.answer.Gaps = append(s.answer.Gaps, now.Sub(s.last))
	}
	s.last = now
	s.answer.Tokens++
	s.text.WriteString(text)
	if s.token != nil {
		s.token(text)
	}
	return nil
}

// Reply is the response of a plain service. Replayed is set when the response of an earlier attempt with
// the same idempotency key was returned.
type Reply struct {
	Status    int
	Body      []byte
	RequestID string
	Replayed  bool
	Tries     int
}

// Call sends a request to a plain service. Key is the idempotency key. With a key, Call retries after a
// connection failure or a status of 500 or above, and the key ensures that the request runs at most once.
// Without a key, it retries only when the daemon reports that the request was not executed.
func (c *Client) Call(ctx context.Context, path, key string, body []byte) (Reply, error) {
	var reply Reply
	var err error
	for try := 1; try <= c.maxAttempts(); try++ {
		reply, err = c.callAttempt(ctx, path, key, body)
		reply.Tries = try
		var r *Refusal
		refused := errors.As(err, &r)
		retryable := refused && r.NotRun || key != "" && (!refused || r.Status >= http.StatusInternalServerError)
		if err == nil || ctx.Err() != nil || !retryable {
			return reply, err
		}
		pause(ctx, err)
	}
	return reply, err
}

func (c *Client) callAttempt(ctx context.Context, path, key string, body []byte) (Reply, error) {
	address, err := c.address()
	if err != nil {
		return Reply{}, err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, address+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, errors.Wrap(err, "build request")
	}
	q.Header.Set("Authorization", "Bearer "+c.Key)
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	r, err := c.client().Do(q)
	if err != nil {
		return Reply{}, errors.Wrap(err, "send request")
	}
	defer r.Body.Close()
	if r.StatusCode >= http.StatusBadRequest {
		return Reply{Status: r.StatusCode, RequestID: r.Header.Get("X-Request-Id")}, refusal(r)
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return Reply{}, errors.Wrap(err, "read response")
	}
	if r.Header.Get("X-Request-Id") == "" {
		return Reply{}, errors.Newf("response with status %d that is not from a daemon", r.StatusCode)
	}
	return Reply{
		Status: r.StatusCode, Body: data, RequestID: r.Header.Get("X-Request-Id"),
		Replayed: r.Header.Get("Idempotent-Replayed") == "true",
	}, nil
}

// maxErrorBytes is the maximum number of bytes read of an error response.
const maxErrorBytes = 64 << 10

// refusal converts a response with an error status to a Refusal.
func refusal(r *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	var e struct {
		Error struct {
			Message string `json:"message"`
			NotRun  bool   `json:"notRun"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &e)
	seconds, _ := strconv.Atoi(r.Header.Get("Retry-After"))
	return &Refusal{
		Status: r.StatusCode, Message: e.Error.Message, NotRun: e.Error.NotRun,
		RetryAfter: time.Duration(seconds) * time.Second,
	}
}
