// Package spool reads bodies into memory without a limit of their own, such as responses of servers that may be
// faulty. The length of each body and the memory of all bodies together are bounded:
//
//	s := &spool.Spool{MaxBytes: 8 << 20, TotalBytes: 32 << 20}
//	body, err := s.Read(ctx, spool.Source{Reader: response.Body, Length: response.ContentLength, Server: id, Interrupt: conn.Abort})
//	defer body.Release()
//
// A short body is read at any time. A longer one takes memory as it arrives, and waits while none is free. One body at
// a time, the privileged one, may grow to MaxBytes in memory that is reserved for it, so that bodies which wait for each
// other go on one after the other. The next one is of the server with the fewest long bodies, so that a server with many
// of them, or endless ones, does not hold up those of others. A privileged body that is not released after HoldTime, as
// its server is slow or its reader has stopped, gives up its memory if others wait.
package spool

import (
	"bytes"
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// blockBytes is the size of the blocks of a body, and up to which a body needs no memory of the spool.
	blockBytes = 32 << 10
	// firstBlockBytes is the size of the first block of a body whose length is unknown; most are shorter.
	firstBlockBytes = 4 << 10
	// HoldTime is how long a privileged body keeps its memory while others wait.
	HoldTime = 2 * time.Second
	// memoryParts is the part of the memory of a process that bodies may use, and defaultBytes the most.
	memoryParts  = 10
	defaultBytes = 32 << 20
)

// Errors of Read.
var (
	ErrTooLong = errors.New("the body is too long")
	ErrEvicted = errors.Newf("the body was not used up within %v, and others need its memory", HoldTime)
)

// TotalFor returns the memory for all bodies of a process with the given memory; the default if that is unknown.
func TotalFor(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return defaultBytes
	}
	return min(memoryBytes/memoryParts, defaultBytes)
}

// Spool has the memory for bodies. Set the exported fields before use.
type Spool struct {
	// MaxBytes bounds one body, TotalBytes all that are longer than a block. One body is always read.
	MaxBytes   int64
	TotalBytes int64
	// Evicted counts the bodies that gave up their memory.
	Evicted atomic.Int64

	mu sync.Mutex
	// used is the memory of all bodies but the privileged one.
	used int64
	// long is the number of bodies that have memory or wait for it, by server.
	long       map[string]int
	privileged *Body
	promotions uint64
	overdue    bool
	timer      *time.Timer
	waiting    []*waiter
}

// waiter is a body that waits for memory.
type waiter struct {
	body  *Body
	bytes int64
	// granted is closed when the body has got the memory.
	granted chan struct{}
}

// Source is where a body comes from.
type Source struct {
	Reader io.Reader
	// Length is the announced length, or -1 if that is unknown.
	Length int64
	// Server identifies the sender.
	Server string
	// Interrupt ends a pending Read of Reader; it must not block.
	Interrupt func()
}

// blocks has free blocks of blockBytes. Without it, bodies that are too long leave garbage faster than it is collected.
var blocks = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// Body is a body in memory. Blocks are valid until Release.
type Body struct {
	Blocks [][]byte
	Length int

	spool  *Spool
	server string
	// Fields below are guarded by spool.mu.
	share     int64
	long      bool
	interrupt func()
	evicted   bool
}

// Read reads a body to its end. The caller releases the body when it is not used any more; after an error there is
// nothing to release.
func (s *Spool) Read(ctx context.Context, from Source) (*Body, error) {
	if from.Length > s.MaxBytes {
		return nil, errors.Wrapf(ErrTooLong, "%d bytes, of at most %d", from.Length, s.MaxBytes)
	}
	b := &Body{spool: s, server: from.Server, interrupt: from.Interrupt}
	for {
		err := b.readBlock(from.Reader, from.Length)
		switch {
		case int64(b.Length) > s.MaxBytes:
			err = errors.Wrapf(ErrTooLong, "more than %d bytes", s.MaxBytes)
		case errors.Is(err, io.EOF):
			b.trim()
			return b, nil
		case err == nil && b.Length >= blockBytes:
			err = b.grow(ctx, min(int64(b.Length)+blockBytes, s.MaxBytes))
		}
		if err != nil {
			if b.isEvicted() {
				err = ErrEvicted
			}
			b.Release()
			return nil, err
		}
	}
}

// readBlock reads the next block. The error is io.EOF after the last byte.
func (b *Body) readBlock(r io.Reader, length int64) error {
	size := blockBytes
	switch {
	case length >= 0:
		// One byte more finds the end.
		size = min(size, int(length)-b.Length+1)
	case b.Length == 0:
		size = firstBlockBytes
	}
	block := newBlock(max(size, 1))
	for n := 0; ; {
		k, err := r.Read(block[n:])
		if n += k; err == nil && n < len(block) {
			continue
		}
		if n > 0 {
			b.Blocks = append(b.Blocks, block[:n])
			b.Length += n
		} else {
			freeBlock(block)
		}
		return err
	}
}

