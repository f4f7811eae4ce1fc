package intake

import (
	"log"
	"strings"
	"time"
)

// logPause is the least time between two lines of a kind.
const logPause = time.Second

// line is a kind of line in the log.
type line uint8

const (
	closedLine line = iota // a connection was closed for another one
	busyLine               // a request was refused, as too many are running
	serverLine             // an error of a server that no handler sees
	lineKinds
)

// mayLog reports whether a line of a kind is to be written now. The caller holds the lock.
func (l *Limits) mayLog(kind line) bool {
	now := time.Now()
	if now.Sub(l.loggedAt[kind]) < logPause {
		return false
	}
	l.loggedAt[kind] = now
	return true
}

// errorLog returns the log of a server's own errors, such as handshakes of TLS that fail, of which clients cause as many as
// they like.
func (l *Limits) errorLog() *log.Logger { return log.New(errorLines{l}, "", 0) }

type errorLines struct{ limits *Limits }

// Write counts an error and writes it to the log, at most one each logPause.
func (e errorLines) Write(text []byte) (int, error) {
	l := e.limits
	l.mu.Lock()
	count, isLogged := l.ServerErrors.Add(1), l.mayLog(serverLine)
	l.mu.Unlock()
	if isLogged {
		l.Log.Info("connection failed", "error", strings.TrimSpace(string(text)), "errors", count)
	}
	return len(text), nil
}
