// Package cloud is the client of the cloud's published interface: reclaim notices, and orders
// that start and stop VMs.
//
//	c := &cloud.Client{Address: "http://10.0.0.1:80"}
//	notices, err := c.Notices(ctx, after)
//
// The notices of a cloud without a notice interface come from the backend servers' own
// announcements alone.
package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/roster"
	"swiftbeam/internal/runner"
	"swiftbeam/pkg/clock"
)

// Notice says that the VM at an address is taken back.
type Notice struct {
	Sequence uint64 `json:"sequence"`
	Address  string `json:"address"`
	InMs     int64  `json:"inMs"`
}

// NoticeList is the answer to a poll for notices.
type NoticeList struct {
	Notices []Notice `json:"notices"`
}

// StartOrder asks for VMs of a class in an availability zone.
type StartOrder struct {
	Operation   string `json:"operation"`
	Fence       uint64 `json:"fence"`
	Class       string `json:"class"`
	Zone        string `json:"zone"`
	Reclaimable bool   `json:"reclaimable"`
	Service     string `json:"service"`
	Version     string `json:"version"`
	Count       int    `json:"count"`
}

// Client calls the cloud API.
type Client struct {
	Address string
	HTTP    *http.Client
}

// Notices returns the notices with a higher sequence than after.
func (c *Client) Notices(ctx context.Context, after uint64) ([]Notice, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/v1/notices?after=%d", c.Address, after), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build poll")
	}
	r, err := c.HTTP.Do(q)
	if err != nil {
		return nil, errors.Wrap(err, "poll notices")
	}
	defer r.Body.Close()
	var list NoticeList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "decode notices")
	}
	return list.Notices, nil
}

// StopOrder asks for the end of the VM at an address.
type StopOrder struct {
	Operation string `json:"operation"`
	Fence     uint64 `json:"fence"`
	Address   string `json:"address"`
}

// Start orders VMs. A refusal by the cloud is an error.
func (c *Client) Start(ctx context.Context, o StartOrder) error {
	return c.order(ctx, http.MethodPost, o)
}

// Stop ends a VM; its server gets the platform's notice and leaves.
func (c *Client) Stop(ctx context.Context, o StopOrder) error {
	return c.order(ctx, http.MethodDelete, o)
}

func (c *Client) order(ctx context.Context, method string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	q, err := http.NewRequestWithContext(ctx, method, c.Address+"/v1/vms", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build order")
	}
	r, err := c.HTTP.Do(q)
	if err != nil {
		return errors.Wrap(err, "order VMs")
	}
	defer r.Body.Close()
	if r.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("cloud refused the order with %d", r.StatusCode)
	}
	return nil
}

// NoticeWatcher passes reclaim notices on to the roster. It is a service of the runner.
type NoticeWatcher struct {
	Client *Client
	Clock  clock.Clock
	Roster *roster.Roster
}

// Pauses of the watch.
const (
	pollPause   = 250 * clock.Millisecond
	pollTimeout = clock.Second
)

// Start begins to poll.
func (w *NoticeWatcher) Start(ctx context.Context, g *runner.Group) error {
	g.Go(func() { w.run(ctx) })
	return nil
}

func (w *NoticeWatcher) run(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		timeout, cancel := context.WithTimeout(ctx, pollTimeout.Std())
		notices, err := w.Client.Notices(timeout, after)
		cancel()
		if err != nil {
			runner.Pause(ctx, pollPause)
			continue
		}
		for _, n := range notices {
			after = max(after, n.Sequence)
			w.Roster.Reclaim(n.Address, w.Clock.Now().Add(clock.Duration(n.InMs)))
		}
		runner.Pause(ctx, pollPause)
	}
}
