package core

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/duty"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/setup"
	"swiftbeam/internal/state"
	"swiftbeam/internal/usage"
	"swiftbeam/pkg/clock"
)

// awaitMaySend waits until a core daemon may call the cloud.
func awaitMaySend(t *testing.T, c *Core) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !c.maySend(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: may send no call after 10 s", c.Settings.Name)
		}
	}
}

// transferTo makes core daemon i the leader by transfers, each of which ends a term.
func (g *cluster) transferTo(i int) {
	g.t.Helper()
	for range 50 {
		leader := g.leader()
		if leader == i {
			return
		}
		ctx, cancel := context.WithTimeout(g.t.Context(), 2*time.Second)
		_ = g.cores[leader].Store.Stop(ctx)
		cancel()
	}
	g.t.Fatalf("core %d: does not lead after 50 transfers", i)
}

// TestFormerLeaderSendsNoCalls guards against calls with the fence of an earlier leadership before the duties are found lost.
func TestFormerLeaderSendsNoCalls(t *testing.T) {
	g := newCluster(t, 3)
	g.putRules(1)
	i := g.leader()
	other, third := (i+1)%3, (i+2)%3
	c := g.cores[i]
	awaitMaySend(t, c)
	// With two daemons left, a transfer goes to the other one.
	g.crash(third, false)
	// While the lock is held, the daemon does not find the duties lost.
	c.mu.Lock()
	defer c.mu.Unlock()
	g.transferTo(other)
	for c.Store.Status().Role != quorum.Follower || c.Store.Status().Leader == "" {
		time.Sleep(5 * time.Millisecond)
	}
	for range 20 {
		if c.maySendLocked() {
			t.Error("got a call allowed while another daemon leads, want none")
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.transferTo(i)
	for range 20 {
		if c.maySendLocked() {
			t.Error("got a call allowed with the fence of the earlier leadership, want none")
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestCallIsNotSentWithoutContact guards against calls of a leader that loses contact with the quorum after they were allowed.
func TestCallIsNotSentWithoutContact(t *testing.T) {
	g := newCluster(t, 3)
	g.putRules(1)
	i := g.leader()
	c := g.cores[i]
	awaitMaySend(t, c)
	received := atomic.Int64{}
	cloud := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer cloud.Close()
	call := c.callCloud(t.Context(), func(ctx context.Context, _ duty.Holder) (duty.Answer, error) {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
			g.links.setCut(g.settings[i].Peers, true)
			time.Sleep((ElectionTimeout/2 + 100).Std())
		}})
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, cloud.URL, http.NoBody)
		if err != nil {
			return duty.Failed, err
		}
		response, err := duty.NewClient().Do(r)
		if err != nil {
			return duty.Failed, err
		}
		return duty.Accepted, response.Body.Close()
	})
	if call == nil {
		t.Fatal("got no call, want one that is allowed")
	}
	if got := received.Load(); got > 0 || !errors.Is(call.err, duty.ErrUnsent) {
		t.Errorf("got %d calls at the cloud and error %v, want none and ErrUnsent", got, call.err)
	}
}

// TestForgottenUsageIsNotCountedAgain guards against a second report of windows whose record the replicated state has dropped.
func TestForgottenUsageIsNotCountedAgain(t *testing.T) {
	const length = 100 * clock.Millisecond
	g := newCluster(t, 3, func(s *setup.Node) {
		s.Duties.UsageWindow, s.Duties.UsageDue, s.Duties.CallsPerSecond = length, 4*state.UsageWindows*length, 500
	})
	g.putRules(1)
	e := &fakeEntry{g: g, counter: usage.Counter{Length: length}, counted: make(map[uint64]uint64)}
	for step := range 260 {
		e.counter.Count(clock.FromTime(time.Now()), "atelier")
		if step%4 == 0 {
			e.report()
		}
		if step == 160 {
			g.crash(g.leader(), false)
		}
		time.Sleep(50 * time.Millisecond)
	}
	g.cloud.mu.Lock()
	defer g.cloud.mu.Unlock()
	reported := make(map[uint64]usageCall)
	for _, c := range g.cloud.calls {
		first, ok := reported[c.usage.Number]
		if ok && first.usage.Counts["atelier"] != c.usage.Counts["atelier"] {
			t.Errorf("window %d: got %d by fence %d and %d by fence %d, want equal reports", c.usage.Number,
				first.usage.Counts["atelier"], first.holder.Fence, c.usage.Counts["atelier"], c.holder.Fence)
		}
		if !ok {
			reported[c.usage.Number] = c
		}
	}
	if last := g.cloud.calls[len(g.cloud.calls)-1].holder.Fence; last < 2 {
		t.Errorf("got no report of the second holder, last fence %d", last)
	}
}
