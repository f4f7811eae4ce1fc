package setup

import (
	"net"
	"os"
	"strconv"

	"swiftbeam/internal/jsonc"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/conf"
)

//go:generate ../../.tools/stringer -type=Role -output=role_string.go

// Role is the function of a process in a deployment whose entry and core daemons are separate
// processes.
type Role uint8

const (
	Entry Role = iota // accepts the requests of callers; receives all state from the core daemons
	Core              // stores the replicated state; serves operators and backend servers, calls the cloud API
)

// Node is the configuration of one entry or core daemon.
type Node struct {
	Role   Role
	Name   string
	Zone   string
	Region string
	// Callers and Readiness are listen addresses of an entry daemon, Control that of a core daemon. Peers is for
	// other daemons; an entry daemon without it takes none of their requests. Metrics is the address of the
	// metrics endpoint; empty disables it.
	Callers   string
	Readiness string
	Control   string
	Peers     string
	Metrics   string
	// DataFolder is the folder for the files of a core daemon.
	DataFolder string
	// Found allows a core daemon without stored state to form a new group with the seeds.
	Found bool
	// Seeds are the peer addresses of some core daemons, contacted first.
	Seeds     []string
	PeerToken string
	// Losses is the number of core daemons that may lose their disks at the same time; the group has
	// 2*Losses+1 voters.
	Losses int
	// MemoryBytes is the memory limit of the process, which is killed above it.
	MemoryBytes int64
	// RunningRequests is the maximum number of callers' requests that an entry daemon handles at the same time; zero derives it
	// from the memory and the descriptors.
	RunningRequests int
	// Processors sets GOMAXPROCS; zero keeps the default, all processors of the VM.
	Processors  int
	StopTimeout clock.Duration
	Retries     Retries
	Quota       Quota
	Duties      Duties
	Exposure    Exposure
	Cold        Cold
	// EvacuateWithin is the time from the acknowledgement of an evacuation in which it must be in force. If it is set, an
	// entry daemon that was paused holds requests until a core daemon was heard; zero holds none.
	EvacuateWithin clock.Duration
}

// Cold bounds the requests to a cold server in any second: Overrun times the rate that it tolerates, and Slack requests.
type Cold struct {
	Overrun float64
	Slack   float64
}

// Exposure bounds the requests that a regressed version may receive in a rollout: Part is a fraction
// of the requests to its service, and Slack a number of requests that is added.
type Exposure struct {
	Part  float64
	Slack float64
}

// Retries is the retry budget of all daemons together: Ratio is the number of further attempts
// allowed for each request, and Slack a number allowed in each window regardless of requests.
type Retries struct {
	Ratio  float64
	Slack  float64
	Window clock.Duration
}

// Quota bounds the amount by which a client account may exceed its quota in a window: Overrun is a
// fraction of the quota, and Slack a number of tokens that is added for accounts that count tokens.
type Quota struct {
	Window  clock.Duration
	Overrun float64
	Slack   float64
}

// Duties configures the calls to the cloud API, which only one core daemon at a time makes.
type Duties struct {
	// Address is the address of the cloud API; empty disables the calls.
	Address string
	Usage   bool
	Scaling bool
	// Lease is the minimum time between the last call of a daemon and its next call when another daemon
	// may have made calls in between.
	Lease clock.Duration
	// Thaw is the longest process pause that the timing of the calls allows for: a daemon that was paused
	// that long may still send a call when it resumes.
	Thaw        clock.Duration
	UsageWindow clock.Duration
	// UsageDue is the time after the end of a usage window by which its report must reach the cloud.
	UsageDue clock.Duration
	// CallsPerSecond limits the rate of calls to the cloud API.
	CallsPerSecond float64
}

// defaultExposure is the largest share of requests for a new version in its trial.
const defaultExposure = 0.02

// LoadNode reads and checks the settings file of an entry or core daemon. It returns an error only
// when the file cannot be read.
func LoadNode(path string) (*Node, []conf.Problem, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	n, problems := ParseNode(text)
	return n, problems, nil
}

// HasRole reports whether text has a field "role", as settings of entry and core daemons do.
func HasRole(text []byte) bool {
	doc, _ := jsonc.Parse(text)
	if doc == nil {
		return false
	}
	_, ok := doc.Object().Get("role")
	return ok
}

