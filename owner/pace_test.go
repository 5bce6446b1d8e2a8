package owner

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/engine"
)

func queuedOrderFor(kind engine.OrderKind, worker string, n int) engine.Order {
	return engine.Order{Kind: kind, Task: engine.TaskID{Job: fmt.Sprintf("%016x", n)}, Run: 1, Worker: engine.Target{ID: worker}}
}

func allWanted(engine.Order) bool { return true }

func takeAll(q *orderQueue, wanted func(engine.Order) bool) []queuedOrder {
	var out []queuedOrder
	for {
		o, ok := q.next(wanted)
		if !ok {
			return out
		}
		out = append(out, o)
	}
}

// Guards against a burst of 1,000 starts that are all sent at once: on a slow processor most of them exceeded their time limit before
// they were even written.
func TestOrdersInFlightAreBounded(t *testing.T) {
	g := NewWithT(t)
	q := newOrderQueue()
	for n := range 1000 {
		q.add(queuedOrderFor(engine.OrderStart, fmt.Sprintf("i-%02d", n%85), n), 0)
	}
	sent := map[engine.TaskID]bool{}
	perWorker := map[string]int{}
	batch := takeAll(q, allWanted)
	g.Expect(batch).To(HaveLen(maxOrdersInFlight))
	for len(batch) > 0 {
		o := batch[0]
		g.Expect(sent).NotTo(HaveKey(o.Task))
		sent[o.Task] = true
		perWorker[o.Worker.ID]++
		q.done(o, true)
		batch = append(batch[1:], takeAll(q, allWanted)...)
		g.Expect(q.inFlight).To(BeNumerically("<=", maxOrdersInFlight))
	}
	g.Expect(sent).To(HaveLen(1000))
	g.Expect(q.workers).To(BeEmpty())
	g.Expect(q.length).To(BeZero())
}

// Guards against stops that wait behind a burst of starts, and against the same stop being sent again while it waits.
func TestStopsGoBeforeStarts(t *testing.T) {
	g := NewWithT(t)
	q := newOrderQueue()
	for n := range 500 {
		q.add(queuedOrderFor(engine.OrderStart, fmt.Sprintf("i-%02d", n%85), n), 0)
	}
	stop := queuedOrderFor(engine.OrderStop, "i-84", 9999)
	q.add(stop, 0)
	q.add(stop, 0)
	q.add(queuedOrderFor(engine.OrderThrottle, "i-00", 9998), 0)
	batch := takeAll(q, allWanted)
	g.Expect(batch[0].Kind).To(Equal(engine.OrderStop))
	g.Expect(batch[1].Kind).To(Equal(engine.OrderThrottle))
	g.Expect(batch[2].Kind).To(Equal(engine.OrderStart))
	q.add(stop, 0)
	for _, o := range batch {
		q.done(o, true)
	}
	q.add(stop, 0)
	g.Expect(takeAll(q, allWanted)[0].Order).To(Equal(stop), "an unanswered stop is sent again")
}

// Guards against one worker that leaves its orders unanswered holding up the orders of the others.
func TestSilentWorkerDelaysOnlyItsOwnOrders(t *testing.T) {
	g := NewWithT(t)
	q := newOrderQueue()
	for n := range 200 {
		q.add(queuedOrderFor(engine.OrderStart, "i-silent", n), 0)
	}
	for n := range 10 {
		q.add(queuedOrderFor(engine.OrderStart, "i-ok", 200+n), 0)
	}
	started := 0
	batch := takeAll(q, allWanted)
	for len(batch) > 0 {
		o := batch[0]
		batch = batch[1:]
		if o.Worker.ID == "i-ok" {
			started++
			q.done(o, true)
			batch = append(batch, takeAll(q, allWanted)...)
		}
	}
	g.Expect(started).To(Equal(10))
	g.Expect(q.inFlight).To(Equal(maxOrdersPerWorker))
}

