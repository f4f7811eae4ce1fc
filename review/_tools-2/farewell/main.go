// Command farewell plays a small deployment with the programs of the deploy file as processes. A replica says that it leaves
// with POST /Replicas.Deregister, as some do without a word before, a core daemon acknowledges that, and loses power right
// after it. The replica serves on. The command records which requests reach the replica later than the pages allow.
//
//	farewell -program target/swiftbeam -record record.txt [-trouble=false]
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the small sites.
const (
	heartbeat = 1200 * time.Millisecond
	drain     = 2000 * time.Millisecond
	contact   = 3000 * time.Millisecond
)

const (
	cores    = 5
	entries  = 3
	replicas = 4
	// dark is how long the core daemon stays down: the default of after_ack_kill.
	dark = 5 * time.Second
	// stay is how long the replica serves after the acknowledgement: drainMs and some seconds more.
	stay = 4500 * time.Millisecond
	// work is how long a replica takes for a request.
	work = 100 * time.Millisecond
	// sinceHeartbeat is the time between the replica's last heartbeat and its farewell.
	sinceHeartbeat = 150 * time.Millisecond
	// margin keeps requests at the edge of a bound from being counted.
	margin = 100 * time.Millisecond
	// pace is the time between two requests of the clients.
	pace = 25 * time.Millisecond
)

const (
	key     = "k9n73hh2b9wu3fexd9dn"
	account = "hule930"
	service = "wuno96b"
	host    = "ficu95.example"
)

var (
	began   = time.Now()
	linesMu sync.Mutex
	lines   []string
)

func since(t time.Time) string { return fmt.Sprintf("%9.3f", t.Sub(began).Seconds()) }

func record(t time.Time, format string, args ...any) {
	linesMu.Lock()
	defer linesMu.Unlock()
	lines = append(lines, since(t)+"  "+fmt.Sprintf(format, args...))
}

// cannotRun ends the command, with its processes, as the case could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	panic(stop(2))
}

type stop int

func main() {
	program := flag.String("program", "target/swiftbeam", "program of the deploy file")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "kill the core daemon that acknowledged")
	flag.Parse()
	os.Exit(run(*program, *recordPath, *trouble))
}

func run(program, recordPath string, trouble bool) (code int) {
	folder, err := os.MkdirTemp("", "farewell")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d := &deployment{program: program, folder: folder}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		d.end()
		os.Exit(2)
	}()
	defer func() {
		if r := recover(); r != nil {
			s, ok := r.(stop)
			if !ok {
				panic(r)
			}
			code = int(s)
		}
		d.end()
		linesMu.Lock()
		sort.Strings(lines)
		text := strings.Join(lines, "\n") + "\n"
		linesMu.Unlock()
		if err := os.WriteFile(recordPath, []byte(text), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 2
		}
		_ = os.RemoveAll(folder)
	}()
	go watchStalls()
	d.start()
	d.putRules()
	for i := range replicas {
		d.replicas = append(d.replicas, newReplica(d, i))
	}
	d.awaitReady()
	var clients sync.WaitGroup
	ended := make(chan struct{})
	clients.Go(func() { d.runClients(ended) })
	// All machines are in touch: nothing has happened for much longer than contactMs.
	time.Sleep(contact + 3*time.Second)

	leaver, witness := d.replicas[replicas-1], d.cores[cores-1]
	leaver.mu.Lock()
	leaver.silent = true
	leaver.mu.Unlock()
	time.Sleep(heartbeat)
	if status := leaver.beat(witness); status != http.StatusOK {
		cannotRun("the last heartbeat got status %d", status)
	}
	time.Sleep(sinceHeartbeat)
	status := leaver.deregister(witness)
	acked := time.Now()
	if trouble {
		witness.kill()
	}
	if status != http.StatusOK {
		cannotRun("the farewell got status %d", status)
	}
	record(acked, "ACKNOWLEDGED  %s answered POST /Replicas.Deregister/%s with %d", witness.name, leaver.id, status)
	if trouble {
		record(acked, "TROUBLE  %s killed right after that, down for %v", witness.name, dark)
	}
	time.Sleep(time.Until(acked.Add(stay)))
	leaver.exit()
	record(time.Now(), "%s has ended", leaver.id)
	time.Sleep(time.Until(acked.Add(dark)))
	if trouble {
		witness.start(d, false)
		record(time.Now(), "%s started again", witness.name)
	}
	time.Sleep(time.Second)
	close(ended)
	clients.Wait()
	d.checkRun()
	return d.judge(leaver, acked, trouble)
}

