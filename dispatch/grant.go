package dispatch

import (
	"sync/atomic"
	"time"

	"samphirepoint/worker"
)

// Outcome classifies how an attempt on a worker ended.
type Outcome uint8

const (
	// NotSent means that the slot was returned unused.
	NotSent Outcome = iota
	// Succeeded means a complete response without a server error.
	Succeeded
	// Failed means a complete response with a server error: the request ran and failed.
	Failed
	// TransportError means a transport error or an incomplete response.
	TransportError
	// TimedOut means that the worker or the connection stopped responding.
	TimedOut
	// Refused means that the worker had no free slot.
	Refused
	// Leaving means that the worker is draining and accepts no new requests.
	Leaving
	// Stopped means that the worker confirmed a cancellation requested by the caller.
	Stopped
	// Unreachable means that connecting to the worker failed, so nothing was sent.
	Unreachable
)

// ran reports whether the worker executed the request, at least in part.
func (o Outcome) ran() bool { return o != NotSent && o != Refused && o != Leaving && o != Unreachable }

// Result describes how the use of a slot ended.
type Result struct {
	Outcome Outcome
	// RunTime is the run time as measured by the entry.
	RunTime time.Duration
}

// Grant is the right to use one slot of a worker. The holder must call Release; calls after the first have no effect.
type Grant struct {
	Worker string
	Client *worker.Client
	// Reason explains the placement, for the log.
	Reason string
	// Waited is the time since the request was received.
	Waited time.Duration
	// Expected is the estimated p90 run time, 0 if unknown.
	Expected time.Duration

	id        string
	pool      *pool
	scheduler *Scheduler
	released  atomic.Bool
}

// Release returns the slot to the pool.
func (g *Grant) Release(r Result) {
	if g.released.Swap(true) {
		return
	}
	g.scheduler.post(func() { g.scheduler.release(g.pool, g.id, r) })
}
