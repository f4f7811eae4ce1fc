// Package fakes contains fakes of the systems around swiftbeam: a model engine, a plain service and the
// cloud API. They implement the published interfaces over real sockets and count what they executed, so
// that tests do not depend on the counters of the daemons.
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

// Fault is a regression injected into a version. The zero value injects none.
type Fault struct {
	// FailPercent is the percentage of requests that fail with status 500.
	FailPercent int
	// LatencyFactor multiplies the prefill time and the token gap; zero means one.
	LatencyFactor float64
	// Short is the percentage of the requested tokens after which a stream ends, although it is marked as
	// complete; zero means that all tokens are sent.
	Short int
	// StartAfter is the time from the start of the engine until the fault takes effect.
	StartAfter time.Duration
	// MinRunning is the lowest number of running requests at which the fault takes effect.
	MinRunning int
	// Route and Account, if set, limit the fault to the requests of one route and one client account.
	Route   string
	Account string
}

// Engine is a fake model engine with continuous batching and a prompt cache. Its answers depend only on
// the prompt. Set the exported fields before Start.
type Engine struct {
	Announcer
	Slots int
	// TokenGap is the time between tokens, and PrefillPerBlock the prefill time of one prefix block.
	TokenGap        time.Duration
	PrefillPerBlock time.Duration
	Fault           Fault
	// NoExport disables KV cache export.
	NoExport bool
	// Crashes reports whether the engine crashes when it begins to answer a prompt; nil means never.
	Crashes func(prompt string) bool
	// Odd returns how a request with a number of tokens to resume is answered wrongly; nil means never.
	Odd func(id string, resumed int) Oddity

	// Frozen stops the engine from sending tokens, while its connections stay open.
	Frozen atomic.Bool

	// Requests counts completion requests.
	Requests atomic.Int64
	// Recomputed counts the tokens that the engine computed again for resumed requests.
	Recomputed atomic.Int64
	// Generated counts the tokens sent.
	Generated atomic.Int64
	// Mismatched counts the resumed requests whose earlier tokens differ from those that the engine
	// generates for the prompt.
	Mismatched atomic.Int64
	// Cancelled counts cancel requests.
	Cancelled atomic.Int64

	mu        sync.Mutex
	slots     chan struct{}
	cache     map[uint64]bool
	imported  map[string]bool
	active    map[string]*activeRequest
	startTime time.Time
}

// activeRequest is a request that runs or waits for a slot.
type activeRequest struct {
	cancel   context.CancelFunc
	exported chan struct{}
}

// Start serves on a loopback port and begins to announce the engine.
func (e *Engine) Start(ctx context.Context) error {
	e.slots = make(chan struct{}, e.Slots)
	e.cache = make(map[uint64]bool)
	e.imported = make(map[string]bool)
	e.active = make(map[string]*activeRequest)
	e.startTime = time.Now()
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

// completionRequest is the body of a text or chat completion request.
type completionRequest struct {
	Model     string           `json:"model"`
	Prompt    string           `json:"prompt"`
	Messages  []engine.Message `json:"messages"`
	MaxTokens int              `json:"max_tokens"`
	User      string           `json:"user"`
	Swiftbeam engine.Extension `json:"swiftbeam"`
}

func (c *completionRequest) text() string {
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

// Answer returns the complete answer to a prompt.
func Answer(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var c completionRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	e.Requests.Add(1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	a := &activeRequest{cancel: cancel, exported: make(chan struct{})}
	e.addActive(c.Swiftbeam.RequestID, a)
	defer e.removeActive(c.Swiftbeam.RequestID, a)
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-ctx.Done():
		return
	}
	fault := e.activeFault(&c)
	if fault.FailPercent > rand.IntN(100) {
		http.Error(w, "internal failure", http.StatusInternalServerError)
		return
	}
	e.prefill(ctx, &c, fault)
	if e.Crashes != nil && e.Crashes(c.text()) {
		e.Kill()
		return
	}
	odd := NoOddity
	if e.Odd != nil {
		odd = e.Odd(c.Swiftbeam.RequestID, len(c.Swiftbeam.Resume))
	}
	if !odd.replaceStream(w) {
		e.generate(ctx, w, &c, a, fault, odd)
	}
}

func (e *Engine) addActive(id string, a *activeRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active[id] = a
}

func (e *Engine) removeActive(id string, a *activeRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active[id] == a {
		delete(e.active, id)
	}
}

// activeFault returns the fault that applies to a request now.
func (e *Engine) activeFault(c *completionRequest) Fault {
	f := e.Fault
	_, name, _ := strings.Cut(c.Model, ":")
	running, _ := e.load()
	inactive := time.Since(e.startTime) < f.StartAfter || running < f.MinRunning ||
		f.Route != "" && f.Route != name || f.Account != "" && f.Account != c.User
	if inactive {
		return Fault{}
	}
	return f
}

func (f Fault) scaleTime(d time.Duration) time.Duration {
	if f.LatencyFactor == 0 {
		return d
	}
	return time.Duration(float64(d) * f.LatencyFactor)
}

// prefill waits for the time to compute the prefix blocks that are not in the prompt cache, and adds them
// to it. A request whose KV cache was imported needs no prefill.
func (e *Engine) prefill(ctx context.Context, c *completionRequest, f Fault) {
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
	if resumed := len(c.Swiftbeam.Resume); resumed > 0 {
		e.Recomputed.Add(int64(resumed + missing*route.BlockBytes/4))
		missing += resumed / 64
	}
	sleep(ctx, f.scaleTime(time.Duration(missing+1)*e.PrefillPerBlock))
}

func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, c *completionRequest, a *activeRequest, f Fault, odd Oddity) {
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
		if odd != NoOddity && i == len(c.Swiftbeam.Resume)+oddTokens && !odd.end(w) {
			return
		}
		sleep(ctx, f.scaleTime(e.TokenGap))
		for e.Frozen.Load() && ctx.Err() == nil {
			sleep(ctx, frozenPollInterval)
		}
		select {
		case <-a.exported:
			writeFinish(w, engine.Exported)
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

// frozenPollInterval is the interval at which a frozen engine checks Frozen.
const frozenPollInterval = 20 * time.Millisecond

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

// export sends the KV cache of a request to another engine and ends the request at this one.
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
	response, err := http.Post("http://"+q.Target+"/v1/kv/import", "application/json", strings.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	_ = response.Body.Close()
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
