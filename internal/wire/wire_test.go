package wire

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"swiftbeam/internal/crash"
	"swiftbeam/internal/enrol"
	"swiftbeam/internal/quorum"
	"swiftbeam/internal/quota"
	_ "swiftbeam/internal/repro"
	"swiftbeam/internal/state"
	"swiftbeam/pkg/clock"
)

// TestStatefulSnapshot applies the same commands to two states and replaces one of them by its decoded
// snapshot at random points. It checks that the encodings of the two states stay equal.
func TestStatefulSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, restored := &state.State{}, &state.State{}
		index := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				index++
				c := state.Command{At: clock.Instant(rapid.IntRange(0, 1<<40).Draw(t, "at")), Body: drawBody(t)}
				decoded, err := DecodeCommand(EncodeCommand(c))
				if err != nil {
					t.Fatal(err)
				}
				direct.Apply(index, c)
				restored.Apply(index, decoded)
			},
			"snapshot": func(t *rapid.T) {
				decoded, err := DecodeState(EncodeState(restored))
				if err != nil {
					t.Fatal(err)
				}
				restored = decoded
			},
			"": func(t *rapid.T) {
				if !bytes.Equal(EncodeState(direct), EncodeState(restored)) {
					t.Fatal("got different encodings of the direct and the restored state, want equal ones")
				}
			},
		})
	})
}

// drawBody returns a random command body with few distinct keys, so that commands often change the same
// record.
func drawBody(t *rapid.T) state.Body {
	drawText := func(name string) string { return fmt.Sprint(rapid.IntRange(0, 3).Draw(t, name)) }
	key := state.OnceKey{Account: "a", Route: "r", Key: drawText("key")}
	switch rapid.IntRange(0, 14).Draw(t, "kind") {
	case 0:
		move := ""
		if rapid.Bool().Draw(t, "moves") {
			move = `, "move": {"to": "v2", "finishBy": "2026-12-24T18:00:00Z"}`
		}
		text := `{"kind": "service", "type": "engine", "version": "v1", "routes": [{"name": "a"}]` + move + `}`
		return state.PutSection{Operation: drawText("operation") + drawText("more"), Section: "s" + drawText("section"), Owner: "o", Base: uint64(rapid.IntRange(0, 3).Draw(t, "base")), Text: text}
	case 1:
		return state.OnceBegin{OnceKey: key, Digest: []byte(drawText("digest")), Request: drawText("request"), Holder: "h"}
	case 2:
		return state.OnceEnd{OnceKey: key, Request: drawText("request"), Outcome: state.OnceOutcome(rapid.IntRange(1, 3).Draw(t, "outcome")), Status: 200, Body: []byte("b"), BodyOmitted: rapid.Bool().Draw(t, "omitted")}
	case 3:
		return state.MoveStep{Service: "s" + drawText("section"), Version: "v2", Revision: uint64(rapid.IntRange(1, 3).Draw(t, "revision")), Stage: state.Stage(rapid.IntRange(0, 6).Draw(t, "stage")), Share: 200, Faults: 3}
	case 4:
		return state.TakeOrder{Operation: drawText("order"), Holder: drawText("holder"), Kind: state.StartVM}
	case 5:
		return state.PutRules{Version: uint64(rapid.IntRange(1, 9).Draw(t, "rules")), Text: []byte(drawText("text"))}
	case 6:
		return state.PutUsage{Number: uint64(rapid.IntRange(1, 99).Draw(t, "window")), Counts: map[string]uint64{"a": uint64(rapid.IntRange(0, 9).Draw(t, "count"))}}
	case 7:
		return state.StartRollout{Service: "s" + drawText("section"), Target: "v" + drawText("version"), At: 100, FinishBy: 12_100, Seen: drawSeen(t)}
	case 8:
		return state.StepRollout{At: 200, Trial: rapid.IntRange(0, 9).Draw(t, "trial"), MoveStep: state.MoveStep{
			Service: "s" + drawText("section"), Version: "v" + drawText("version"), Revision: uint64(rapid.IntRange(1, 3).Draw(t, "revision")),
			Stage: state.Stage(rapid.IntRange(0, 6).Draw(t, "stage")), Share: 200, Faults: 3,
		}}
	case 9:
		return state.RecordCrashes{At: clock.Instant(rapid.IntRange(0, 9000).Draw(t, "crashAt")), Evidence: drawEvidence(t)}
	case 10:
		return state.RecordSpending{Records: []quota.Record{{
			Account: "a" + drawText("account"), At: clock.Instant(rapid.IntRange(0, 90_000).Draw(t, "recordAt")), Spent: []float64{1.5, 0, 7},
		}}}
	case 11:
		return state.EvacuateZone{Zone: "z" + drawText("zone"), By: drawText("operator"), At: 300, Seen: drawSeen(t)}
	case 12:
		return state.ReturnZone{Zone: "z" + drawText("zone"), By: drawText("operator"), At: 400, Seen: drawSeen(t)}
	case 13:
		return state.RecordDepartures{Departures: []state.Departure{
			{At: clock.Instant(rapid.IntRange(0, 300_000).Draw(t, "departedAt")), Server: enrol.Record{
				ID: "i-" + drawText("server"), Born: clock.Instant(rapid.IntRange(0, 3).Draw(t, "born")), State: enrol.Leaving, Sequence: 7,
				Service: "s", Address: "10.0.0.1:80", Zone: "z", Version: "v1", Slots: 4, Spot: rapid.Bool().Draw(t, "spot"),
			}},
			{At: 500, Server: enrol.Record{ID: "i-1", Born: 2, State: enrol.Gone}},
		}}
	}
	return state.EndOrder{Operation: drawText("order"), Fence: uint64(rapid.IntRange(0, 3).Draw(t, "fence")), Done: true}
}

