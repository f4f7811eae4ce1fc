package state

import "swiftbeam/pkg/clock"

// OrderKind is what a backend server or the cloud is requested to do.
type OrderKind uint8

// Kinds of orders.
const (
	LoadModel OrderKind = iota
	LoadAdapter
	LoadVersion
	ChangeRole
	StartVM
	StopVM
	CancelOrder
)

// Order is the exclusive right of a holder to give one order, with its fencing number.
type Order struct {
	Operation string
	Target    string
	Kind      OrderKind
	Argument  string
	Holder    string
	Fence     uint64
	Ended     bool
	Done      bool
	At        clock.Instant
}

// TakeOrder acquires the exclusive right to send an order to a backend server or the cloud, or takes it
// over from another holder. Each new holder gets a higher fencing number.
type TakeOrder struct {
	Operation string
	Target    string
	Kind      OrderKind
	Argument  string
	Holder    string
}

// EndOrder records that the order with this fencing number was carried out, or abandoned if Done is
// not set.
type EndOrder struct {
	Operation string
	Fence     uint64
	Done      bool
}

func (TakeOrder) command() {}
func (EndOrder) command()  {}

func (s *State) takeOrder(b TakeOrder) Result {
	o := s.Orders[b.Operation]
	if o == nil {
		o = &Order{Operation: b.Operation, Target: b.Target, Kind: b.Kind, Argument: b.Argument}
		s.Orders[b.Operation] = o
	}
	if o.Ended {
		return Result{Code: Existing, Fence: o.Fence}
	}
	if o.Holder != b.Holder {
		s.Fence++
		o.Holder = b.Holder
		o.Fence = s.Fence
		o.At = s.Now
	}
	return Result{Fence: o.Fence}
}

func (s *State) endOrder(b EndOrder) Result {
	o := s.Orders[b.Operation]
	switch {
	case o == nil:
		return Result{Code: NotFound}
	case o.Fence != b.Fence:
		return Result{Code: NotHolder, Fence: o.Fence}
	case o.Ended:
		return Result{Code: Existing, Fence: o.Fence}
	}
	o.Ended = true
	o.Done = b.Done
	o.At = s.Now
	return Result{Fence: o.Fence}
}
