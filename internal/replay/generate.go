package replay

import "fmt"

// Deployment describes a service and its traffic, for which Generate writes traces of version moves.
type Deployment struct {
	Name     string
	Service  string
	Replicas int
	Traffic  Traffic
}

// Deployments are the deployments with generated traces.
var Deployments = []Deployment{
	{
		Name: "barros", Service: "luthier-model", Replicas: 10,
		Traffic: Traffic{
			RatePerSecond: 12, ErrorPercent: 0.2,
			Routes: []Source{
				{Name: "quick", Part: 0.55, FirstTokenMs: 130, GapMs: 24, Tokens: 70},
				{Name: "photo-tags", Part: 0.30, FirstTokenMs: 180, GapMs: 26, Tokens: 20},
				{Name: "dossier", Part: 0.15, FirstTokenMs: 260, GapMs: 28, Tokens: 420},
			},
			Accounts: []Source{
				{Name: "oficina-barros", Part: 0.4}, {Name: "players-portal", Part: 0.3}, {Name: "workshop-porto", Part: 0.1},
				{Name: "workshop-braga", Part: 0.1}, {Name: "archive", Part: 0.1},
			},
		},
	},
	{
		Name: "minik", Service: "dil-sunucu", Replicas: 20,
		Traffic: Traffic{
			RatePerSecond: 26, ErrorPercent: 0.2,
			Routes: []Source{
				{Name: "quick", Part: 0.60, FirstTokenMs: 120, GapMs: 23, Tokens: 60},
				{Name: "explain", Part: 0.25, FirstTokenMs: 160, GapMs: 25, Tokens: 150},
				{Name: "draft", Part: 0.15, FirstTokenMs: 240, GapMs: 27, Tokens: 350},
			},
			Accounts: []Source{
				{Name: "veli-portali", Part: 0.35}, {Name: "bakici-portali", Part: 0.35}, {Name: "fatura-gece", Part: 0.1},
				{Name: "destek", Part: 0.1}, {Name: "denetim", Part: 0.1},
			},
		},
	},
}

// moveMinutes is the time from the start of a generated move to its deadline.
const moveMinutes = 40

// Generate returns 20 moves of a deployment to healthy versions and 20 to regressed versions.
func Generate(d Deployment) []*Case {
	var cases []*Case
	for i := range 20 {
		cases = append(cases, d.healthyMove(i))
	}
	for i := range 20 {
		cases = append(cases, d.regressedMove(i))
	}
	return cases
}

func (d Deployment) base(name string, seed int) *Case {
	c := &Case{
		Name: d.Name + "-" + name, Service: d.Service, FinishInMs: moveMinutes * 60_000, TrialPercent: 2,
		Daemons: 8, ReadyOld: d.Replicas, ReadyNew: d.Replicas, Traffic: d.Traffic,
	}
	c.Traffic.Seed = uint64(seed)
	return c
}

// healthyMove returns a move to a healthy version. Some moves have noise, lost replicas, changes of
// the leader or a faulty old version.
func (d Deployment) healthyMove(i int) *Case {
	c := d.base(fmt.Sprintf("good-%02d", i+1), 100+i)
	c.Expect = "finished"
	half := int64(moveMinutes * 30_000)
	switch i % 5 {
	case 1: // a noisy old version
		c.Traffic.ErrorPercent = 3
	case 2: // all but one replica of the new version are reclaimed in mid-move and replaced later
		c.Events = []Event{{AtMs: half, Kind: "replicas", ReadyNew: 1}, {AtMs: half + 120_000, Kind: "replicas", ReadyNew: d.Replicas}}
	case 3: // the leader changes twice
		c.Events = []Event{{AtMs: half / 2, Kind: "newLeader"}, {AtMs: half, Kind: "newLeader"}}
	case 4: // the old version has the faults
		c.Faults = []Fault{{Version: "old", ErrorPercent: 8, AfterMs: half / 2}}
	}
	if i == 10 { // very little traffic on one route
		c.Traffic.Routes = append([]Source(nil), c.Traffic.Routes...)
		c.Traffic.Routes[0].Part += c.Traffic.Routes[2].Part - 0.001
		c.Traffic.Routes[2].Part = 0.001
	}
	return c
}

// regressedMove returns a move to a regressed version, with the i-th of 20 kinds of regression.
func (d Deployment) regressedMove(i int) *Case {
	c := d.base(fmt.Sprintf("bad-%02d", i+1), 200+i)
	c.Expect = "rolledBack"
	route := c.Traffic.Routes[1].Name
	account := c.Traffic.Accounts[2].Name
	minute := int64(60_000)
	faults := []Fault{
		{ErrorPercent: 100},
		{ErrorPercent: 60},
		{ErrorPercent: 80, AfterMs: 5 * minute},
		{ErrorPercent: 40, AfterMs: 9 * minute},
		{Slow: 3},
		{Slow: 2, AfterMs: 4 * minute},
		{ErrorPercent: 70, UnderLoad: true},
		{Slow: 3, UnderLoad: true},
		{ErrorPercent: 60, Route: route},
		{Slow: 4, Route: route},
		{ErrorPercent: 80, Account: account},
		{ErrorPercent: 15},
		{ShortPercent: 30},
		{ShortPercent: 40, Route: route},
		{ErrorPercent: 30, AfterMs: 3 * minute, Route: route},
		{Slow: 2.5, Account: account},
		{ErrorPercent: 100, AfterMs: 12 * minute},
		{ErrorPercent: 25, UnderLoad: true},
		{ShortPercent: 20, AfterMs: 6 * minute},
		{ErrorPercent: 12}, // against a noisy old version
	}
	f := faults[i]
	f.Version = "new"
	c.Faults = []Fault{f}
	if i == len(faults)-1 {
		c.Traffic.ErrorPercent = 2
	}
	return c
}
