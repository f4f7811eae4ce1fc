package rules

import (
	"strings"
	"testing"
)

func route(name, host, prefix string, split ...Weight) Route {
	return Route{Name: name, Host: host, Prefix: prefix, Timeout: 1000, Split: split}
}

func TestMatchLongestPrefix(t *testing.T) {
	s := &Set{Services: []Service{{Name: "a"}}, Routes: []Route{
		route("short", "desk.example", "/x/", Weight{"a", 1}), route("long", "desk.example", "/x/y/", Weight{"a", 1}),
		route("other", "other.example", "/x/y/z/", Weight{"a", 1}),
	}}
	if problem := s.Prepare(); problem != "" {
		t.Fatal(problem)
	}
	for _, test := range []struct{ host, path, want string }{
		{"desk.example", "/x/1", "short"}, {"desk.example", "/x/y/1", "long"}, {"desk.example", "/x/y", "short"},
		{"DESK.example:8080", "/x/y/z/1", "long"}, {"other.example", "/x/y/", ""}, {"nobody.example", "/x/", ""}, {"desk.example", "/", ""},
	} {
		got := ""
		if r := s.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("%s%s: got %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestPickServiceWeights(t *testing.T) {
	r := route("split", "h", "/", Weight{"a", 90}, Weight{"b", 10}, Weight{"c", 0})
	counts := map[string]int{}
	for draw := range uint64(1000) {
		counts[r.PickService(draw)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 || counts["c"] != 0 {
		t.Errorf("got %v, want 900 a and 100 b", counts)
	}
}

func TestPrepareErrors(t *testing.T) {
	services := []Service{{Name: "a"}}
	tests := []struct {
		name string
		set  Set
		want string
	}{
		{"unknown service", Set{Services: services, Routes: []Route{route("r", "h", "/", Weight{"b", 1})}}, `unknown service "b"`},
		{"no weight", Set{Services: services, Routes: []Route{route("r", "h", "/", Weight{"a", 0})}}, "add up to 0"},
		{"negative weight", Set{Services: services, Routes: []Route{route("r", "h", "/", Weight{"a", -1})}}, "negative weight"},
		{"no timeout", Set{Services: services, Routes: []Route{{Name: "r", Host: "h", Prefix: "/", Split: []Weight{{"a", 1}}}}}, "no timeout"},
		{"bad prefix", Set{Services: services, Routes: []Route{route("r", "h", "/x", Weight{"a", 1})}}, "begin and end with a slash"},
		{"same place", Set{Services: services, Routes: []Route{route("r", "h", "/x/", Weight{"a", 1}), route("s", "H", "/x/", Weight{"a", 1})}}, "share a host and prefix"},
		{"shared key", Set{Accounts: []Account{{Name: "x", Keys: []string{"k"}}, {Name: "y", Keys: []string{"k"}}}}, "share a key"},
		{"nameless service", Set{Services: []Service{{}}}, "without a name"},
	}
	for _, test := range tests {
		if got := test.set.Prepare(); !strings.Contains(got, test.want) {
			t.Errorf("%s: got %q, want a message with %q", test.name, got, test.want)
		}
	}
}
