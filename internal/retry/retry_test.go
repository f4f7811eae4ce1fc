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

// TestDecideTable compares what follows every kind of attempt with a golden table.
func TestDecideTable(t *testing.T) {
	var got strings.Builder
	for _, repeatable := range []bool{false, true} {
		for _, ran := range []bool{false, true} {
			for _, begun := range []bool{false, true} {
				for r := Complete; r <= TimedOut; r++ {
					a := Attempt{Repeatable: repeatable, MayHaveRun: ran, ResponseStarted: begun, Result: r}
					fmt.Fprintf(&got, "repeatable %-5v ran before %-5v begun %-5v %-8v -> %v, without another attempt %v\n",
						repeatable, ran, begun, r, Decide(a), Final(a))
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

// TestNoRefusalAfterARun holds every row of the table to the promise that a refusal makes, and
// every request that must not repeat to one run.
func TestNoRefusalAfterARun(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		for _, ran := range []bool{false, true} {
			for _, begun := range []bool{false, true} {
				for r := Complete; r <= TimedOut; r++ {
					a := Attempt{Repeatable: repeatable, MayHaveRun: ran, ResponseStarted: begun, Result: r}
					mayHaveRun := ran || begun || r == Incomplete || r == TimedOut || r == Complete || r == Failed
					action, final := Decide(a), Final(a)
					if mayHaveRun && (action == Refuse || action == RetryOrRefuse || (action == RetryOrFail && final == Refuse)) {
						t.Errorf("%+v: got %v, then %v, want no refusal of a request that may have run", a, action, final)
					}
					ranNow := r == Incomplete || r == TimedOut || r == Complete || r == Failed || begun
					if !repeatable && ranNow && (action == RetryOrRefuse || action == RetryOrFail) {
						t.Errorf("%+v: got %v, want no second run", a, action)
					}
				}
			}
		}
	}
}

// TestBudgetHoldsInEveryWindow plays a storm of failures and looks at all windows.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	b := Budget{Ratio: 0.2, Slack: 5, Window: 10 * clock.Second}
	var arrivals, again []clock.Instant
	for now := clock.Instant(1_000_000); now < 1_060_000; now += 20 {
		b.CountRequest(now)
		arrivals = append(arrivals, now)
		for range 3 {
			if b.Take(now) {
				again = append(again, now)
			}
		}
	}
	count := func(list []clock.Instant, from, to clock.Instant) float64 {
		n := 0.0
		for _, at := range list {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	for from := clock.Instant(1_000_000); from < 1_050_000; from += 250 {
		got := count(again, from, from+10_000)
		// The rule counts the requests of the window or of the one before it.
		requests := max(count(arrivals, from, from+10_000), count(arrivals, from-10_000, from))
		if want := 0.2*requests*17/16 + 5; got > want {
			t.Fatalf("window from %v: got %.0f further attempts, want at most %.0f", from, got, want)
		}
	}
	if len(again) < 500 {
		t.Errorf("got %d further attempts, want at least 500", len(again))
	}
}
