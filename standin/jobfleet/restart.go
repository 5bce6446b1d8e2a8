package jobfleet

import (
	"slices"
	"time"
)

// Restart is a crash after which a worker starts again under its ID, at its address.
type Restart struct {
	// Down is the time until the worker is back, EntryDelay the time from then until its entry in the list of workers says so.
	Down, EntryDelay time.Duration
	// Clock is the reading of the next incarnation's clock at its start. If it is 0, a reading is drawn.
	Clock time.Duration
	// Dark leaves connections silent while the worker is down. Calls on connections that are opened meanwhile are executed by the next
	// incarnation. Otherwise connections are reset.
	Dark bool
}

// LateCalls selects calls that get no answer and are executed late, also by the next incarnation of the worker.
type LateCalls struct {
	// Window is the time in which these calls arrive; Least and Most bound their delays, which differ, so that they overtake each other.
	Window, Least, Most time.Duration
	// OneOf is the share of calls that are late, one of so many.
	OneOf int

	until time.Time
}

// Counts says how much of the faults of workers was played.
type Counts struct {
	// Restarts are restarts under the same ID, RunsLost the runs that they ended, and StartsAfterRestart the tasks that the new incarnations
	// have started.
	Restarts, RunsLost, StartsAfterRestart int
	// LateCalls are calls that were executed late, CallsOfFormer those that an incarnation executed and a former one had received.
	LateCalls, CallsOfFormer int
	// ShortenedLeases are deadlines that lay beyond the longest lease, as on the clock of a former incarnation.
	ShortenedLeases int
	Advice          AdviceCounts
}

// Counts returns what was played so far.
func (f *Fleet) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

func (f *Fleet) count(change func(*Counts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.counts)
}

// Restart crashes the worker of an instance, which starts again under its ID and holds and knows nothing of before. It reports false if the
// instance has no worker at that time.
func (f *Fleet) Restart(instance string, r Restart) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.instances[instance]
	if in == nil || in.worker == nil || in.worker.terminated {
		return false
	}
	old := in.worker
	old.endDueRuns()
	f.counts.Restarts++
	f.counts.RunsLost += len(old.running)
	old.crash()
	if r.Dark {
		old.host.fail(outageDark)
	} else {
		old.host.fail(outageReset)
	}
	time.AfterFunc(r.Down, func() { f.startAgain(in, old, r) })
	return true
}

// startAgain starts the next incarnation of a worker under its ID.
func (f *Fleet) startAgain(in *instance, old *worker, r Restart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old.host.restore()
	if in.worker != old {
		return // An order for the instance came first.
	}
	clockStartMS := r.Clock.Milliseconds()
	if clockStartMS == 0 {
		clockStartMS = f.drawClock(old)
	}
	w := f.newIncarnation(in, old.id, old.host, clockStartMS)
	w.restarted = true
	time.AfterFunc(r.EntryDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if in.worker != w || w.terminated {
			return
		}
		if err := f.publish(in); err != nil {
			f.violations = append(f.violations, err.Error())
		}
	})
}

// DelayCalls makes calls to the worker of an instance late.
func (f *Fleet) DelayCalls(instance string, late LateCalls) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if in := f.instances[instance]; in != nil && in.worker != nil {
		late.until = time.Now().Add(late.Window)
		in.worker.host.late = late
	}
}

const (
	// highestClockStart bounds the reading of a clock when its worker starts.
	highestClockStart = time.Hour
	// nearClockOffset bounds how far a clock that starts near that of the former incarnation is off it. Deadlines on the old clock are then
	// within a lease on the new one.
	nearClockOffset = 15 * time.Second
	// nearClockShare is the share of restarts, one of so many, with such a clock.
	nearClockShare = 4
)

// drawClock returns the reading at which the clock of a new worker starts: any, also one below that of the former incarnation.
func (f *Fleet) drawClock(former *worker) int64 {
	if former == nil || f.rnd.IntN(nearClockShare) > 0 {
		return f.between(0, highestClockStart).Milliseconds()
	}
	return max(0, former.clockMS()+f.between(-nearClockOffset, nearClockOffset).Milliseconds())
}

// between returns a random duration. The caller must hold the fleet's mutex.
func (f *Fleet) between(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(f.rnd.Int64N(int64(most-least)))
}

// InstancesIn lists the instances of an availability zone that have workers.
func (f *Fleet) InstancesIn(zone string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, in := range f.instances {
		if in.zone == zone && in.worker != nil {
			out = append(out, in.id)
		}
	}
	slices.Sort(out)
	return out
}

// Worker returns the ID of an instance's worker, or "", and the number of tasks that it runs.
func (f *Fleet) Worker(instance string) (id string, running int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	in := f.instances[instance]
	if in == nil || in.worker == nil {
		return "", 0
	}
	in.worker.endDueRuns()
	return in.worker.id, len(in.worker.running)
}
