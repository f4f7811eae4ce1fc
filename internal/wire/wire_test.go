package wire

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"swiftbeam/internal/quorum"
	_ "swiftbeam/internal/repro"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// TestStatefulSnapshot checks that a state that went through a snapshot at any point ends up
// equal to one that did not, and that equal states have equal bytes.
func TestStatefulSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		straight, restored := &state.State{}, &state.State{}
		index := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				index++
				c := state.Command{At: clock.Instant(rapid.IntRange(0, 1<<40).Draw(t, "at")), Body: drawBody(t)}
				decoded, err := DecodeCommand(EncodeCommand(c))
				if err != nil {
					t.Fatal(err)
				}
				straight.Apply(index, c)
				restored.Apply(index, decoded)
			},
			"snapshot": func(t *rapid.T) {
				again, err := DecodeState(EncodeState(restored))
				if err != nil {
					t.Fatal(err)
				}
				restored = again
			},
			"": func(t *rapid.T) {
				if !bytes.Equal(EncodeState(straight), EncodeState(restored)) {
					t.Fatal("the states differ after a snapshot")
				}
			},
		})
	})
}

func drawBody(t *rapid.T) state.Body {
	word := func(name string) string { return fmt.Sprint(rapid.IntRange(0, 3).Draw(t, name)) }
	key := state.OnceKey{Account: "a", Route: "r", Key: word("key")}
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		move := ""
		if rapid.Bool().Draw(t, "moves") {
			move = `, "move": {"to": "v2", "finishBy": "2026-12-24T18:00:00Z"}`
		}
		text := `{"kind": "service", "type": "engine", "version": "v1", "routes": [{"name": "a"}]` + move + `}`
		return state.PutSection{Operation: word("operation") + word("more"), Section: "s" + word("section"), Owner: "o", Base: uint64(rapid.IntRange(0, 3).Draw(t, "base")), Text: text}
	case 1:
		return state.OnceBegin{OnceKey: key, Digest: []byte(word("digest")), Request: word("request"), Holder: "h"}
	case 2:
		return state.OnceEnd{OnceKey: key, Request: word("request"), Outcome: state.OnceOutcome(rapid.IntRange(1, 3).Draw(t, "outcome")), Status: 200, Body: []byte("b")}
	case 3:
		return state.MoveStep{Service: "s" + word("section"), Version: "v2", Revision: uint64(rapid.IntRange(1, 3).Draw(t, "revision")), Stage: state.Stage(rapid.IntRange(0, 6).Draw(t, "stage")), Share: 200, Faults: 3}
	case 4:
		return state.TakeOrder{Operation: word("order"), Holder: word("holder"), Kind: state.StartVM}
	case 5:
		return state.PutRules{Version: uint64(rapid.IntRange(1, 9).Draw(t, "rules")), Text: []byte(word("text"))}
	case 6:
		return state.PutUsage{Number: uint64(rapid.IntRange(1, 99).Draw(t, "window")), Counts: map[string]uint64{"a": uint64(rapid.IntRange(0, 9).Draw(t, "count"))}}
	case 7:
		return state.StartRollout{Service: "s" + word("section"), Target: "v" + word("version"), At: 100, FinishBy: 12_100}
	case 8:
		return state.StepRollout{At: 200, Trial: rapid.IntRange(0, 9).Draw(t, "trial"), MoveStep: state.MoveStep{
			Service: "s" + word("section"), Version: "v" + word("version"), Revision: uint64(rapid.IntRange(1, 3).Draw(t, "revision")),
			Stage: state.Stage(rapid.IntRange(0, 6).Draw(t, "stage")), Share: 200, Faults: 3,
		}}
	}
	return state.EndOrder{Operation: word("order"), Fence: uint64(rapid.IntRange(0, 3).Draw(t, "fence")), Done: true}
}

func FuzzEnvelope(f *testing.F) {
	f.Add(encode(EnvelopeToPB(quorum.Message{Kind: quorum.Append, Entries: []quorum.Entry{{Index: 1, Term: 1}}})))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if e, err := DecodeEntry(data); err == nil {
			EncodeEntry(e)
		}
		if s, err := DecodeSnapshot(data); err == nil {
			EncodeSnapshot(s)
		}
		_, _ = DecodeState(data)
		_, _ = DecodeCommand(data)
	})
}
