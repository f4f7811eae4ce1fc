// Package admin is the client library for a daemon's API for operators and backend servers, with the
// message types of that API.
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

// Paths of the API.
const (
	AnnouncePath = "/swiftbeam/v1/announce"
	SectionsPath = "/v1/config/sections"
	StatusPath   = "/v1/config/status"
	VersionsPath = "/v1/versions"
	WatchPath    = "/v1/versions/watch"
	DumpPath     = "/v1/dump"
)

// Announcement is the state that a backend server reports about once a second. ReclaimInMs is the time
// until its VM is reclaimed.
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

// PutSection is a request to replace a section. Base is the version that the text was made from, zero for
// a new section. Operation is a unique ID of the write, which makes it safe to resend.
type PutSection struct {
	Base      uint64 `json:"base"`
	Operation string `json:"operation"`
	Text      string `json:"text"`
}

// Section is the newest version of a section.
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

// PutAnswer is the response to PutSection, with the new version of the section.
type PutAnswer struct {
	Version uint64 `json:"version"`
}

// Status reports which daemons have the newest configuration in force. InForce is set when all live
// daemons have it.
type Status struct {
	Version uint64         `json:"version"`
	InForce bool           `json:"inForce"`
	Repair  string         `json:"repair"`
	Leader  string         `json:"leader"`
	Daemons []DaemonStatus `json:"daemons"`
}

// DaemonStatus is the status of one daemon.
type DaemonStatus struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Voter   bool   `json:"voter"`
	InForce bool   `json:"inForce"`
	// Live is set if the responding daemon had contact with this one within the lease. A daemon without
	// a valid lease does not serve requests under an old configuration.
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

// Error is the response to a request that failed.
type Error struct {
	Status  int    `json:"-"`
	Kind    string `json:"kind"`
	Message string `json:"message"`
	// Version is the current version of the section after a conflict.
	Version uint64 `json:"version,omitempty"`
}

// Error returns the daemon's message.
func (e *Error) Error() string { return e.Message }

// Client sends requests to one daemon.
type Client struct {
	// Address is a URL such as http://10.0.0.5:7082.
	Address string
	Token   string
	// HTTP is nil for http.DefaultClient.
	HTTP *http.Client
}

// Announce announces a backend server to the daemon.
func (c *Client) Announce(ctx context.Context, a Announcement) error {
	return c.call(ctx, http.MethodPost, AnnouncePath, a, nil)
}

// Put replaces a section and returns its new version.
func (c *Client) Put(ctx context.Context, section string, p PutSection) (uint64, error) {
	var response PutAnswer
	err := c.call(ctx, http.MethodPut, SectionsPath+"/"+url.PathEscape(section), p, &response)
	return response.Version, err
}

// Get returns a section with its text.
func (c *Client) Get(ctx context.Context, section string) (Section, error) {
	var response Section
	err := c.call(ctx, http.MethodGet, SectionsPath+"/"+url.PathEscape(section), nil, &response)
	return response, err
}

// List returns all sections without their texts.
func (c *Client) List(ctx context.Context) (SectionList, error) {
	var response SectionList
	err := c.call(ctx, http.MethodGet, SectionsPath, nil, &response)
	return response, err
}

// Status returns the status of the configuration and of all daemons.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var response Status
	err := c.call(ctx, http.MethodGet, StatusPath, nil, &response)
	return response, err
}

// Moves returns all version moves.
func (c *Client) Moves(ctx context.Context) (MoveList, error) {
	var response MoveList
	err := c.call(ctx, http.MethodGet, VersionsPath, nil, &response)
	return response, err
}

// Dump returns the internal state of one of the daemon's internal services as JSON, or of all of them when
// service is empty.
func (c *Client) Dump(ctx context.Context, service string) (json.RawMessage, error) {
	path := DumpPath
	if service != "" {
		path += "/" + url.PathEscape(service)
	}
	var response json.RawMessage
	err := c.call(ctx, http.MethodGet, path, nil, &response)
	return response, err
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
		return errors.Wrap(err, "send request")
	}
	defer r.Body.Close()
	return readResponse(r, out)
}

func readResponse(r *http.Response, out any) error {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return errors.Wrap(err, "read response")
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
	return errors.Wrap(json.Unmarshal(data, out), "decode response")
}
