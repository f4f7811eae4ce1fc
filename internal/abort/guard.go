package abort

import (
	"context"
	"net"
	"net/http"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// Guard has the connections of callers with HTTP/1.0 reset if the process or the server ends before their handlers have
// returned. Handlers flush what they write to them, or give its length.
func Guard(server *http.Server) {
	next := server.Handler
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		conn, _ := r.Context().Value(connKey{}).(net.Conn)
		// The kernel closes the connections of a process that was killed, too, as their linger time says.
		setLinger(conn, 0)
		next.ServeHTTP(w, r)
		setLinger(conn, -1)
	})
}
