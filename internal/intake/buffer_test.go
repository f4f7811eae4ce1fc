package intake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
)

func chunkedRequest(body string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader(body)))
	r.ContentLength = -1
	return r
}

// TestReusedBuffersLeaveNoOldBytes reads bodies of different bytes, after bodies that were refused.
func TestReusedBuffersLeaveNoOldBytes(t *testing.T) {
	for i := range 200 {
		body := strings.Repeat(fmt.Sprint(i), 100*i)
		got, err := Read(chunkedRequest(body), 1<<20, time.Time{})
		if err != nil || string(got) != body {
			t.Fatalf("body %d: got %d bytes, error %v, want its %d", i, len(got), err, len(body))
		}
		if _, err := Read(chunkedRequest(strings.Repeat("old", shortBytes)), shortBytes, time.Time{}); !errors.Is(err, ErrTooLong) {
			t.Fatalf("long body %d: got error %v, want ErrTooLong", i, err)
		}
	}
}

// TestBrokenBodiesLeaveLittleGarbage guards against buffers that are used once, so that endless bodies of callers outrun the collector.
func TestBrokenBodiesLeaveLittleGarbage(t *testing.T) {
	const bodies = 400
	text := strings.Repeat("x", shortBytes-1)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range bodies {
		r := chunkedRequest("")
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(text), iotest.ErrReader(net.ErrClosed)))
		if _, err := Read(r, 1<<20, time.Time{}); !errors.Is(err, net.ErrClosed) {
			t.Fatalf("got error %v, want net.ErrClosed", err)
		}
	}
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / bodies; got > shortBytes/2 {
		t.Errorf("got %d bytes of garbage for each body, want at most %d", got, shortBytes/2)
	}
}
