package spans

import (
	"testing"

	"swiftbeam/pkg/clock"
)

// TestUsual guards against an estimate from too few requests, from requests of long ago, or of a single slow one.
func TestUsual(t *testing.T) {
	repeat := func(n int, d clock.Duration) []clock.Duration {
		list := make([]clock.Duration, n)
		for i := range list {
			list[i] = d
		}
		return list
	}
	for _, test := range []struct {
		name  string
		took  []clock.Duration
		want  clock.Duration
		known bool
	}{
		{"none", nil, 0, false},
		{"too few", repeat(minKnown-1, 50), 0, false},
		{"enough", append(repeat(minKnown-1, 50), 70), 70, true},
		{"one slow request", append(repeat(size-1, 50), 4000), 50, true},
		{"a tenth is slow", append(repeat(size-4, 50), repeat(4, 4000)...), 4000, true},
		{"slow ones of long ago", append(repeat(size, 4000), repeat(size, 50)...), 50, true},
	} {
		var r Recent
		for _, d := range test.took {
			r.Add(d)
		}
		if got, known := r.Usual(); got != test.want || known != test.known {
			t.Errorf("%s: got %v, known %v, want %v, %v", test.name, got, known, test.want, test.known)
		}
	}
}
