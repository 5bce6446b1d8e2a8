//go:build !linux

package boottime

import "time"

var processStart = time.Now()

// Now returns the time since the process started. It does not count suspensions, so that daemons are run on Linux only.
func Now() time.Duration { return time.Since(processStart) }
