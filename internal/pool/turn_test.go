package pool

import (
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// endless is a response that arrives faster than it is read.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// TestEndlessResponsesLetOthersRun guards against requests that wait for a processor while each response without an end uses up its time slice.
func TestEndlessResponsesLetOthersRun(t *testing.T) {
	const streams, steps = 60, 20
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var stopped atomic.Bool
	var read atomic.Int64
	var work sync.WaitGroup
	for range streams {
		work.Go(func() {
			input, block := &limitedInput{from: endless{}}, make([]byte, readBufferBytes)
			for !stopped.Load() {
				n, _ := io.ReadFull(input, block)
				read.Add(int64(n))
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	// A request needs a processor several times: to be accepted, read, sent on and answered.
	most := int64(0)
	for range steps {
		before := read.Load()
		runtime.Gosched()
		most = max(most, read.Load()-before)
	}
	stopped.Store(true)
	work.Wait()
	if want := int64(2 * streams * turnBytes); most > want {
		t.Errorf("got %d KB read by %d streams before another goroutine ran, want at most %d KB", most>>10, streams, want>>10)
	}
}
