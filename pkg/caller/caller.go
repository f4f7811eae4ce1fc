// Package caller is a client for callers. It resumes streams at any daemon and repeats a call
// only where that is safe.
//
//	c := &caller.Client{Addresses: []string{"http://10.0.0.5:7080"}, Key: key}
//	answer, err := c.Stream(ctx, caller.Prompt{Model: "luthier-model", Prompt: "..."}, nil)
//	reply, err := c.Call(ctx, "/deposits", idempotencyKey, body)
package caller

import (
	"bytes"
	"context"
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

// Client calls a deployment through any of its addresses.
type Client struct {
	Addresses []string
	// Key authenticates the client account.
	Key string
	// HTTP is nil for http.DefaultClient.
	HTTP *http.Client
	// Tries bounds the attempts of one request; zero means 8.
	Tries int
}

// Prompt is a completion request.
type Prompt struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	User      string `json:"user,omitempty"`
	Stream    bool   `json:"stream"`
}

// Answer is a whole streamed answer.
type Answer struct {
	RequestID  string
	Text       string
	Tokens     int
	Finish     string
	FirstToken time.Duration
	// Gaps are the times between tokens.
	Gaps []time.Duration
	// Resumes counts how often the stream was resumed.
	Resumes int
	// Disorder counts events whose ID was not the next one.
	Disorder int
}

// Refusal is an answer that says that the request was not run.
type Refusal struct {
	Status     int
	Message    string
	RetryAfter time.Duration
	NotRun     bool
}

// Error returns the daemon's message.
func (r *Refusal) Error() string { return fmt.Sprintf("refused with %d: %s", r.Status, r.Message) }

// retryPause is the wait before a request is tried again where no time is stated.
const retryPause = 100 * time.Millisecond

func (c *Client) tries() int {
	if c.Tries > 0 {
		return c.Tries
	}
	return 8
}

func (c *Client) address() string { return c.Addresses[rand.IntN(len(c.Addresses))] }

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// Stream runs a completion and returns its whole answer. Token is called for each token as it
// arrives; it may be nil. A refusal is returned as it is when the tries are used up.
func (c *Client) Stream(ctx context.Context, p Prompt, token func(string)) (Answer, error) {
	s := &reading{client: c, started: time.Now(), token: token}
	p.Stream = true
	body, err := json.Marshal(p)
	if err != nil {
		return s.answer, errors.Wrap(err, "encode prompt")
	}
	for range c.tries() {
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

// failure is an end of a stream that trying again does not change.
type failure struct{ text string }

func (f *failure) Error() string { return f.text }

// reading is the state of one streamed answer over its attempts.
type reading struct {
	client  *Client
	started time.Time
	last    time.Time
	answer  Answer
	token   func(string)
	text    strings.Builder
}

func (s *reading) attempt(ctx context.Context, body []byte) error {
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
	s.answer.RequestID = r.Header.Get("X-Request-Id")
	return s.read(r.Body)
}

// request sends the prompt, or resumes the answer when the request was accepted before.
func (s *reading) request(ctx context.Context, body []byte) (*http.Request, error) {
	method, path, content := http.MethodPost, "/v1/completions", io.Reader(bytes.NewReader(body))
	if s.answer.RequestID != "" {
		s.answer.Resumes++
		method, path, content = http.MethodGet, "/v1/requests/"+s.answer.RequestID, nil
	}
	q, err := http.NewRequestWithContext(ctx, method, s.client.address()+path, content)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	q.Header.Set("Authorization", "Bearer "+s.client.Key)
	q.Header.Set("Content-Type", "application/json")
	if method == http.MethodGet {
		q.Header.Set("Accept", "text/event-stream")
		q.Header.Set("Last-Event-ID", strconv.Itoa(s.answer.Tokens))
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

func (s *reading) read(body io.Reader) error {
	for e, err := range sse.Read(body, nil) {
		if err != nil {
			return errors.Wrap(err, "read stream")
		}
		if e.Data == "[DONE]" {
			return nil
		}
		if err := s.take(e); err != nil {
			return err
		}
	}
	return errors.New("stream ended early")
}

func (s *reading) take(e sse.Event) error {
	var data event
	if err := json.Unmarshal([]byte(e.Data), &data); err != nil {
		return errors.Wrap(err, "decode event")
	}
	if data.Error != nil {
		return &failure{text: data.Error.Message}
	}
	for _, choice := range data.Choices {
		if choice.FinishReason != nil {
			s.answer.Finish = *choice.FinishReason
			s.answer.Text = s.text.String()
			continue
		}
		s.takeToken(e.LastEventID, choice.Text)
	}
	return nil
}

func (s *reading) takeToken(id, text string) {
	now := time.Now()
	if s.answer.Tokens == 0 {
		s.answer.FirstToken = now.Sub(s.started)
	} else {
		s.answer.Gaps = append(s.answer.Gaps, now.Sub(s.last))
	}
	s.last = now
	s.answer.Tokens++
	if id != strconv.Itoa(s.answer.Tokens) {
		s.answer.Disorder++
	}
	s.text.WriteString(text)
	if s.token != nil {
		s.token(text)
	}
}

// Reply is the answer of a plain service.
type Reply struct {
	Status    int
	Body      []byte
	RequestID string
	Replayed  bool
	Tries     int
}

// Call sends a call to a plain service. With a key it is repeated after a lost connection or an
// unknown outcome, which runs it at most once; without one, only after a refusal.
func (c *Client) Call(ctx context.Context, path, key string, body []byte) (Reply, error) {
	var reply Reply
	var err error
	for try := 1; try <= c.tries(); try++ {
		reply, err = c.callOnce(ctx, path, key, body)
		reply.Tries = try
		var r *Refusal
		refused := errors.As(err, &r)
		repeatable := refused && r.NotRun || key != "" && (!refused || r.Status >= http.StatusInternalServerError)
		if err == nil || ctx.Err() != nil || !repeatable {
			return reply, err
		}
		pause(ctx, err)
	}
	return reply, err
}

func (c *Client) callOnce(ctx context.Context, path, key string, body []byte) (Reply, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, c.address()+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, errors.Wrap(err, "build call")
	}
	q.Header.Set("Authorization", "Bearer "+c.Key)
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	r, err := c.client().Do(q)
	if err != nil {
		return Reply{}, errors.Wrap(err, "send call")
	}
	defer r.Body.Close()
	if r.StatusCode >= http.StatusBadRequest {
		return Reply{Status: r.StatusCode, RequestID: r.Header.Get("X-Request-Id")}, refusal(r)
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return Reply{}, errors.Wrap(err, "read reply")
	}
	return Reply{
		Status: r.StatusCode, Body: data, RequestID: r.Header.Get("X-Request-Id"),
		Replayed: r.Header.Get("Idempotent-Replayed") == "true",
	}, nil
}

// maxErrorBytes bounds the part of an error answer that is read.
const maxErrorBytes = 64 << 10

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
