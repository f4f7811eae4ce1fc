package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes; each process has a loopback address of its own.
const (
	peerPort    = 7600
	controlPort = 8229
	callerPort  = 8221
	readyPort   = 8224
	cloudPort   = 8225
	serverPort  = 8300
)

// process is one process of the project.
type process struct {
	name, role, ip, settings, data string
	mu                             sync.Mutex
	command                        *exec.Cmd
	ended                          chan struct{}
	// wanted is set while the process is to run: the platform starts it again when it ends.
	wanted bool
	// ends counts the ends that nobody ordered.
	ends int
}

// fleet is a deployment on loopback addresses, with the stand-in of the platform.
type fleet struct {
	binary, folder, net string
	cores, entries      []*process
	memory              int
	record              *record
	cancel              context.CancelFunc
	ctx                 context.Context
	usage               []string
	usageMu             sync.Mutex
}

// record writes what happened to a file.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// freeNetwork returns the first three bytes of loopback addresses on which the ports are free.
func freeNetwork() string {
	for range 200 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		free := true
		for _, port := range []int{peerPort, controlPort, callerPort, readyPort, cloudPort, serverPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.11:%d", network, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return network
		}
	}
	panic("no free loopback network")
}

func newFleet(binary, folder string, cores, entries, memory int, r *record) *fleet {
	f := &fleet{binary: binary, folder: folder, net: freeNetwork(), memory: memory, record: r}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for i := range cores {
		f.cores = append(f.cores, &process{name: fmt.Sprintf("core-%d", i+1), role: "core", ip: fmt.Sprintf("%s.%d", f.net, 11+i), data: filepath.Join(folder, fmt.Sprintf("data-%d", i+1))})
	}
	for i := range entries {
		f.entries = append(f.entries, &process{name: fmt.Sprintf("entry-%d", i+1), role: "entry", ip: fmt.Sprintf("%s.%d", f.net, 21+i)})
	}
	return f
}

func (f *fleet) all() []*process { return append(append([]*process{}, f.cores...), f.entries...) }

// settingsText follows platform/settings.jsonc, with the bounds of a small deployment.
func (f *fleet) settingsText(p *process, found bool) string {
	listen := fmt.Sprintf(`"callers": "%s:%d", "readiness": "%s:%d", "peers": "%s:%d"`, p.ip, callerPort, p.ip, readyPort, p.ip, peerPort)
	data := ""
	if p.role == "core" {
		listen = fmt.Sprintf(`"control": "%s:%d", "peers": "%s:%d"`, p.ip, controlPort, p.ip, peerPort)
		data = fmt.Sprintf(`"dataFolder": %q,`, p.data)
	}
	var seeds []string
	for i, c := range f.cores {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", c.ip, controlPort)))
		}
	}
	return fmt.Sprintf(`{
  "role": %q, "name": %q, "zone": "a", "region": "r", "listen": {%s, "metrics": "%s:9464"}, "peerPort": %d, "seeds": [%s], %s
  "foundGroup": %v, "losses": %d, "peerToken": "network-of-the-platform", "memoryMegabytes": %d, "processors": 1, "stopTimeout": "8s",
  "retries": {"ratio": 0.2, "slack": 54, "window": "10s"}, "exposure": {"part": 0.1, "slack": 50},
  "quota": {"window": "8s", "overrun": 0.1, "slack": 140000},
  "duties": {"address": "%s.5:%d", "usage": true, "scaling": true, "lease": "3000ms", "thaw": "300ms", "usageWindow": "5s", "usageDue": "10s", "callsPerSecond": 50},
}
`, p.role, p.name, listen, p.ip, peerPort, strings.Join(seeds, ", "), data, found, (len(f.cores)-1)/2, f.memory, f.net, cloudPort)
}

func (f *fleet) write(p *process, found bool) {
	p.settings = filepath.Join(f.folder, p.name+".jsonc")
	if err := os.WriteFile(p.settings, []byte(f.settingsText(p, found)), 0o600); err != nil {
		panic(err)
	}
}

// start starts all processes, and has the platform start them again when they end.
func (f *fleet) start() error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.5:%d", f.net, cloudPort))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(f.cloud)) }()
	for _, p := range f.all() {
		f.write(p, true)
		if err := f.launch(p); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	for _, p := range f.all() {
		f.write(p, false)
	}
	return nil
}