// Guards against stops for a rack that was cut off, which are repeated until they are answered, holding up the starts on all other
// workers: each stop takes its whole time limit.
func TestSilentRackDoesNotHoldUpOtherWorkers(t *testing.T) {
	g := NewWithT(t)
	q := newOrderQueue()
	for n := range 300 {
		q.add(queuedOrderFor(engine.OrderStop, fmt.Sprintf("i-silent-%02d", n%30), n), 0)
	}
	const step, timeLimit = 10 * time.Millisecond, 350 * time.Millisecond
	ends := map[engine.TaskID]time.Duration{}
	inFlight := map[engine.TaskID]queuedOrder{}
	started, silentInFlight := 0, 0
	for now := time.Duration(0); now < 3*time.Second; now += step {
		for k := range 4 { // 400 starts a second, answered after one step
			q.add(queuedOrderFor(engine.OrderStart, fmt.Sprintf("i-%02d", k), 1000+int(now/step)*4+k), 0)
		}
		silentInFlight = 0
		for id, o := range inFlight {
			silent := o.Kind == engine.OrderStop
			if silent {
				silentInFlight++
			}
			if now >= ends[id] {
				delete(inFlight, id)
				q.done(o, !silent)
				if silent {
					q.add(o.Order, now) // as the engine does
				} else {
					started++
				}
			}
		}
		for _, o := range takeAll(q, allWanted) {
			inFlight[o.Task] = o
			ends[o.Task] = now + step
			if o.Kind == engine.OrderStop {
				ends[o.Task] = now + timeLimit
			}
		}
	}
	g.Expect(started).To(BeNumerically(">", 1000), "of 1,200; the first stops hold up the others for one time limit")
	g.Expect(silentInFlight).To(BeNumerically("<=", maxOrdersUnanswered))
	g.Expect(silentInFlight).To(BeNumerically(">", 0), "the stops are still tried")
}

// Guards against starts that are sent although their run was given up or stopped while they waited.
func TestUnwantedStartsAreNotSent(t *testing.T) {
	g := NewWithT(t)
	q := newOrderQueue()
	for n := range 10 {
		q.add(queuedOrderFor(engine.OrderStart, "i-1", n), 0)
	}
	g.Expect(takeAll(q, func(engine.Order) bool { return false })).To(BeEmpty())
	g.Expect(q.length).To(BeZero())
	q.add(queuedOrderFor(engine.OrderStart, "i-1", 11), 0)
	g.Expect(takeAll(q, allWanted)).To(HaveLen(1))
}

// Guards against an owner that takes its own delay for the silence of its workers: in a burst on a fifth of a core, more than a
// thousand workers a day were taken for silent that had answered in time.
func TestOwnDelayIsNotHeldAgainstWorkers(t *testing.T) {
	g := NewWithT(t)
	const limit = 600 * time.Millisecond
	g.Expect(remainingLimit(limit, limit, limit)).To(BeZero(), "the owner was on time: the worker is silent")
	g.Expect(remainingLimit(limit, limit, limit-paceStep)).To(BeZero(), "the round in progress is not counted yet")
	g.Expect(remainingLimit(limit, limit, 150*time.Millisecond)).To(Equal(400*time.Millisecond), "three rounds took 600 ms: the owner was late")
	g.Expect(remainingLimit(limit, time.Second, 550*time.Millisecond)).To(BeZero(), "it has caught up, and still there is no answer")
	g.Expect(remainingLimit(limit, maxTimeoutFactor*limit, 0)).To(BeZero(), "however late, the call ends")
}

// Guards against renewals that add to the backlog of the owner, and against ones that are so rare that workers get no new starts.
func TestRenewalsSlowDownWhileBackedUp(t *testing.T) {
	g := NewWithT(t)
	g.Expect(renewalDelay(0)).To(Equal(endBatchDelay))
	g.Expect(renewalDelay(50 * time.Millisecond)).To(Equal(200 * time.Millisecond))
	g.Expect(renewalDelay(time.Minute)).To(Equal(maxRenewalDelay))
	g.Expect(renewalWait + maxRenewalDelay + renewalResponseTimeout).To(BeNumerically("<", engine.DefaultOptions().SuspectAfter))
}

// Guards against placements that use up the processor of an owner with a long queue.
func TestPlacementsTakeABoundedShare(t *testing.T) {
	g := NewWithT(t)
	g.Expect(nextPlacement(100 * time.Microsecond)).To(Equal(placeInterval))
	g.Expect(nextPlacement(20 * time.Millisecond)).To(Equal(200 * time.Millisecond))
}
