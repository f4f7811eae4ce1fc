package detour

import "testing"

func TestLeastUrgentRequestsLoseRoomFirst(t *testing.T) {
	r := &Room{}
	for r.Take(leastUrgent, 0) {
	}
	if got, want := r.Requests(), maxRequests/2; got != want {
		t.Errorf("least urgent requests: got %d, want %d", got, want)
	}
	for r.Take(0, 0) {
	}
	if got, want := r.Requests(), maxRequests; got != want {
		t.Errorf("requests: got %d, want %d", got, want)
	}
	r.Release(0)
	if !r.Take(0, 0) || r.Take(0, 0) {
		t.Error("after a release: want room for exactly one request")
	}
}

func TestBodiesAreBounded(t *testing.T) {
	r := &Room{}
	if !r.Take(0, maxBodyBytes) || r.Take(0, 1) {
		t.Error("want room for bodies of maxBodyBytes together")
	}
	r.Release(maxBodyBytes)
	if !r.Take(0, 1) {
		t.Error("want room after the release")
	}
}

func TestBusyProcessorTakesNothing(t *testing.T) {
	r := &Room{}
	for range 20 {
		r.ObserveLag(60)
	}
	if r.Take(leastUrgent, 0) {
		t.Error("got room for the least urgent request at a lag of 60 ms, want none")
	}
	if !r.Take(0, 0) {
		t.Error("got no room for the most urgent request at a lag of 60 ms, want some")
	}
	for range 20 {
		r.ObserveLag(300)
	}
	if r.Take(0, 0) {
		t.Error("got room at a lag of 300 ms, want none")
	}
	for range 30 {
		r.ObserveLag(0)
	}
	if !r.Take(leastUrgent, 0) {
		t.Error("got no room after the lag has ended, want some")
	}
}
