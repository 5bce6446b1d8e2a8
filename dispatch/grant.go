package dispatch

import (
	"sync/atomic"
	"time"

	"samphirepoint/worker"
)

// Outcome is what an attempt says about its worker.
type Outcome uint8

const (
	// NotSent means that the slot was not used.
	NotSent Outcome = iota
	// Succeeded means a whole answer without a server error.
	Succeeded
	// Failed means a whole answer with a server error: the request ran and failed.
	Failed
	// TransportError means a transport error, or an answer that is not whole.
	TransportError
	// TimedOut means that the worker or the connection went silent.
	TimedOut
	// Refused means the worker had no free slot.
	Refused
	// Leaving means the worker stops taking new work.
	Leaving
	// Stopped means the worker confirmed a stop that the caller asked for.
	Stopped
	// Unreachable means that no connection to the worker came about: nothing was sent.
	Unreachable
)

// ran reports whether the worker worked on the request.
func (o Outcome) ran() bool { return o != NotSent && o != Refused && o != Leaving && o != Unreachable }

// Result ends the use of a slot.
type Result struct {
	Outcome Outcome
	// RunTime is the run time as seen by the entry.
	RunTime time.Duration
}

// Grant is the right to use one slot of a worker. Release must be called once; further calls do nothing.
type Grant struct {
	Worker string
	Client *worker.Client
	// Reason of the placement, for the log.
	Reason string
	// Waited is the time in the queue.
	Waited time.Duration
	// Expected is the estimated p90 run time, 0 if unknown.
	Expected time.Duration

	id        string
	pool      *pool
	scheduler *Scheduler
	released  atomic.Bool
}

// Release gives the slot back.
func (g *Grant) Release(r Result) {
	if g.released.Swap(true) {
		return
	}
	g.scheduler.do(func() { g.scheduler.release(g.pool, g.id, r) })
}
