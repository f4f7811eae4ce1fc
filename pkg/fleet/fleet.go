// Package fleet holds the domain types that all of swiftbeam shares: backend servers, services,
// routes, versions and client accounts. The types are plain data; codecs elsewhere map them.
//
//	s := fleet.Service{Name: "luthier-model", Kind: fleet.Engine, Version: "v1"}
package fleet

import "swiftbeam/pkg/clock"

//go:generate ../../.tools/stringer -type=BackendKind,BackendState,Priority -output=enums_string.go

// BackendKind tells what interface a backend server offers.
type BackendKind uint8

// Kinds of backend servers.
const (
	Engine BackendKind = iota // a model engine
	Plain                     // a plain HTTP service
)

// BackendState tells whether a backend server may receive work.
type BackendState uint8

// States of a backend server. Later states never turn back into earlier ones for the same
// incarnation.
const (
	Ready     BackendState = iota
	Leaving                // it stops on its own plan and finishes what it has
	Reclaimed              // its VM is taken back at ReclaimAt
	Expired                // its lease has run out
)

// Backend is one backend server in one incarnation. A server that restarts at the same address
// has a higher Incarnation and is a new one.
type Backend struct {
	Service      string
	Version      string
	Address      string
	Zone         string
	Kind         BackendKind
	Incarnation  uint64
	Sequence     uint64
	State        BackendState
	Running      int
	Waiting      int
	Slots        int
	ReclaimAt    clock.Instant
	HeardAt      clock.Instant
	ChecksFence  bool
	MachineClass string
	Reclaimable  bool
	// Prefixes are hashes of the prompt prefixes that the server reported as cached.
	Prefixes []uint64
}

// Priority orders requests of different urgency; a lower value goes first.
type Priority uint8

// Priorities.
const (
	Urgent Priority = iota // quick answers
	Normal                 // short background work
	Bulk                   // long drafts
)

// Service is what operators create and callers reach.
type Service struct {
	Name        string
	Kind        BackendKind
	Version     string
	Routes      []Route
	Move        *Move
	ChecksFence bool
}

// Route is one way to call a service, with its own targets.
type Route struct {
	Name     string
	Path     string
	Priority Priority
	// Once is set for routes whose calls must not be repeated.
	Once             bool
	FirstTokenTarget clock.Duration
	TokenGapTarget   clock.Duration
	Timeout          clock.Duration
}

// Move asks to take a service to another version by a set time.
type Move struct {
	To       string
	FinishBy clock.Instant
	// TrialPercent is the largest share of a route's requests before the new version is proven.
	TrialPercent int
}

// ClientAccount is a caller with its share of the capacity.
type ClientAccount struct {
	Name      string
	KeySHA256 string
	// Share is the weight of the account against all others.
	Share int
}

// MachineClass is a kind of VM that the cloud offers.
type MachineClass struct {
	Name     string
	Replicas int
}

// Price is the price of a machine class in one availability zone, in thousandths of the
// currency unit for an hour.
type Price struct {
	Class       string
	Zone        string
	Reclaimable int
	OnDemand    int
}