// maxStall is how long this command may stand still. Beyond that, what it saw may be late by itself.
const maxStall = 500 * time.Millisecond

var longestStall atomic.Int64

// watchStalls records for how long this command did not run.
func watchStalls() {
	const interval = 20 * time.Millisecond
	for {
		at := time.Now()
		time.Sleep(interval)
		if stall := int64(time.Since(at) - interval); stall > longestStall.Load() {
			longestStall.Store(stall)
		}
	}
}

// checkRun ends the command if a daemon has ended by itself, or if the command stood still.
func (d *deployment) checkRun() {
	for _, p := range append(append([]*process(nil), d.cores...), d.entries...) {
		p.mu.Lock()
		ended := p.ended
		p.mu.Unlock()
		select {
		case <-ended:
			cannotRun("%s has ended by itself", p.name)
		default:
		}
	}
	if stall := time.Duration(longestStall.Load()); stall > maxStall {
		cannotRun("this command stood still for %v", stall)
	}
}

// judge counts the requests that a client sent, and that reached the replica, later than drainMs after the acknowledgement,
// while all entry daemons were in touch: later than contactMs after the core daemon was killed, and before it was started
// again.
func (d *deployment) judge(leaver *replica, acked time.Time, trouble bool) int {
	from := acked.Add(drain + margin)
	until := acked.Add(stay)
	if trouble {
		from, until = acked.Add(contact+margin), acked.Add(dark-margin)
	}
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	late, afterDrain, last := 0, 0, time.Time{}
	for _, a := range leaver.arrivals {
		sent := d.sentAt(a.id)
		if sent.After(acked.Add(drain)) {
			afterDrain++
			last = a.at
		}
		if sent.After(from) && a.at.Before(until) {
			late++
			record(a.at, "LATE  %s reached %s %.3f s after its farewell was acknowledged", a.id, leaver.id, a.at.Sub(acked).Seconds())
		}
	}
	begun := make(map[string]bool)
	for _, a := range leaver.arrivals {
		begun[a.id] = true
	}
	served, failed, cut, beforeTrouble := 0, 0, 0, 0
	for _, r := range d.results() {
		if r.status == http.StatusOK {
			served++
		} else {
			failed++
		}
		if r.status != http.StatusOK && begun[r.id] {
			cut++
		}
		if r.sent.Before(acked) && r.replica == leaver.id {
			beforeTrouble++
		}
	}
	text := fmt.Sprintf("requests: %d served, %d not; %d on the leaving replica before its farewell; %d sent later than %v after the acknowledgement reached it",
		served, failed, beforeTrouble, afterDrain, drain)
	if afterDrain > 0 {
		text += fmt.Sprintf(", the last %.3f s after", last.Sub(acked).Seconds())
	}
	text += fmt.Sprintf("; %d of them by machines in touch; %d that ran on it were cut off by its end", late, cut)
	fmt.Println(text)
	record(time.Now(), "SUMMARY  %s", text)
	if beforeTrouble == 0 || served == 0 {
		fmt.Fprintln(os.Stderr, "could not run: the leaving replica had no requests before")
		return 2
	}
	if late > 0 {
		fmt.Println("broken: DRAIN")
		return 1
	}
	fmt.Println("held")
	return 0
}

