package intake

import (
	"math/bits"
	"sync"
)

// buffers has free buffers of firstBytes, twice as many, and so on up to shortBytes. Without it, bodies that grow or are refused leave
// garbage faster than it is collected.
var buffers [5]sync.Pool

// sizeClass returns the index in buffers of buffers of a size, or -1 if there is none.
func sizeClass(size int64) int {
	class := bits.Len64(uint64(size/firstBytes)) - 1
	if class < 0 || class >= len(buffers) || firstBytes<<class != size {
		return -1
	}
	return class
}

func newBuffer(size int64) []byte {
	if class := sizeClass(size); class >= 0 {
		if free, ok := buffers[class].Get().(*[]byte); ok {
			return *free
		}
	}
	return make([]byte, 0, size)
}

// freeBuffer keeps a buffer that is not used any more for newBuffer.
func freeBuffer(buffer []byte) {
	if class := sizeClass(int64(cap(buffer))); class >= 0 {
		buffer = buffer[:0]
		buffers[class].Put(&buffer)
	}
}
