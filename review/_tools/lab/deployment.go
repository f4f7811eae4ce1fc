package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of the daemons and servers; each has a loopback address of its own.
const (
	peerPort    = 7600
	controlPort = 8229
	callerPort  = 8221
	readyPort   = 8224
	serverPort  = 8049
	cloudPort   = 8225
	metricsPort = 9464
)

// Bounds of the sheet of barros-oficina.
const (
	contactTime  = 3 * time.Second
	heartbeat    = 1200 * time.Millisecond
	drainTime    = 2 * time.Second
	startTimeout = 25 * time.Second
)

// plan is the size of a deployment.
type plan struct {
	cores, entries int
	// services lists the services with their servers.
	services []servicePlan
	// rate is the quota of the only tenant, in tokens a second.
	rate int
}

type servicePlan struct {
	name    string
	servers int
	slots   int
	engine  bool
	// events is the number of events of its streams, eventTime the time between them; zero for the usual.
	events    int
	eventTime time.Duration
	routes    []routePlan
}

type routePlan struct {
	name, prefix, kind string
	timeout            int
	attempts           int
	resumable, sticky  bool
}

// deployment is the running deployment.
type deployment struct {
	plan    plan
	binary  string
	folder  string
	network string
	started time.Time

	mu      sync.Mutex
	record  *os.File
	ended   []string
	stopped bool
	daemons []*daemon
	servers []*server
	nextID  int
	version int
	// idleRoutes are routes of the configuration without traffic.
	idleRoutes int
	cloud      *cloud

	behaviour atomic.Pointer[behaviour]
	// brittle is what the servers say in Server-Brittle in all their answers; zero for nothing.
	brittle atomic.Int64
	// beatDelay is how late heartbeats arrive, in nanoseconds.
	beatDelay atomic.Int64
}

// daemon is the process of one daemon.
type daemon struct {
	name, role, address, settings, data string

	mu      sync.Mutex
	command *exec.Cmd
	gone    chan struct{}
	ending  bool
}