// process is a daemon of the deployment.
type process struct {
	name, role, address, settings string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

type deployment struct {
	program, folder string
	network         int
	reserved        net.Listener
	cores, entries  []*process
	replicas        []*replica

	mu   sync.Mutex
	sent map[string]time.Time
	list []result
}

const (
	peerPort    = 7600
	controlPort = 8229
	callerPort  = 8221
	readyPort   = 8224
)

func (d *deployment) host(n int) string { return fmt.Sprintf("127.%d.7.%d", d.network, n) }

// start reserves a loopback network and starts all daemons.
func (d *deployment) start() {
	for i := range 150 {
		n := 20 + (os.Getpid()+i)%200
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.7.254:%d", n, peerPort))
		if err == nil {
			d.network, d.reserved = n, l
			break
		}
	}
	if d.reserved == nil {
		cannotRun("no free loopback network")
	}
	for i := range cores + entries {
		p := &process{name: fmt.Sprintf("core-%d", i+1), role: "core", address: d.host(1 + i)}
		if i >= cores {
			p.name, p.role = fmt.Sprintf("entry-%d", i-cores+1), "entry"
			d.entries = append(d.entries, p)
		} else {
			d.cores = append(d.cores, p)
		}
	}
	for _, p := range append(append([]*process(nil), d.cores...), d.entries...) {
		p.settings = filepath.Join(d.folder, p.name+".jsonc")
		p.start(d, true)
	}
}

// write writes the settings as platform/settings.jsonc gives them for a machine of a small site.
func (p *process) write(d *deployment, found bool) {
	listen := fmt.Sprintf(`"callers": "%s:%d", "peers": "%s:%d", "readiness": "%s:%d"`, p.address, callerPort, p.address, peerPort, p.address, readyPort)
	data := ""
	if p.role == "core" {
		listen = fmt.Sprintf(`"control": "%s:%d", "peers": "%s:%d"`, p.address, controlPort, p.address, peerPort)
		data = fmt.Sprintf("%q: %q,", "dataFolder", filepath.Join(d.folder, p.name))
	}
	var seeds []string
	for _, c := range d.cores[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", c.address, controlPort)))
	}
	text := fmt.Sprintf(`{
  "role": %q, "name": %q, "zone": "porto-a", "region": "norte", "listen": {%s},
  "peerPort": %d, "seeds": [%s], %s "foundGroup": %v, "losses": 2, "peerToken": "network-of-the-platform",
  "memoryMegabytes": 284, "processors": 1, "stopTimeout": "8s",
  "retries": {"ratio": 0.2, "slack": 54, "window": "10s"}, "exposure": {"part": 0.1, "slack": 50},
  "quota": {"window": "8s", "overrun": 0.1, "slack": 140000}
}
`, p.role, p.name, listen, peerPort, strings.Join(seeds, ", "), data, found)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		cannotRun("%v", err)
	}
}

func (p *process) start(d *deployment, found bool) {
	p.write(d, found)
	log, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	defer log.Close()
	command := exec.Command(d.program, p.role, "--settings", p.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		cannotRun("%v", err)
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	p.mu.Lock()
	p.command, p.ended = command, ended
	p.mu.Unlock()
}

func (p *process) kill() {
	p.mu.Lock()
	command, ended := p.command, p.ended
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGKILL)
	<-ended
}

// end ends all processes that were started.
func (d *deployment) end() {
	for _, r := range d.replicas {
		r.exit()
	}
	for _, p := range append(append([]*process(nil), d.entries...), d.cores...) {
		p.kill()
	}
	if d.reserved != nil {
		d.reserved.Close()
	}
}

// putRules sends the first configuration until it is acknowledged.
func (d *deployment) putRules() {
	text := fmt.Sprintf(`{"version":7,"routes":[{"name":"r-m82thhk","host":%q,"pathPrefix":"/pufi791/","kind":"non_idempotent","timeoutMs":4000,"targetLatencyMs":300,"priority":1,"service":%q,"maxAttempts":1,"anonymous":false,"sticky":false}],`+
		`"services":[{"name":%q,"healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":%q,"apiKeys":[%q],"priority":1}]}`, host, service, service, account, key)
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, c := range d.cores {
			status := call(fmt.Sprintf("%s:%d", c.address, controlPort), http.MethodPost, "/Config.Replace", text)
			if status == http.StatusOK {
				record(time.Now(), "%s acknowledged configuration 7", c.name)
				return
			}
		}
	}
	cannotRun("no core daemon acknowledged the configuration")
}

