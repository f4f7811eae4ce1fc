// Package replay runs traces of version moves and compares the results with the expected ones. A
// trace is a file of JSON lines; each line of kind "move" begins a case, and the lines after it
// describe its traffic, faults and events:
//
//	cases, err := replay.Read(file)
//	result := replay.Run(cases[0], replay.Options{})
//	if result.Mismatch() != "" {
//		// the outcome is not the expected one
//	}
//
// The cases use the same classifiers, pacers, evidence and decisions (package moves) as the daemons.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"swiftbeam/internal/fault"
)

// Case is one version move with its traffic and its expected outcome.
type Case struct {
	Name         string  `json:"name"`
	Service      string  `json:"service"`
	FinishInMs   int64   `json:"finishInMs"`
	TrialPercent int     `json:"trialPercent"`
	Daemons      int     `json:"daemons"`
	ReadyOld     int     `json:"readyOld"`
	ReadyNew     int     `json:"readyNew"`
	Expect       string  `json:"expect"`
	Traffic      Traffic `json:"-"`
	Faults       []Fault `json:"-"`
	Events       []Event `json:"-"`
	// Requests are recorded requests that replace generated traffic.
	Requests []Request `json:"-"`
}

// Traffic is a seeded source of requests.
type Traffic struct {
	Seed          uint64   `json:"seed"`
	RatePerSecond float64  `json:"ratePerSecond"`
	ErrorPercent  float64  `json:"errorPercent"`
	Routes        []Source `json:"routes"`
	Accounts      []Source `json:"accounts"`
}

// Source is a route or client account with its fraction of the traffic. Only routes have times,
// tokens and errors of their own.
type Source struct {
	Name         string  `json:"name"`
	Part         float64 `json:"part"`
	FirstTokenMs float64 `json:"firstTokenMs,omitempty"`
	// Spread is the standard deviation of the logarithm of FirstTokenMs; zero means defaultSpread.
	Spread float64 `json:"spread,omitempty"`
	GapMs  float64 `json:"gapMs,omitempty"`
	Tokens int     `json:"tokens,omitempty"`
	// ErrorPercent, if above zero, replaces that of the traffic.
	ErrorPercent float64 `json:"errorPercent,omitempty"`
}

// Fault makes requests to a version fail, makes them slower, or shortens their responses.
type Fault struct {
	// Version is "new" or "old".
	Version string `json:"version"`
	// AfterMs is the time from the start of the move from which the fault applies.
	AfterMs int64 `json:"afterMs,omitempty"`
	// ForMs is how long it applies; zero means to the end.
	ForMs        int64   `json:"forMs,omitempty"`
	ErrorPercent float64 `json:"errorPercent,omitempty"`
	// Slow, if above zero, multiplies the latencies of SlowPercent of the responses, or of all if
	// SlowPercent is zero.
	Slow        float64 `json:"slow,omitempty"`
	SlowPercent float64 `json:"slowPercent,omitempty"`
	// ShortPercent, if above zero, is the length of a response in percent of its usual length.
	ShortPercent int `json:"shortPercent,omitempty"`
	// Route and Account limit the fault to a route or client account; empty means all.
	Route   string `json:"route,omitempty"`
	Account string `json:"account,omitempty"`
	// UnderLoad limits the fault to replicas that run at nearly the load of the old ones.
	UnderLoad bool `json:"underLoad,omitempty"`
}

// Event is a change during a move that the versions do not cause.
type Event struct {
	AtMs int64 `json:"atMs"`
	// Kind is "replicas", "newLeader" or "cancel".
	Kind     string `json:"what"`
	ReadyNew int    `json:"readyNew,omitempty"`
}

// Request is one recorded request with its outcome on either version.
type Request struct {
	AtMs    int64  `json:"atMs"`
	Daemon  int    `json:"daemon"`
	Route   string `json:"route"`
	Account string `json:"account"`
	Draw    uint64 `json:"draw"`
	Old     Answer `json:"old"`
	New     Answer `json:"new"`
}

// Answer is the outcome of a request on one version.
type Answer struct {
	Failed       bool    `json:"failed,omitempty"`
	FirstTokenMs float64 `json:"firstTokenMs,omitempty"`
	GapMs        float64 `json:"gapMs,omitempty"`
	Tokens       int     `json:"tokens,omitempty"`
	// unaffected is set if a fault with SlowPercent applies to the request but spares this response.
	unaffected bool
}

// line is the field that all lines of a trace have.
type line struct {
	Kind string `json:"kind"`
}

// maxLineBytes is the maximum length of a line of a trace.
const maxLineBytes = 1 << 20

// Read returns the cases of a trace. An error in a line names its number.
func Read(r io.Reader) ([]*Case, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var cases []*Case
	for number := 1; lines.Scan(); number++ {
		data := bytes.TrimSpace(lines.Bytes())
		if len(data) == 0 {
			continue
		}
		next, err := readLine(cases, data)
		if err != nil {
			return nil, fault.New(fault.Invalid, "line %d: %v", number, err).Remedy("see docs/operate/traces.md")
		}
		cases = next
	}
	if err := lines.Err(); err != nil {
		return nil, fault.New(fault.Invalid, "trace cannot be read: %v", err).Remedy("keep lines below 1 MiB")
	}
	return cases, nil
}

func readLine(cases []*Case, data []byte) ([]*Case, error) {
	var l line
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, err
	}
	if l.Kind == "move" {
		c := &Case{}
		return append(cases, c), json.Unmarshal(data, c)
	}
	if len(cases) == 0 {
		return nil, fault.New(fault.Invalid, "line of kind %q precedes the first line of kind \"move\"", l.Kind)
	}
	return cases, cases[len(cases)-1].add(l.Kind, data)
}

func (c *Case) add(kind string, data []byte) error {
	switch kind {
	case "traffic":
		return json.Unmarshal(data, &c.Traffic)
	case "fault":
		return appendLine(&c.Faults, data)
	case "event":
		return appendLine(&c.Events, data)
	case "request":
		return appendLine(&c.Requests, data)
	}
	return fault.New(fault.Invalid, "unknown kind %q", kind)
}

func appendLine[T any](list *[]T, data []byte) error {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		return err
	}
	*list = append(*list, v)
	return nil
}

// Write writes cases as a trace.
func Write(w io.Writer, cases []*Case) error {
	out := json.NewEncoder(w)
	for _, c := range cases {
		err := writeLine(out, "move", *c)
		if err == nil {
			err = writeLine(out, "traffic", c.Traffic)
		}
		err = writeLines(out, err, "fault", c.Faults)
		err = writeLines(out, err, "event", c.Events)
		err = writeLines(out, err, "request", c.Requests)
		if err != nil {
			return err
		}
	}
	return nil
}

func writeLines[T any](out *json.Encoder, err error, kind string, list []T) error {
	for _, v := range list {
		if err != nil {
			return err
		}
		err = writeLine(out, kind, v)
	}
	return err
}

// writeLine writes v with its kind as the first field.
func writeLine[T any](out *json.Encoder, kind string, v T) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	head, err := json.Marshal(line{Kind: kind})
	if err != nil {
		return err
	}
	joined := append(append(bytes.TrimSuffix(head, []byte("}")), ','), data[1:]...)
	return out.Encode(json.RawMessage(joined))
}
