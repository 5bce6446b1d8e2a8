package owner

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"samphirepoint/engine"
	"samphirepoint/sleep"
)

const (
	// maxAdviceCalls is the number of calls of a daemon that may be at the adviser. It handles one call at a time for each calling machine: a second one
	// keeps it busy while the answer to the first one is on its way, and more would only wait there.
	maxAdviceCalls = 2
	// minAdvicePause and maxAdvicePause bound how long a turn is kept after a call that the adviser has refused or left unanswered. The pause
	// doubles with each such call in a row.
	minAdvicePause = 100 * time.Millisecond
	maxAdvicePause = time.Second
)

// AdviceTurns lets the pools of a daemon take turns at the adviser, in the order in which they ask for one. What to ask is decided once a pool has
// its turn, so that no call waits for longer than one other takes, and none is made that is no longer of use.
type AdviceTurns struct {
	adviser Adviser
	turns   *semaphore.Weighted
	// waiting counts those that wait for a turn.
	waiting atomic.Int64
	// failures counts the calls without an answer since the last one that was answered.
	failures atomic.Int64
}

// NewAdviceTurns returns the turns at an adviser; nil if there is none.
func NewAdviceTurns(a Adviser) *AdviceTurns {
	if a == nil {
		return nil
	}
	return &AdviceTurns{adviser: a, turns: semaphore.NewWeighted(maxAdviceCalls)}
}

// acquire waits for a turn. It fails if ctx ends first.
func (t *AdviceTurns) acquire(ctx context.Context) error {
	t.waiting.Add(1)
	defer t.waiting.Add(-1)
	return t.turns.Acquire(ctx, 1)
}

// contended reports whether another turn is waited for.
func (t *AdviceTurns) contended() bool { return t.waiting.Load() > 0 }

// release gives back a turn that was not used.
func (t *AdviceTurns) release() { t.turns.Release(1) }

// releaseAfter gives back a turn after a call with the given outcome, or once ctx ends.
func (t *AdviceTurns) releaseAfter(ctx context.Context, outcome engine.AdviceOutcome) {
	defer t.turns.Release(1)
	if outcome == engine.AdviceGiven {
		t.failures.Store(0)
		return
	}
	doublings := min(t.failures.Add(1)-1, 8)
	_ = sleep.Context(ctx, min(minAdvicePause<<doublings, maxAdvicePause))
}
