package engine

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"swiftbeam/internal/ports"
)

// serveOnce answers each request with the given bytes and closes the connection, with a reset if reset is set.
func serveOnce(t *testing.T, response string, reset bool) string {
	t.Helper()
	address, err := ports.Serve(t.Context(), func(conn *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = fmt.Fprint(conn, response)
		}
		if reset {
			// The bytes arrive before the reset.
			time.Sleep(20 * time.Millisecond)
			_ = conn.SetLinger(0)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// TestEngineStreamsCountAsCompleteOnlyWithTheirEnd ends streams of engines in different ways and framings. Only one
// with a finish reason of a complete answer and the end marker is complete.
func TestEngineStreamsCountAsCompleteOnlyWithTheirEnd(t *testing.T) {
	const (
		token  = `data: {"id":"x","choices":[{"index":0,"text":"a"}]}` + "\n\n"
		finish = `data: {"id":"x","choices":[{"index":0,"text":"","finish_reason":"stop"}]}` + "\n\n"
		usage  = `data: {"id":"x","choices":[],"usage":{"completion_tokens":1}}` + "\n\n"
		done   = "data: [DONE]\n\n"
	)
	finishWith := func(reason string) string { return strings.Replace(finish, "stop", reason, 1) }
	bodies := []struct {
		name, body string
		complete   bool
	}{
		{"complete", token + finish + done, true},
		{"usage after the finish", token + finish + usage + done, true},
		{"finish with the last token", strings.Replace(token, `"a"`, `"a","finish_reason":"length"`, 1) + done, true},
		{"line ends of two bytes", strings.ReplaceAll(token+finish+done, "\n", "\r\n"), true},
		{"bytes after the end marker", token + finish + done + token, true},
		{"exported", token + finishWith("exported") + done, true},
		{"empty", "", false},
		{"between events", token, false},
		{"inside an event", token + `data: {"choices":[{"te`, false},
		{"inside the name of a field", token + "da", false},
		{"inside the end marker", token + finish + "data: [DONE]\n", false},
		{"no end marker", token + finish, false},
		{"no finish reason", token + done, false},
		{"finish reason error", token + finishWith("error") + done, false},
		{"finish reason abort", token + finishWith("abort") + done, false},
		{"unknown finish reason", token + finishWith("paused") + done, false},
		{"error event", token + "event: error\ndata: {}\n\n" + finish + done, false},
		{"error in an event", token + `data: {"error":{"message":"out of memory"}}` + "\n\n" + finish + done, false},
		{"event that is no JSON", token + "data: x\n\n" + finish + done, false},
		{"token after the finish reason", token + finish + token + done, false},
		{"tool calls", token + `data: {"choices":[{"index":0,"delta":{"tool_calls":[{"index":0}]}}]}` + "\n\n" + finishWith("tool_calls") + done, false},
		{"finish reason tool_calls", token + finishWith("tool_calls") + done, false},
		{"no tool calls", token + `data: {"choices":[{"index":0,"delta":{"tool_calls":[],"function_call":null}}]}` + "\n\n" + finish + done, true},
		{"second choice", token + `data: {"choices":[{"index":1,"text":"b"}]}` + "\n\n" + finish + done, false},
		{"text of another kind", "<html>not a stream</html>", false},
		{"answer without a stream", `{"id":"x","choices":[{"index":0,"text":"a","finish_reason":"stop"}]}`, false},
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	framings := []struct {
		name  string
		frame func(body string) string
		reset bool
	}{
		{"chunked", func(b string) string {
			if b != "" {
				b = fmt.Sprintf("%x\r\n%s\r\n", len(b), b)
			}
			return head + "Transfer-Encoding: chunked\r\n\r\n" + b + "0\r\n\r\n"
		}, false},
		{"chunked without the last chunk", func(b string) string {
			return head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(b), b)
		}, false},
		{"length", func(b string) string { return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(b), b) }, false},
		{"length that is too long", func(b string) string {
			return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(b)+100, b)
		}, false},
		{"until the connection ends", func(b string) string { return head + "\r\n" + b }, false},
		{"until a reset", func(b string) string { return head + "\r\n" + b }, true},
	}
	for _, body := range bodies {
		for _, framing := range framings {
			t.Run(body.name+"/"+framing.name, func(t *testing.T) {
				address := serveOnce(t, framing.frame(body.body), framing.reset)
				c := &Client{HTTP: NewHTTPClient(nil)}
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				var tokens []string
				end, err := c.Stream(ctx, address, Call{Body: []byte("{}")}, func(token string) { tokens = append(tokens, token) })
				if (err == nil) != body.complete || ctx.Err() != nil {
					t.Errorf("got end %+v, error %v, tokens %q; want a complete answer: %v", end, err, tokens, body.complete)
				}
				if body.complete && strings.Join(tokens, "") != "a" {
					t.Errorf("got tokens %q, want one", tokens)
				}
			})
		}
	}
}

// TestEngineAnswersWithoutAStreamAreErrors answers a call with statuses that promise a success or another place.
func TestEngineAnswersWithoutAStreamAreErrors(t *testing.T) {
	for _, status := range []string{"200 OK", "202 Accepted", "204 No Content", "206 Partial Content", "302 Found", "304 Not Modified", "404 Not Found", "421 Misdirected Request", "503 Unavailable"} {
		t.Run(status, func(t *testing.T) {
			address := serveOnce(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n", false)
			c := &Client{HTTP: NewHTTPClient(nil)}
			if end, err := c.Stream(t.Context(), address, Call{Body: []byte("{}")}, func(string) {}); err == nil {
				t.Errorf("got end %+v without an error, want an error", end)
			}
		})
	}
}

// TestEngineAnswersCutInTheirHeadAreErrors guards against an engine that closed its connection at any byte of the head and
// whose answer passes for a stream without tokens.
func TestEngineAnswersCutInTheirHeadAreErrors(t *testing.T) {
	for _, framing := range []string{"Content-Length: 500", "Transfer-Encoding: chunked", "Connection: close"} {
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n\r\n"
		for at := range len(head) + 1 {
			for _, reset := range []bool{false, true} {
				if reset && at%8 > 0 {
					continue
				}
				address := serveOnce(t, head[:at], reset)
				c := &Client{HTTP: NewHTTPClient(nil)}
				if end, err := c.Stream(t.Context(), address, Call{Body: []byte("{}")}, func(string) {}); err == nil {
					t.Errorf("%s, cut at %d, reset %t: got end %+v without an error, want an error", framing, at, reset, end)
				}
			}
		}
	}
}

// TestStatusesThatHTTPDoesNotDefineAreErrors answers with a whole stream under statuses that no final response has.
func TestStatusesThatHTTPDoesNotDefineAreErrors(t *testing.T) {
	const stream = `data: {"choices":[{"index":0,"text":"a","finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"
	for _, status := range []string{"000", "001", "099", "+20", "101", "600", "999"} {
		address := serveOnce(t, "HTTP/1.1 "+status+" Odd\r\nContent-Type: text/event-stream\r\n\r\n"+stream, false)
		c := &Client{HTTP: NewHTTPClient(nil)}
		end, err := c.Stream(t.Context(), address, Call{Body: []byte("{}")}, func(token string) { t.Errorf("status %s: got token %q, want none", status, token) })
		if err == nil || !end.Sent {
			t.Errorf("status %s: got end %+v, error %v, want an error of a call that was sent", status, end, err)
		}
		var refusal *StatusError
		if errors.As(err, &refusal) && refusal.Refused() {
			t.Errorf("status %s: got error %v, which promises that the call was not run", status, err)
		}
		if err := c.Cancel(t.Context(), address, "r"); err == nil {
			t.Errorf("status %s: got no error of a cancellation, want one", status)
		}
	}
}
