// Package spool reads bodies into memory without a limit of their own, such as responses of servers that may be
// faulty. The length of each body and the memory of all bodies together are bounded:
//
//	s := &spool.Spool{MaxBytes: 8 << 20, TotalBytes: 32 << 20}
//	body, err := s.Read(ctx, response.Body, response.ContentLength)
//	defer body.Release()
//
// A short body is read at any time. A longer one waits for its share of the memory before the rest is read, so
// that bodies that wait for each other cannot use it up.
package spool

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// blockBytes is the size of the blocks of a body, and up to which a body does not wait.
	blockBytes = 64 << 10
	// firstBlockBytes is the size of the first block of a body whose length is unknown; most are shorter.
	firstBlockBytes = 4 << 10
)

// ErrTooLong reports a body of more than MaxBytes.
var ErrTooLong = errors.New("the body is too long")

// Spool has the memory for bodies. Set the exported fields before use.
type Spool struct {
	// MaxBytes bounds one body, TotalBytes all that are longer than a block.
	MaxBytes   int64
	TotalBytes int64

	init   sync.Once
	memory *semaphore.Weighted
}

// Body is a body in memory.
type Body struct {
	Blocks [][]byte
	Length int

	spool *Spool
	share int64
}

// Read reads a body to its end. Length is its announced length, or -1 if that is unknown. The caller releases
// the body when it is not used any more; after an error there is nothing to release.
func (s *Spool) Read(ctx context.Context, r io.Reader, length int64) (*Body, error) {
	s.init.Do(func() { s.memory = semaphore.NewWeighted(s.TotalBytes) })
	if length > s.MaxBytes {
		return nil, errors.Wrapf(ErrTooLong, "%d bytes, of at most %d", length, s.MaxBytes)
	}
	b := &Body{spool: s}
	for {
		err := b.readBlock(r, length)
		switch {
		case int64(b.Length) > s.MaxBytes:
			err = errors.Wrapf(ErrTooLong, "more than %d bytes", s.MaxBytes)
		case errors.Is(err, io.EOF):
			return b, nil
		case err == nil && b.Length >= blockBytes && b.share == 0:
			err = b.acquire(ctx, length)
		}
		if err != nil {
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
	block := make([]byte, max(size, 1))
	for n := 0; ; {
		k, err := r.Read(block[n:])
		if n += k; err == nil && n < len(block) {
			continue
		}
		if n > 0 {
			b.Blocks = append(b.Blocks, block[:n])
			b.Length += n
		}
		return err
	}
}

// acquire waits for the memory of the whole body.
func (b *Body) acquire(ctx context.Context, length int64) error {
	share := b.spool.MaxBytes
	if length >= 0 {
		share = length
	}
	if err := b.spool.memory.Acquire(ctx, share); err != nil {
		return errors.Wrap(err, "wait for the memory of other bodies")
	}
	b.share = share
	return nil
}

// Release returns the memory of the body, which may be nil.
func (b *Body) Release() {
	if b == nil || b.share == 0 {
		return
	}
	b.spool.memory.Release(b.share)
	b.share = 0
}
