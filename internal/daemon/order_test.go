package daemon

import (
	"crypto/x509"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestCloudOverTLSIsReached guards against an address with https:// that is refused or called in plain text.
func TestCloudOverTLSIsReached(t *testing.T) {
	s := httptest.NewTLSServer(http.NotFoundHandler())
	defer s.Close()
	response, err := orderClient(s.URL).Get(s.URL)
	if err == nil {
		response.Body.Close()
	}
	if unknown := new(x509.UnknownAuthorityError); !errors.As(err, unknown) {
		t.Errorf("got error %v, want that the certificate of the server is not trusted", err)
	}
}
