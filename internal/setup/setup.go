// Package setup reads the settings file of a daemon, JSON with comments, and reports all problems in it
// at once.
//
//	settings, problems := setup.Parse(text)
//	for _, p := range problems {
//		fmt.Println(p) // line:column: field: message; remedy
//	}
package setup

import (
	"net"
	"net/url"
	"os"
	"path/filepath"
	"syscall"

	"swiftbeam/internal/jsonc"
	"swiftbeam/pkg/clock"
	"swiftbeam/pkg/conf"
)

// Settings is the configuration of a daemon that is entry and core daemon in one process.
type Settings struct {
	Name   string
	Zone   string
	Region string
	Listen Listen
	// DataFolder is the folder for stored state, empty for a daemon without a disk.
	DataFolder  string
	FirstVoters []string
	Peers       []string
	Voters      int
	PeerToken   string
	Operators   []Principal
	Backends    []Principal
	TLS         *TLS
	// OpenAccess admits operators, backend servers and callers without valid credentials.
	OpenAccess bool
	// BalancerLag is the time that a stopping daemon keeps serving until load balancers stop sending
	// requests to it.
	BalancerLag clock.Duration
	StopTimeout clock.Duration
	Lease       clock.Duration
	// CloudAddress is the address of the cloud API; empty disables the calls.
	CloudAddress string
	// MemoryBytes is the memory that the process may use; zero for that of the VM, up to a limit.
	MemoryBytes int64
	// RunningRequests is the maximum number of requests that are handled at the same time; zero derives it from the memory and
	// the descriptors.
	RunningRequests int
	Limits          Limits
}

// Listen contains the listen addresses of a daemon, each an IP address with a port.
type Listen struct {
	Callers string
	Peers   string
	Admin   string
}

// Principal is an operator or a group of backend servers, authenticated by a token or by the common
// name of a client certificate.
type Principal struct {
	Name        string
	TokenSHA256 string
	CommonName  string
	// Names are the sections that an operator may write, or the services that backend servers may
	// announce. A name that ends in * matches all names with that prefix.
	Names []string
}

// TLS contains the names of the PEM files for TLS.
type TLS struct {
	Certificate string
	Key         string
	ClientCA    string
}

// Limits bounds the requests that a daemon accepts.
type Limits struct {
	BodyBytes   int64
	HeaderBytes int
	// ReadTimeout is the time within which a complete request must arrive.
	ReadTimeout clock.Duration
	// WriteTimeout is the time in which a caller must read a piece of a stream, or half a megabyte of another response.
	WriteTimeout clock.Duration
	// Queue is the maximum number of requests that wait for a backend server of one service.
	Queue int
}

// OpenAccessPhrase is the value of the setting "openAccess" that disables the check of credentials.
const OpenAccessPhrase = "anyone may operate this daemon"

// Load reads and checks the settings file at path. It returns an error only when the file cannot be
// read.
func Load(path string) (*Settings, []conf.Problem, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	s, problems := Parse(text)
	s.resolve(filepath.Dir(path))
	return s, problems, nil
}

// resolve joins relative names of TLS files to folder, the folder of the settings file.
func (s *Settings) resolve(folder string) {
	if s.TLS == nil {
		return
	}
	for _, name := range []*string{&s.TLS.Certificate, &s.TLS.Key, &s.TLS.ClientCA} {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(folder, *name)
		}
	}
}

// Parse reads settings and returns every problem found in them.
func Parse(text []byte) (*Settings, []conf.Problem) {
	s := &Settings{}
	doc, problems := jsonc.Parse(text)
	if doc == nil {
		return s, problems
	}
	o := doc.Object()
	s.readIdentity(o)
	s.readGroup(o)
	s.readAccess(o)
	s.readLimits(o)
	o.End()
	return s, doc.Problems()
}

// defaultMemory bounds the memory of a daemon whose settings name none.
const defaultMemory = 1 << 30

// Memory returns the memory that the process may use.
func (s *Settings) Memory() int64 {
	if s.MemoryBytes > 0 {
		return s.MemoryBytes
	}
	var vm syscall.Sysinfo_t
	if err := syscall.Sysinfo(&vm); err != nil {
		return defaultMemory
	}
	return min(int64(vm.Totalram)*int64(vm.Unit), defaultMemory)
}

func (s *Settings) readIdentity(o *jsonc.Object) {
	s.Name = o.Text("name", "the daemon's name, unique in the deployment")
	s.Zone = o.Text("zone", "the availability zone of the VM")
	s.Region = o.Text("region", "the region of the VM")
	if n, ok := o.Get("listen"); ok {
		l := n.Object()
		s.Listen.Callers = address(l, "callers")
		s.Listen.Peers = address(l, "peers")
		s.Listen.Admin = address(l, "admin")
		l.End()
	} else {
		o.Fail(`add "listen" with callers, peers and admin`, "no listen addresses")
	}
	s.CloudAddress = o.TextOr("cloud", "")
	if u, err := url.Parse(s.CloudAddress); s.CloudAddress != "" && (err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "") {
		n, _ := o.Get("cloud")
		n.Fail(`write it as in "http://10.0.0.5:80"`, "%q is not the address of a cloud API", s.CloudAddress)
	}
}

func address(o *jsonc.Object, name string) string {
	text := o.Text(name, `an address such as "10.0.0.5:7080"`)
	if text != "" {
		checkAddress(o, name, text)
	}
	return text
}

func checkAddress(o *jsonc.Object, name, text string) {
	host, _, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		n, _ := o.Get(name)
		n.Fail(`write an IP number with a port, such as "10.0.0.5:7080"`, "%q is not an address", text)
	}
}

