package buyer

import (
	"context"
	"encoding/json"
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
	"swiftbeam/internal/roster"
	"swiftbeam/internal/runner"
	"swiftbeam/internal/scale"
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

// TestNewLeaderOrdersNothingAgain guards against VMs that are paid for twice when the leader changes before they announce themselves.
func TestNewLeaderOrdersNothingAgain(t *testing.T) {
	s, _ := startLeader(t)
	for _, section := range [][2]string{
		{"model", `{"kind": "service", "type": "engine", "version": "v1", "routes": [{"name": "quick", "priority": "urgent", "timeout": "30s"}]}`},
		{"capacity", `{"kind": "capacity", "classes": [{"name": "std"}], "floors": [{"service": "model", "replicas": 2}], "prices": [
			{"class": "std", "zone": "porto-a", "reclaimable": 500, "onDemand": 1800},
			{"class": "std", "zone": "porto-b", "reclaimable": 520, "onDemand": 1800}]}`},
	} {
		result, err := s.Propose(t.Context(), state.PutSection{Operation: section[0], Section: section[0], Owner: "o", Text: section[1]})
		if err != nil || result.Code != state.Done {
			t.Fatalf("section %s: got %v %s and error %v, want Done", section[0], result.Code, result.Detail, err)
		}
	}
	ordered := atomic.Int64{}
	api := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var order cloud.StartOrder
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
			t.Error(err)
		}
		ordered.Add(int64(order.Count))
	}))
	defer api.Close()
	for _, leader := range []string{"a", "b"} {
		b := &Buyer{
			Self: leader, Clock: s.Clock, Store: s, Roster: &roster.Roster{}, Log: logr.Discard(), controls: make(map[string]*scale.Controller),
			Cloud: &cloud.Client{Address: api.URL, HTTP: duty.NewClient()},
		}
		for range 2 {
			b.decideAll(t.Context())
		}
		if got := ordered.Load(); got != 4 {
			t.Fatalf("got %d replicas ordered once %s has led, want 4", got, leader)
		}
	}
}
