package retry

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"swiftbeam/pkg/clock"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestDecideTable compares the action after every kind of attempt with a golden table.
func TestDecideTable(t *testing.T) {
	var got strings.Builder
	for _, repeatable := range []bool{false, true} {
		for _, ranBefore := range []bool{false, true} {
			for _, responseStarted := range []bool{false, true} {
				for r := Complete; r <= TimedOut; r++ {
					a := Attempt{Repeatable: repeatable, MayHaveRun: ranBefore, ResponseStarted: responseStarted, Result: r}
					fmt.Fprintf(&got, "repeatable %-5v ran before %-5v begun %-5v %-8v -> %v, without another attempt %v\n",
						repeatable, ranBefore, responseStarted, r, Decide(a), Final(a))
				}
			}
		}
	}
	if *update {
		if err := os.WriteFile("testdata/table.golden", []byte(got.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("testdata/table.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got.String(), want)
	}
}

// TestNoRefusalAfterARun checks for every kind of attempt that a request that may have run is not
// refused, and that a request that must not be repeated is not sent again after an attempt that may
// have run it.
func TestNoRefusalAfterARun(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		for _, ranBefore := range []bool{false, true} {
			for _, responseStarted := range []bool{false, true} {
				for r := Complete; r <= TimedOut; r++ {
					a := Attempt{Repeatable: repeatable, MayHaveRun: ranBefore, ResponseStarted: responseStarted, Result: r}
					mayHaveRun := ranBefore || responseStarted || r == Incomplete || r == TimedOut || r == Complete || r == Failed
					action, final := Decide(a), Final(a)
					if mayHaveRun && (action == Refuse || action == RetryOrRefuse || (action == RetryOrFail && final == Refuse)) {
						t.Errorf("%+v: got %v, then %v, want no refusal of a request that may have run", a, action, final)
					}
					mayHaveRunNow := r == Incomplete || r == TimedOut || r == Complete || r == Failed || responseStarted
					if !repeatable && mayHaveRunNow && (action == RetryOrRefuse || action == RetryOrFail) {
						t.Errorf("%+v: got %v, want no second run", a, action)
					}
				}
			}
		}
	}
}

// TestBudgetHoldsInEveryWindow requests three further attempts for every request and checks the budget
// in all windows.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	b := Budget{Ratio: 0.2, Slack: 5, Window: 10 * clock.Second}
	var arrivals, attempts []clock.Instant
	for now := clock.Instant(1_000_000); now < 1_060_000; now += 20 {
		b.CountRequest(now)
		arrivals = append(arrivals, now)
		for range 3 {
			if b.Take(now) {
				attempts = append(attempts, now)
			}
		}
	}
	count := func(instants []clock.Instant, from, to clock.Instant) float64 {
		n := 0.0
		for _, at := range instants {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	for from := clock.Instant(1_000_000); from < 1_050_000; from += 250 {
		got := count(attempts, from, from+10_000)
		// The limit counts the requests of the window or of the one before it, whichever is larger.
		requests := max(count(arrivals, from, from+10_000), count(arrivals, from-10_000, from))
		if want := 0.2*requests*17/16 + 5; got > want {
			t.Fatalf("window from %v: got %.0f further attempts, want at most %.0f", from, got, want)
		}
	}
	if len(attempts) < 500 {
		t.Errorf("got %d further attempts, want at least 500", len(attempts))
	}
}
