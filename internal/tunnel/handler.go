package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"swiftbeam/internal/dial"
)

// Handler opens tunnels for other daemons. The caller authenticates them.
type Handler struct {
	Log    logr.Logger
	Direct dial.Func
	// Known reports whether an address is that of a backend server.
	Known func(address string) bool
	// Stopping reports whether the daemon takes no tunnels any more.
	Stopping func() bool

	open  atomic.Int64
	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
}

// ServeHTTP opens a tunnel to the server that a CONNECT request names.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address := r.Host
	if !h.Known(address) {
		http.Error(w, "not a backend server; tunnels lead to announced servers only", http.StatusForbidden)
		return
	}
	defer h.open.Add(-1)
	if h.open.Add(1) > maxTunnels || h.Stopping() {
		http.Error(w, "no room for tunnels; use another daemon", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), dialTimeout.Std())
	far, err := h.Direct(ctx, "tcp", address)
	cancel()
	if err != nil {
		h.Log.Info("no tunnel for other daemon", "server", address, "error", err.Error())
		http.Error(w, "the server is unreachable", http.StatusBadGateway)
		return
	}
	defer far.Close()
	far = dial.ReportReset(far)
	near, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		h.Log.Error(err, "no tunnel for other daemon", "server", address)
		http.Error(w, "the connection cannot carry a tunnel", http.StatusInternalServerError)
		return
	}
	defer near.Close()
	if !h.register(near, far) {
		return
	}
	defer h.unregister(near, far)
	_ = near.SetDeadline(time.Time{})
	framed := r.Header.Get(framedHeader) != ""
	head := "HTTP/1.1 200 OK\r\n"
	if framed {
		head += framedHeader + ": 1\r\n"
	}
	if _, err := io.WriteString(near, head+"\r\n"); err != nil {
		return
	}
	ended := make(chan struct{}, 2)
	go func() {
		_, _ = io.Copy(far, buffered.Reader)
		ended <- struct{}{}
	}()
	go func() {
		if framed {
			_ = copyFramed(near, far)
		} else {
			_, _ = io.Copy(near, far)
		}
		ended <- struct{}{}
	}()
	// Either end closes both connections, by which the other side notices.
	<-ended
}

// Close ends all tunnels.
func (h *Handler) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	for conn := range h.conns {
		_ = conn.Close()
	}
}

func (h *Handler) register(conns ...net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return false
	}
	if h.conns == nil {
		h.conns = make(map[net.Conn]bool)
	}
	for _, c := range conns {
		h.conns[c] = true
	}
	return true
}

func (h *Handler) unregister(conns ...net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range conns {
		delete(h.conns, c)
	}
}
