package buyer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"swiftbeam/internal/cloud"
	"swiftbeam/internal/duty"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/state"
	"swiftbeam/internal/store"
	"swiftbeam/pkg/clock"
)

// noPeers is a network without other members.
type noPeers struct{}

func (noPeers) Send(quorum.Member, []quorum.Message) {}

func (noPeers) ProposeAt(context.Context, string, []byte) (uint64, []byte, error) {
	return 0, nil, errors.New("no other member")
}

// startLeader starts a group of a single voter, and returns a function that makes it stand still.
func startLeader(t *testing.T) (*store.Store, func()) {
	t.Helper()
	s := &store.Store{
		Settings: quorum.Settings{ElectionTimeout: 1000, Heartbeat: 20, Voters: 1, BatchBytes: 1 << 20, Seed: 1},
		Self:     quorum.Member{Name: "a", Address: "a:1", Voter: true}, Clock: clock.Start(), Network: noPeers{}, Log: logr.Discard(),
	}
	if err := s.Open("boot"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var g runner.Group
	if err := errors.CombineErrors(s.Start(ctx, &g), s.Bootstrap(ctx, []quorum.Member{s.Self})); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * time.Second); s.Status().Role != quorum.Leader; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("got no leader in 10 s")
		}
	}
	stop := func() {
		cancel()
		g.Wait()
	}
	t.Cleanup(stop)
	return s, stop
}

// TestOrderIsNotSentAfterAPause guards against orders that are sent when another leader may have decided anew.
func TestOrderIsNotSentAfterAPause(t *testing.T) {
	for _, paused := range []bool{false, true} {
		s, stop := startLeader(t)
		received := atomic.Int64{}
		api := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
		defer api.Close()
		b := &Buyer{Self: "a", Clock: s.Clock, Store: s, Cloud: &cloud.Client{Address: api.URL, HTTP: duty.NewClient()}}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		err := b.execute(ctx, state.StopVM, "10.0.0.9:80", func(ctx context.Context, operation string, fence uint64) error {
			ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
				if paused {
					stop()
					time.Sleep((s.Settings.ElectionTimeout/2 + 100).Std())
				}
			}})
			return b.Cloud.Stop(ctx, cloud.StopOrder{Operation: operation, Fence: fence, Address: "10.0.0.9:80"})
		})
		want := int64(1)
		if paused {
			want = 0
		}
		if got := received.Load(); got != want || (err != nil) != paused {
			t.Errorf("paused %v: got %d orders at the cloud and error %v, want %d orders", paused, got, err, want)
		}
	}
}
