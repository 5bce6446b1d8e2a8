package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"samphirepoint/observe"
	"samphirepoint/sleep"
)

const (
	// paceStep is the time between two measurements of the delay of the event loop.
	paceStep = 50 * time.Millisecond
	// maxTimeoutFactor bounds the real time that a call may take, as a multiple of its time limit, however late this process runs.
	maxTimeoutFactor = 3
	// maxRenewalDelay bounds the delay between an answer and the next renewal of a backed-up owner. With the wait of a renewal at
	// the worker, the worker is still asked more often than the engine's SuspectAfter and its lease requires.
	maxRenewalDelay = 400 * time.Millisecond
	// renewalDelayFactor times the delay of the event loop is the delay between an answer and the next renewal.
	renewalDelayFactor = 4
	// placeCostFactor times the duration of a placement is the least time until the next one, so that placements take at most a
	// tenth of the owner's time.
	placeCostFactor = 9
)

// pace measures how far the owner keeps up with its events: a round of the monitor takes paceStep and the time that its event waits
// in the inbox. Time limits of calls count rounds, so that the time by which this process itself is late is not held against the
// store or a worker.
type pace struct {
	rounds atomic.Int64
	// delay is the delay of the last round beyond paceStep, in nanoseconds.
	delay atomic.Int64
}

// observed records a round that took the given time.
func (p *pace) observed(took time.Duration) {
	p.delay.Store(int64(max(took-paceStep, 0)))
	p.rounds.Add(1)
}

// onTime returns the time that the owner would have needed for its rounds so far, had it never been late.
func (p *pace) onTime() time.Duration { return time.Duration(p.rounds.Load()) * paceStep }

// loopDelay returns how late the owner handled its last measured event.
func (p *pace) loopDelay() time.Duration { return time.Duration(p.delay.Load()) }

// remainingLimit returns how much longer a call with a time limit may take that has lasted for elapsed, of which the owner was on
// time for onTime. A call may begin and end within a round, so the owner counts as late only beyond one paceStep.
func remainingLimit(limit, elapsed, onTime time.Duration) time.Duration {
	late := max(0, elapsed-onTime-paceStep)
	return max(0, min(limit+late, maxTimeoutFactor*limit)-elapsed)
}

// renewalDelay returns the delay between an answer with run ends and the next renewal of the worker. It grows while the owner is
// backed up: a renewal then returns more ends for the same cost, instead of adding to the backlog.
func renewalDelay(loopDelay time.Duration) time.Duration {
	return min(max(endBatchDelay, renewalDelayFactor*loopDelay), maxRenewalDelay)
}

// nextPlacement returns the least time between the beginning of a placement that took the given time and that of the next one.
func nextPlacement(took time.Duration) time.Duration {
	return max(placeInterval, (1+placeCostFactor)*took)
}

// monitor measures the pace of the event loop until the owner stops.
func (o *Owner) monitor() {
	for o.ctx.Err() == nil {
		began := o.settings.Now()
		if sleep.Context(o.ctx, paceStep) != nil {
			return
		}
		handled := make(chan struct{})
		o.post(func() { close(handled) })
		select {
		case <-handled:
		case <-o.ctx.Done():
			return
		}
		took := o.settings.Now() - began
		o.pace.observed(took)
		observe.RecordDuration("owner.loop-delay", took-paceStep)
	}
}

// callLimit ends a call that has used up its time limit.
type callLimit struct {
	owner         *Owner
	limit         time.Duration
	began, onTime time.Duration
	cancel        context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
}

// callContext returns a context for a call to a worker that ends when the call has used up its time limit. The time begins now, and
// does not include the time by which the owner runs late.
func (o *Owner) callContext(limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(o.ctx)
	l := &callLimit{owner: o, limit: limit, began: o.settings.Now(), onTime: o.pace.onTime(), cancel: cancel}
	l.mu.Lock()
	l.timer = time.AfterFunc(limit, l.check)
	l.mu.Unlock()
	return ctx, func() {
		l.timer.Stop()
		cancel(context.Canceled)
	}
}

func (l *callLimit) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	rest := remainingLimit(l.limit, l.owner.settings.Now()-l.began, l.owner.pace.onTime()-l.onTime)
	if rest == 0 {
		l.cancel(context.DeadlineExceeded)
		return
	}
	observe.Count("calls.extended")
	l.timer.Reset(max(rest, paceStep/2))
}
