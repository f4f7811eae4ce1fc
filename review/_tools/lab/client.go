package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	method, path string
	body         string
	prefix       string
	tokens       string
	deadline     time.Duration
	// check is called with the reply if it is set.
	check func(id string, p reply)
}

// reply is what the client got.
type reply struct {
	id       string
	status   int
	body     string
	signed   bool
	retry    time.Duration
	err      error
	took     time.Duration
	complete bool
}

// newID returns the ID of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one attempt on a new connection to an entry daemon.
func (d *deployment) send(x *daemon, id string, q request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline+time.Second)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	return d.sendOver(ctx, transport, x, id, q)
}

func (d *deployment) sendOver(ctx context.Context, transport http.RoundTripper, x *daemon, id string, q request) reply {
	var body io.Reader
	if q.body != "" {
		body = strings.NewReader(q.body)
	}
	r, err := http.NewRequestWithContext(ctx, q.method, fmt.Sprintf("http://%s:%d%s", x.address, callerPort, q.path), body)
	if err != nil {
		return reply{id: id, err: err}
	}
	r.Host = "desk.example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Token "+key)
	if q.prefix != "" {
		r.Header.Set("Model", "m")
		r.Header.Set("Prefix-Hash", q.prefix)
		r.Header.Set("Token-Count", q.tokens)
	}
	began := time.Now()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return reply{id: id, err: err, took: time.Since(began)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	p := reply{id: id, status: response.StatusCode, body: string(text), signed: response.Header.Get("Replica-Signature") != "", err: err, took: time.Since(began), complete: err == nil}
	var seconds float64
	if _, scanErr := fmt.Sscanf(response.Header.Get("Retry-After"), "%f", &seconds); scanErr == nil {
		p.retry = time.Duration(seconds * float64(time.Second))
	}
	return p
}

func (p *reply) String() string {
	if p.err != nil {
		return fmt.Sprintf("status %d, error %v after %v", p.status, p.err, p.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("status %d, signed %v, %d bytes after %v", p.status, p.signed, len(p.body), p.took.Round(time.Millisecond))
}

// traffic sends sound requests at a rate until stop is called.
type traffic struct {
	sent, served atomic.Int64
	work         sync.WaitGroup
	cancel       context.CancelFunc
}

// startTraffic sends requests that next makes, perSecond a second on average.
func (d *deployment) startTraffic(perSecond float64, next func(i int) request) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{cancel: cancel}
	t.work.Go(func() {
		for i := 0; pause(ctx, time.Duration(rand.ExpFloat64()/perSecond*float64(time.Second))); i++ {
			q := next(i)
			t.work.Go(func() {
				t.sent.Add(1)
				x, id := d.anyEntry(), newID()
				d.note("request %s to %s: %s %s", id, x.name, q.method, q.path)
				p := d.send(x, id, q)
				d.note("request %s: %s", id, &p)
				if p.err == nil && p.status == http.StatusOK && p.signed {
					t.served.Add(1)
				}
				if q.check != nil {
					q.check(id, p)
				}
			})
		}
	})
	return t
}

func (t *traffic) stop() {
	t.cancel()
	t.work.Wait()
}
