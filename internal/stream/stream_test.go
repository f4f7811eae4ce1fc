package stream

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "swiftbeam/internal/repro"
)

// TestStatefulMirror sends pieces to a mirror late, twice and out of order, loses the holder,
// and checks that a caller's copy continues from the mirror without gap or repeat.
func TestStatefulMirror(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder := NewRecord(Request{ID: "r"})
		holder.SetHolder("a", 1)
		mirror := Restore(0, holder.Segment(0))
		var pieces []Segment
		var seen []string
		count, acked, forgot := 0, 0, false
		read := func(r *Record) {
			tokens, _, _ := r.poll(len(seen))
			seen = append(seen, tokens...)
		}
		t.Repeat(map[string]func(*rapid.T){
			"generate": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "tokens") {
					holder.Append(fmt.Sprint(count))
					count++
				}
			},
			"send": func(t *rapid.T) { pieces = append(pieces, holder.Segment(rapid.IntRange(0, acked).Draw(t, "first"))) },
			"deliver": func(t *rapid.T) {
				if len(pieces) == 0 {
					t.Skip("nothing to deliver")
				}
				p := rapid.SampledFrom(pieces).Draw(t, "piece")
				if mirror.Merge(0, p) {
					acked = max(acked, p.First+len(p.Tokens))
					holder.Show(acked)
				}
			},
			"read": func(*rapid.T) { read(holder) },
			"restart": func(*rapid.T) {
				// The mirror starts anew from the request alone; later pieces leave a gap.
				mirror, forgot = Restore(0, Segment{Request: holder.Request, Holder: "a", Epoch: 1}), true
			},
			"": func(t *rapid.T) {
				held := mirror.State().Tokens
				forgot = forgot && len(held) < acked
				if !forgot && len(seen) > len(held) {
					t.Fatalf("the caller saw %d tokens, the mirror has %d", len(seen), len(held))
				}
				checkTokens(t, seen)
				checkTokens(t, held)
			},
		})
		if forgot {
			return
		}
		read(mirror)
		for i, token := range mirror.State().Tokens {
			if i >= len(seen) || seen[i] != token {
				t.Fatalf("after the holder's loss the caller has %v, the mirror %v", seen, mirror.State().Tokens)
			}
		}
	})
}

func checkTokens(t *rapid.T, tokens []string) {
	for i, token := range tokens {
		if token != fmt.Sprint(i) {
			t.Fatalf("got token %q at place %d", token, i)
		}
	}
}

func TestRecordEndsOnce(t *testing.T) {
	r := NewRecord(Request{ID: "r"})
	r.Append("a")
	r.End(1, "stop")
	r.Append("b")
	r.Fail(2, "late failure")
	r.Show(9)
	tokens, end, err := r.Next(context.Background(), 0)
	if err != nil || !slices.Equal(tokens, []string{"a"}) {
		t.Errorf("got tokens %v, error %v, want [a]", tokens, err)
	}
	if want := (End{Done: true, Finish: "stop"}); end != want {
		t.Errorf("got end %+v, want %+v", end, want)
	}
}

func TestPieceOfAnEarlierHolderIsRefused(t *testing.T) {
	r := NewRecord(Request{ID: "r"})
	r.Merge(0, Segment{Epoch: 2, Tokens: []string{"x"}, Holder: "b"})
	if r.Merge(0, Segment{Epoch: 1, Tokens: []string{"y", "z"}, Holder: "a"}) {
		t.Error("got a merge of an earlier epoch, want a refusal")
	}
	if got, want := r.State().Holder, "b"; got != want {
		t.Errorf("got holder %q, want %q", got, want)
	}
}
