// Package lateness measures how late this process runs: by how much its timers fire after they are due. A process whose processor
// share is exhausted, or that was suspended, handles answers and timeouts late, so its timeouts say nothing about the other side.
//
//	monitor := lateness.NewMonitor(log)
//	go monitor.Run(ctx)
//	if monitor.Late() { ... } // a call that timed out may have been answered in time
package lateness

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphirepoint/observe"
	"samphirepoint/sleep"
)

const (
	// sampleInterval is the time between two samples.
	sampleInterval = 20 * time.Millisecond
	// window is how long a sample counts. It covers the time limits of the calls whose outcome is judged.
	window = time.Second
	// limit is the lateness from which a process counts as late: a call whose request, response and timeout are each handled that
	// late exceeds a time limit of 350 ms.
	limit = 100 * time.Millisecond
)

// Monitor holds the recent lateness of this process. Its methods may be called from any goroutine.
type Monitor struct {
	mu      sync.Mutex
	samples []sample
	late    bool
	log     zerolog.Logger
}

type sample struct {
	at   time.Time
	late time.Duration
}

// NewMonitor returns a monitor without samples. It logs when the process becomes late and when it no longer is.
func NewMonitor(log zerolog.Logger) *Monitor { return &Monitor{log: log} }

// Run takes samples until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	for {
		began := time.Now()
		if err := sleep.Context(ctx, sampleInterval); err != nil {
			return nil
		}
		now := time.Now()
		m.record(now, now.Sub(began)-sampleInterval)
	}
}

// record adds a sample, drops those that no longer count, and logs a change of state.
func (m *Monitor) record(now time.Time, late time.Duration) {
	observe.RecordDuration("process.lateness", late)
	m.mu.Lock()
	m.samples = append(m.samples, sample{at: now, late: late})
	for now.Sub(m.samples[0].at) > window {
		m.samples = m.samples[1:]
	}
	worst := m.worst(now)
	changed := (worst >= limit) != m.late
	m.late = worst >= limit
	m.mu.Unlock()
	if changed {
		observe.Count("process.late_changes")
		m.log.Info().Bool("late", worst >= limit).Dur("worst", worst).Msg("process began or ceased to run late")
	}
}

// Worst returns the largest lateness of the last second. The time since the last sample counts as well, so that a delay shows
// before it has ended.
func (m *Monitor) Worst() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worst(time.Now())
}

func (m *Monitor) worst(now time.Time) time.Duration {
	worst := time.Duration(0)
	for _, s := range m.samples {
		if now.Sub(s.at) <= window {
			worst = max(worst, s.late)
		}
	}
	if len(m.samples) > 0 {
		worst = max(worst, now.Sub(m.samples[len(m.samples)-1].at)-sampleInterval)
	}
	return worst
}

// Late reports whether the process has run late within the last second.
func (m *Monitor) Late() bool { return m.Worst() >= limit }
