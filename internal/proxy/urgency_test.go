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
	last := -1
	for account := range 3 {
		for route := range 3 {
			got := urgency(account, route)
			if got <= last || got > maxUrgency {
				t.Errorf("account priority %d, route priority %d: got urgency %d, want more than %d and at most %d", account, route, got, last, maxUrgency)
			}
			last = got
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
