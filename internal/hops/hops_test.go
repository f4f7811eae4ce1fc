package hops

import (
	"reflect"
	"testing"

	"swiftbeam/internal/detour"
)

func TestRequestIsDecodedAsItWasEncoded(t *testing.T) {
	for _, want := range []Request{
		{From: "entry-1", Service: "engine", Remaining: 1500, After: -1},
		{From: "entry-1", Service: "engine&x=1", Account: "atelier, o&=%", Remaining: 1, Urgency: 9, After: 0, Versions: []string{"v1"}, Avoid: []string{"i-1", "i-2"}},
		{Nonce: "1y2p0ij32e8e7", From: "e", Service: "s", After: 12, Versions: []string{"v1", "v2"}},
		{From: "e", Service: "s", After: -1, AvoidZones: []string{"porto a", "b&c"}},
	} {
		got, err := ParseRequest(want.Encode())
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%q: got %+v, error %v, want %+v", want.Encode(), got, err, want)
		}
	}
}

func TestResponseIsDecodedAsItWasEncoded(t *testing.T) {
	for _, want := range []Response{
		{Outcome: detour.Answered, Server: "i-1", Version: "v1", Wait: 12, Cached: 800},
		{Outcome: detour.Broken, Server: "i-1"},
		{Outcome: detour.NoServer, RetryAfter: 1200},
		{Outcome: detour.NoRoom},
		{Outcome: detour.Unreached, Nonce: "1y2p0ij32e8e7"},
	} {
		got, err := ParseResponse(want.Encode())
		if err != nil || got != want {
			t.Errorf("%q: got %+v, error %v, want %+v", want.Encode(), got, err, want)
		}
	}
}

func TestInvalidHeadersAreErrors(t *testing.T) {
	for _, text := range []string{"", "%zz", "service=a", "remainingMs=5&urgency=0", "service=a&remainingMs=x&urgency=0", "service=a&remainingMs=5&urgency=0&after=x"} {
		if got, err := ParseRequest(text); err == nil {
			t.Errorf("request %q: got %+v, want an error", text, got)
		}
	}
	for _, text := range []string{"", "outcome=Failed", "outcome=Elsewhere", "outcome=Answered&server=i-1&waitMs=x"} {
		if got, err := ParseResponse(text); err == nil {
			t.Errorf("response %q: got %+v, want an error", text, got)
		}
	}
}
