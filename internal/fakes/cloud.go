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

// Cloud is a fake cloud API. It issues reclaim notices and records the orders that it receives.
type Cloud struct {
	Address string

	mu           sync.Mutex
	notices      []notice
	refuseStarts map[string]bool
	orders       []cloud.StartOrder
	stops        []cloud.StopOrder
	lastFence    uint64
	// staleFences counts orders whose fencing number was not higher than all earlier ones.
	staleFences int
	// onStart starts the ordered servers.
	onStart func(cloud.StartOrder)
}

// SetRefuseStarts sets whether the cloud refuses to start VMs in an availability zone.
func (c *Cloud) SetRefuseStarts(zone string, refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuseStarts == nil {
		c.refuseStarts = make(map[string]bool)
	}
	c.refuseStarts[zone] = refuse
}

// OnStart sets the function that is called for each accepted start order.
func (c *Cloud) OnStart(f func(cloud.StartOrder)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onStart = f
}

// OrderCounts returns the number of replicas ordered in each availability zone, and the number of orders
// whose fencing number was not higher than all earlier ones.
func (c *Cloud) OrderCounts() (counts map[string]int, staleFences int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts = make(map[string]int)
	for _, o := range c.orders {
		counts[o.Zone] += o.Count
	}
	return counts, c.staleFences
}

type notice struct {
	address string
	at      time.Time
}

// Start serves the cloud API on a loopback port until ctx ends.
func (c *Cloud) Start(ctx context.Context) error {
	l, err := listen()
	if err != nil {
		return err
	}
	c.Address = "http://" + l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/notices", c.listNotices)
	mux.HandleFunc("POST /v1/vms", c.orderVMs)
	mux.HandleFunc("DELETE /v1/vms", c.stopVMs)
	server := &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	return nil
}

// Reclaim issues a notice that the VM at address will be reclaimed.
func (c *Cloud) Reclaim(address string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices = append(c.notices, notice{address: address, at: time.Now().Add(after)})
}

func (c *Cloud) listNotices(w http.ResponseWriter, r *http.Request) {
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

func (c *Cloud) orderVMs(w http.ResponseWriter, r *http.Request) {
	var o cloud.StartOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	if !c.accept(o) {
		http.Error(w, "no capacity", http.StatusServiceUnavailable)
	}
}

func (c *Cloud) accept(o cloud.StartOrder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuseStarts[o.Zone] {
		return false
	}
	c.checkFence(o.Fence)
	c.orders = append(c.orders, o)
	if c.onStart != nil {
		c.onStart(o)
	}
	return true
}

func (c *Cloud) checkFence(fence uint64) {
	if fence <= c.lastFence {
		c.staleFences++
	}
	c.lastFence = max(c.lastFence, fence)
}

func (c *Cloud) stopVMs(w http.ResponseWriter, r *http.Request) {
	var o cloud.StopOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkFence(o.Fence)
	c.stops = append(c.stops, o)
}