func newDeployment(p plan, record, binary string) (*deployment, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{plan: p, binary: binary, folder: folder, record: f, started: time.Now()}
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, controlPort))
		if err == nil {
			l.Close()
			d.network = network
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// note writes a line with the time since the start to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *deployment) host(n int) string { return fmt.Sprintf("%s.%d", d.network, n) }

func (d *deployment) zone(n int) string {
	return []string{"porto-a", "porto-b", "braga-a", "guimaraes-a"}[n%4]
}

// start starts the daemons and servers, puts the first configuration and waits until all entry daemons are ready.
func (d *deployment) start() error {
	d.cloud = newCloud(d, fmt.Sprintf("%s:%d", d.host(250), cloudPort))
	for i := range d.plan.cores + d.plan.entries {
		x := &daemon{name: fmt.Sprintf("core-%s-%d", d.zone(i), 1+i/4), role: "core", address: d.host(1 + i)}
		if i >= d.plan.cores {
			n := i - d.plan.cores
			x.name, x.role = fmt.Sprintf("edge-%s-%d", d.zone(n), 1+n/4), "entry"
		} else {
			x.data = filepath.Join(d.folder, x.name)
		}
		x.settings = filepath.Join(d.folder, x.name+".jsonc")
		d.daemons = append(d.daemons, x)
		if err := d.writeSettings(x, i, true); err != nil {
			return err
		}
	}
	for _, x := range d.daemons {
		if err := d.run(x); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	for i, x := range d.daemons {
		if err := d.writeSettings(x, i, false); err != nil {
			return err
		}
	}
	for _, s := range d.plan.services {
		for range s.servers {
			if _, err := d.addServer(s); err != nil {
				return err
			}
		}
	}
	if err := d.configure(); err != nil {
		return err
	}
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(100 * time.Millisecond) {
		if d.allReady() {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not all entry daemons are ready after %v", startTimeout)
		}
	}
	// Traffic starts some seconds after the machines do.
	time.Sleep(3 * time.Second)
	d.note("all entry daemons are ready")
	return nil
}

// addCore starts a further core daemon at an address of its own, with an empty disk.
func (d *deployment) addCore() (*daemon, error) {
	x := &daemon{name: "core-" + d.zone(0) + "-9", role: "core", address: d.host(90)}
	x.data = filepath.Join(d.folder, x.name)
	x.settings = filepath.Join(d.folder, x.name+".jsonc")
	if err := d.writeSettings(x, 0, false); err != nil {
		return nil, err
	}
	d.daemons = append(d.daemons, x)
	return x, d.run(x)
}

func (d *deployment) writeSettings(x *daemon, i int, found bool) error {
	listen := fmt.Sprintf(`"callers": "%s:%d", "readiness": "%s:%d", "peers": "%s:%d", "metrics": "%s:%d"`, x.address, callerPort, x.address, readyPort, x.address, peerPort, x.address, metricsPort)
	data, duties := "", ""
	if x.role == "core" {
		listen = fmt.Sprintf(`"control": "%s:%d", "peers": "%s:%d", "metrics": "%s:%d"`, x.address, controlPort, x.address, peerPort, x.address, metricsPort)
		data = fmt.Sprintf(`"dataFolder": %q,`, x.data)
	}
	duties = fmt.Sprintf(`"duties": {"address": "%s:%d", "usage": true, "scaling": false, "lease": "3000ms", "thaw": "300ms", "usageWindow": "5s", "usageDue": "10s", "callsPerSecond": 50},`, d.host(250), cloudPort)
	var seeds []string
	for n := range min(3, d.plan.cores) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", d.host(1+n), controlPort))
	}
	list, _ := json.Marshal(seeds)
	memory := 284
	if x.role == "core" {
		memory = 280
	}
	text := fmt.Sprintf(`{
  "role": %q, "name": %q, "zone": %q, "region": "norte", "listen": {%s}, "peerPort": %d, "seeds": %s, %s
  "foundGroup": %v, "losses": %d, "peerToken": "network-of-the-platform", "memoryMegabytes": %d, "processors": 1, "stopTimeout": "8s",
  "retries": {"ratio": 0.2, "slack": 54, "window": "10s"}, "exposure": {"part": 0.1, "slack": 50},
  "quota": {"window": "8s", "overrun": 0.1, "slack": 140000}, %s
}
`, x.role, x.name, d.zone(i), listen, peerPort, list, data, found, (d.plan.cores-1)/2, memory, duties)
	temp := x.settings + ".tmp"
	if err := os.WriteFile(temp, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temp, x.settings)
}

// run starts the process of a daemon.
func (d *deployment) run(x *daemon) error {
	out, err := os.OpenFile(x.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	command := exec.Command(d.binary, x.role, "--settings", x.settings)
	command.Stdout, command.Stderr = out, out
	// The daemons end with this program, whatever ends it.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	gone := make(chan struct{})
	x.mu.Lock()
	x.command, x.gone, x.ending = command, gone, false
	x.mu.Unlock()
	go func() {
		err := command.Wait()
		x.mu.Lock()
		expected := x.ending
		x.mu.Unlock()
		if !expected {
			d.mu.Lock()
			if !d.stopped {
				d.ended = append(d.ended, fmt.Sprintf("%s ended by itself: %v", x.name, err))
			}
			d.mu.Unlock()
		}
		close(gone)
	}()
	return nil
}

func (d *deployment) unexpectedEnds() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.ended...)
}

// signal sends a signal to a daemon. Ends is set if the process ends by it.
func (x *daemon) signal(s syscall.Signal, ends bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ending = x.ending || ends
	_ = x.command.Process.Signal(s)
}

func (d *deployment) kill(x *daemon) {
	x.signal(syscall.SIGKILL, true)
	<-x.gone
}

func (d *deployment) cores() []*daemon { return d.daemons[:d.plan.cores] }
func (d *deployment) entries() []*daemon {
	return d.daemons[d.plan.cores : d.plan.cores+d.plan.entries]
}

