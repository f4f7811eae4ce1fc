// Package fakes holds small stand-ins for what surrounds swiftbeam: a model engine, a plain
// service and the cloud API. They speak the published interfaces over real sockets, and count
// what really happened, so that a test need not trust the daemons' own counters.
//
//	e := &fakes.Engine{Service: "luthier-model", Version: "v1", Daemons: addresses}
//	err := e.Start(ctx)
package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swiftbeam/internal/engine"
	"swiftbeam/internal/route"
)

// Fault is the way in which a version is bad. The zero value is a good version.
type Fault struct {
	// FailPercent of the requests are answered with 500.
	FailPercent int
	// LatencyFactor multiplies all times; zero means one.
	LatencyFactor float64
	// Short is the part of an answer, in percent, after which it ends; zero means whole.
	Short int
	// StartAfter is the time from the start at which the fault begins.
	StartAfter time.Duration
	// MinRunning is the number of running requests from which on the fault shows.
	MinRunning int
	// Route and Account limit the fault where they are set.
	Route   string
	Account string
}

// Engine is a model engine with continuous batching and a prompt cache. Its answers depend on
// the prompt alone. Set the exported fields before Start.
type Engine struct {
	Announcer
	Slots int
	// TokenGap is the time between tokens and Prefill the time for one prefix block.
	TokenGap        time.Duration
	PrefillPerBlock time.Duration
	Fault           Fault
	// NoExport turns off KV cache export.
	NoExport bool

	// Frozen makes the engine send nothing while its connections stay open.
	Frozen atomic.Bool

	// Requests counts calls, Cancelled cancels, Recomputed the tokens that a resumed call made the engine compute
	// again, Generated the tokens sent, Mismatched the resumes that did not fit the answer.
	Requests   atomic.Int64
	Recomputed atomic.Int64
	Generated  atomic.Int64
	Mismatched atomic.Int64
	Cancelled  atomic.Int64

	mu       sync.Mutex
	slots    chan struct{}
	cache    map[uint64]bool
	imported map[string]bool
	active   map[string]*activity
	started  time.Time
}

// activity is one running request.
type activity struct {
	cancel   context.CancelFunc
	exported chan struct{}
}

// Start listens on a loopback port and begins to announce the engine.
func (e *Engine) Start(ctx context.Context) error {
	e.slots = make(chan struct{}, e.Slots)
	e.cache = make(map[uint64]bool)
	e.imported = make(map[string]bool)
	e.active = make(map[string]*activity)
	e.started = time.Now()
	e.Kind, e.Load = "engine", e.load
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/cancel", e.cancel)
	mux.HandleFunc("POST /v1/kv/export", e.export)
	mux.HandleFunc("POST /v1/kv/import", e.importKV)
	return e.start(ctx, mux, e.Slots)
}

func (e *Engine) load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	running = min(len(e.slots), len(e.active))
	return running, len(e.active) - running
}

// call is the body of a completion request.
type call struct {
	Model     string           `json:"model"`
	Prompt    string           `json:"prompt"`
	Messages  []engine.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	User      string           `json:"user"`
	Swiftbeam engine.Extension `json:"swiftbeam"`
}

func (c *call) text() string {
	var text strings.Builder
	text.WriteString(c.Prompt)
	for _, m := range c.Messages {
		text.WriteString(m.Content)
	}
	return text.String()
}

// Token returns token i of the answer to a prompt.
func Token(prompt string, i int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s/%d", prompt, i)
	return fmt.Sprintf("w%04x ", h.Sum64()&0xffff)
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	e.Requests.Add(1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	a := &activity{cancel: cancel, exported: make(chan struct{})}
	e.enter(c.Swiftbeam.RequestID, a)
	defer e.exit(c.Swiftbeam.RequestID, a)
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-ctx.Done():
		return
	}
	fault := e.faultOf(&c)
	if fault.FailPercent > rand.IntN(100) {
		http.Error(w, "internal failure", http.StatusInternalServerError)
		return
	}
	e.prefill(ctx, &c, fault)
	e.generate(ctx, w, &c, a, fault)
}

