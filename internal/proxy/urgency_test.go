package proxy

import (
	"testing"

	"swiftbeam/internal/rules"
)

// TestRouteOrdersRequestsOfEqualAccounts guards against accounts whose priority hides that of the route: the urgent and the
// least urgent requests of an account then wait at the servers in the order of arrival.
func TestRouteOrdersRequestsOfEqualAccounts(t *testing.T) {
	urgency := func(account, route int) int {
		x := &exchange{route: &rules.Route{Priority: route}}
		if account >= 0 {
			x.account = &rules.Account{Priority: &account}
		}
		return x.baseUrgency()
	}
	for account, wants := range [][]int{{0, 1, 1}, {2, 3, 3}, {4, 5, 5}, {6, 7, 7}, {8, 9, 9}} {
		for route, want := range wants {
			if got := urgency(account, route); got != want {
				t.Errorf("account priority %d, route priority %d: got urgency %d, want %d", account, route, got, want)
			}
		}
	}
	for route, want := range []int{0, 2, 4, 6, 8, 9} {
		if got := urgency(-1, route); got != want {
			t.Errorf("account without a priority, route priority %d: got urgency %d, want %d", route, got, want)
		}
	}
	if got, want := urgency(100, 100), maxUrgency; got != want {
		t.Errorf("priorities out of range: got urgency %d, want %d", got, want)
	}
}