func (s *Settings) readGroup(o *jsonc.Object) {
	s.DataFolder = o.TextOr("dataFolder", "")
	s.Voters = int(o.Int("voters", 3, 1, 7))
	if s.Voters%2 == 0 {
		n, _ := o.Get("voters")
		n.Fail("write 1, 3, 5 or 7", "an even number of voters survives no more losses than one fewer")
	}
	s.FirstVoters = o.Texts("firstVoters", "the peers address of a first voter")
	s.Peers = o.Texts("peers", "the peers address of another daemon")
	for _, name := range []string{"firstVoters", "peers"} {
		for _, text := range o.Texts(name, "an address") {
			checkAddress(o, name, text)
		}
	}
	if len(s.FirstVoters) == 0 && len(s.Peers) == 0 {
		o.Fail(`add "firstVoters" for a new group or "peers" to join one`, "no other daemon is named")
	}
	s.Lease = o.Duration("lease", 3*clock.Second)
}

func (s *Settings) readAccess(o *jsonc.Object) {
	s.OpenAccess = o.TextOr("openAccess", "") == OpenAccessPhrase
	if n, ok := o.Get("openAccess"); ok && !s.OpenAccess {
		n.Fail(`remove it, or write "`+OpenAccessPhrase+`"`, "not the phrase that opens a daemon to anyone")
	}
	s.PeerToken = o.Text("peerToken", "a secret that all daemons share")
	if s.PeerToken != "" && len(s.PeerToken) < minTokenLength {
		n, _ := o.Get("peerToken")
		n.Fail("write at least 16 characters", "the secret is too short")
	}
	s.Operators = principals(o, "operators", "sections")
	s.Backends = principals(o, "backendServers", "services")
	if len(s.Operators) == 0 && !s.OpenAccess {
		o.Fail(`add "operators", or "openAccess": "`+OpenAccessPhrase+`"`, "nobody may operate this daemon")
	}
	if len(s.Backends) == 0 && !s.OpenAccess {
		o.Fail(`add "backendServers" with a token`, "no backend server may announce itself")
	}
	if n, ok := o.Get("tls"); ok {
		t := n.Object()
		s.TLS = &TLS{
			Certificate: t.Text("certificate", "a PEM file"), Key: t.Text("key", "a PEM file"),
			ClientCA: t.TextOr("clientCA", ""),
		}
		t.End()
	}
}

// minTokenLength is the minimum length of a shared secret in bytes.
const minTokenLength = 16

func principals(o *jsonc.Object, field, names string) []Principal {
	var list []Principal
	for _, n := range o.List(field) {
		e := n.Object()
		p := Principal{
			Name:        e.Text("name", "a name"),
			TokenSHA256: e.TextOr("tokenSHA256", ""),
			CommonName:  e.TextOr("commonName", ""),
			Names:       e.Texts(names, "a name"),
		}
		if p.TokenSHA256 == "" && p.CommonName == "" {
			e.Fail(`add "tokenSHA256" or "commonName"`, "no credential")
		}
		if p.TokenSHA256 != "" && len(p.TokenSHA256) != 64 {
			e.Fail("write the SHA-256 of the token as 64 hex digits", "tokenSHA256 is no digest")
		}
		if len(p.Names) == 0 {
			e.Fail(`add "`+names+`"; "*" stands for all`, "no %s are allowed", names)
		}
		e.End()
		list = append(list, p)
	}
	return list
}

func (s *Settings) readLimits(o *jsonc.Object) {
	s.BalancerLag = o.Duration("balancerLag", 5*clock.Second)
	s.StopTimeout = o.Duration("stopTimeout", 2*clock.Minute)
	s.MemoryBytes = o.Int("memoryMegabytes", 0, minMegabytes, maxMegabytes) << 20
	s.RunningRequests = readRunningRequests(o)
	s.Limits = DefaultLimits
	if n, ok := o.Get("limits"); ok {
		s.readRequestLimits(n.Object())
	}
	if n, ok := o.Get("memoryMegabytes"); ok && s.MemoryBytes > 0 && s.Limits.BodyBytes > s.MemoryBytes/bodyParts {
		n.Fail("raise it, or lower limits.bodyBytes", "a body of %d bytes may take more than a quarter of the memory", s.Limits.BodyBytes)
	}
}

func readRunningRequests(o *jsonc.Object) int { return int(o.Int("runningRequests", 0, 1, 1_000_000)) }

func (s *Settings) readRequestLimits(l *jsonc.Object) {
	s.Limits.BodyBytes = l.Int("bodyBytes", DefaultLimits.BodyBytes, 1024, 64<<20)
	s.Limits.HeaderBytes = int(l.Int("headerBytes", int64(DefaultLimits.HeaderBytes), 1024, 1<<20))
	s.Limits.ReadTimeout = l.Duration("readTimeout", DefaultLimits.ReadTimeout)
	s.Limits.WriteTimeout = l.Duration("writeTimeout", DefaultLimits.WriteTimeout)
	s.Limits.Queue = int(l.Int("queue", int64(DefaultLimits.Queue), 1, 1_000_000))
	l.End()
}

// Bounds of memoryMegabytes. bodyParts is the part of the memory that one body may take.
const (
	minMegabytes = 16
	maxMegabytes = 1 << 20
	bodyParts    = 4
)

// DefaultLimits applies to each limit that the settings omit.
var DefaultLimits = Limits{BodyBytes: 1 << 20, HeaderBytes: 32 << 10, ReadTimeout: 10 * clock.Second, WriteTimeout: 30 * clock.Second, Queue: 1024}
