// Package admin is the client of a daemon's interface for operators and backend servers, and
// the messages of that interface.
//
//	c := &admin.Client{Address: "http://10.0.0.5:7082", Token: token}
//	version, err := c.Put(ctx, "luthier-model", admin.PutSection{Base: 3, Operation: id, Text: text})
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
)

// Paths of the interface.
const (
	AnnouncePath = "/swiftbeam/v1/announce"
	SectionsPath = "/v1/config/sections"
	StatusPath   = "/v1/config/status"
	VersionsPath = "/v1/versions"
	WatchPath    = "/v1/versions/watch"
	DumpPath     = "/v1/dump"
)

// Announcement is what a backend server says of itself, about once a second.
type Announcement struct {
	Service      string   `json:"service"`
	Version      string   `json:"version"`
	Address      string   `json:"address"`
	Zone         string   `json:"zone"`
	Kind         string   `json:"kind"`
	Incarnation  uint64   `json:"incarnation"`
	Sequence     uint64   `json:"sequence"`
	State        string   `json:"state"`
	Running      int      `json:"running"`
	Waiting      int      `json:"waiting"`
	Slots        int      `json:"slots"`
	ReclaimInMs  int64    `json:"reclaimInMs,omitempty"`
	ChecksFence  bool     `json:"checksFence,omitempty"`
	MachineClass string   `json:"machineClass,omitempty"`
	Reclaimable  bool     `json:"reclaimable,omitempty"`
	Prefixes     []string `json:"prefixes,omitempty"`
}

// PutSection replaces a section. Base is the version that was read, zero for a new section.
// Operation names the write; resending it has no further effect.
type PutSection struct {
	Base      uint64 `json:"base"`
	Operation string `json:"operation"`
	Text      string `json:"text"`
}

// Section is one section at its newest version.
type Section struct {
	Name      string `json:"name"`
	Version   uint64 `json:"version"`
	Owner     string `json:"owner"`
	Operation string `json:"operation"`
	At        string `json:"at"`
	Text      string `json:"text,omitempty"`
}

// SectionList lists the sections without their texts.
type SectionList struct {
	Sections []Section `json:"sections"`
}

// PutAnswer is the version that a write made.
type PutAnswer struct {
	Version uint64 `json:"version"`
}

// Status tells which daemons have the newest configuration in force.
type Status struct {
	Version uint64         `json:"version"`
	InForce bool           `json:"inForce"`
	Repair  string         `json:"repair"`
	Leader  string         `json:"leader"`
	Daemons []DaemonStatus `json:"daemons"`
}

// DaemonStatus is the standing of one daemon.
type DaemonStatus struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Voter   bool   `json:"voter"`
	InForce bool   `json:"inForce"`
	// Live is false when the daemon was silent for longer than its lease; it serves nothing
	// under an old configuration then.
	Live bool `json:"heard"`
}

// Move is the state of one version move.
type Move struct {
	Service  string  `json:"service"`
	From     string  `json:"from"`
	To       string  `json:"to"`
	Stage    string  `json:"stage"`
	Percent  float64 `json:"percent"`
	Reason   string  `json:"reason"`
	Evidence string  `json:"evidence"`
	Started  string  `json:"started"`
	FinishBy string  `json:"finishBy"`
	Ended    bool    `json:"ended"`
	Revision uint64  `json:"revision"`
}

// MoveList lists all version moves.
type MoveList struct {
	Moves []Move `json:"moves"`
}

// Error is the answer to a call that failed.
type Error struct {
	Status  int    `json:"-"`
	Kind    string `json:"kind"`
	Message string `json:"message"`
	// Version is the present version of a section after a conflict.
	Version uint64 `json:"version,omitempty"`
}

// Error returns the daemon's message.
func (e *Error) Error() string { return e.Message }

// Client calls one daemon.
type Client struct {
	// Address is a URL such as http://10.0.0.5:7082.
	Address string
	Token   string
	// HTTP is nil for http.DefaultClient.
	HTTP *http.Client
}

// Announce tells the daemon of a backend server.
func (c *Client) Announce(ctx context.Context, a Announcement) error {
	return c.call(ctx, http.MethodPost, AnnouncePath, a, nil)
}

// Put replaces a section and returns its new version.
func (c *Client) Put(ctx context.Context, section string, p PutSection) (uint64, error) {
	var answer PutAnswer
	err := c.call(ctx, http.MethodPut, SectionsPath+"/"+url.PathEscape(section), p, &answer)
	return answer.Version, err
}

// Get returns a section with its text.
func (c *Client) Get(ctx context.Context, section string) (Section, error) {
	var answer Section
	err := c.call(ctx, http.MethodGet, SectionsPath+"/"+url.PathEscape(section), nil, &answer)
	return answer, err
}

// List returns all sections without their texts.
func (c *Client) List(ctx context.Context) (SectionList, error) {
	var answer SectionList
	err := c.call(ctx, http.MethodGet, SectionsPath, nil, &answer)
	return answer, err
}

// Status returns which daemons have the newest configuration in force.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var answer Status
	err := c.call(ctx, http.MethodGet, StatusPath, nil, &answer)
	return answer, err
}

// Moves returns all version moves.
func (c *Client) Moves(ctx context.Context) (MoveList, error) {
	var answer MoveList
	err := c.call(ctx, http.MethodGet, VersionsPath, nil, &answer)
	return answer, err
}

// Dump returns the state of a service of the daemon as JSON, or of all for an empty name.
func (c *Client) Dump(ctx context.Context, service string) (json.RawMessage, error) {
	path := DumpPath
	if service != "" {
		path += "/" + url.PathEscape(service)
	}
	var answer json.RawMessage
	err := c.call(ctx, http.MethodGet, path, nil, &answer)
	return answer, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode "+path)
		}
		body = bytes.NewReader(data)
	}
	q, err := http.NewRequestWithContext(ctx, method, c.Address+path, body)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	q.Header.Set("Content-Type", "application/json")
	if c.Token != "" {
		q.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	r, err := client.Do(q)
	if err != nil {
		return errors.Wrap(err, "call daemon")
	}
	defer r.Body.Close()
	return readAnswer(r, out)
}

func readAnswer(r *http.Response, out any) error {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if r.StatusCode >= http.StatusMultipleChoices {
		e := &Error{Status: r.StatusCode}
		if json.Unmarshal(data, e) != nil || e.Message == "" {
			e.Message = fmt.Sprintf("daemon answered %d", r.StatusCode)
		}
		return e
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(data, out), "decode answer")
}
