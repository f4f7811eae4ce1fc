package fakes

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"swiftbeam/internal/cloud"
)

// Cloud is the cloud API: it gives notices of reclaims and counts orders.
type Cloud struct {
	Address string

	mu      sync.Mutex
	notices []notice
	refuse  map[string]bool
	orders  []cloud.Order
	stops   []cloud.StopOrder
	fence   uint64
	late    int
	// onStart starts the ordered servers.
	onStart func(cloud.Order)
}

// SetRefuseStarts makes the cloud refuse starts in an availability zone, or take them again.
func (c *Cloud) SetRefuseStarts(zone string, refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuse == nil {
		c.refuse = make(map[string]bool)
	}
	c.refuse[zone] = refuse
}

// OnStart sets the function that starts ordered servers.
func (c *Cloud) OnStart(f func(cloud.Order)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onStart = f
}

// OrderCounts returns the number of replicas ordered in each availability zone, and how many orders
// came with a fencing number that did not rise.
func (c *Cloud) OrderCounts() (counts map[string]int, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts = make(map[string]int)
	for _, o := range c.orders {
		counts[o.Zone] += o.Count
	}
	return counts, c.late
}

type notice struct {
	address string
	at      time.Time
}

// Start listens on a loopback port.
func (c *Cloud) Start(ctx context.Context) error {
	l, err := listen()
	if err != nil {
		return err
	}
	c.Address = "http://" + l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/notices", c.list)
	mux.HandleFunc("POST /v1/vms", c.order)
	mux.HandleFunc("DELETE /v1/vms", c.stop)
	server := &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return nil
}

// Reclaim gives notice that the VM at address is taken back.
func (c *Cloud) Reclaim(address string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices = append(c.notices, notice{address: address, at: time.Now().Add(after)})
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	c.mu.Lock()
	defer c.mu.Unlock()
	list := cloud.NoticeList{Notices: []cloud.Notice{}}
	for i := after; i < len(c.notices); i++ {
		n := c.notices[i]
		list.Notices = append(list.Notices, cloud.Notice{
			Sequence: uint64(i + 1), Address: n.address, InMs: max(time.Until(n.at).Milliseconds(), 0),
		})
	}
	_ = json.NewEncoder(w).Encode(list)
}

func (c *Cloud) order(w http.ResponseWriter, r *http.Request) {
	var o cloud.Order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	if !c.take(o) {
		http.Error(w, "no capacity", http.StatusServiceUnavailable)
	}
}

func (c *Cloud) take(o cloud.Order) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuse[o.Zone] {
		return false
	}
	c.check(o.Fence)
	c.orders = append(c.orders, o)
	if c.onStart != nil {
		c.onStart(o)
	}
	return true
}

func (c *Cloud) check(fence uint64) {
	if fence <= c.fence {
		c.late++
	}
	c.fence = max(c.fence, fence)
}

func (c *Cloud) stop(w http.ResponseWriter, r *http.Request) {
	var o cloud.StopOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check(o.Fence)
	c.stops = append(c.stops, o)
}
