package main

import (
	"bytes"
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
	"syscall"
	"time"
)

// Ports of the daemons; each daemon has a loopback address of its own.
const (
	peerPort    = 7600
	controlPort = 8229
	callerPort  = 8221
	readyPort   = 8224
	serverPort  = 8080
	cloudPort   = 8225
)

// program is the command of the deploy file.
const program = "target/swiftbeam"

// network is the second byte of all loopback addresses of this run. The listener reserves it among concurrent runs.
type network struct {
	number  int
	reserve net.Listener
}

func newNetwork() (*network, error) {
	first := rand.IntN(200)
	for i := range 200 {
		n := 20 + (first+i)%200
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", n, peerPort)); err == nil {
			return &network{number: n, reserve: l}, nil
		}
	}
	return nil, fmt.Errorf("no loopback network is free")
}

func (n *network) host(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", n.number, group, i) }

// daemon is the process of one core or entry daemon.
type daemon struct {
	name, role, zone, address string
	settings, log             string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// fleet holds the daemons of a deployment.
type fleet struct {
	record  *record
	net     *network
	folder  string
	cores   []*daemon
	entries []*daemon
	cloud   *cloud
}

var zones = []string{"porto-a", "porto-b", "braga-a", "guimaraes-a"}

// settings returns the settings of a daemon as the template of the deploy file fills them in.
func (f *fleet) settings(d *daemon, bootstrap bool) string {
	listen := fmt.Sprintf(`"callers": "%s:%d", "readiness": "%s:%d", "peers": "%s:%d"`, d.address, callerPort, d.address, readyPort, d.address, peerPort)
	data := ""
	if d.role == "core" {
		listen = fmt.Sprintf(`"control": "%s:%d", "peers": "%s:%d"`, d.address, controlPort, d.address, peerPort)
		data = fmt.Sprintf(`"dataFolder": %q,`, filepath.Join(f.folder, d.name))
	}
	var seeds []string
	for _, c := range f.cores[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", c.address, controlPort)))
	}
	return fmt.Sprintf(`{
  "role": %q, "name": %q, "zone": %q, "region": "norte",
  "listen": {%s}, "peerPort": %d, "seeds": [%s], %s
  "foundGroup": %v, "losses": 2, "peerToken": "network-of-the-platform", "memoryMegabytes": 280, "processors": 1, "stopTimeout": "8s",
  "retries": {"ratio": 0.2, "slack": 54, "window": "10s"},
  "exposure": {"part": 0.1, "slack": 50},
  "quota": {"window": "8s", "overrun": 0.1, "slack": 140000},
  "duties": {"address": "%s:%d", "usage": true, "scaling": true, "lease": "3000ms", "thaw": "300ms", "usageWindow": "5s", "usageDue": "10s", "callsPerSecond": 50},
}
`, d.role, d.name, d.zone, listen, peerPort, strings.Join(seeds, ", "), data, bootstrap, f.net.host(9, 1), cloudPort)
}

// newFleet starts the daemons of a small deployment with empty data folders.
func newFleet(r *record, n *network, folder string, cores, entries int) (*fleet, error) {
	f := &fleet{record: r, net: n, folder: folder}
	var err error
	if f.cloud, err = newCloud(r, fmt.Sprintf("%s:%d", n.host(9, 1), cloudPort)); err != nil {
		return nil, err
	}
	for i := range cores {
		f.cores = append(f.cores, &daemon{name: fmt.Sprintf("core-%d", i+1), role: "core", zone: zones[i%len(zones)], address: n.host(1, i+1)})
	}
	for i := range entries {
		f.entries = append(f.entries, &daemon{name: fmt.Sprintf("edge-%d", i+1), role: "entry", zone: zones[i%len(zones)], address: n.host(2, i+1)})
	}
	all := append(append([]*daemon(nil), f.cores...), f.entries...)
	for _, d := range all {
		d.settings, d.log = filepath.Join(folder, d.name+".jsonc"), filepath.Join(folder, d.name+".log")
		if err := f.start(d, true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// start starts a daemon with the settings of that moment.
func (f *fleet) start(d *daemon, bootstrap bool) error {
	if err := os.WriteFile(d.settings, []byte(f.settings(d, bootstrap)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(program, d.role, "--settings", d.settings)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.command, d.ended = c, ended
	d.mu.Unlock()
	f.record.add("start %s", d.name)
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// kill kills a daemon and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	c, ended := d.command, d.ended
	d.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-ended
}

// ended returns the name of a daemon that has ended and was not killed, or an empty string.
func (f *fleet) ended() string {
	for _, d := range append(append([]*daemon(nil), f.cores...), f.entries...) {
		select {
		case <-d.ended:
			return d.name
		default:
		}
	}
	return ""
}

func (f *fleet) stop() {
	for _, d := range append(append([]*daemon(nil), f.cores...), f.entries...) {
		d.kill()
	}
	f.cloud.server.Close()
}

// saveLogs copies the logs of the daemons to a folder.
func (f *fleet) saveLogs(folder string) {
	for _, d := range append(append([]*daemon(nil), f.cores...), f.entries...) {
		if text, err := os.ReadFile(d.log); err == nil {
			_ = os.WriteFile(filepath.Join(folder, d.name+".log"), text, 0o600)
		}
	}
}

var operator = &http.Client{Timeout: 2 * time.Second}

// call makes a call of the operator at one core daemon after the other until one acknowledges it.
func (f *fleet) call(path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	last := ""
	for i := range 100 {
		c := f.cores[i%len(f.cores)]
		response, err := operator.Post(fmt.Sprintf("http://%s:%d%s", c.address, controlPort, path), "application/json", bytes.NewReader(data))
		if err != nil {
			last = err.Error()
			time.Sleep(200 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			f.record.add("operator: %s acknowledged by %s", path, c.name)
			return nil
		}
		last = fmt.Sprintf("%d %s", response.StatusCode, text)
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s is not acknowledged: %s", path, last)
}

// readRollout returns the state of the rollout of a service.
func (f *fleet) readRollout(service string) string {
	for _, c := range f.cores {
		response, err := operator.Get(fmt.Sprintf("http://%s:%d/Rollouts.Read/%s", c.address, controlPort, service))
		if err != nil {
			continue
		}
		var b struct {
			State string `json:"state"`
		}
		err = json.NewDecoder(response.Body).Decode(&b)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return b.State
		}
	}
	return ""
}

// awaitReady waits until all entry daemons say that they are ready.
func (f *fleet) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range f.entries {
			response, err := operator.Get(fmt.Sprintf("http://%s:%d/readyz", e.address, readyPort))
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.entries) {
			f.record.add("all entry daemons are ready")
			return nil
		}
	}
	return fmt.Errorf("the entry daemons do not get ready")
}

// cloud is the platform's API for duties. It accepts all calls.
type cloud struct {
	server *http.Server

	mu     sync.Mutex
	holder string
}

func newCloud(r *record, address string) (*cloud, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &cloud{}
	c.server = &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		c.mu.Lock()
		c.holder = q.Header.Get("Duty-Holder")
		c.mu.Unlock()
		r.add("platform: %s of %s with token %s: %s", q.URL.Path, q.Header.Get("Duty-Holder"), q.Header.Get("Fencing-Token"), body)
	})}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

// last returns the name of the daemon that acted last.
func (c *cloud) last() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder
}
