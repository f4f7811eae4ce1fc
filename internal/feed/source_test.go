package feed

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"swiftbeam/internal/enrol"
)

// TestEventsContainWhatFollowersLack publishes and removes records at random, and checks what followers of
// both kinds receive against a list of all records.
func TestEventsContainWhatFollowersLack(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var s Source
	type published struct{ change, announcement uint64 }
	want := make(map[string]published)
	since := map[bool]uint64{}
	for step := range 5000 {
		id := fmt.Sprint("i-", random.IntN(50))
		if random.IntN(10) == 0 {
			s.Remove(id)
			delete(want, id)
			continue
		}
		changed := random.IntN(3) == 0
		s.Publish(&enrol.Record{ID: id, Sequence: uint64(step)}, changed)
		p, known := want[id]
		p.announcement = s.revision
		if changed || !known {
			p.change = s.revision
		}
		want[id] = p
		if random.IntN(4) > 0 {
			continue
		}
		for _, entry := range []bool{false, true} {
			records, revision, _ := s.changesSince(since[entry], entry)
			lacking := 0
			for _, p := range want {
				if entry && p.change > since[entry] || !entry && p.announcement > since[entry] {
					lacking++
				}
			}
			if got := len(records); got != lacking {
				t.Fatalf("step %d, entry %v: got %d records, want %d", step, entry, got, lacking)
			}
			for i := range records {
				if _, ok := want[records[i].ID]; !ok {
					t.Fatalf("step %d, entry %v: got removed record %s", step, entry, records[i].ID)
				}
			}
			since[entry] = revision
		}
	}
}

// BenchmarkChanges measures an event with one changed record by the number of records.
func BenchmarkChanges(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s Source
			for i := range n {
				s.Publish(&enrol.Record{ID: fmt.Sprint("i-", i)}, true)
			}
			_, since, _ := s.changesSince(0, true)
			for i := range b.N {
				s.Publish(&enrol.Record{ID: fmt.Sprint("i-", i%n)}, true)
				_, since, _ = s.changesSince(since, true)
			}
		})
	}
}
