// Package cloud is a client for the API of the cloud: notices of VMs that will be reclaimed, and orders
// that start and stop VMs.
//
//	c := &cloud.Client{Address: "http://10.0.0.1:80"}
//	notices, err := c.Notices(ctx, after)
//
// If a cloud has no API for notices, they come only from the announcements of the backend servers.
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
	"swiftbeam/internal/valid"
	"swiftbeam/pkg/clock"
)

// Notice reports that the VM at an address will be reclaimed in InMs milliseconds.
type Notice struct {
	Sequence uint64 `json:"sequence"`
	Address  string `json:"address"`
	InMs     int64  `json:"inMs"`
}

// NoticeList is the response to a request for notices.
type NoticeList struct {
	Notices []Notice `json:"notices"`
}

// StartOrder requests VMs of a class in an availability zone.
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

// Notices returns the notices with a sequence above after.
func (c *Client) Notices(ctx context.Context, after uint64) ([]Notice, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/v1/notices?after=%d", c.Address, after), nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request for notices")
	}
	r, err := c.HTTP.Do(q)
	if err != nil {
		return nil, errors.Wrap(err, "request notices")
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return nil, errors.Newf("request notices: status %d", r.StatusCode)
	}
	var list NoticeList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "decode notices")
	}
	return list.Notices, nil
}

// StopOrder requests that the VM at an address is stopped.
type StopOrder struct {
	Operation string `json:"operation"`
	Fence     uint64 `json:"fence"`
	Address   string `json:"address"`
}

// Start orders VMs. It returns an error if the cloud refuses.
func (c *Client) Start(ctx context.Context, o StartOrder) error {
	return c.order(ctx, http.MethodPost, o)
}

// Stop stops a VM. Its server receives a reclaim notice from the cloud and drains.
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
		return errors.Wrap(err, "build request for an order")
	}
	r, err := c.HTTP.Do(q)
	if err != nil {
		return errors.Wrap(err, "send order to the cloud")
	}
	defer r.Body.Close()
	if err := valid.CheckStatus(r.StatusCode); err != nil {
		return errors.Wrap(err, "order to the cloud")
	}
	if r.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("cloud refused the order with status %d", r.StatusCode)
	}
	return nil
}

// NoticeWatcher polls for notices and passes them to the roster. It is a service of the runner.
type NoticeWatcher struct {
	Client *Client
	Clock  clock.Clock
	Roster *roster.Roster
}

// Interval and timeout of the polling.
const (
	pollInterval = 250 * clock.Millisecond
	pollTimeout  = clock.Second
)

// Start starts the polling.
func (w *NoticeWatcher) Start(ctx context.Context, g *runner.Group) error {
	g.Go(func() { w.poll(ctx) })
	return nil
}

func (w *NoticeWatcher) poll(ctx context.Context) {
	after := uint64(0)
	for ctx.Err() == nil {
		timeout, cancel := context.WithTimeout(ctx, pollTimeout.Std())
		notices, err := w.Client.Notices(timeout, after)
		cancel()
		if err != nil {
			runner.Pause(ctx, pollInterval)
			continue
		}
		for _, n := range notices {
			after = max(after, n.Sequence)
			w.Roster.Reclaim(n.Address, w.Clock.Now().Add(clock.Duration(n.InMs)))
		}
		runner.Pause(ctx, pollInterval)
	}
}