// call sends a request on a connection of its own and returns the status, 0 without a response in a second.
func call(address, method, path, body string) int {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", method, path, address, len(body), body); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// awaitReady waits until all entry daemons are ready and serve.
func (d *deployment) awaitReady() {
	end := time.Now().Add(20 * time.Second)
	for _, e := range d.entries {
		for call(fmt.Sprintf("%s:%d", e.address, readyPort), http.MethodGet, "/readyz", "") != http.StatusOK {
			if time.Now().After(end) {
				cannotRun("%s is not ready", e.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(heartbeat)
}

// replica is a stand-in for a replica of a plain service.
type replica struct {
	deployment *deployment
	id         string
	address    string
	born       int64
	sequence   atomic.Int64
	listener   net.Listener
	server     *http.Server

	mu       sync.Mutex
	silent   bool
	arrivals []arrival
}

type arrival struct {
	id string
	at time.Time
}

func newReplica(d *deployment, n int) *replica {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:0", d.host(100+n)))
	if err != nil {
		cannotRun("%v", err)
	}
	r := &replica{deployment: d, id: fmt.Sprintf("i-%d", n+1), address: l.Addr().String(), born: time.Now().UnixMilli(), listener: l}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	go func() {
		for i := n; ; i++ {
			r.mu.Lock()
			silent := r.silent
			r.mu.Unlock()
			if silent {
				return
			}
			// A heartbeat that gets no response in a second goes to the next daemon.
			for range cores {
				if r.beat(d.cores[i%cores]) == http.StatusOK {
					break
				}
				i++
			}
			time.Sleep(heartbeat)
		}
	}()
	return r
}

func (r *replica) beat(c *process) int {
	sequence := r.sequence.Add(1)
	at := time.Now()
	status := call(fmt.Sprintf("%s:%d", c.address, controlPort), http.MethodPost, "/Replicas.Heartbeat/"+r.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"porto-a","version":"v1","slots":16,"state":"ready","coldRemainingMs":0,"sequence":%d,"born":%d}`,
		service, r.address, sequence, r.born))
	record(at, "heartbeat  %s sequence %d to %s: %d", r.id, sequence, c.name, status)
	return status
}

func (r *replica) deregister(c *process) int {
	return call(fmt.Sprintf("%s:%d", c.address, controlPort), http.MethodPost, "/Replicas.Deregister/"+r.id, fmt.Sprintf(`{"born":%d}`, r.born))
}

func (r *replica) exit() {
	r.mu.Lock()
	r.silent = true
	r.mu.Unlock()
	_ = r.server.Close()
}

// ServeHTTP runs a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id, at := q.Header.Get("Attempt-Id"), time.Now()
	w.Header().Set("Attempt-Id", id)
	if q.Header.Get("Expect-Replica") != r.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id, at})
	r.mu.Unlock()
	record(at, "run  %s on %s", id, r.id)
	time.Sleep(work)
	body := "body of " + id
	w.Header().Set("Replica-Signature", "3e1b."+id)
	w.Header().Set("X-Replica", r.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// result is what a client got.
type result struct {
	id      string
	sent    time.Time
	status  int
	replica string
}

func (d *deployment) sentAt(id string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sent[id]
}

func (d *deployment) results() []result {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list
}

// runClients sends a request every pace, to the entry daemons in turn, until ended is closed.
func (d *deployment) runClients(ended chan struct{}) {
	d.mu.Lock()
	d.sent = make(map[string]time.Time)
	d.mu.Unlock()
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var all sync.WaitGroup
	defer all.Wait()
	for n := 1; ; n++ {
		select {
		case <-ended:
			return
		case <-time.After(pace):
		}
		all.Go(func() { d.request(client, n) })
	}
}

func (d *deployment) request(client *http.Client, n int) {
	e := d.entries[n%len(d.entries)]
	r := result{id: fmt.Sprintf("a%06d", n)}
	q, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/pufi791/2f", e.address, callerPort), strings.NewReader("billet "+r.id))
	if err != nil {
		return
	}
	q.Host = host
	q.Header.Set("Attempt-Id", r.id)
	q.Header.Set("Authorization", "Token "+key)
	q.Header.Set("Deadline-Ms", "4000")
	r.sent = time.Now()
	d.mu.Lock()
	d.sent[r.id] = r.sent
	d.mu.Unlock()
	record(r.sent, "sent  %s to %s", r.id, e.name)
	response, err := client.Do(q)
	if err == nil {
		body, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		r.status, r.replica = response.StatusCode, response.Header.Get("X-Replica")
		if readErr != nil || r.status == http.StatusOK && string(body) != "body of "+r.id {
			r.status = -1
		}
	}
	record(time.Now(), "answered  %s: %d by %s", r.id, r.status, r.replica)
	d.mu.Lock()
	d.list = append(d.list, r)
	d.mu.Unlock()
}
