package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func readAll(t *testing.T) map[string][]*Case {
	t.Helper()
	files, err := filepath.Glob("../../traces/*.trace.jsonl")
	if err != nil || len(files) == 0 {
		t.Fatalf("got no traces (%v)", err)
	}
	all := make(map[string][]*Case)
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			t.Fatal(err)
		}
		cases, err := Read(f)
		f.Close()
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		all[filepath.Base(file)] = cases
	}
	return all
}

// TestTracesEndAsStated replays every move of both deployments: 20 good versions arrive in time,
// 20 bad ones are taken back, and none gets more than 2% of a route before its fault shows.
func TestTracesEndAsStated(t *testing.T) {
	for file, cases := range readAll(t) {
		results := RunAll(cases, Options{})
		for _, r := range results {
			if d := r.Mismatch(); d != "" {
				t.Errorf("%s %s: %s", file, r.Case.Name, d)
			}
			if r.Case.Expect == "rolledBack" && r.Exposure > ExposureTarget {
				t.Errorf("%s %s: got %.2f%% of a route before the fault showed, want at most 2%%", file, r.Case.Name, 100*r.Exposure)
			}
		}
		s := Summarize(results)
		if s.Good < 20 || s.Bad < 20 {
			t.Errorf("%s: got %d good and %d bad moves, want 20 of each", file, s.Good, s.Bad)
		}
	}
}

// TestBadVersionsAreClearedInTime holds the time from the first faulty answer to the last request
// of a bad version to the target.
func TestBadVersionsAreClearedInTime(t *testing.T) {
	for file, cases := range readAll(t) {
		for _, r := range RunAll(cases, Options{}) {
			if r.Case.Expect == "rolledBack" && r.Clearance > ClearanceTarget {
				t.Errorf("%s %s: got %v from the first faulty answer to the last request, want at most %v", file, r.Case.Name, r.Clearance, ClearanceTarget)
			}
		}
	}
}

// TestBadVersionsAreGoneAfterFifty holds the time from the fiftieth faulty answer to the last request
// of a bad version to the same target.
func TestBadVersionsAreGoneAfterFifty(t *testing.T) {
	for file, cases := range readAll(t) {
		for _, r := range RunAll(cases, Options{}) {
			if r.Case.Expect == "rolledBack" && r.After50 > ClearanceTarget {
				t.Errorf("%s %s: got %v from the fiftieth faulty answer to the last request, want at most %v", file, r.Case.Name, r.After50, ClearanceTarget)
			}
		}
	}
}

func TestWrittenTraceReadsBack(t *testing.T) {
	cases := Generate(Deployments[0])
	cases[0].Requests = []Request{{AtMs: 5, Route: "quick", Account: "a", Old: Answer{FirstTokenMs: 100}, New: Answer{Failed: true}}}
	var first, second bytes.Buffer
	if err := Write(&first, cases); err != nil {
		t.Fatal(err)
	}
	again, err := Read(bytes.NewReader(first.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	if err := Write(&second, again); err != nil {
		t.Fatal(err)
	}
	if first.String() != second.String() {
		t.Error("a trace that was read and written again differs")
	}
}

func TestMistakesNameTheLine(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"no JSON", "{\"kind\":\"move\"}\nnonsense\n", "line 2"},
		{"unknown kind", "{\"kind\":\"move\"}\n\n{\"kind\":\"weather\"}\n", "line 3"},
		{"fault before a move", "{\"kind\":\"fault\"}\n", "line 1"},
	}
	for _, test := range tests {
		_, err := Read(strings.NewReader(test.text))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got error %v, want one that names %s", test.name, err, test.want)
		}
	}
}
