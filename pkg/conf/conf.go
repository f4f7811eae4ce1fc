// Package conf parses and checks the operators' document. It consists of sections, each a JSON object
// with comments that is written by its owner. A section describes a service, the client accounts or the
// capacity that may be bought.
//
//	s, problems := conf.ParseSection("luthier-model", body)
//	doc, problems := conf.Assemble([]conf.Section{s, accounts})
//
// ParseSection reports the problems within one section, Assemble those between sections.
package conf

import (
	"fmt"
	"regexp"
	"sort"
	"time"

	"swiftbeam/internal/jsonc"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/fleet"
)

// Problem is one error in a section, with its position and remedy.
type Problem = jsonc.Problem

// Section is one parsed section. One of the pointers is set, or none when the text cannot be parsed.
type Section struct {
	Name     string
	Service  *fleet.Service
	Accounts *Accounts
	Capacity *Capacity
}

// Accounts is a section of client accounts.
type Accounts struct {
	Accounts []fleet.ClientAccount
}

// Capacity is a section that describes the VMs that may be bought and the replicas that must be kept.
type Capacity struct {
	Classes []fleet.MachineClass
	Prices  []fleet.Price
	// LoadsAtOnce is the maximum number of parallel loads from the weight store.
	LoadsAtOnce int
	// Floors are the minimum numbers of replicas of services.
	Floors []Floor
}

// Floor is the minimum number of replicas of a service.
type Floor struct {
	Service  string
	Replicas int
}

// Document is the content of all sections.
type Document struct {
	Services map[string]fleet.Service
	Accounts []fleet.ClientAccount
	Capacity Capacity
}

// MaxSectionBytes is the maximum size of the text of a section.
const MaxSectionBytes = 256 << 10

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// ParseSection parses the text of the section called name.
func ParseSection(name string, body []byte) (Section, []Problem) {
	s := Section{Name: name}
	if len(body) > MaxSectionBytes {
		return s, []Problem{{Line: 1, Column: 1, Message: "section is too long", Remedy: fmt.Sprintf("keep it within %d bytes", MaxSectionBytes)}}
	}
	doc, problems := jsonc.Parse(body)
	if doc == nil {
		return s, problems
	}
	o := doc.Object()
	if !namePattern.MatchString(name) {
		o.Fail("use lower-case letters, digits and hyphens", "section name %q is not valid", name)
	}
	switch o.Choice("kind", true, "service", "accounts", "capacity") {
	case 0:
		s.Service = readService(name, o)
	case 1:
		s.Accounts = readAccounts(o)
	case 2:
		s.Capacity = readCapacity(o)
	}
	o.End()
	return s, doc.Problems()
}

func readService(name string, o *jsonc.Object) *fleet.Service {
	s := &fleet.Service{Name: name}
	s.Kind = fleet.BackendKind(o.Choice("type", true, "engine", "plain"))
	s.Version = o.Text("version", "the version that serves now")
	s.ChecksFence = o.Bool("checksFence")
	for _, n := range o.List("routes") {
		s.Routes = append(s.Routes, readRoute(s.Kind, n.Object()))
	}
	if len(s.Routes) == 0 {
		o.Fail(`add "routes" with at least one route`, "service has no routes")
	}
	if n, ok := o.Get("move"); ok {
		s.Move = readMove(s.Version, n.Object())
	}
	return s
}

func readRoute(kind fleet.BackendKind, o *jsonc.Object) fleet.Route {
	r := fleet.Route{Name: o.Text("name", "a route name")}
	if r.Name != "" && !namePattern.MatchString(r.Name) {
		o.Fail("use lower-case letters, digits and hyphens", "route name %q is not valid", r.Name)
	}
	r.Priority = fleet.Priority(o.Choice("priority", false, "urgent", "normal", "bulk"))
	r.Timeout = o.Duration("timeout", clock.Minute)
	if kind == fleet.Plain {
		r.Path = o.Text("path", "the path of the route, such as /deposits")
		r.Once = o.Bool("once")
	} else {
		r.FirstTokenTarget = o.Duration("firstTokenTarget", 450)
		r.TokenGapTarget = o.Duration("tokenGapTarget", 37)
	}
	o.End()
	return r
}

