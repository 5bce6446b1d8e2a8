package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/fairqueue"
	"samphirepoint/instance"
	"samphirepoint/placement"
	"samphirepoint/request"
	"samphirepoint/verdict"
)

// bench drives a Scheduler without its goroutine, on a virtual clock.
type bench struct {
	*Scheduler
	now     time.Time
	removes int
	nexts   int
	count   int
}

// counting counts the calls that cancels cause.
type counting struct {
	*fairqueue.Weighted
	b *bench
}

func (c counting) Remove(id string) bool { c.b.removes++; return c.Weighted.Remove(id) }

func (c counting) Next(now time.Time) (fairqueue.Item, bool) {
	c.b.nexts++
	return c.Weighted.Next(now)
}

func newBench() *bench {
	b := &bench{now: time.Unix(1e9, 0)}
	b.Scheduler = New(Config{
		Log: zerolog.Nop(),
		Now: func() time.Time { return b.now },
		Policies: Policies{
			Queue:     func() fairqueue.Policy { return counting{fairqueue.NewWeighted(), b} },
			Placement: func() placement.Policy { return placement.LeastLoaded{Rand: rand.New(rand.NewPCG(1, 2))} },
		},
	})
	return b
}

// drain runs what the owning goroutine would.
func (b *bench) drain() {
	for {
		select {
		case f := <-b.actions:
			f()
		default:
			return
		}
	}
}

func rows(pool string, workers, slots int) []instance.Instance {
	var all []instance.Instance
	for i := range workers {
		all = append(all, instance.Instance{ID: fmt.Sprintf("%s%d", pool, i), Address: "127.0.0.1:1", Slots: slots, State: instance.Serving})
	}
	return all
}

func fleetOf(owned bool, workers, slots int) Fleet {
	return Fleet{
		Pools:   map[string][]instance.Instance{"p": rows("p", workers, slots)},
		Owned:   map[string]bool{"p": owned},
		Leaving: func(string) bool { return false },
	}
}

func (b *bench) setFleet(f Fleet) { b.SetFleet(f); b.drain() }

func (b *bench) wish() SlotRequest {
	b.count++
	return SlotRequest{Request: &request.Request{ID: fmt.Sprint(b.count), Backer: "b", Queue: "q", Pool: "p", Class: request.Short, Idempotent: true, Received: b.now}}
}

func (b *bench) acquire(w SlotRequest) *ticket {
	t := &ticket{wish: w, ready: make(chan result, 1)}
	b.enqueue(t)
	return t
}

// answer is the result of a ticket, if there is one yet.
func answer(t *ticket) (r result, ok bool) {
	select {
	case r = <-t.ready:
		return r, true
	default:
		return result{}, false
	}
}

// Guards against a slot that is lost when a cancel meets the grant on its way, and a caller told that
// its request may have run.
func TestWithdrawRacingAGrant(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.setFleet(fleetOf(true, 1, 1))
	first := b.acquire(b.wish())
	r, ok := answer(first)
	g.Expect(ok).To(BeTrue())
	second := b.acquire(b.wish())

	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(verdict.ErrCancelled)
	r.grant.Release(Result{Outcome: Succeeded})
	b.drain() // second is granted here, and cancelled before it sees the grant
	err := b.withdraw(ctx, second)
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue())
	g.Expect(errors.Is(err, verdict.ErrCancelled)).To(BeTrue())
	b.drain()
	g.Expect(b.pools["p"].queue.InUse()).To(BeZero())
	g.Expect(b.pools["p"].members["p0"].state.InUse).To(BeZero())
}

// Guards against a second release that frees somebody else's slot.
func TestReleaseTwice(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.setFleet(fleetOf(true, 1, 2))
	r, _ := answer(b.acquire(b.wish()))
	_, _ = answer(b.acquire(b.wish()))
	r.grant.Release(Result{Outcome: Succeeded})
	r.grant.Release(Result{Outcome: Succeeded})
	b.drain()
	g.Expect(b.pools["p"].queue.InUse()).To(Equal(1))
}

// Guards against a request that waits although it asked for a slot at once, and against one that overflows
// too early or not at all.
func TestNoWaitAndOverflow(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.setFleet(fleetOf(true, 1, 1))
	first, _ := answer(b.acquire(b.wish()))

	w := b.wish()
	w.NoWait = true
	r, ok := answer(b.acquire(w))
	g.Expect(ok).To(BeTrue())
	g.Expect(verdict.Is(r.err, verdict.NotRun)).To(BeTrue())
	g.Expect(verdict.Status(r.err)).To(Equal(http.StatusTooManyRequests))

	w = b.wish()
	w.MayOverflow = true
	waiting := b.acquire(w)
	b.now = b.now.Add(overflowAfter - 1)
	b.tick()
	_, ok = answer(waiting)
	g.Expect(ok).To(BeFalse())
	b.now = b.now.Add(1)
	b.tick()
	r, _ = answer(waiting)
	g.Expect(r.err).To(MatchError(ErrOverflow))
	g.Expect(b.pools["p"].queue.Len()).To(BeZero())
	first.grant.Release(Result{Outcome: Succeeded})
}

