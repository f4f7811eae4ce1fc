package caller

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestClientWithoutAddressesReturnsAnError checks a deployment of which no daemon accepts requests.
func TestClientWithoutAddressesReturnsAnError(t *testing.T) {
	c := &Client{MaxAttempts: 1}
	if _, err := c.Stream(context.Background(), Prompt{Model: "m", Prompt: "p"}, nil); !errors.Is(err, ErrNoAddress) {
		t.Errorf("stream: got error %v, want %v", err, ErrNoAddress)
	}
	if _, err := c.Call(context.Background(), "/deposits", "key", nil); !errors.Is(err, ErrNoAddress) {
		t.Errorf("call: got error %v, want %v", err, ErrNoAddress)
	}
}