func readMove(from string, o *jsonc.Object) *fleet.Move {
	m := &fleet.Move{To: o.Text("to", "the new version")}
	if m.To != "" && m.To == from {
		o.Fail("name another version, or remove the move", "move leads to the present version %q", from)
	}
	n, ok := o.Get("finishBy")
	if !ok {
		o.Fail(`add "finishBy" such as "2026-12-24T18:00:00Z"`, "move has no time to finish by")
	} else {
		at, err := time.Parse(time.RFC3339, n.Text("a time"))
		if err != nil {
			n.Fail(`write a time such as "2026-12-24T18:00:00Z"`, "not an RFC 3339 time")
		}
		m.FinishBy = clock.FromTime(at)
	}
	m.TrialPercent = int(o.Int("trialPercent", 2, 1, 50))
	o.End()
	return m
}

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func readAccounts(o *jsonc.Object) *Accounts {
	a := &Accounts{}
	for _, n := range o.List("accounts") {
		e := n.Object()
		account := fleet.ClientAccount{
			Name:      e.Text("name", "the name of the client account"),
			KeySHA256: e.Text("keySHA256", "the SHA-256 of the account's key in hex"),
			Share:     int(e.Int("share", 1, 1, 1000)),
		}
		if account.KeySHA256 != "" && !digestPattern.MatchString(account.KeySHA256) {
			e.Fail("write 64 lower-case hex digits", "keySHA256 is no SHA-256 digest")
		}
		e.End()
		a.Accounts = append(a.Accounts, account)
	}
	return a
}

func readCapacity(o *jsonc.Object) *Capacity {
	c := &Capacity{LoadsAtOnce: int(o.Int("loadsAtOnce", 2, 1, 1000))}
	for _, n := range o.List("classes") {
		e := n.Object()
		c.Classes = append(c.Classes, fleet.MachineClass{
			Name: e.Text("name", "a machine class"), Replicas: int(e.Int("replicas", 1, 1, 64)),
		})
		e.End()
	}
	for _, n := range o.List("prices") {
		e := n.Object()
		c.Prices = append(c.Prices, fleet.Price{
			Class:       e.Text("class", "a machine class"),
			Zone:        e.Text("zone", "an availability zone"),
			Reclaimable: int(e.Int("reclaimable", 0, 0, 1<<30)),
			OnDemand:    int(e.Int("onDemand", 0, 0, 1<<30)),
		})
		e.End()
	}
	for _, n := range o.List("floors") {
		e := n.Object()
		c.Floors = append(c.Floors, Floor{
			Service: e.Text("service", "a service"), Replicas: int(e.Int("replicas", 0, 0, 10000)),
		})
		e.End()
	}
	return c
}

// Assemble joins sections into a document and checks them against each other.
func Assemble(sections []Section) (Document, []Problem) {
	d := Document{Services: make(map[string]fleet.Service)}
	c := &checker{paths: make(map[string]string), accounts: make(map[string]string)}
	sort.Slice(sections, func(i, j int) bool { return sections[i].Name < sections[j].Name })
	for _, s := range sections {
		switch {
		case s.Service != nil:
			c.service(*s.Service)
			d.Services[s.Name] = *s.Service
		case s.Accounts != nil:
			c.accountList(s.Name, s.Accounts.Accounts)
			d.Accounts = append(d.Accounts, s.Accounts.Accounts...)
		case s.Capacity != nil:
			c.capacity(s.Name)
			d.Capacity = *s.Capacity
		}
	}
	c.floors(d)
	return d, c.problems
}

// checker checks sections against each other.
type checker struct {
	problems        []Problem
	paths           map[string]string // service by route path
	accounts        map[string]string // name of the section that lists a client account, by account name
	capacitySection string
}

func (c *checker) fail(section, remedy, format string, args ...any) {
	c.problems = append(c.problems, Problem{Field: section, Line: 1, Column: 1, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (c *checker) service(s fleet.Service) {
	names := make(map[string]bool)
	for _, r := range s.Routes {
		if names[r.Name] {
			c.fail(s.Name, "give each route its own name", "route %q stands twice", r.Name)
		}
		names[r.Name] = true
		if r.Path == "" {
			continue
		}
		if other, exists := c.paths[r.Path]; exists {
			c.fail(s.Name, "choose another path", "path %q belongs to service %q already", r.Path, other)
		}
		c.paths[r.Path] = s.Name
	}
}

func (c *checker) accountList(section string, accounts []fleet.ClientAccount) {
	for _, a := range accounts {
		if other, exists := c.accounts[a.Name]; exists {
			c.fail(section, "keep one of them", "client account %q stands in section %q already", a.Name, other)
		}
		c.accounts[a.Name] = section
	}
}

func (c *checker) capacity(section string) {
	if c.capacitySection != "" {
		c.fail(section, "keep one section of kind capacity", "section %q holds the capacity already", c.capacitySection)
	}
	c.capacitySection = section
}

func (c *checker) floors(d Document) {
	for _, f := range d.Capacity.Floors {
		if _, ok := d.Services[f.Service]; !ok {
			c.fail(c.capacitySection, "create the service first or correct its name", "floor names unknown service %q", f.Service)
		}
	}
}