// Guards against cancels that cost more the more requests wait: each takes one item out and starts no search for
// a grant.
func TestCancelsAreCheap(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.setFleet(fleetOf(true, 1, 1))
	const cancels = 10000
	tickets := make([]*ticket, cancels)
	b.acquire(b.wish())
	for i := range tickets {
		tickets[i] = b.acquire(b.wish())
	}
	b.removes, b.nexts = 0, 0
	for _, t := range tickets {
		b.remove(t)
	}
	g.Expect(b.removes).To(Equal(cancels))
	g.Expect(b.nexts).To(BeZero())
	g.Expect(b.pools["p"].waiting).To(BeEmpty())
	g.Expect(b.pools["p"].queue.InUse()).To(Equal(1))
}

// Guards against long work that passes for short and takes the slots kept for short work.
func TestWorkThatRunsLongCountsAsLong(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.setFleet(fleetOf(true, 1, 4))
	for range 3 {
		_, ok := answer(b.acquire(b.wish()))
		g.Expect(ok).To(BeTrue())
	}
	b.now = b.now.Add(request.ShortLimit + 1)
	b.tick()
	w := b.wish()
	w.Request.Class = request.Long
	_, ok := answer(b.acquire(w))
	g.Expect(ok).To(BeFalse(), "the last slot is reserved")
	_, ok = answer(b.acquire(b.wish()))
	g.Expect(ok).To(BeTrue(), "short work gets it")
}

// Guards against slots that two owners use at once: a worker that refuses is full for a while.
func TestRefusalCountsAsUsedByOthers(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.setFleet(fleetOf(true, 1, 8))
	r, _ := answer(b.acquire(b.wish()))
	r.grant.Release(Result{Outcome: Refused})
	b.drain()
	waiting := b.acquire(b.wish())
	b.now = b.now.Add(foreignPeriod - 1)
	b.tick()
	_, ok := answer(waiting)
	g.Expect(ok).To(BeFalse())
	b.now = b.now.Add(1)
	b.tick()
	_, ok = answer(waiting)
	g.Expect(ok).To(BeTrue())
}

// Guards against a pool that stops because all its workers fail: at most 30 % are ejected (design page, 3.8), and
// the others go on.
func TestSuspectWorkersServe(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.setFleet(fleetOf(true, 4, 1))
	for range 200 {
		r, ok := answer(b.acquire(b.wish()))
		g.Expect(ok).To(BeTrue())
		r.grant.Release(Result{Outcome: Failed})
		b.drain()
	}
	g.Expect(b.pools["p"].slots).To(BeNumerically(">=", 3))
}

// Guards against a probe that is never repeated because its request was withdrawn before it was sent.
func TestWithdrawnProbeEnds(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.setFleet(fleetOf(true, 4, 1))
	p := b.poolByName("p")
	for i := range 10 {
		p.outliers.Report(b.now, "p0", fmt.Sprint("x", i), 1)
	}
	g.Expect(p.outliers.State("p0", b.now).Ejected).To(BeTrue())
	due := func() bool {
		b.now = b.now.Add(2 * time.Second)
		b.tick()
		return p.outliers.State("p0", b.now).Probe
	}
	g.Expect(due()).To(BeTrue())
	r, _ := answer(b.acquire(b.wish()))
	g.Expect(r.grant.Worker).To(Equal("p0"))
	r.grant.Release(Result{Outcome: NotSent})
	b.drain()
	g.Expect(due()).To(BeTrue())
}

// Guards against a dead worker that can't be ejected, as the pool is too small, and takes the requests of the neediest backer
// again and again: a backer with half of the weights held 1.1 of 6.4 busy slots for 5 s.
func TestUnreachableWorkerPauses(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.setFleet(fleetOf(true, 2, 1))
	taken := map[string]*Grant{}
	for range 2 {
		r, ok := answer(b.acquire(b.wish()))
		g.Expect(ok).To(BeTrue())
		taken[r.grant.Worker] = r.grant
	}
	taken["p0"].Release(Result{Outcome: Unreachable})
	b.drain()
	waits := b.acquire(b.wish())
	_, ok := answer(waits)
	g.Expect(ok).To(BeFalse(), "the dead worker is not asked again at once")
	taken["p1"].Release(Result{Outcome: Succeeded})
	b.drain()
	r, ok := answer(waits)
	g.Expect(ok).To(BeTrue())
	g.Expect(r.grant.Worker).To(Equal("p1"))

	attempts := 0
	for waits = b.acquire(b.wish()); b.now.Before(time.Unix(1e9+10, 0)); b.now = b.now.Add(tickInterval) {
		b.tick()
		if r, ok := answer(waits); ok {
			g.Expect(r.grant.Worker).To(Equal("p0"))
			attempts++
			r.grant.Release(Result{Outcome: Unreachable})
			b.drain()
			waits = b.acquire(b.wish())
		}
	}
	g.Expect(attempts).To(BeNumerically(">=", 4), "it is tried again")
	g.Expect(attempts).To(BeNumerically("<=", 10))
}

