package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// attempt is one attempt of a client.
type attempt struct {
	id     string
	sentAt time.Time
	status int
	// refused is set if no connection was opened.
	refused    bool
	err        error
	signed     bool
	retryAfter time.Duration
	body       string
}

var attempts atomic.Int64

// send makes an attempt on a connection of its own. The answer is whole if err is nil.
func (f *fleet) send(e *daemon, method, target, key, headers string, wait time.Duration) *attempt {
	a := &attempt{id: fmt.Sprintf("a%015x", attempts.Add(1)), sentAt: time.Now()}
	defer func() {
		outcome := "whole"
		if a.err != nil {
			outcome = a.err.Error()
		}
		f.record.addRequest(target, fmt.Sprintf("answered %d", a.status), "client: %s %s to %s, sent at %.3f: %d, %d bytes, %s", a.id, method+" "+target, e.name, f.record.since(a.sentAt), a.status, len(a.body), outcome)
	}()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", fmt.Sprintf("%s:%d", e.address, callerPort))
	if err != nil {
		a.refused, a.err = true, err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(a.sentAt.Add(wait))
	a.sentAt = time.Now()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n%s", method, target, a.id, wait.Milliseconds(), key, headers)
	if method == http.MethodPost {
		head += "Content-Length: 6\r\n\r\nprompt"
	} else {
		head += "\r\n"
	}
	if _, a.err = io.WriteString(conn, head); a.err != nil {
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.signed = response.StatusCode, response.Header.Get("Replica-Signature") != ""
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	text, err := io.ReadAll(response.Body)
	a.body, a.err = string(text), err
	return a
}

// lastPiece returns the ID of the last event of a stream, and an error if the pieces are not in sequence.
func (a *attempt) lastPiece() (int, error) {
	last := -1
	for line := range strings.SplitSeq(a.body, "\n") {
		text, ok := strings.CutPrefix(line, "id: ")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n != last+1 {
			return last, errors.New("pieces are not in sequence")
		}
		last = n
	}
	return last, nil
}
