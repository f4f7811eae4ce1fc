package spool

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
)

// TestBodiesAreWholeOrErrors reads bodies of different lengths, of which those over the limit must fail.
func TestBodiesAreWholeOrErrors(t *testing.T) {
	s := &Spool{MaxBytes: 1 << 20, TotalBytes: 2 << 20}
	for _, size := range []int{0, 1, firstBlockBytes, firstBlockBytes + 1, blockBytes, blockBytes + 1, 1<<20 - 1, 1 << 20, 1<<20 + 1, 3 << 20} {
		text := strings.Repeat("x", size)
		for _, length := range []int64{-1, int64(size)} {
			for name, r := range map[string]io.Reader{
				"plain": strings.NewReader(text), "error with the last bytes": iotest.DataErrReader(strings.NewReader(text)),
				"halves": iotest.HalfReader(strings.NewReader(text)),
			} {
				body, err := s.Read(context.Background(), r, length)
				if size > 1<<20 {
					if !errors.Is(err, ErrTooLong) {
						t.Errorf("%d bytes, length %d, %s: got error %v, want ErrTooLong", size, length, name, err)
					}
					continue
				}
				if err != nil {
					t.Fatalf("%d bytes, length %d, %s: got error %v, want none", size, length, name, err)
				}
				if got := string(bytes.Join(body.Blocks, nil)); got != text || body.Length != size {
					t.Errorf("%d bytes, length %d, %s: got %d bytes, Length %d", size, length, name, len(got), body.Length)
				}
				body.Release()
			}
		}
	}
}

// TestBrokenBodyIsAnError reads a body that breaks off.
func TestBrokenBodyIsAnError(t *testing.T) {
	s := &Spool{MaxBytes: 1 << 20, TotalBytes: 1 << 20}
	broken := io.MultiReader(strings.NewReader(strings.Repeat("x", 200<<10)), iotest.ErrReader(io.ErrUnexpectedEOF))
	if _, err := s.Read(context.Background(), broken, -1); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got error %v, want the reader's", err)
	}
	if _, err := s.Read(context.Background(), strings.NewReader(strings.Repeat("x", 200<<10)), -1); err != nil {
		t.Errorf("got error %v after a broken body, want its memory free", err)
	}
}

// TestBodiesWaitForTheMemory reads long bodies at the same time, of which the memory holds two.
func TestBodiesWaitForTheMemory(t *testing.T) {
	s := &Spool{MaxBytes: 1 << 20, TotalBytes: 2 << 20}
	var held []*Body
	for range 2 {
		body, err := s.Read(context.Background(), strings.NewReader(strings.Repeat("x", 100<<10)), -1)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, body)
	}
	short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if _, err := s.Read(short, strings.NewReader(strings.Repeat("x", 100<<10)), -1); err == nil {
		t.Error("got a third long body, want an error when the context ends")
	}
	if _, err := s.Read(short, strings.NewReader("short"), -1); err != nil {
		t.Errorf("a short body: got error %v, want none", err)
	}
	var work sync.WaitGroup
	for range 8 {
		work.Go(func() {
			body, err := s.Read(context.Background(), strings.NewReader(strings.Repeat("x", 100<<10)), -1)
			if err != nil {
				t.Errorf("got error %v, want the body after others are released", err)
			}
			body.Release()
		})
	}
	for _, body := range held {
		body.Release()
	}
	work.Wait()
}