// ParseNode reads settings of an entry or core daemon and returns every problem found in them.
func ParseNode(text []byte) (*Node, []conf.Problem) {
	s := &Node{}
	doc, problems := jsonc.Parse(text)
	if doc == nil {
		return s, problems
	}
	o := doc.Object()
	s.Role = Role(o.Choice("role", true, "entry", "core"))
	s.Name = o.Text("name", "the daemon's name, unique in the deployment")
	s.Zone = o.Text("zone", "the availability zone of the VM")
	s.Region = o.Text("region", "the region of the VM")
	s.readListen(o)
	s.readSeeds(o)
	s.DataFolder = o.TextOr("dataFolder", "")
	if s.Role == Core && s.DataFolder == "" {
		o.Fail(`add "dataFolder"`, "a core daemon needs a folder for its files")
	}
	s.Found = o.Bool("foundGroup")
	s.Losses = int(o.Int("losses", 1, 0, 3))
	s.PeerToken = o.Text("peerToken", "a secret that all daemons share")
	s.MemoryBytes = o.Int("memoryMegabytes", 256, minMegabytes, maxMegabytes) << 20
	s.RunningRequests = readRunningRequests(o)
	s.Processors = int(o.Int("processors", 0, 0, 1024))
	s.StopTimeout = o.Duration("stopTimeout", 8*clock.Second)
	s.readBounds(o)
	o.End()
	return s, doc.Problems()
}

func (s *Node) readListen(o *jsonc.Object) {
	n, ok := o.Get("listen")
	if !ok {
		o.Fail(`add "listen" with the addresses of the daemon`, "no listen addresses")
		return
	}
	l := n.Object()
	if s.Role == Entry {
		s.Callers = address(l, "callers")
		s.Readiness = address(l, "readiness")
		if _, ok := l.Get("peers"); ok {
			s.Peers = address(l, "peers")
		}
	} else {
		s.Control = address(l, "control")
		s.Peers = address(l, "peers")
	}
	if _, ok := l.Get("metrics"); ok {
		s.Metrics = address(l, "metrics")
	}
	l.End()
}

// readSeeds reads the addresses of core daemons and replaces their ports with peerPort.
func (s *Node) readSeeds(o *jsonc.Object) {
	port := o.Int("peerPort", 7080, 1, 65535)
	for _, n := range o.List("seeds") {
		text := n.Text("the address of a core daemon")
		host, _, err := net.SplitHostPort(text)
		if err != nil || net.ParseIP(host) == nil {
			n.Fail(`write an IP number with a port, such as "10.0.0.5:7080"`, "%q is not an address", text)
			continue
		}
		s.Seeds = append(s.Seeds, net.JoinHostPort(host, strconv.FormatInt(port, 10)))
	}
	if len(s.Seeds) == 0 {
		o.Fail(`add "seeds" with the address of a core daemon`, "no core daemon is named")
	}
}

func (s *Node) readBounds(o *jsonc.Object) {
	s.Retries = Retries{Ratio: 0.1, Slack: 10, Window: 10 * clock.Second}
	if n, ok := o.Get("retries"); ok {
		b := n.Object()
		s.Retries.Ratio = b.Float("ratio", s.Retries.Ratio, 0, 10)
		s.Retries.Slack = b.Float("slack", s.Retries.Slack, 0, 1e9)
		s.Retries.Window = b.Duration("window", s.Retries.Window)
		b.End()
	}
	s.EvacuateWithin = o.Duration("evacuateWithin", 0)
	s.Cold = Cold{Overrun: 1}
	if n, ok := o.Get("cold"); ok {
		b := n.Object()
		s.Cold.Overrun = b.Float("overrun", 1, 1, 1e3)
		s.Cold.Slack = b.Float("slack", 0, 0, 1e9)
		b.End()
	}
	s.Exposure = Exposure{Part: defaultExposure}
	if n, ok := o.Get("exposure"); ok {
		b := n.Object()
		s.Exposure.Part = b.Float("part", defaultExposure, 0, 1)
		s.Exposure.Slack = b.Float("slack", 0, 0, 1e9)
		b.End()
	}
	s.Quota = Quota{Window: 10 * clock.Second}
	if n, ok := o.Get("quota"); ok {
		b := n.Object()
		s.Quota.Window = b.Duration("window", s.Quota.Window)
		s.Quota.Overrun = b.Float("overrun", 0, 0, 10)
		s.Quota.Slack = b.Float("slack", 0, 0, 1e12)
		b.End()
	}
	s.Duties = Duties{
		Lease: 3 * clock.Second, Thaw: 300, UsageWindow: 5 * clock.Second, UsageDue: 10 * clock.Second, CallsPerSecond: 10,
	}
	if n, ok := o.Get("duties"); ok {
		b := n.Object()
		s.Duties.Address = address(b, "address")
		s.Duties.Usage = b.Bool("usage")
		s.Duties.Scaling = b.Bool("scaling")
		s.Duties.Lease = b.Duration("lease", s.Duties.Lease)
		s.Duties.Thaw = b.Duration("thaw", s.Duties.Thaw)
		s.Duties.UsageWindow = b.Duration("usageWindow", s.Duties.UsageWindow)
		s.Duties.UsageDue = b.Duration("usageDue", s.Duties.UsageDue)
		s.Duties.CallsPerSecond = b.Float("callsPerSecond", s.Duties.CallsPerSecond, 0.01, 1e6)
		b.End()
	}
}
