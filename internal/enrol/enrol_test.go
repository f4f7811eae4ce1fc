package enrol

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "swiftbeam/internal/repro"
	"swiftbeam/pkg/clock"
)

func ready(id, address string, born clock.Instant, sequence uint64) Record {
	return Record{ID: id, Service: "s", Address: address, Zone: "z", Version: "v1", Slots: 4, Born: born, Sequence: sequence}
}

// TestLateAnnouncements checks which servers are usable after records that arrive late or out of order.
func TestLateAnnouncements(t *testing.T) {
	leaving := ready("a", "x:1", 10, 5)
	leaving.State = Leaving
	tests := []struct {
		name    string
		records []Record
		usable  []string
	}{
		{"ready", []Record{ready("a", "x:1", 10, 1)}, []string{"a"}},
		{"leaving, then a late announcement", []Record{leaving, ready("a", "x:1", 10, 4)}, nil},
		{"leaving, then a newer one that says ready", []Record{leaving, ready("a", "x:1", 10, 6)}, nil},
		{"gone, then a late announcement", []Record{ready("a", "x:1", 10, 1), {ID: "a", State: Gone, Born: 10, Sequence: 1}, ready("a", "x:1", 10, 9)}, nil},
		{"gone before it was known", []Record{{ID: "a", State: Gone, Born: 10}, ready("a", "x:1", 10, 9)}, nil},
		{"started again under its id", []Record{leaving, ready("a", "x:1", 20, 1)}, []string{"a"}},
		{"another server at the address", []Record{ready("a", "x:1", 10, 9), ready("b", "x:1", 20, 1)}, []string{"b"}},
		{"late announcement of the server before", []Record{ready("b", "x:1", 20, 1), ready("a", "x:1", 10, 9)}, []string{"b"}},
		{"silent, then heard again", []Record{ready("a", "x:1", 10, 1), {ID: "a", State: Silent, Born: 10, Sequence: 1, Address: "x:1"}, ready("a", "x:1", 10, 2)}, []string{"a"}},
	}
	for _, test := range tests {
		table := &Table{}
		for _, r := range test.records {
			table.Merge(r)
		}
		var got []string
		for _, r := range ordered(table) {
			if table.Usable(r) {
				got = append(got, r.ID)
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(test.usable) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.usable)
		}
	}
}

// TestPreviousAnnouncement checks at which times announcements show that a server is up: neither a record that turned silent
// does, nor announcements that arrive together, as they may have been late.
func TestPreviousAnnouncement(t *testing.T) {
	table := &Table{}
	steps := []struct {
		at       clock.Instant
		sequence uint64
		state    State
		want     clock.Instant
	}{
		{1000, 1, Ready, 0}, {2200, 2, Ready, 1000}, {3400, 3, Ready, 2200},
		{9000, 3, Silent, 2200},
		{12_000, 4, Ready, 3400}, {12_010, 5, Ready, 3400}, {13_200, 6, Ready, 12_010},
	}
	for _, s := range steps {
		r := ready("a", "x:1", 10, s.sequence)
		r.State, r.HeardAt = s.state, s.at
		table.Merge(r)
		if got := table.ByID["a"].UpAt; got != s.want {
			t.Errorf("announcement %d at %d: got previous %d, want %d", s.sequence, s.at, got, s.want)
		}
	}
	next := ready("a", "x:1", 20, 1)
	next.HeardAt = 14_400
	table.Merge(next)
	if got := table.ByID["a"].UpAt; got != 0 {
		t.Errorf("previous announcement of the next start: got %d, want 0", got)
	}
}

// TestStatefulMergeInAnyOrder merges the same records into two tables in different orders, one of
// them twice. The same servers must be usable in both tables, and the same ones deregistered (Gone).
func TestStatefulMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for range rapid.IntRange(1, 12).Draw(t, "records") {
			// The announcement of a server is a function of its ID, start and sequence; only the core
			// daemons add the states Silent and Gone.
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			born := clock.Instant(rapid.IntRange(1, 3).Draw(t, "born"))
			r := ready(id, fmt.Sprintf("x:%d", (int(born)+int(id[0]))%2), born*10+clock.Instant(id[0]-'a'), uint64(rapid.IntRange(1, 4).Draw(t, "sequence")))
			r.State = rapid.SampledFrom([]State{Ready, Silent, Leaving, Gone}).Draw(t, "state")
			records = append(records, r)
		}
		order := rapid.Permutation(records).Draw(t, "order")
		one, other := &Table{}, &Table{}
		for _, r := range records {
			one.Merge(r)
		}
		for _, r := range append(order, order[0]) {
			other.Merge(r)
		}
		for id, r := range one.ByID {
			o := other.ByID[id]
			if o == nil || o.Born != r.Born || (o.State == Gone) != (r.State == Gone) {
				t.Fatalf("got %+v and %+v from the same records", r, o)
			}
			if one.Usable(r) != other.Usable(o) {
				t.Fatalf("usable: got %v and %v from the same records: %+v and %+v", one.Usable(r), other.Usable(o), r, o)
			}
		}
	})
}

func TestExpire(t *testing.T) {
	table := &Table{}
	r := ready("a", "x:1", 10, 1)
	r.HeardAt = 1000
	table.Merge(r)
	if got := table.Expire(2000, 900); len(got) != 0 {
		t.Errorf("got %v silent, want none", got)
	}
	if got := table.Expire(7000, 2000); len(got) != 1 {
		t.Errorf("got %v silent, want one", got)
	}
	if table.Expire(clock.Instant(RecordRetention)+2000, 0); len(table.ByID) != 0 {
		t.Errorf("got %d records after the tombstone lifetime, want none", len(table.ByID))
	}
}

// ordered returns the records of a table, sorted by ID.
func ordered(t *Table) []*Record {
	return slices.SortedFunc(maps.Values(t.ByID), func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
}