func newBlock(size int) []byte {
	if size < blockBytes {
		return make([]byte, size)
	}
	return blocks.Get().(*[blockBytes]byte)[:]
}

func freeBlock(block []byte) {
	if cap(block) == blockBytes {
		blocks.Put((*[blockBytes]byte)(block[:blockBytes]))
	}
}

// grow waits until the body has memory for a number of bytes.
func (b *Body) grow(ctx context.Context, total int64) error {
	s := b.spool
	s.mu.Lock()
	bytes := total - b.share
	if bytes <= 0 || b.evicted {
		s.mu.Unlock()
		return nil
	}
	if b == s.privileged {
		s.grant(b, bytes)
		s.mu.Unlock()
		return nil
	}
	s.count(b)
	w := &waiter{body: b, bytes: bytes, granted: make(chan struct{})}
	s.waiting = append(s.waiting, w)
	s.serve()
	if s.overdue && len(s.waiting) > 0 {
		s.evict()
	}
	s.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(o *waiter) bool { return o == w })
	return errors.Wrap(ctx.Err(), "wait for the memory of other bodies")
}

// grant gives memory to a body. The caller holds the lock.
func (s *Spool) grant(b *Body, bytes int64) {
	b.share += bytes
	if b != s.privileged {
		s.used += bytes
	}
}

// count counts a long body. The caller holds the lock.
func (s *Spool) count(b *Body) {
	if b.long {
		return
	}
	if s.long == nil {
		s.long = make(map[string]int)
	}
	b.long = true
	s.long[b.server]++
}

// uncount ends count. The caller holds the lock.
func (s *Spool) uncount(b *Body) {
	if !b.long {
		return
	}
	b.long = false
	if s.long[b.server]--; s.long[b.server] == 0 {
		delete(s.long, b.server)
	}
}

// serve gives memory to the bodies that wait, as far as there is any. The caller holds the lock.
func (s *Spool) serve() {
	for len(s.waiting) > 0 {
		next := s.waiting[0]
		for _, w := range s.waiting {
			if s.long[w.body.server] < s.long[next.body.server] {
				next = w
			}
		}
		switch {
		case s.used+next.bytes <= s.TotalBytes-s.MaxBytes:
		case s.privileged == nil:
			s.promote(next.body)
		default:
			return
		}
		s.grant(next.body, next.bytes)
		close(next.granted)
		s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool { return w == next })
	}
}

// promote makes a body the privileged one. The caller holds the lock.
func (s *Spool) promote(b *Body) {
	s.used -= b.share
	s.privileged, s.overdue = b, false
	s.promotions++
	// The runtime may keep a timer for a while after it was stopped, so it must not refer to the body.
	number := s.promotions
	s.timer = time.AfterFunc(HoldTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.privileged == nil || s.promotions != number {
			return
		}
		s.overdue = true
		if len(s.waiting) > 0 {
			s.evict()
		}
	})
}

// evict makes the privileged body give up its memory. The caller holds the lock.
func (s *Spool) evict() {
	b := s.privileged
	if b == nil || b.evicted {
		return
	}
	b.evicted = true
	s.Evicted.Add(1)
	if b.interrupt != nil {
		b.interrupt()
	}
}

func (b *Body) isEvicted() bool {
	b.spool.mu.Lock()
	defer b.spool.mu.Unlock()
	return b.evicted
}

// trim returns the memory that a whole body does not use.
func (b *Body) trim() {
	s := b.spool
	s.mu.Lock()
	defer s.mu.Unlock()
	if surplus := b.share - int64(b.Length); surplus > 0 {
		s.grant(b, -surplus)
		s.serve()
	}
}

// Interrupt replaces the function of the source that is called when the body gives up its memory, for instance with one
// that ends a pending write of the body. It must not block, and is not called after Release.
func (b *Body) Interrupt(f func()) {
	b.spool.mu.Lock()
	defer b.spool.mu.Unlock()
	b.interrupt = f
	if b.evicted {
		f()
	}
}

// Join returns the body as one slice in place of the blocks. The slice is valid after Release, too, but its memory counts until
// then.
func (b *Body) Join() []byte {
	joined := bytes.Join(b.Blocks, nil)
	b.freeBlocks()
	return joined
}

func (b *Body) freeBlocks() {
	for _, block := range b.Blocks {
		freeBlock(block)
	}
	b.Blocks = nil
}

// Release returns the memory of the body, which may be nil.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.freeBlocks()
	s := b.spool
	s.mu.Lock()
	defer s.mu.Unlock()
	b.interrupt = nil
	s.uncount(b)
	if b.share == 0 {
		return
	}
	s.grant(b, -b.share)
	if s.privileged == b {
		s.timer.Stop()
		s.privileged, s.overdue = nil, false
	}
	s.serve()
}
