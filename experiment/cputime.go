package experiment

import (
	"syscall"
	"time"
)

// cpuTime returns the user and system CPU time that the process has used, or 0 if the kernel does not report it.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
