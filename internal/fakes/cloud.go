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
	// Refuse makes it refuse to start VMs.
	Refuse bool

	Address string

	mu      sync.Mutex
	notices []notice
	Orders  []cloud.Order
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
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Refuse {
		http.Error(w, "no capacity", http.StatusServiceUnavailable)
		return
	}
	c.Orders = append(c.Orders, o)
}
