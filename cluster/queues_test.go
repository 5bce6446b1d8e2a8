package cluster

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/catalog"
	"samphirepoint/engine"
	"samphirepoint/verdict"
)

// queueSimulation is a simulation without faults in which one queue moves between pools.
type queueSimulation struct {
	*clusterSimulation
	g *WithT
}

const movedQueue = "q-pumps"

// runQueueSimulation runs fn once the simulated daemons serve the pools.
func runQueueSimulation(t *testing.T, seed uint64, fn func(x *queueSimulation)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		x := &queueSimulation{clusterSimulation: newClusterSimulation(t, ctx, seed), g: NewWithT(t)}
		x.startDaemons(t)
		x.mu.Lock()
		x.faultFree = true
		x.mu.Unlock()
		time.Sleep(3 * time.Second)
		fn(x)
		cancel()
		x.close()
		x.tasks.Wait()
		time.Sleep(time.Minute)
		x.mu.Lock()
		defer x.mu.Unlock()
		x.g.Expect(x.violations).To(BeEmpty())
	})
}

// route puts a version of the configuration in force at daemons: the queue is sent to a pool, or dropped if that is "".
func (x *queueSimulation) route(version int64, pool string, nodes ...*Node) {
	c := &catalog.Catalog{Version: version}
	for _, p := range simPools {
		c.Pools = append(c.Pools, catalog.Pool{Name: p})
	}
	if pool != "" {
		c.Queues = append(c.Queues, catalog.Queue{Queue: engine.Queue{Name: movedQueue, Version: version, Attempts: 9, Stretch: 2, TargetMS: 600}, Pool: pool})
	}
	c.Index()
	for _, n := range nodes {
		n.SetCatalog(c)
	}
}

// queue returns the moved queue as the daemon's configuration has it.
func (x *queueSimulation) queue(n *Node) *catalog.Queue { return &n.Catalog().Queues[0] }

// timeout returns the context of a caller's request.
func (x *queueSimulation) timeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(x.ctx, 3*time.Second)
}

func (x *queueSimulation) submit(n *Node, spec engine.Spec) error {
	ctx, cancel := x.timeout()
	defer cancel()
	q := x.queue(n)
	spec.Settings = &q.Queue
	return n.Submit(ctx, q.Pool, &spec)
}

func (x *queueSimulation) state(n *Node, id string) engine.State {
	ctx, cancel := x.timeout()
	defer cancel()
	state, _, err := n.State(ctx, x.queue(n).Pool, JobRef{Queue: movedQueue, ID: id})
	x.g.Expect(err).NotTo(HaveOccurred())
	return state
}

// tasksOf returns what the workers know of the tasks of a job. The caller must hold mu.
func (x *queueSimulation) tasksOf(id string) map[string]*simTask {
	out := map[string]*simTask{}
	for task, t := range x.simPlatform.tasks {
		if tid, err := engine.ParseTaskID(task); err == nil && tid.Job == id {
			out[task] = t
		}
	}
	return out
}

// events counts the starts and ends of a job's tasks on workers.
func (x *queueSimulation) events(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, t := range x.tasksOf(id) {
		n += len(t.history)
	}
	return n
}

// doneEnds counts the successful ends of each task of a job.
func (x *queueSimulation) doneEnds(id string) map[string]int {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := map[string]int{}
	for task, t := range x.tasksOf(id) {
		out[task] = len(t.doneEnds)
	}
	return out
}

// awaitCompleted waits until a job is completed, within the time that the platform allows for it after the end of traffic.
func (x *queueSimulation) awaitCompleted(n *Node, id string) {
	for end := time.Now().Add(simCalmTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if x.state(n, id) == engine.Completed {
			return
		}
	}
	_, job, _, err := n.Explain(x.ctx, id)
	x.g.Expect(x.state(n, id)).To(Equal(engine.Completed), "%v: %+v (%v)", id, job, err)
}

func queueJob(n int, lasting bool) engine.Spec {
	return engine.Spec{ID: fmt.Sprintf("%016x", n), Queue: movedQueue, Steps: []engine.Step{{Count: 2, Need: engine.Resources{CPU: 1000, Mem: 100}, LongRunning: lasting}}}
}