// drawSeen draws the time of the order that another one follows; nil as in commands of earlier builds.
func drawSeen(t *rapid.T) *clock.Instant {
	if rapid.Bool().Draw(t, "earlierBuild") {
		return nil
	}
	seen := clock.Instant(rapid.IntRange(0, 400).Draw(t, "seen"))
	return &seen
}

// drawEvidence returns random evidence on three traits.
func drawEvidence(t *rapid.T) crash.Evidence {
	trait := crash.PartTrait("s", fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "part")))
	sentAt := clock.Instant(rapid.IntRange(0, 9000).Draw(t, "sentAt"))
	if rapid.Bool().Draw(t, "completed") {
		return crash.Evidence{
			Successes: []crash.Success{{Trait: trait, SentAt: sentAt, At: sentAt + 100}},
			Trials:    []crash.Trial{{Trait: trait, Daemon: "entry-1"}},
			Survivors: []crash.Survivor{{Server: fmt.Sprint("i-", rapid.IntRange(0, 99).Draw(t, "survivor")), SeenAt: sentAt + 900}},
		}
	}
	return crash.Evidence{
		Ends: []crash.End{{Service: "s", Server: fmt.Sprint("i-", rapid.IntRange(0, 99).Draw(t, "server")), Daemon: "entry-1", At: sentAt + 50, Runs: []crash.Run{
			{SentAt: sentAt, Suspects: []crash.Suspect{{Trait: trait, Kind: crash.Request, Name: "a"}}},
		}}},
		Traffic: []crash.Traffic{{Service: "s", PerSecond: 100, Completed: uint64(sentAt)}},
	}
}

// FuzzEnvelope checks that decoding arbitrary bytes and encoding what was decoded does not panic.
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

// TestChecksKeepTheirFields guards against fields that the mapping by hand leaves out.
func TestChecksKeepTheirFields(t *testing.T) {
	want := []crash.Check{{Service: "s", Server: "i-1/5", At: 7}}
	if got := ChecksFromPB(ChecksToPB(want)); !slices.Equal(got, want) {
		t.Errorf("checks: got %+v, want %+v", got, want)
	}
}
