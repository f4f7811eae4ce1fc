package state

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "swiftbeam/internal/repro"
)

// TestStatefulEvacuations guards against repeated or raced orders of operators that are refused, or that change the
// revision of a zone which is as they want it, so that daemons would apply an older order over a newer one.
func TestStatefulEvacuations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &State{}
		evacuated := make(map[string]bool)
		last := uint64(0)
		for index := uint64(1); index < 60; index++ {
			zone := fmt.Sprint("z", rapid.IntRange(0, 3).Draw(t, "zone"))
			wanted := rapid.Bool().Draw(t, "evacuates")
			var body Body = ReturnZone{Zone: zone, At: 7}
			if wanted {
				body = EvacuateZone{Zone: zone, At: 7}
			}
			before := s.Evacuations[zone]
			result := s.Apply(index, Command{Body: body})
			after := s.Evacuations[zone]
			switch changes := evacuated[zone] != wanted; {
			case changes && (result.Code != Done || after.Revision <= last):
				t.Fatalf("change of %s at %d: got %v with revision %d, want Done with one above %d", zone, index, result.Code, after.Revision, last)
			case !changes && (result.Code != Existing || after != before):
				t.Fatalf("repeated order for %s: got %v and %+v, want Existing and %+v", zone, result.Code, after, before)
			}
			evacuated[zone] = wanted
			last = max(last, after.Revision)
			if after.Evacuated != wanted {
				t.Fatalf("%s: got evacuated %v, want %v", zone, after.Evacuated, wanted)
			}
		}
	})
}

// TestReturnedZonesAreBounded guards against records of zones that grow without end, and against an evacuation that is
// dropped with them.
func TestReturnedZonesAreBounded(t *testing.T) {
	s := &State{}
	index := uint64(0)
	apply := func(b Body) {
		index++
		s.Apply(index, Command{Body: b})
	}
	apply(EvacuateZone{Zone: "kept"})
	for i := range 3 * maxReturnedZones {
		zone := fmt.Sprint("z", i)
		apply(EvacuateZone{Zone: zone})
		apply(ReturnZone{Zone: zone})
	}
	if got, want := len(s.Evacuations), maxReturnedZones+1; got != want {
		t.Errorf("records: got %d, want %d", got, want)
	}
	if !s.Evacuations["kept"].Evacuated {
		t.Error("the evacuated zone was dropped")
	}
}
