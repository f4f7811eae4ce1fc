package runner

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
)

// RandomName returns a random name of 16 hexadecimal digits, which identifies one run of a process.
func RandomName() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// RandomSeed returns a random seed for choices that need not be reproducible.
func RandomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}
