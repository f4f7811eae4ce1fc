package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The program is also a replica: a process of its own, so that it can be killed as one.

// note is one line that a replica writes of what it did. Request is the Attempt-Id.
type note struct {
	At      int64  `json:"at"` // Unix time in nanoseconds
	Event   string `json:"event"`
	Request string `json:"request,omitempty"`
	Target  string `json:"target,omitempty"`
	Version string `json:"version,omitempty"`
	Tenant  string `json:"tenant,omitempty"`
	Tokens  int    `json:"tokens,omitempty"`
	Pieces  int    `json:"pieces,omitempty"`
}

type replica struct {
	id, service, address, zone, version string
	slots                               int
	spot                                bool
	cores                               []string
	born                                int64
	sequence                            atomic.Uint64
	// leavesAt is the Unix time in milliseconds at which the replica is taken away; zero while it does not leave.
	leavesAt atomic.Int64

	// deadly is the path whose requests end the process; nil for none.
	deadly atomic.Pointer[string]

	mu  sync.Mutex
	out *bufio.Writer
}

func runReplica(args []string) int {
	r := &replica{born: time.Now().UnixMilli(), out: bufio.NewWriter(os.Stdout)}
	cores := ""
	set := flag.NewFlagSet("replica", flag.ContinueOnError)
	set.StringVar(&r.id, "id", "", "ID of the replica")
	set.StringVar(&r.service, "service", "", "service")
	set.StringVar(&r.address, "address", "", "address to listen on")
	set.StringVar(&r.zone, "zone", "", "availability zone")
	set.StringVar(&r.version, "version", "v1", "version of the software")
	set.IntVar(&r.slots, "slots", 64, "requests at once")
	set.BoolVar(&r.spot, "spot", false, "the platform may take the replica away")
	set.StringVar(&cores, "cores", "", "addresses of the control plane, with commas")
	if err := set.Parse(args); err != nil {
		return 2
	}
	r.cores = strings.Split(cores, ",")
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	go func() {
		for {
			r.announce()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	// A line of the platform is the number of milliseconds after which it takes the replica away, or the path of a request
	// that ends the process from now on.
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		if path, ok := strings.CutPrefix(in.Text(), "deadly "); ok {
			r.deadly.Store(&path)
			continue
		}
		ms, err := strconv.ParseInt(in.Text(), 10, 64)
		if err != nil {
			continue
		}
		r.leavesAt.Store(time.Now().UnixMilli() + ms)
		r.write(note{Event: "leaves"})
		r.announce()
	}
	return 0
}

func (r *replica) write(n note) {
	n.At = time.Now().UnixNano()
	line, _ := json.Marshal(n)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(append(line, '\n'))
	_ = r.out.Flush()
}

// announce sends a heartbeat, to the next daemon if one does not acknowledge it.
func (r *replica) announce() {
	body := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": r.sequence.Add(1), "born": r.born,
	}
	if r.spot {
		body["spot"] = true
	}
	if at := r.leavesAt.Load(); at > 0 {
		body["state"], body["leaves_ms"] = "draining", max(at-time.Now().UnixMilli(), 0)
	}
	data, _ := json.Marshal(body)
	client := &http.Client{Timeout: time.Second}
	first := int(time.Now().UnixNano() / 1000 % int64(len(r.cores)))
	for i := range r.cores {
		address := r.cores[(first+i)%len(r.cores)]
		response, err := client.Post("http://"+address+"/Replicas.Heartbeat/"+r.id, "application/json", bytes.NewReader(data))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			if body["state"] == "draining" {
				r.write(note{Event: "leaving acknowledged"})
			}
			return
		}
	}
}

// serve serves the requests of one connection.
func (r *replica) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !r.answer(conn, request) {
			return
		}
	}
}

// head returns the start of an answer.
func (r *replica) head(request *http.Request, status string) string {
	h := "HTTP/1.1 " + status + "\r\nAttempt-Id: " + request.Header.Get("Attempt-Id") + "\r\n"
	if r.leavesAt.Load() > 0 {
		h += "Server-Leaving: 1\r\n"
	}
	return h
}

// answer answers a request and reports whether the connection is kept. The query of the path tells what the stand-in does:
// n pieces of a stream with a pause of gap ms, with neither length nor chunks if end=close; or work of ms. A request whose
// path contains /deadly/ ends the process as it begins to run.
func (r *replica) answer(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("Attempt-Id")
	if request.URL.Path == "/healthz" {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nReplica-Id: "+r.id+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if expected := request.Header.Get("Expect-Replica"); expected != "" && expected != r.id {
		_, err := io.WriteString(conn, r.head(request, "421 Misdirected Request")+"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	tokens := 0
	for part := range strings.SplitSeq(request.Header.Get("Token-Count"), ",") {
		n, _ := strconv.Atoi(part)
		tokens += n
	}
	run := note{Request: id, Target: request.URL.RequestURI(), Version: r.version, Tenant: request.Header.Get("Tenant"), Tokens: tokens}
	run.Event = "begins"
	r.write(run)
	if path := r.deadly.Load(); path != nil && *path == request.URL.Path || strings.Contains(request.URL.Path, "/deadly/") {
		os.Exit(1)
	}
	query := request.URL.Query()
	number := func(name string, otherwise int) int {
		if n, err := strconv.Atoi(query.Get(name)); err == nil {
			return n
		}
		return otherwise
	}
	signature := "Replica-Signature: " + r.id + "." + id + "\r\n"
	if n := number("n", 0); n > 0 {
		return r.stream(conn, request, n, number("gap", 50), query.Get("end") == "close", signature)
	}
	time.Sleep(time.Duration(number("ms", 20)) * time.Millisecond)
	body := "answer to " + id + "\n"
	_, err := io.WriteString(conn, r.head(request, "200 OK")+signature+"Content-Type: text/plain\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	r.write(note{Event: "ends", Request: id, Target: run.Target})
	return err == nil
}

// stream answers with n pieces.
func (r *replica) stream(conn net.Conn, request *http.Request, n, gap int, endsWithConnection bool, signature string) bool {
	id := request.Header.Get("Attempt-Id")
	head := r.head(request, "200 OK") + signature + "Content-Type: text/event-stream\r\n"
	if endsWithConnection {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	first := 0
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for i := first; i < n; i++ {
		piece := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, id, i)
		if !endsWithConnection {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			r.write(note{Event: "broken off by the caller", Request: id, Target: request.URL.RequestURI(), Pieces: i})
			return false
		}
		if i < n-1 {
			time.Sleep(time.Duration(gap) * time.Millisecond)
		}
	}
	if !endsWithConnection {
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return false
		}
	}
	r.write(note{Event: "ends", Request: id, Target: request.URL.RequestURI(), Pieces: n})
	return !endsWithConnection
}
