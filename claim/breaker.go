package claim

import (
	"sync"
	"time"
)

const (
	// failureThreshold is the number of consecutive failures that opens the breaker.
	failureThreshold = 3
	// probeInterval is the time between attempts to reach the table while the breaker is open.
	probeInterval = time.Second
)

// breaker is a circuit breaker. It rejects work that needs the table while the table fails, so that slots are
// not held for claims that cannot succeed. It is safe for concurrent use.
type breaker struct {
	mu        sync.Mutex
	failures  int
	nextProbe time.Time
}

// allow reports whether an attempt may access the table now. While the breaker is open it permits one attempt per
// probeInterval.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failureThreshold {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	b.nextProbe = now.Add(probeInterval)
	return true
}

// record records the outcome of an attempt.
func (b *breaker) record(now time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures = 0
		return
	}
	b.failures++
	b.nextProbe = now.Add(probeInterval)
}

// open reports whether the breaker rejects work now. It does not consume the next probe.
func (b *breaker) open(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= failureThreshold && now.Before(b.nextProbe)
}
