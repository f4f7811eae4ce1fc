package valid

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// IsInterim reports whether a status is that of an interim response, which a final one follows. Status 101 is none: it
// answers a request to change the protocol.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// lastStatus is the last status that HTTP defines.
const lastStatus = 599

// CheckStatus returns an error unless a status is that of a final response to a request for no other protocol.
func CheckStatus(status int) error {
	if status >= http.StatusOK && status <= lastStatus {
		return nil
	}
	return errors.Newf("the status %03d is not one of a final response", status)
}
