package runner

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
)

// RandomName returns a name that no other run of a process has.
func RandomName() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// RandomSeed returns a seed for random choices that need not be repeated.
func RandomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}
