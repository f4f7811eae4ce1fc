package fakes

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"swiftbeam/pkg/admin"
)

// Announcer registers a fake backend server with the daemons by regular announcements, as every backend
// server must. Engine and PaymentServer embed it.
type Announcer struct {
	Service string
	Version string
	Zone    string
	Kind    string
	Token   string
	// Daemons are the addresses of the daemons. Each announcement goes to one of them, as through a load
	// balancer.
	Daemons []string
	// Interval is the pause between announcements; zero means 500 ms.
	Interval time.Duration
	// Load returns the numbers of running and waiting requests.
	Load func() (running, waiting int)

	Address string

	mu        sync.Mutex
	state     string
	reclaimAt time.Time
	sequence  uint64
	startTime time.Time
	server    *http.Server
	stop      context.CancelFunc
	slots     int
}

func (a *Announcer) start(ctx context.Context, h http.Handler, slots int) error {
	l, err := listen()
	if err != nil {
		return err
	}
	a.Address = l.Addr().String()
	a.slots = slots
	a.state = "ready"
	a.startTime = time.Now()
	a.server = &http.Server{Handler: h, BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() { _ = a.server.Serve(l) }()
	announceCtx, stop := context.WithCancel(ctx)
	a.stop = stop
	go a.run(announceCtx)
	return nil
}

func (a *Announcer) run(ctx context.Context) {
	interval := a.Interval
	if interval == 0 {
		interval = 500 * time.Millisecond
	}
	for ctx.Err() == nil {
		a.announce(ctx)
		sleep(ctx, interval)
	}
}

// announce sends one announcement to a random daemon, and to the next one if that fails.
func (a *Announcer) announce(ctx context.Context) {
	for _, i := range rand.Perm(len(a.Daemons)) {
		c := admin.Client{Address: "http://" + a.Daemons[i], Token: a.Token}
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		err := c.Announce(ctx, a.message())
		cancel()
		if err == nil {
			return
		}
	}
}

func (a *Announcer) message() admin.Announcement {
	running, waiting := 0, 0
	if a.Load != nil {
		running, waiting = a.Load()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	m := admin.Announcement{
		Service: a.Service, Version: a.Version, Address: a.Address, Zone: a.Zone, Kind: a.Kind,
		Incarnation: uint64(a.startTime.UnixNano()), Sequence: a.sequence, State: a.state,
		Running: running, Waiting: waiting, Slots: a.slots, Reclaimable: true,
	}
	if a.state == "reclaimed" {
		m.ReclaimInMs = max(time.Until(a.reclaimAt).Milliseconds(), 1)
	}
	return m
}

// AnnounceLeaving announces a planned stop of the server.
func (a *Announcer) AnnounceLeaving(ctx context.Context) { a.changeState(ctx, "leaving", time.Time{}) }

// AnnounceReclaim announces that the VM of the server will be reclaimed after the notice period.
func (a *Announcer) AnnounceReclaim(ctx context.Context, notice time.Duration) {
	a.changeState(ctx, "reclaimed", time.Now().Add(notice))
}

func (a *Announcer) changeState(ctx context.Context, state string, at time.Time) {
	a.mu.Lock()
	a.state, a.reclaimAt = state, at
	a.mu.Unlock()
	a.announce(ctx)
}

// Kill stops the fake immediately, as if its process had crashed.
func (a *Announcer) Kill() {
	a.stop()
	_ = a.server.Close()
}
