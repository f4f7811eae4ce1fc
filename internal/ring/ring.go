// Package ring joins goroutines by bounded queues. A full ring blocks its producer or refuses
// the value; it never drops one silently.
//
//	r := ring.New[int](64)
//	if !r.Offer(1) {
//		// back-pressure: tell the producer's caller
//	}
package ring

import "context"

// Ring is a bounded queue for any number of producers and consumers.
type Ring[T any] struct {
	slots chan T
}

// New returns a ring that holds up to size values.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, size)}
}

// Offer adds v and reports false when the ring is full.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.slots <- v:
		return true
	default:
		return false
	}
}

// Put adds v, waiting for room until ctx ends.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.slots <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes the oldest value, waiting for one until ctx ends.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.slots:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Out returns the receiving end for use in a select statement.
func (r *Ring[T]) Out() <-chan T { return r.slots }

// Drain appends up to limit waiting values to batch without blocking.
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

// Len returns the number of waiting values.
func (r *Ring[T]) Len() int { return len(r.slots) }
