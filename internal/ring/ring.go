// Package ring provides bounded queues between goroutines. When a ring is full, Put blocks and Offer
// reports false; no value is dropped silently.
//
//	r := ring.New[int](64)
//	if !r.Offer(1) {
//		// back-pressure: report to the caller that the queue is full
//	}
package ring

import "context"

// Ring is a bounded FIFO queue that is safe for any number of producers and consumers.
type Ring[T any] struct {
	slots chan T
}

// New returns an empty ring with a capacity of size values.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, size)}
}

// Offer adds v without blocking. It reports false if the ring is full.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.slots <- v:
		return true
	default:
		return false
	}
}

// Put adds v. If the ring is full, it waits until there is room or ctx ends.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.slots <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes and returns the oldest value. If the ring is empty, it waits until there is a value or
// ctx ends.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.slots:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Out returns the channel that delivers the values, for use in a select statement.
func (r *Ring[T]) Out() <-chan T { return r.slots }

// Drain removes up to limit values without blocking and appends them to batch.
func (r *Ring[T]) Drain(batch []T, limit int) []T {
	for range limit {
		select {
		case v := <-r.slots:
			batch = append(batch, v)
		default:
			return batch
		}
	}
	return batch
}

// Len returns the number of queued values.
func (r *Ring[T]) Len() int { return len(r.slots) }