func (e *Engine) enter(id string, a *activity) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active[id] = a
}

func (e *Engine) exit(id string, a *activity) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active[id] == a {
		delete(e.active, id)
	}
}

// faultOf returns the fault that shows on a call.
func (e *Engine) faultOf(c *call) Fault {
	f := e.Fault
	_, name, _ := strings.Cut(c.Model, ":")
	running, _ := e.load()
	hidden := time.Since(e.started) < f.StartAfter || running < f.MinRunning ||
		f.Route != "" && f.Route != name || f.Account != "" && f.Account != c.User
	if hidden {
		return Fault{}
	}
	return f
}

func (f Fault) slow(d time.Duration) time.Duration {
	if f.LatencyFactor == 0 {
		return d
	}
	return time.Duration(float64(d) * f.LatencyFactor)
}

// prefill computes what is not in the prompt cache or imported.
func (e *Engine) prefill(ctx context.Context, c *call, f Fault) {
	prefixes := route.Prefixes(nil, c.text())
	missing := 0
	e.mu.Lock()
	imported := c.Swiftbeam.ImportFrom != "" && e.imported[c.Swiftbeam.RequestID]
	for _, h := range prefixes {
		if !e.cache[h] {
			missing++
		}
		e.cache[h] = true
	}
	e.mu.Unlock()
	if imported {
		return
	}
	if done := len(c.Swiftbeam.Resume); done > 0 {
		e.Recomputed.Add(int64(done + missing*route.BlockBytes/4))
		missing += done / 64
	}
	sleep(ctx, f.slow(time.Duration(missing+1)*e.PrefillPerBlock))
}

func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, c *call, a *activity, f Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	prompt, total := c.text(), c.MaxTokens
	if total == 0 {
		total = 16
	}
	end := total
	if f.Short > 0 {
		end = max(total*f.Short/100, 1)
	}
	e.checkResume(prompt, c.Swiftbeam.Resume)
	out := http.NewResponseController(w)
	for i := len(c.Swiftbeam.Resume); i < end; i++ {
		sleep(ctx, f.slow(e.TokenGap))
		for e.Frozen.Load() && ctx.Err() == nil {
			sleep(ctx, frozenCheck)
		}
		select {
		case <-a.exported:
			writeFinish(w, "exported")
			return
		default:
		}
		if ctx.Err() != nil {
			return
		}
		e.Generated.Add(1)
		token := Token(prompt, i)
		writeChunk(w, engine.Choice{Text: &token})
		if out.Flush() != nil {
			return
		}
	}
	writeFinish(w, "stop")
}

// frozenCheck is the pause between two looks at Frozen.
const frozenCheck = 20 * time.Millisecond

func (e *Engine) checkResume(prompt string, resume []string) {
	for i, token := range resume {
		if token != Token(prompt, i) {
			e.Mismatched.Add(1)
			return
		}
	}
}

func writeChunk(w http.ResponseWriter, c engine.Choice) {
	data, _ := json.Marshal(engine.Chunk{Object: "text_completion", Choices: []engine.Choice{c}})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func writeFinish(w http.ResponseWriter, reason string) {
	empty := ""
	writeChunk(w, engine.Choice{Text: &empty, FinishReason: &reason})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	var q engine.CancelRequest
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	a := e.active[q.RequestID]
	e.mu.Unlock()
	e.Cancelled.Add(1)
	if a != nil {
		a.cancel()
	}
}

// export copies the KV cache of a request to another engine and ends the request here.
func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var q engine.ExportRequest
	if e.NoExport || json.NewDecoder(r.Body).Decode(&q) != nil {
		http.Error(w, "cannot export", http.StatusNotImplemented)
		return
	}
	e.mu.Lock()
	a := e.active[q.RequestID]
	e.mu.Unlock()
	if a == nil {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	body := fmt.Sprintf(`{"requestId":%q}`, q.RequestID)
	answer, err := http.Post("http://"+q.Target+"/v1/kv/import", "application/json", strings.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	_ = answer.Body.Close()
	close(a.exported)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var q engine.CancelRequest
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imported[q.RequestID] = true
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// listen opens a loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
