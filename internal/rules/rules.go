// Package rules holds the operators' traffic rules in the form that the data path reads: which
// service a request goes to, who may send it, and within which limits.
//
//	set := &rules.Set{Version: 7, Routes: routes, Services: services, Accounts: accounts}
//	if problem := set.Prepare(); problem != "" {
//		// refuse the rules; problem says what to mend
//	}
//	route := set.Match("desk.example", "/drafts/41")
//
// A prepared set is never changed, so that all requests may read it without a lock.
package rules

import (
	"fmt"
	"sort"
	"strings"

	"swiftbeam/pkg/clock"
)

//go:generate ../../.tools/stringer -type=Repeat -output=repeat_string.go

// Repeat tells how often a request may run.
type Repeat uint8

// Kinds of repetition.
const (
	AtMostOnce Repeat = iota // a second run would do harm
	AnyTimes                 // running again is harmless
	Stream                   // an event stream; runs once unless its route lets it resume
)

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Repeat   Repeat
	Timeout  clock.Duration
	Target   clock.Duration
	GapLimit clock.Duration
	Priority int
	// Split are the services with their weights; the sum of weights is above zero.
	Split []Weight
	// Attempts is the number of backend servers that may be tried for a request.
	Attempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Prompted routes carry prompts for a model engine.
	Prompted bool
	// Resumable streams may go on at another backend server after their last event.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Repeat == AnyTimes || r.Repeat == Stream && r.Resumable
}

// Weight is the share of one service in a route.
type Weight struct {
	Service string
	Weight  int
}

// Service is a group of backend servers that give the same answers.
type Service struct {
	Name       string
	HealthPath string
	// Connections is the number of connections that one server takes from all daemons together.
	Connections int
	Engine      *Engine
	Scaling     *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// MemoryTokens is the size of the cache that running requests and kept prompts share.
	MemoryTokens int
	Moves        bool
	Backups      bool
	// EventTokens is the usual number of tokens in one event of a stream.
	EventTokens int
}

// Scaling bounds the replicas of a service in each availability zone, and prices them.
type Scaling struct {
	Least int
	Most  int
	Boot  clock.Duration
	// SpotPrice is the price of a reclaimable replica as a part of the on-demand price.
	SpotPrice float64
	// ZonePrices are the prices of an on-demand replica.
	ZonePrices map[string]float64
}

// Account is a client account with its keys and its quota.
type Account struct {
	Name string
	Keys []string
	// Priority goes before the priority of a route where it is set.
	Priority *int
	// Rate and Burst bound the requests, or the tokens when ByTokens is set. A Rate of zero sets
	// no bound.
	Rate     float64
	Burst    float64
	ByTokens bool
	// PlainTokens is what a request without a prompt counts.
	PlainTokens float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Duration
	IdleTimeout   clock.Duration
}

// Set is one version of all traffic rules.
type Set struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
	// Text is the document that the set was read from.
	Text []byte

	byHost map[string][]*Route
	byName map[string]*Service
	byKey  map[string]*Account
}

// Prepare checks the set and builds its indexes. It returns what is wrong, or an empty text.
func (s *Set) Prepare() string {
	s.byHost = make(map[string][]*Route)
	s.byName = make(map[string]*Service)
	s.byKey = make(map[string]*Account)
	for i := range s.Services {
		if s.Services[i].Name == "" {
			return "a service without a name; name it"
		}
		s.byName[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Routes {
		if problem := s.addRoute(&s.Routes[i]); problem != "" {
			return problem
		}
	}
	for i := range s.Accounts {
		a := &s.Accounts[i]
		for _, key := range a.Keys {
			if other := s.byKey[key]; other != nil && other != a {
				return fmt.Sprintf("accounts %q and %q share a key; give each its own", other.Name, a.Name)
			}
			s.byKey[key] = a
		}
	}
	for _, routes := range s.byHost {
		sort.Slice(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return ""
}

func (s *Set) addRoute(r *Route) string {
	if r.Timeout <= 0 {
		return fmt.Sprintf("route %q has no timeout; write one above zero", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Sprintf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	total := 0
	for _, w := range r.Split {
		if s.byName[w.Service] == nil {
			return fmt.Sprintf("route %q names the unknown service %q; add it or name another", r.Name, w.Service)
		}
		if w.Weight < 0 {
			return fmt.Sprintf("route %q has a negative weight", r.Name)
		}
		total += w.Weight
	}
	if total <= 0 {
		return fmt.Sprintf("the weights of route %q add up to 0; give one service a weight", r.Name)
	}
	host := strings.ToLower(r.Host)
	for _, other := range s.byHost[host] {
		if other.Prefix == r.Prefix {
			return fmt.Sprintf("routes %q and %q share a host and prefix; remove one", other.Name, r.Name)
		}
	}
	s.byHost[host] = append(s.byHost[host], r)
	return ""
}

// Match returns the route of a host with the longest prefix of path, or nil.
func (s *Set) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i > 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	routes := s.byHost[host]
	if routes == nil {
		routes = s.byHost[strings.ToLower(host)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the name, or nil.
func (s *Set) Service(name string) *Service { return s.byName[name] }

// AccountByKey returns the account that holds a key, or nil.
func (s *Set) AccountByKey(key string) *Account { return s.byKey[key] }

// Account returns the client account with the name, or nil.
func (s *Set) Account(name string) *Account {
	for i := range s.Accounts {
		if s.Accounts[i].Name == name {
			return &s.Accounts[i]
		}
	}
	return nil
}

// PickService returns the service of a route for a random draw.
func (r *Route) PickService(draw uint64) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	at := int(draw % uint64(total))
	for _, w := range r.Split {
		if at < w.Weight {
			return w.Service
		}
		at -= w.Weight
	}
	return r.Split[0].Service
}
