package gauge

import (
	"swiftbeam/internal/route"
)

// Costs of the model engine in milliseconds.
const (
	// gapBase is the time between tokens of a lone request, gapEach what each further request of
	// the batch adds.
	gapBase = 18.0
	gapEach = 0.9
	// prefillBlock is the prefill time of one prefix block that is not cached.
	prefillBlock = 6.0
	// slots is the number of requests in a batch.
	slots = 16
	// cacheBlocks is the number of prefix blocks that an engine caches.
	cacheBlocks = 600
	// tokensPerBlock is the number of prompt tokens in a prefix block.
	tokensPerBlock = 64
	// chunkTokens is the number of tokens that are generated in one event.
	chunkTokens = 8
)

// engine is a model engine on a virtual clock: it prefills one prompt at a time, decodes a
// batch, and caches prompt prefixes, dropping the least recently used.
type engine struct {
	backend int
	zone    int
	dead    bool
	leaving bool
	// prefillFree is the instant at which the prefill of all admitted prompts is done.
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

// touch looks up the prefixes, stores them, and returns how many leading ones were cached.
func (e *engine) touch(prefixes []uint64) int {
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

// evict drops the least recently used prefixes. Entries of used that were touched again later
// are stale and skipped.
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

// gap is the present time between tokens.
func (e *engine) gap() float64 { return gapBase + gapEach*float64(e.running-1) }

// job is one request of the trace.
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
