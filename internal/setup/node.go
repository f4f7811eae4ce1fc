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

// Role tells what a process of a split deployment does.
type Role uint8

// Roles.
const (
	Entry Role = iota // takes the requests of callers; learns all state
	Core              // holds the replicated state; talks to operators, backend servers and the cloud
)

// Node configures one process of a deployment in which entry and core daemons are apart.
type Node struct {
	Role   Role
	Name   string
	Zone   string
	Region string
	// Callers and Readiness are the addresses of an entry daemon, Control and Peers those of a
	// core daemon. Metrics may be empty.
	Callers   string
	Readiness string
	Control   string
	Peers     string
	Metrics   string
	// DataFolder is where a core daemon keeps its files.
	DataFolder string
	// Found allows a core daemon without files to found a group with the seeds.
	Found bool
	// Seeds are the peer addresses of some core daemons.
	Seeds     []string
	PeerToken string
	// Losses is the number of core daemons that may lose their disks at once.
	Losses int
	// MemoryBytes bounds the process; it is ended above that.
	MemoryBytes int64
	// Processors is the number of threads that run at the same time; zero means as many as the
	// VM shows.
	Processors  int
	StopTimeout clock.Duration
	Retries     Retries
	Quota       Quota
	Duties      Duties
	Exposure    Exposure
}

// Exposure bounds the requests that a bad version may get in a rollout: a part of those for its
// service, and a number beyond that.
type Exposure struct {
	Part  float64
	Slack float64
}

// Retries bound the requests that are sent to a further backend server, over all daemons.
type Retries struct {
	Ratio  float64
	Slack  float64
	Window clock.Duration
}

// Quota tells how far the requests of a client account may exceed its quota in a window.
type Quota struct {
	Window  clock.Duration
	Overrun float64
	Slack   float64
}

// Duties are the calls to the cloud that one core daemon makes at a time.
type Duties struct {
	// Address is empty when there are none.
	Address string
	Usage   bool
	Scaling bool
	// Lease is the time in which the right to make the calls must not go back and forth.
	Lease clock.Duration
	// Thaw is the time in which a daemon that stood still may still send.
	Thaw        clock.Duration
	UsageWindow clock.Duration
	// UsageDue is the time after the end of a window by which its report must have arrived.
	UsageDue clock.Duration
	// CallsPerSecond bounds the calls.
	CallsPerSecond float64
}

// defaultExposure is the share that the product allows a version on trial.
const defaultExposure = 0.02

// LoadNode reads and checks the settings file of an entry or core daemon.
func LoadNode(path string) (*Node, []conf.Problem, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	n, problems := ParseNode(text)
	return n, problems, nil
}

// HasRole reports whether a settings text is that of an entry or core daemon.
func HasRole(text []byte) bool {
	doc, _ := jsonc.Parse(text)
	if doc == nil {
		return false
	}
	_, ok := doc.Object().Get("role")
	return ok
}

// ParseNode reads settings of an entry or core daemon and returns every mistake in them.
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
	s.MemoryBytes = o.Int("memoryMegabytes", 256, 16, 1<<20) << 20
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
	} else {
		s.Control = address(l, "control")
		s.Peers = address(l, "peers")
	}
	if _, ok := l.Get("metrics"); ok {
		s.Metrics = address(l, "metrics")
	}
	l.End()
}

// readSeeds reads the addresses of core daemons, whose peers listen at peerPort.
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
