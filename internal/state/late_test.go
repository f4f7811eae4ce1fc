package state

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// apply applies commands to an empty state and returns it with the result of the last one.
func apply(bodies ...Body) (*State, Result) {
	s := &State{}
	s.Rebuild()
	var last Result
	for i, body := range bodies {
		last = s.Apply(uint64(i+1), Command{Body: body})
	}
	return s, last
}

func seen(at clock.Instant) *clock.Instant { return &at }

// TestLateOrderStartsNoRollout guards against orders that are held up on their way, and are committed after others have had their effect.
func TestLateOrderStartsNoRollout(t *testing.T) {
	order := StartRollout{Service: "s", Target: "v2", At: 1000, FinishBy: 61_000, Seen: seen(0)}
	again := StartRollout{Service: "s", Target: "v2", At: 2000, FinishBy: 62_000, Seen: seen(0)}
	newer := StartRollout{Service: "s", Target: "v3", At: 30_000, FinishBy: 90_000, Seen: seen(2000)}
	end := StepRollout{MoveStep: MoveStep{Service: "s", Version: "v2", Revision: 1, Stage: RolledBack}, At: 9000}
	for _, test := range []struct {
		name   string
		bodies []Body
		code   Code
		target string
		stage  Stage
	}{
		{"sent twice by the store", []Body{order, end, order}, Existing, "v2", RolledBack},
		{"sent again by the operator", []Body{again, end, order}, Stale, "v2", RolledBack},
		{"before a newer one", []Body{again, end, newer, order}, Stale, "v3", Waiting},
		{"while it runs", []Body{again, order}, Existing, "v2", Waiting},
		{"that has seen the end", []Body{again, end, newer}, Done, "v3", Waiting},
	} {
		s, got := apply(test.bodies...)
		if r := s.Rollouts["s"]; got.Code != test.code || r.To != test.target || r.Stage != test.stage {
			t.Errorf("order %s: got %v, version %s in stage %v, want %v, %s in %v", test.name, got.Code, r.To, r.Stage, test.code, test.target, test.stage)
		}
	}
}

// TestLateOrderChangesNoEvacuation guards against orders that are held up on their way and undo later ones.
func TestLateOrderChangesNoEvacuation(t *testing.T) {
	evacuate := EvacuateZone{Zone: "z", At: 1000, Seen: seen(0)}
	again := EvacuateZone{Zone: "z", At: 2000, Seen: seen(0)}
	back := ReturnZone{Zone: "z", At: 5000, Seen: seen(2000)}
	for _, test := range []struct {
		name      string
		bodies    []Body
		code      Code
		evacuated bool
	}{
		{"sent again by the operator", []Body{again, back, evacuate}, Stale, false},
		{"while it holds", []Body{again, evacuate}, Existing, true},
		{"of the return", []Body{again, back, EvacuateZone{Zone: "z", At: 6000, Seen: seen(5000)}, back}, Stale, true},
		{"that has seen the evacuation", []Body{again, back}, Done, false},
	} {
		s, got := apply(test.bodies...)
		if evacuated := s.Evacuations["z"].Evacuated; got.Code != test.code || evacuated != test.evacuated {
			t.Errorf("order %s: got %v, evacuated %v, want %v, %v", test.name, got.Code, evacuated, test.code, test.evacuated)
		}
	}
}
