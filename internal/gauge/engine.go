package gauge

import (
	"swiftbeam/internal/route"
)

// Parameters of the simulated model engine, with times in milliseconds.
const (
	// gapBase is the token gap of a single request; gapEach is what each further request in the batch
	// adds.
	gapBase = 18.0
	gapEach = 0.9
	// prefillBlock is the prefill time of one prefix block that is not cached.
	prefillBlock = 6.0
	// slots is the maximum number of requests in a batch.
	slots = 16
	// cacheBlocks is the number of prefix blocks that an engine caches.
	cacheBlocks = 600
	// tokensPerBlock is the number of prompt tokens in a prefix block.
	tokensPerBlock = 64
	// chunkTokens is the number of tokens that are generated in one event.
	chunkTokens = 8
)

// engine simulates a model engine on a virtual clock: it prefills one prompt at a time, decodes a batch,
// and caches prompt prefixes with eviction of the least recently used.
type engine struct {
	backend    int
	zone       int
	terminated bool
	draining   bool
	// prefillFree is the time at which the prefill of all admitted prompts ends.
	prefillFree float64
	running     int
	waiting     []*job
	cache       map[uint64]int
	used        []uint64
	clock       int
	active      map[*job]bool
}

func newEngine(backend, zone int) *engine {
	return &engine{backend: backend, zone: zone, cache: make(map[uint64]int), active: make(map[*job]bool)}
}

// lookUp returns how many leading prefixes were cached, and stores all of them.
func (e *engine) lookUp(prefixes []uint64) int {
	hits := 0
	for hits < len(prefixes) && e.cache[prefixes[hits]] > 0 {
		hits++
	}
	for _, h := range prefixes {
		e.clock++
		e.cache[h] = e.clock
		e.used = append(e.used, h)
	}
	e.evict()
	return hits
}

// evict removes the least recently used prefixes. It skips the entries of e.used whose prefix was
// used again later.
func (e *engine) evict() {
	at := e.clock - len(e.used)
	for len(e.cache) > cacheBlocks {
		h := e.used[0]
		e.used = e.used[1:]
		at++
		if e.cache[h] == at {
			delete(e.cache, h)
		}
	}
}

// gap returns the time between two tokens of a stream at the current number of running requests.
func (e *engine) gap() float64 { return gapBase + gapEach*float64(e.running-1) }

// job is one request of the trace. Times are in milliseconds.
type job struct {
	id       int
	at       float64
	daemon   int
	urgent   bool
	prefixes []uint64
	tokens   int

	done      int
	started   float64
	first     float64
	last      float64
	gapSum    float64
	gaps      int
	engine    *engine
	server    *route.Server
	moves     int
	restored  bool
	recompute int
	epoch     int
}
