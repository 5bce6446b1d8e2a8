package experiment

import (
	"syscall"
	"time"
)

// processorTime returns the user and system time of the process so far, 0 if the kernel does not tell.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
