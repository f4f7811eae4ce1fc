package member

import (
	"testing"

	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

func server(incarnation, sequence uint64, state fleet.BackendState) fleet.Backend {
	return fleet.Backend{Service: "s", Address: "10.0.0.1:1", Incarnation: incarnation, Sequence: sequence, State: state}
}

func TestMerge(t *testing.T) {
	key := Key{Service: "s", Address: "10.0.0.1:1"}
	tests := []struct {
		name      string
		announced []fleet.Backend
		want      fleet.Backend
	}{
		{"newer sequence wins", []fleet.Backend{server(1, 1, fleet.Ready), server(1, 2, fleet.Ready)}, server(1, 2, fleet.Ready)},
		{"late report is ignored", []fleet.Backend{server(1, 2, fleet.Leaving), server(1, 1, fleet.Ready)}, server(1, 2, fleet.Leaving)},
		{"leaving is not taken back", []fleet.Backend{server(1, 1, fleet.Leaving), server(1, 2, fleet.Ready)}, server(1, 2, fleet.Leaving)},
		{"a restart is a new server", []fleet.Backend{server(1, 9, fleet.Leaving), server(2, 1, fleet.Ready)}, server(2, 1, fleet.Ready)},
		{"the old incarnation stays away", []fleet.Backend{server(2, 1, fleet.Ready), server(1, 9, fleet.Ready)}, server(2, 1, fleet.Ready)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := &Table{Lease: clock.Second}
			for _, b := range test.announced {
				table.merge(0, b)
			}
			got := *table.Backends[key]
			if got.Incarnation != test.want.Incarnation || got.Sequence != test.want.Sequence || got.State != test.want.State {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

func TestForwardedRecordsDoNotExtendLease(t *testing.T) {
	table := &Table{Lease: 1000}
	table.merge(0, server(1, 1, fleet.Ready))
	forwarded := server(1, 1, fleet.Ready)
	forwarded.HeardAt = 900
	table.merge(900, forwarded)
	changes := table.Tick(1001)
	if got, want := len(changes), 1; got != want {
		t.Fatalf("got %d changes at the end of the lease, want %d", got, want)
	}
	if got, want := changes[0].(Removed).Backend.State, fleet.Expired; got != want {
		t.Errorf("got state %v, want %v", got, want)
	}
}
