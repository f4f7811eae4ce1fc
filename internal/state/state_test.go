package state

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "swiftbeam/internal/repro"
	"swiftbeam/pkg/clock"
)

const plainSection = `{"kind": "service", "type": "plain", "version": "v1", "routes": [{"name": "a", "path": "/%s"}]%s}`

// TestStatefulState applies random commands and checks after each one that versions and fencing
// numbers rise, that an operation takes effect once, that a call has one outcome, and that services do
// not share a path.
func TestStatefulState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateModel{results: map[string]Result{}, outcomes: map[OnceKey]OnceRecord{}}
		t.Repeat(map[string]func(*rapid.T){
			"put": m.put, "begin": m.begin, "end": m.end, "order": m.order,
			"time": func(t *rapid.T) { m.now = m.now.Add(clock.Duration(rapid.IntRange(0, 100_000).Draw(t, "time"))) },
			"":     m.check,
		})
	})
}

type stateModel struct {
	state    State
	now      clock.Instant
	version  uint64
	fence    uint64
	results  map[string]Result
	outcomes map[OnceKey]OnceRecord
}

func (m *stateModel) apply(b Body) Result {
	return m.state.Apply(m.state.Applied+1, Command{At: m.now, Body: b})
}

func (m *stateModel) put(t *rapid.T) {
	name := rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "section")
	path := rapid.SampledFrom([]string{name, name, "one", "shared"}).Draw(t, "path")
	p := PutSection{
		Operation: fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "operation")), Section: name, Owner: "o",
		Base: uint64(rapid.IntRange(0, 4).Draw(t, "base")), Text: fmt.Sprintf(plainSection, path, ""),
	}
	before := m.state.Version
	got := m.apply(p)
	if want, done := m.results[p.Operation]; done {
		if got != want || m.state.Version != before {
			t.Fatalf("repeated operation %s: got %+v, want %+v and no change of the state", p.Operation, got, want)
		}
		return
	}
	m.results[p.Operation] = got
	if got.Code == Done && (got.Version != p.Base+1 || m.state.Version != before+1) {
		t.Fatalf("got section version %d from base %d, want base+1 and one new state version", got.Version, p.Base)
	}
	if got.Code != Done && m.state.Version != before {
		t.Fatalf("a write with result %v changed the state version", got.Code)
	}
}

func (m *stateModel) key(t *rapid.T) OnceKey {
	return OnceKey{Account: "a", Route: "r", Key: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))}
}

func (m *stateModel) begin(t *rapid.T) {
	b := OnceBegin{
		OnceKey: m.key(t), Digest: []byte{byte(rapid.IntRange(0, 1).Draw(t, "body"))},
		Request: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "request")), Holder: "h",
	}
	old := m.state.Once[b.OnceKey]
	var previous OnceRecord
	if old != nil {
		previous = *old
	}
	got := m.apply(b)
	if got.Code != Done || old == nil {
		return
	}
	same := previous.Request == b.Request && previous.Outcome == Pending
	if !same && previous.Outcome != NotRun {
		t.Fatalf("got a second right to run call %v in outcome %v, want none", b.OnceKey, previous.Outcome)
	}
}

func (m *stateModel) end(t *rapid.T) {
	m.apply(OnceEnd{
		OnceKey: m.key(t), Request: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "request")),
		Outcome: OnceOutcome(rapid.IntRange(1, 3).Draw(t, "outcome")), Status: rapid.IntRange(200, 500).Draw(t, "status"),
	})
}

func (m *stateModel) order(t *rapid.T) {
	b := TakeOrder{Operation: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "order")), Holder: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "holder"))}
	var previous Order
	if o := m.state.Orders[b.Operation]; o != nil {
		previous = *o
	}
	got := m.apply(b)
	if got.Code == Done && previous.Holder != b.Holder && got.Fence <= m.fence {
		t.Fatalf("got fencing number %d for a new holder, want above %d", got.Fence, m.fence)
	}
	m.fence = max(m.fence, got.Fence)
	if rapid.Bool().Draw(t, "end") {
		ended := m.apply(EndOrder{Operation: b.Operation, Fence: previous.Fence})
		if ended.Code == Done && previous.Fence != got.Fence {
			t.Fatalf("an order was ended with fencing number %d, want %d", previous.Fence, got.Fence)
		}
	}
}

func (m *stateModel) check(t *rapid.T) {
	if m.state.Version < m.version {
		t.Fatalf("got state version %d after %d, want versions to rise", m.state.Version, m.version)
	}
	m.version = m.state.Version
	for key, r := range m.state.Once {
		if old, known := m.outcomes[key]; known && old.Outcome == Answered && m.now.Sub(old.At) < CallRetention {
			if r.Outcome != Answered || r.Status != old.Status {
				t.Fatalf("the recorded response of call %v changed from %+v to %+v", key, old, *r)
			}
		}
		m.outcomes[key] = *r
	}
	paths := map[string]string{}
	for name, s := range m.state.Document.Services {
		for _, r := range s.Routes {
			if other, found := paths[r.Path]; found {
				t.Fatalf("services %s and %s share the path %s", name, other, r.Path)
			}
			paths[r.Path] = name
		}
	}
}

// TestWithdrawnVersionsAreNotKept starts one rollout after another. Later rollouts must not keep the
// servers of a version that was rolled back, until a rollout of that version finishes.
func TestWithdrawnVersionsAreNotKept(t *testing.T) {
	s := &State{}
	apply := func(b Body) { s.Apply(1, Command{At: 100, Body: b}) }
	step := func(version string, stage Stage) {
		apply(StepRollout{MoveStep: MoveStep{Service: "s", Version: version, Revision: s.Rollouts["s"].Revision, Stage: stage, Share: FullShare}})
	}
	checkKeeps := func(want map[string]bool) {
		t.Helper()
		for version, want := range want {
			if got := s.Rollouts["s"].Keeps(version); got != want {
				t.Errorf("rollout of %s in stage %v: got Keeps(%s) %v, want %v", s.Rollouts["s"].To, s.Rollouts["s"].Stage, version, got, want)
			}
		}
	}
	apply(StartRollout{Service: "s", Target: "v2"})
	checkKeeps(map[string]bool{"v1": true, "v2": false})
	step("v2", RolledBack)
	checkKeeps(map[string]bool{"v1": true, "v2": false})
	apply(StartRollout{Service: "s", Target: "v3"})
	checkKeeps(map[string]bool{"v1": true, "v2": false, "v3": false})
	step("v3", Finished)
	checkKeeps(map[string]bool{"v1": false, "v2": false, "v3": true})
	apply(StartRollout{Service: "s", Target: "v2"})
	checkKeeps(map[string]bool{"v1": true, "v2": false, "v3": true})
	step("v2", Finished)
	checkKeeps(map[string]bool{"v2": true, "v3": false})
}