// Guards against a pool that loses slots when a worker is replaced under its id while it runs requests.
func TestReplacedWorkerFreesItsSlots(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.setFleet(fleetOf(true, 1, 2))
	for range 2 {
		b.acquire(b.wish())
	}
	f := fleetOf(true, 1, 2)
	f.Pools["p"][0].Address = "127.0.0.1:2"
	b.setFleet(f)
	for range 2 {
		_, ok := answer(b.acquire(b.wish()))
		g.Expect(ok).To(BeTrue())
	}
}

// Guards against a queue that fills with requests whose deadline passes while they wait, and against one
// backer's backlog that sheds another's work.
func TestShedByOwnPlace(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.setFleet(fleetOf(true, 1, 1))
	r, _ := answer(b.acquire(b.wish()))
	b.now = b.now.Add(time.Second)
	r.grant.Release(Result{Outcome: Succeeded})
	b.drain()
	for range 20 {
		b.acquire(b.wish())
	}
	ask := func(backer string) (result, bool) {
		w := b.wish()
		w.Request.Backer, w.Request.Deadline = backer, b.now.Add(5*time.Second)
		return answer(b.acquire(w))
	}
	r, refused := ask("b")
	g.Expect(refused).To(BeTrue())
	g.Expect(verdict.Is(r.err, verdict.NotRun)).To(BeTrue())
	g.Expect(verdict.Status(r.err)).To(Equal(http.StatusTooManyRequests))
	g.Expect(verdict.RetryAfter(r.err)).To(BeNumerically(">", 5*time.Second))
	_, refused = ask("other")
	g.Expect(refused).To(BeFalse())
}

// Guards against requests that wait until their deadline although the pool is full of long work: the slots that
// come free decide, and not the short mean of the runs that ended.
func TestShedBehindLongWork(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.setFleet(fleetOf(true, 1, 4))
	for range 3 {
		_, _ = answer(b.acquire(b.wish()))
	}
	running, waiting := b.acquire(b.wish()), b.acquire(b.wish())
	for range 60 {
		r, ok := answer(running)
		g.Expect(ok).To(BeTrue())
		b.now = b.now.Add(100 * time.Millisecond)
		r.grant.Release(Result{Outcome: Succeeded})
		b.drain()
		running, waiting = waiting, b.acquire(b.wish())
		b.tick()
	}
	for range 20 {
		b.acquire(b.wish())
	}
	w := b.wish()
	w.Request.Deadline = b.now.Add(time.Second)
	r, _ := answer(b.acquire(w))
	g.Expect(verdict.Is(r.err, verdict.NotRun)).To(BeTrue(), "20 requests at 10 a second need 2 s")
	w.Request.Deadline = b.now.Add(4 * time.Second)
	_, refused := answer(b.acquire(w))
	g.Expect(refused).To(BeFalse())
}

// Guards against requests that wait at an entry which does not own the pool any more.
func TestOwnershipLost(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.setFleet(fleetOf(true, 1, 1))
	running, _ := answer(b.acquire(b.wish()))
	waiting := b.acquire(b.wish())
	w := b.wish()
	w.Force = true
	forced := b.acquire(w)
	b.setFleet(fleetOf(false, 1, 1))
	r, _ := answer(waiting)
	g.Expect(r.err).To(MatchError(ErrNotOwner))
	g.Expect(verdict.Is(r.err, verdict.NotRun)).To(BeTrue())
	running.grant.Release(Result{Outcome: Succeeded})
	b.drain()
	r, ok := answer(forced)
	g.Expect(ok && r.grant != nil).To(BeTrue())
}

// Guards against a backer that loses a slot of its limit for good each time a request is cancelled while it leaves the
// queue for another pool.
func TestWithdrawRacingOverflow(t *testing.T) {
	g := NewWithT(t)
	b := newBench()
	b.setFleet(fleetOf(true, 1, 1))
	b.acquire(b.wish())
	w := b.wish()
	w.MayOverflow = true
	waiting := b.acquire(w)
	b.now = b.now.Add(overflowAfter)
	b.tick()
	g.Expect(b.pools["p"].away).To(HaveKeyWithValue("b", 1))

	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(verdict.ErrCancelled)
	g.Expect(verdict.Is(b.withdraw(ctx, waiting), verdict.NotRun)).To(BeTrue())
	b.drain()
	g.Expect(b.pools["p"].away).To(BeEmpty())
}