func (d *deployment) anyEntry() *daemon { return d.entries()[rand.IntN(d.plan.entries)] }

// stop ends everything that the case started.
func (d *deployment) stop() {
	d.mu.Lock()
	d.stopped = true
	servers := append([]*server(nil), d.servers...)
	d.mu.Unlock()
	for _, x := range d.daemons {
		x.mu.Lock()
		running := x.command != nil
		x.mu.Unlock()
		if running {
			x.signal(syscall.SIGCONT, true)
			d.kill(x)
		}
	}
	for _, s := range servers {
		s.crash()
	}
	if d.cloud != nil {
		d.cloud.close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(d.folder))
	}
	_ = os.RemoveAll(d.folder)
	_ = d.record.Close()
}

func (d *deployment) allReady() bool {
	client := &http.Client{Timeout: time.Second}
	for _, x := range d.entries() {
		r, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", x.address, readyPort))
		if err != nil {
			return false
		}
		r.Body.Close()
		if r.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// key is the API key of the only tenant.
const key = "k3yofthetenant00000a"

// configuration returns the configuration of the plan.
func (d *deployment) configuration(version int) []byte {
	var routes, services []map[string]any
	for _, s := range d.plan.services {
		entry := map[string]any{"name": s.name, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false}
		if s.engine {
			entry["engine"] = map[string]any{
				"slots": s.slots, "kvCapacity": 624738, "kvBytes": 18432, "linkMbps": 180000.0, "moves": true, "backups": true, "stride": 5,
				"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleTtlS": 5.0, "models": []map[string]any{{"name": "m"}},
			}
		}
		services = append(services, entry)
		for i, r := range s.routes {
			routes = append(routes, map[string]any{
				"name": r.name, "host": "desk.example", "pathPrefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeout, "targetLatencyMs": 600,
				"priority": i, "service": s.name, "maxAttempts": r.attempts, "anonymous": false, "sticky": r.sticky, "resumable": r.resumable, "targetGapMs": 800,
			})
		}
	}
	for i := range d.idleRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-idle%d", i), "host": "idle.example", "pathPrefix": fmt.Sprintf("/idle%d/", i), "kind": "idempotent", "timeoutMs": 2000 + version%1000, "targetLatencyMs": 600,
			"priority": 1, "service": d.plan.services[0].name, "maxAttempts": 1, "anonymous": false, "sticky": false, "resumable": false, "targetGapMs": 800,
		})
	}
	tenant := map[string]any{"name": "tenant-a", "apiKeys": []string{key}, "priority": 1, "unit": "tokens", "uncachedTokens": 200}
	if d.plan.rate > 0 {
		tenant["ratePerS"], tenant["burst"] = d.plan.rate, d.plan.rate
	}
	text, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": []map[string]any{tenant},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return text
}

// configure sends the next configuration until it is acknowledged.
func (d *deployment) configure() error {
	d.version += 3
	body := d.configuration(d.version)
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for _, x := range d.cores() {
			status, _, err := d.call(x, http.MethodPost, "/Config.Replace", body, 4*time.Second)
			if err == nil && status == http.StatusOK {
				d.note("configuration %d acknowledged by %s", d.version, x.name)
				return nil
			}
		}
	}
	return fmt.Errorf("no core daemon acknowledged configuration %d", d.version)
}

// call calls the control plane of a core daemon.
func (d *deployment) call(x *daemon, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", x.address, controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

// cloud is the platform's API: it accepts all calls and records them.
type cloud struct {
	server *http.Server
}

func newCloud(d *deployment, address string) *cloud {
	c := &cloud{}
	l, err := net.Listen("tcp", address)
	if err != nil {
		d.note("no cloud: %v", err)
		return c
	}
	c.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		d.note("platform: %s by %s with token %s: %s", r.URL.Path, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"), strings.TrimSpace(string(body)))
	})}
	go func() { _ = c.server.Serve(l) }()
	return c
}

func (c *cloud) close() {
	if c.server != nil {
		_ = c.server.Close()
	}
}
