package claim

import (
	"sync"
	"time"
)

const (
	// breakerThreshold is the number of failures in a row that opens the breaker.
	breakerThreshold = 3
	// breakerProbe is the time between attempts while the breaker is open.
	breakerProbe = time.Second
)

// breaker refuses work that needs the table while the table fails, so that slots are not held
// for claims that cannot succeed. It is safe for concurrent use.
type breaker struct {
	mu       sync.Mutex
	failures int
	next     time.Time
}

// allow reports whether an attempt may go to the table now.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerThreshold {
		return true
	}
	if now.Before(b.next) {
		return false
	}
	b.next = now.Add(breakerProbe)
	return true
}

// record notes the outcome of an attempt.
func (b *breaker) record(now time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures = 0
		return
	}
	b.failures++
	b.next = now.Add(breakerProbe)
}

// open reports whether the breaker refuses work now, without using up a probe.
func (b *breaker) open(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= breakerThreshold && now.Before(b.next)
}
