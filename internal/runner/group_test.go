package runner

import (
	"sync/atomic"
	"testing"
)

// TestGroupTakesGoroutinesDuringWait guards against a panic of a stop while handlers still start goroutines.
func TestGroupTakesGoroutinesDuringWait(t *testing.T) {
	g := &Group{}
	var stopped atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for !stopped.Load() {
			g.Go(func() {})
		}
	}()
	for range 200_000 {
		g.Wait()
	}
	stopped.Store(true)
	<-done
	ended := false
	g.Go(func() { ended = true })
	g.Wait()
	if !ended {
		t.Error("Wait returned before the goroutine of the group had ended")
	}
}
