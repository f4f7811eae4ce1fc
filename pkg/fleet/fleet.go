// Package fleet defines the domain types shared by all packages: backend servers, services, routes,
// version moves and client accounts. They are plain data without encodings of their own.
//
//	s := fleet.Service{Name: "luthier-model", Kind: fleet.Engine, Version: "v1"}
package fleet

import "swiftbeam/pkg/clock"

//go:generate ../../.tools/stringer -type=BackendKind,BackendState,Priority -output=enums_string.go

// BackendKind is the kind of interface that a backend server has.
type BackendKind uint8

const (
	Engine BackendKind = iota // a model engine
	Plain                     // a plain HTTP service
)

// BackendState is the state of a backend server. Only a Ready server receives new requests.
type BackendState uint8

// States of a backend server. Within an incarnation a server does not return to an earlier state, except
// that a new announcement renews an Expired lease.
const (
	Ready     BackendState = iota
	Leaving                // it is stopping as planned and finishes its running requests
	Reclaimed              // the cloud takes its VM back at ReclaimAt
	Expired                // its lease has expired
)

// Backend is one incarnation of a backend server. A server that restarts at the same address has a higher
// Incarnation and counts as a new server. Sequence orders the announcements of an incarnation, and
// HeardAt is the time of the last one, UpAt that of an earlier one, at which the server was up.
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
	UpAt         clock.Instant
	ChecksFence  bool
	MachineClass string
	Reclaimable  bool
	// Prefixes are hashes of the prompt prefixes that the server reports as cached.
	Prefixes []uint64
}

// Priority is the urgency of a request; lower values are served first.
type Priority uint8

const (
	Urgent Priority = iota // interactive requests
	Normal                 // short background work
	Bulk                   // long drafts
)

// Service is a model or plain service that operators define and callers use.
type Service struct {
	Name        string
	Kind        BackendKind
	Version     string
	Routes      []Route
	Move        *Move // nil without a version move
	ChecksFence bool
}

// Route is one kind of request to a service, with its own priority, latency targets and timeout.
type Route struct {
	Name     string
	Path     string
	Priority Priority
	// Once is set for routes whose calls run at most once.
	Once             bool
	FirstTokenTarget clock.Duration
	TokenGapTarget   clock.Duration
	Timeout          clock.Duration
}

// Move requests a version move of a service, to be finished by FinishBy.
type Move struct {
	To       string
	FinishBy clock.Instant
	// TrialPercent is the largest share of a route's requests, in percent, that the new version receives
	// in the trial stage.
	TrialPercent int
}

// ClientAccount is an account of callers. It is identified by the SHA-256 of its API key.
type ClientAccount struct {
	Name      string
	KeySHA256 string
	// Share is the weight of the account when capacity is divided among accounts.
	Share int
}

// MachineClass is a kind of VM that the cloud offers.
type MachineClass struct {
	Name     string
	Replicas int
}

// Price is the price of a machine class in one availability zone, in thousandths of the currency unit per
// hour: Reclaimable for spot VMs, OnDemand for VMs that are not reclaimed.
type Price struct {
	Class       string
	Zone        string
	Reclaimable int
	OnDemand    int
}