// Guards against jobs that are unknown, run a second time or can't be cancelled any more once the configuration has sent their queue to
// another pool, with or without a version between that has no such queue (review/2). Daemons start again in between, so that none
// remembers where the queue was.
func TestJobsOfAMovedQueueStayKnown(t *testing.T) {
	for seed := range uint64(3) { // pools of one, two and three shards
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			runQueueSimulation(t, seed, func(x *queueSimulation) {
				g, a := x.g, x.nodes[0]
				x.route(2, "pumps", x.nodes...)
				lasting := queueJob(50, true)
				x.setLasting(lasting.ID)
				for n := range 6 {
					g.Expect(x.submit(a, queueJob(n, false))).To(Succeed())
				}
				g.Expect(x.submit(a, lasting)).To(Succeed())
				for n := range 6 {
					x.awaitCompleted(a, queueJob(n, false).ID)
				}
				x.route(3, "", x.nodes...)
				time.Sleep(2 * time.Second)
				for _, name := range a.Layout().Names(simPools...) {
					_ = x.nodes[2].claimPool(x.ctx, name)
				}
				time.Sleep(time.Second)
				x.route(4, "routes", x.nodes...)
				time.Sleep(time.Second)
				for n := range 6 {
					id := queueJob(n, false).ID
					g.Expect(x.state(x.nodes[n%simDaemons], id)).To(Equal(engine.Completed))
					before := x.events(id)
					g.Expect(x.submit(x.nodes[n%simDaemons], queueJob(n, false))).To(Succeed(), "it remains one job")
					time.Sleep(time.Second)
					g.Expect(x.events(id)).To(Equal(before))
				}
				ctx, cancel := x.timeout()
				defer cancel()
				known, err := a.Cancel(ctx, x.queue(a).Pool, JobRef{Queue: movedQueue, ID: lasting.ID})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(known).To(BeTrue())
				time.Sleep(time.Second)
				g.Expect(x.state(a, lasting.ID)).To(Equal(engine.Cancelled))
				g.Expect(x.submit(a, queueJob(60, false))).To(Succeed(), "the other pool accepts new jobs")
				x.awaitCompleted(a, queueJob(60, false).ID)
				x.state(a, queueJob(61, false).ID)
			})
		})
	}
}

// Guards against a job that two pools accept, while some daemons have a version of the configuration that sends its queue to another pool
// than the others, and while the owner of the former pool changes.
func TestQueueHasOnePoolWhileDaemonsDiffer(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			runQueueSimulation(t, seed, func(x *queueSimulation) {
				g := x.g
				x.route(2, "pumps", x.nodes...)
				g.Expect(x.submit(x.nodes[0], queueJob(0, false))).To(Succeed())
				behind, ahead := x.nodes[0], x.nodes[1]
				x.route(3, "routes", x.nodes[1:]...)
				for n := 1; n < 20; n++ {
					first, second := behind, ahead
					if n%2 == 0 {
						first, second = ahead, behind
					}
					if n == 10 {
						for _, name := range ahead.Layout().Names("pumps") {
							_ = behind.claimPool(x.ctx, name)
						}
					}
					err := x.submit(first, queueJob(n, false))
					if n > 2 && first == behind {
						g.Expect(verdict.Is(err, verdict.MayHaveRun)).To(BeTrue(), "another pool accepts the queue's jobs: %v", err)
					}
					_ = x.submit(second, queueJob(n, false))
				}
				x.route(4, "pumps", x.nodes...)
				g.Expect(x.submit(behind, queueJob(30, false))).To(Succeed(), "the queue has returned")
				for n := range 20 {
					x.awaitCompleted(x.nodes[n%simDaemons], queueJob(n, false).ID)
					for task, ends := range x.doneEnds(queueJob(n, false).ID) {
						g.Expect(ends).To(Equal(1), task)
					}
				}
			})
		})
	}
}

// Guards against a count of waiting jobs without those that were accepted before the queue moved to another pool.
func TestWaitingJobsOfAMovedQueueAreCounted(t *testing.T) {
	runQueueSimulation(t, 0, func(x *queueSimulation) {
		x.route(2, "pumps", x.nodes...)
		for n := range 4 {
			spec := queueJob(n, false)
			spec.Steps[0].RequiredLabel = "no such label"
			x.g.Expect(x.submit(x.nodes[0], spec)).To(Succeed())
		}
		x.route(3, "routes", x.nodes...)
		ctx, cancel := x.timeout()
		defer cancel()
		waiting, err := x.nodes[1].Waiting(ctx, x.queue(x.nodes[1]).Pool, movedQueue)
		x.g.Expect(err).NotTo(HaveOccurred())
		x.g.Expect(waiting).To(Equal(4))
	})
}
