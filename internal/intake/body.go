package intake

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// shortBytes is the length up to which a body needs no memory of BodyBytes.
	shortBytes = 64 << 10
	// firstBytes is the first buffer of a body whose length is unknown; most are shorter.
	firstBytes = 4 << 10
	// stallTime is the time without progress after which a body gives up its memory to others.
	stallTime = 500 * time.Millisecond
)

// Errors of Read.
var (
	ErrTooLong = errors.New("the body is too long")
	ErrFull    = errors.New("the memory for bodies is used up")
)

// Read reads the body of a request until the deadline; until that of the server if it is zero. The memory is that of the
// limits until the handler returns. After an error the connection must be closed, as the rest of the body was not read.
func Read(r *http.Request, maxBytes int64, deadline time.Time) ([]byte, error) {
	length := r.ContentLength
	if length > maxBytes {
		return nil, ErrTooLong
	}
	if length == 0 {
		return nil, nil
	}
	c := clientOf(r)
	if c != nil {
		if !c.limits.admitBody(c) {
			return nil, net.ErrClosed
		}
		if !deadline.IsZero() {
			_ = c.conn.SetReadDeadline(deadline)
		}
	}
	body, err := read(r.Body, c, length, maxBytes)
	if c == nil {
		return body, err
	}
	if err != nil {
		if c.wasEvicted() {
			err = ErrFull
		}
		if errors.Is(err, ErrFull) {
			c.limits.Refused.Add(1)
		}
		return nil, err
	}
	if !c.limits.received(c) {
		return nil, net.ErrClosed
	}
	if c.wasEvicted() {
		c.limits.Refused.Add(1)
		return nil, ErrFull
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	return body, nil
}

// read reads the body into a buffer that grows as bytes arrive.
func read(r io.Reader, c *client, length, maxBytes int64) (_ []byte, err error) {
	most := maxBytes + 1
	size := int64(firstBytes)
	if length > 0 {
		most = length
		size = shortBytes
	}
	body := newBuffer(min(size, most))
	defer func() {
		if err != nil {
			freeBuffer(body)
		}
	}()
	for {
		if len(body) == cap(body) {
			size := min(2*int64(cap(body)), most)
			counts := c != nil && size > shortBytes
			if counts {
				// The old buffer is in use until it is copied.
				if err := c.take(size + int64(cap(body))); err != nil {
					return nil, err
				}
			}
			grown := append(newBuffer(size), body...)
			freeBuffer(body)
			body = grown
			if counts {
				c.keep(size)
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > maxBytes:
			return nil, ErrTooLong
		case length > 0 && int64(len(body)) == length:
			return body, nil
		case errors.Is(err, io.EOF) && length < 0:
			return body, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// take raises the memory of the client's body to size.
func (c *client) take(size int64) error {
	l := c.limits
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.used-c.share > 0 && l.used+size-c.share > l.BodyBytes {
		stalled := l.stalled(c, now)
		if stalled == nil {
			return ErrFull
		}
		l.used -= stalled.share
		stalled.share, stalled.evicted = 0, true
		delete(l.reading, stalled)
		_ = stalled.conn.SetReadDeadline(now)
	}
	if c.evicted {
		return ErrFull
	}
	l.used += size - c.share
	c.share, c.progress = size, now
	l.reading[c] = true
	return nil
}

// keep lowers the memory of the client's body to size.
func (c *client) keep(size int64) {
	l := c.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.evicted {
		return
	}
	l.used += size - c.share
	c.share = size
}

// stalled returns the body of another client that has made no progress for longest, of those that have made none for
// stallTime; nil if there is none.
func (l *Limits) stalled(c *client, now time.Time) *client {
	var oldest *client
	for other := range l.reading {
		if other != c && now.Sub(other.progress) > stallTime && (oldest == nil || other.progress.Before(oldest.progress)) {
			oldest = other
		}
	}
	return oldest
}

func (c *client) wasEvicted() bool {
	c.limits.mu.Lock()
	defer c.limits.mu.Unlock()
	return c.evicted
}
