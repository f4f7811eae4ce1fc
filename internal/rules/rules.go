// Package rules holds the operators' traffic rules as the entry daemons use them: which service a
// request is sent to, who may send it, and within which limits.
//
//	set := &rules.Set{Version: 7, Routes: routes, Services: services, Accounts: accounts}
//	if problem := set.Prepare(); problem != "" {
//		// reject the rules; problem names the mistake and how to correct it
//	}
//	route := set.Match("desk.example", "/drafts/41")
//	account := set.AccountByKey(key)
//
// A prepared set is immutable, so requests read it without a lock.
package rules

import (
	"fmt"
	"sort"
	"strings"

	"swiftbeam/pkg/clock"
)

//go:generate ../../.tools/stringer -type=Repeat -output=repeat_string.go

// Repeat states whether a request may run more than once.
type Repeat uint8

// Values of Repeat.
const (
	AtMostOnce Repeat = iota // running a request twice is harmful
	AnyTimes                 // idempotent requests
	Stream                   // event streams; repeated only on a route with Resumable
)

// Route assigns the requests of one host and path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Repeat   Repeat
	Timeout  clock.Duration
	Target   clock.Duration
	GapLimit clock.Duration
	Priority int
	// Split lists the services with their weights, whose sum is above zero.
	Split []Weight
	// Attempts is the largest number of attempts at backend servers for a request.
	Attempts int
	// Anonymous routes accept requests without an API key.
	Anonymous bool
	// Prompted routes carry prompts for model engines.
	Prompted bool
	// Resumable streams may continue at another backend server after the last event sent.
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

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// Connections is the largest number of connections to one server, from all entry daemons
	// together.
	Connections int
	// ColdPerSecond is the number of requests a second that a cold server tolerates from all entry daemons together;
	// zero means that coldness sets no limit. ColdStart is how long a server is cold after its start.
	ColdPerSecond float64
	ColdStart     clock.Duration
	Engine        *Engine
	Scaling       *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the largest number of requests in a batch.
	Slots int
	// MemoryTokens is the size of the cache that running requests and cached prompts share.
	MemoryTokens int
	Moves        bool
	Backups      bool
	// EventTokens is the usual number of tokens in one event of a stream.
	EventTokens int
}

// Scaling holds the bounds on a service's replicas in each availability zone, and their prices.
type Scaling struct {
	Least int
	Most  int
	Boot  clock.Duration
	// SpotPrice is the price of a reclaimable replica as a fraction of the on-demand price.
	SpotPrice float64
	// ZonePrices are the prices of an on-demand replica by availability zone.
	ZonePrices map[string]float64
}

// Account is a client account with its API keys and its quota.
type Account struct {
	Name string
	Keys []string
	// Priority, where set, overrides the priority of a route.
	Priority *int
	// Rate (per second) and Burst limit the requests, or the tokens if ByTokens is set. A Rate of
	// zero sets no limit.
	Rate     float64
	Burst    float64
	ByTokens bool
	// PlainTokens is the number of tokens that a request without token counts uses of a quota in tokens.
	PlainTokens float64
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout clock.Duration
	IdleTimeout   clock.Duration
}

// Set is one version of the traffic rules.
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

// Prepare validates the set and builds its indexes. It returns a message about the first mistake, or
// an empty string.
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
		account := &s.Accounts[i]
		for _, key := range account.Keys {
			if other := s.byKey[key]; other != nil && other != account {
				return fmt.Sprintf("accounts %q and %q share a key; give each its own", other.Name, account.Name)
			}
			s.byKey[key] = account
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

// Match returns the route of the host whose prefix is the longest one that path starts with, or nil.
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

// Service returns the service of that name, or nil.
func (s *Set) Service(name string) *Service { return s.byName[name] }

// AccountByKey returns the account that owns an API key, or nil.
func (s *Set) AccountByKey(key string) *Account { return s.byKey[key] }

// Account returns the client account of that name, or nil.
func (s *Set) Account(name string) *Account {
	for i := range s.Accounts {
		if s.Accounts[i].Name == name {
			return &s.Accounts[i]
		}
	}
	return nil
}

// PickService returns a service of the route, chosen by weight with the random number draw.
func (r *Route) PickService(draw uint64) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, w := range r.Split {
		total += w.Weight
	}
	point := int(draw % uint64(total))
	for _, w := range r.Split {
		if point < w.Weight {
			return w.Service
		}
		point -= w.Weight
	}
	return r.Split[0].Service
}