// cloud accepts each call of a duty once for a window.
func (f *fleet) cloud(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f.record.printf("platform gets %s of %s with fence %s: %.120s", r.URL.Path, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"), body)
	f.usageMu.Lock()
	f.usage = append(f.usage, fmt.Sprintf("%s %s fence %s: %s", r.URL.Path, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"), body))
	f.usageMu.Unlock()
}

func (f *fleet) launch(p *process) error {
	out, err := os.OpenFile(filepath.Join(f.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	command := exec.Command(f.binary, p.role, "--settings", p.settings)
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended, p.wanted = command, ended, true
	p.mu.Unlock()
	go func() {
		err := command.Wait()
		p.mu.Lock()
		wanted := p.wanted
		if wanted {
			p.ends++
		}
		p.mu.Unlock()
		close(ended)
		if wanted && f.ctx.Err() == nil {
			f.record.printf("%s ended by itself: %v", p.name, err)
		}
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s)
}

// kill ends a process with SIGKILL.
func (p *process) kill() {
	p.mu.Lock()
	p.wanted = false
	_ = p.command.Process.Kill()
	ended := p.ended
	p.mu.Unlock()
	<-ended
}

// stop ends all processes.
func (f *fleet) stop() {
	f.cancel()
	for _, p := range f.all() {
		if p.command != nil {
			p.kill()
		}
	}
}

// post sends a call to a core daemon and returns its status, or 0, and the body of the answer.
func post(ip, path, body string) (int, string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(fmt.Sprintf("http://%s:%d%s", ip, controlPort, path), "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// order sends an order to one core daemon after the other until one acknowledges it.
func (f *fleet) order(path, body string) error {
	last := ""
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, c := range f.cores {
			status, text := post(c.ip, path, body)
			if status == http.StatusOK {
				return nil
			}
			last = fmt.Sprintf("%d %s", status, text)
		}
	}
	return fmt.Errorf("no acknowledgement of %s: %s", path, last)
}

// awaitReady waits until each entry daemon is ready.
func (f *fleet) awaitReady() error {
	for _, p := range f.entries {
		for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			response, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", p.ip, readyPort))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", p.name)
			}
		}
	}
	return nil
}

// leader returns the core daemon that leads, by its metrics; nil if none does.
func (f *fleet) leader() *process {
	for _, p := range f.cores {
		client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get(fmt.Sprintf("http://%s:9464/metrics", p.ip))
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		for line := range strings.Lines(string(text)) {
			if fields := strings.Fields(line); len(fields) == 2 && strings.Contains(fields[0], "core") && strings.HasSuffix(fields[0], "leads") && fields[1] == "1" {
				return p
			}
		}
	}
	return nil
}

// memoryKB returns a field of the status of the process in KB.
func (p *process) memoryKB(field string) int {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if fields := bytes.Fields(line); len(fields) > 1 && string(fields[0]) == field+":" {
			n, _ := strconv.Atoi(string(fields[1]))
			return n
		}
	}
	return 0
}

func jsonText(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// restartPause is the time after which the platform starts a process again.
const restartPause = 300 * time.Millisecond

// limitMemory ends a process when it uses more memory than its machine has, as the platform does, and starts it again. Memory
// of the program's file does not count. It returns how often that was and the most memory in KB.
func (f *fleet) limitMemory(p *process, end time.Time) (killed, peak int) {
	for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		used := p.memoryKB("RssAnon")
		peak = max(peak, used)
		if used <= f.memory<<10 {
			continue
		}
		killed++
		f.record.printf("%s uses %d MB of %d; the platform kills it", p.name, used>>10, f.memory)
		p.kill()
		time.Sleep(restartPause)
		if err := f.launch(p); err != nil {
			f.record.printf("start of %s: %v", p.name, err)
			return killed, peak
		}
	}
	return killed, peak
}

// endsOfRule and machinesOfRule are of the rule: a day counts 0 if on a tenth of the machines, two at least, processes end by
// themselves three times.
const (
	endsOfRule     = 3
	machinesOfRule = 2
)

// judgeMemory sends a request to each entry daemon, again and again, while the platform limits their memory. The rule is broken if the
// platform had to end processes endsOfRule times on machinesOfRule machines. happened reports whether the case was played.
func (f *fleet) judgeMemory(p *play, end time.Time, request func(e *process, n int), pause time.Duration, happened func() bool) (int, error) {
	var work sync.WaitGroup
	ended := make([]int, len(f.entries))
	for i, e := range f.entries {
		work.Go(func() {
			var peak int
			ended[i], peak = f.limitMemory(e, end)
			p.printf("%s used up to %d MB of %d, and was ended %d times for that", e.name, peak>>10, f.memory, ended[i])
		})
		work.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				work.Go(func() { request(e, n) })
				time.Sleep(pause)
			}
		})
	}
	work.Wait()
	machines := 0
	for _, n := range ended {
		if n >= endsOfRule {
			machines++
		}
	}
	p.printf("on %d machines processes were ended %d times or more", machines, endsOfRule)
	switch {
	case machines >= machinesOfRule:
		return broken, nil
	case !happened():
		return unable, errors.New("the clients or replicas did not do what the case needs")
	}
	return held, nil
}

// askReadiness asks an entry daemon once a second whether it is ready, as the platform does.
func (f *fleet) askReadiness(p *process, end time.Time) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ; time.Now().Before(end); time.Sleep(time.Second) {
		response, err := client.Get("http://" + at(p.ip, readyPort) + "/readyz")
		if err != nil {
			f.record.printf("readiness of %s: %v", p.name, err)
			continue
		}
		response.Body.Close()
		f.record.printf("readiness of %s: %d", p.name, response.StatusCode)
	}
}
