package clock

import (
	"syscall"
	"time"
	"unsafe"
)

// Clocks of the system.
const (
	monotonicClock = 1
	bootClock      = 7
)

// suspendedTime returns the time for which the VM was suspended since it was booted: the monotonic clock leaves it out, the boot
// clock does not. It reports false if the system has no such clocks.
func suspendedTime() (time.Duration, bool) {
	boot, ok := readClock(bootClock)
	if !ok {
		return 0, false
	}
	// Read last, so that a pause between the two does not count as suspension.
	monotonic, ok := readClock(monotonicClock)
	return boot - monotonic, ok
}

func readClock(id uintptr) (time.Duration, bool) {
	var t syscall.Timespec
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, id, uintptr(unsafe.Pointer(&t)), 0)
	return time.Duration(t.Nano()), errno == 0
}
