package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// server is the process of a replica as the platform has started it.
type server struct {
	id, service, zone, version, address string
	command                             *exec.Cmd
	stdin                               io.WriteCloser
	ended                               chan struct{}
}

// platform starts and ends replicas and collects what they write.
type platform struct {
	fleet *fleet

	mu     sync.Mutex
	notes  []note
	count  int
	closed bool
	all    []*server
	// ordered is the last line that all replicas get, also those that start later.
	ordered string
}

// order sends a line to all replicas.
func (p *platform) order(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ordered = line
	for _, s := range p.all {
		fmt.Fprintln(s.stdin, line)
	}
}

// start starts a replica. Each start has an ID of its own.
func (p *platform) start(service, zone, version, address string, spot bool) (*server, error) {
	p.mu.Lock()
	p.count++
	s := &server{id: fmt.Sprintf("i-%04x", 0x1000+p.count), service: service, zone: zone, version: version, address: address, ended: make(chan struct{})}
	p.mu.Unlock()
	var cores []string
	for _, c := range p.fleet.cores {
		cores = append(cores, fmt.Sprintf("%s:%d", c.address, controlPort))
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s.command = exec.Command(self, "replica", "-id", s.id, "-service", service, "-address", address, "-zone", zone, "-version", version,
		"-cores", strings.Join(cores, ","), fmt.Sprintf("-spot=%v", spot))
	s.command.Stderr = os.Stderr
	s.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if s.stdin, err = s.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := s.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.all = append(p.all, s)
	if p.ordered != "" {
		fmt.Fprintln(s.stdin, p.ordered)
	}
	p.mu.Unlock()
	p.fleet.record.add("replica %s (%s %s in %s at %s) starts", s.id, service, version, zone, address)
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var n note
			if json.Unmarshal(lines.Bytes(), &n) == nil {
				p.mu.Lock()
				p.notes = append(p.notes, n)
				p.mu.Unlock()
				p.fleet.record.addRequest(n.Target, n.Event+" at "+s.version, "replica %s: %s", s.id, lines.Text())
			}
		}
		_ = s.command.Wait()
		p.fleet.record.add("replica %s has ended", s.id)
		close(s.ended)
	}()
	return s, nil
}

// leave tells a replica that it is taken away after a time.
func (s *server) leave(after time.Duration) { fmt.Fprintf(s.stdin, "%d\n", after.Milliseconds()) }

func (s *server) kill() {
	_ = s.command.Process.Kill()
	<-s.ended
}

// restart starts a replica that has ended by itself anew after a time, until the platform stops.
func (p *platform) restart(s *server, after time.Duration) {
	for {
		<-s.ended
		time.Sleep(after)
		p.mu.Lock()
		closed := p.closed
		p.mu.Unlock()
		if closed {
			return
		}
		next, err := p.start(s.service, s.zone, s.version, s.address, false)
		if err != nil {
			return
		}
		s = next
	}
}

func (p *platform) stop() {
	p.mu.Lock()
	p.closed = true
	all := append([]*server(nil), p.all...)
	p.mu.Unlock()
	for _, s := range all {
		s.kill()
	}
}

// written returns the notes with an event.
func (p *platform) written(event string) []note {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []note
	for _, n := range p.notes {
		if n.Event == event {
			list = append(list, n)
		}
	}
	return list
}
