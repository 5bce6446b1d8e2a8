package owner

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/engine"
)

// Guards against a stop that waits behind throttles which newer ones have superseded: the engine orders the throttle of each
// best-effort run again every 0.5 s until it is answered, and a worker that leaves its orders unanswered gets one at a time.
func TestStopDoesNotWaitForSupersededThrottles(t *testing.T) {
	g := NewWithT(t)
	q := newOrderQueue()
	const step, timeLimit, runs = 50 * time.Millisecond, orderTimeout, 8
	var inFlight []queuedOrder
	var ends []time.Duration
	advance := func(now time.Duration) (stopped bool) {
		for len(ends) > 0 && now >= ends[0] {
			q.done(inFlight[0], false)
			inFlight, ends = inFlight[1:], ends[1:]
		}
		for _, o := range takeAll(q, allWanted) {
			inFlight, ends = append(inFlight, o), append(ends, now+timeLimit)
			stopped = stopped || o.Kind == engine.OrderStop
		}
		return stopped
	}
	now := time.Duration(0)
	for ; now < 20*time.Second; now += step {
		if now%(500*time.Millisecond) == 0 {
			for n := range runs {
				o := queuedOrderFor(engine.OrderThrottle, "i-1", n)
				o.Percent = int64(now/time.Second) % 100
				q.add(o, now)
			}
		}
		advance(now)
	}
	g.Expect(q.length).To(BeNumerically("<=", 2*runs), "at most the newest throttle of each run, and one in flight")
	asked := now
	q.add(queuedOrderFor(engine.OrderStop, "i-1", 0), now)
	for !advance(now) {
		now += step
	}
	g.Expect(now-asked).To(BeNumerically("<=", 2*timeLimit), "until the stop is sent")
}
