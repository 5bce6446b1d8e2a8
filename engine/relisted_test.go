package engine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// relist removes a worker from the platform's list for one reading of it.
func (w *testPool) relist(id string) {
	f := w.workers[id]
	delete(w.workers, id)
	w.updateRoster()
	w.workers[id] = f
	w.updateRoster()
}

// Guards against an end that is acknowledged before it is stored: a worker that is listed again lists it a second time, when
// its task is done in memory only.
func TestRepeatedEndIsAcknowledgedOnlyOnceStored(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	w.pool.Submit(oneStep("00000000000000b2", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.flush()
	w.run(100 * time.Millisecond)
	w.storeDown = true
	w.endAll(EndDone)
	w.renewLeases()
	w.relist("i-00")
	w.renewLeases()
	w.renewLeases()
	g.Expect(w.workers["i-00"].ackedUpTo).To(BeZero())
	w.storeDown = false
	w.flush()
	w.renewLeases()
	g.Expect(w.workers["i-00"].ackedUpTo).To(Equal(int64(1)))
}

// Guards against work that is started on a worker whose instance is about to be moved, because the worker was missing from
// the platform's list for a moment.
func TestCordonSurvivesRelisting(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	empty, known := w.pool.Cordon("i-00", w.now+2*time.Second, w.clock())
	g.Expect(empty && known).To(BeTrue())
	w.relist("i-00")
	w.pool.Submit(oneStep("00000000000000b3", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.run(time.Second)
	g.Expect(w.workers["i-00"].running).To(BeEmpty())
	w.run(2 * time.Second)
	g.Expect(w.workers["i-00"].running).To(HaveLen(1))
}

// Guards against owners that read all orders for instances for each worker that has left after an order, which is most of what a large
// deployment read from its store, and against a cordon that ends while its worker is missing from the list.
func TestCordonsOfUnlistedWorkersNeedNoCheck(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	for _, id := range []string{"i-00", "i-01"} {
		empty, known := w.pool.Cordon(id, w.now+time.Second, w.clock())
		g.Expect(empty && known).To(BeTrue())
	}
	w.pool.SetRoster([]WorkerInfo{w.workers["i-01"].info}, w.clock())
	w.now += 500 * time.Millisecond
	w.pool.SetRoster([]WorkerInfo{w.workers["i-01"].info}, w.clock())
	g.Expect(w.pool.ExpiringCordons(w.clock(), time.Second)).To(Equal([]string{"i-01"}))
	w.now += time.Second
	w.updateRoster()
	w.now += 600 * time.Millisecond
	g.Expect(w.pool.ExpiringCordons(w.clock(), time.Second)).To(Equal([]string{"i-00"}), "listed again, its cordon is checked before it ends")
}

// Guards against owners that keep every worker that has left for the time of its cordon.
func TestTerminatedWorkerIsForgottenOnceItIsUnlisted(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	_, known := w.pool.Cordon("i-00", w.now+time.Minute, w.clock())
	g.Expect(known).To(BeTrue())
	w.pool.WorkerTerminated("i-00", w.workers["i-00"].incarnation, w.clock())
	w.pool.SetRoster([]WorkerInfo{w.workers["i-01"].info}, w.clock())
	g.Expect(w.pool.workers).To(HaveLen(1))
}

// Guards against work that is started again because a live worker was reported as terminated.
func TestReportedTerminationNeedsASilentWorker(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(2)
	const id = "00000000000000b3"
	w.pool.Submit(oneStep(id, Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.run(time.Second)
	runs := func() (string, int64) {
		task := w.pool.Job(id).occurrences[0].tasks[0]
		if len(task.live) != 1 {
			return "", 0
		}
		return task.live[0].Worker.ID, task.lastRun
	}
	at, _ := runs()
	w.pool.ReportTerminated(at, w.workers[at].incarnation, w.clock())
	w.run(time.Second)
	_, run := runs()
	g.Expect(run).To(Equal(int64(1)), "the worker answers")
	w.pool.AddressReused(Target{ID: at, Address: "former address"}, w.clock())
	w.run(time.Second)
	_, run = runs()
	g.Expect(run).To(Equal(int64(1)), "the worker has another address")

	w.workers[at].unresponsive = true
	w.pool.ReportTerminated(at, w.workers[at].incarnation, w.clock())
	w.run(300 * time.Millisecond)
	elsewhere, run := runs()
	g.Expect(run).To(Equal(int64(2)), "the worker is reported as terminated, and doesn't answer")
	g.Expect(elsewhere).NotTo(Equal(at))
}

// Guards against a task that runs twice since its worker was reported as terminated or absent, in a report that arrived late: the worker has
// started again under its ID since, and doesn't answer this owner now.
func TestReportOfAFormerIncarnationEndsNoLaterRuns(t *testing.T) {
	for name, successor := range map[string]bool{"silent": false, "not reached by a new owner": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newTestPool(1)
			f := w.workers["i-00"]
			former := f.incarnation
			f.incarnation, f.startedAt = former+1, w.now
			w.renewLeases()
			const id = "00000000000000b5"
			w.pool.Submit(oneStep(id, Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
			w.run(200 * time.Millisecond)
			g.Expect(f.running).To(HaveLen(1))
			f.unresponsive = true
			if successor {
				w.successor()
			} else {
				w.renewLeases()
			}
			live := func() int { return len(w.pool.Job(id).occurrences[0].tasks[0].live) }
			w.pool.ReportAbsent("i-00", former, w.clock())
			w.pool.ReportTerminated("i-00", former, w.clock())
			g.Expect(live()).To(Equal(1))
			w.pool.ReportTerminated("i-00", former+1, w.clock())
			if successor {
				g.Expect(live()).To(Equal(1), "the former owner may not have known of another incarnation that has its order")
				w.now += absenceDelay + time.Millisecond
				w.pool.ReportAbsent("i-00", former+1, w.clock())
			}
			g.Expect(live()).To(BeZero())
		})
	}
}

// Guards against a run that counts as one of the incarnation to which its order was sent, although a later one has executed it.
func TestListedRunBelongsToTheIncarnationThatListsIt(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	o, f := w.startOne("00000000000000b6")
	w.pool.StartAnswered(o, StartAnswer{Outcome: StartAccepted}, w.clock())
	former := f.incarnation
	f.incarnation, f.startedAt = former+1, w.now
	f.running[runKey(o.Task, o.Run)] = &fakeRun{order: o}
	w.now += 100 * time.Millisecond
	w.renewLeases()
	w.renewLeases()
	w.flush()
	f.unresponsive = true
	w.successor()
	w.pool.ReportAbsent("i-00", former, w.clock())
	g.Expect(w.pool.findRun(o)).NotTo(BeNil())
}

// Guards against a task that runs twice since a new owner has an old list of workers: another worker answers at the address that the list
// gives, while the worker has started again under its ID elsewhere and a former owner has started the task there.
func TestAddressInAnOldListEndsNoLaterRuns(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	f := w.workers["i-00"]
	old := f.info
	old.Incarnation = f.incarnation
	f.incarnation, f.startedAt, f.info.Address = f.incarnation+1, w.now, "another address"
	w.updateRoster()
	w.renewLeases()
	const id = "00000000000000b7"
	w.pool.Submit(oneStep(id, Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.run(200 * time.Millisecond)
	w.successor()
	w.pool.SetRoster([]WorkerInfo{old}, w.clock())
	w.pool.AddressReused(Target{ID: old.ID, Address: old.Address}, w.clock())
	g.Expect(w.pool.Job(id).occurrences[0].tasks[0].live).To(HaveLen(1))
	old.Incarnation = f.incarnation
	w.pool.SetRoster([]WorkerInfo{old}, w.clock())
	w.pool.AddressReused(Target{ID: old.ID, Address: old.Address}, w.clock())
	g.Expect(w.pool.Job(id).occurrences[0].tasks[0].live).To(BeEmpty())
}

// Guards against work that is started on a worker whose instance has an open order, because the worker terminated and started again under its
// ID before it was unlisted.
func TestCordonOutlastsARestart(t *testing.T) {
	g := NewWithT(t)
	w := newTestPool(1)
	f := w.workers["i-00"]
	empty, known := w.pool.Cordon("i-00", w.now+2*time.Second, w.clock())
	g.Expect(empty && known).To(BeTrue())
	f.unresponsive = true
	w.renewLeases()
	w.pool.ReportTerminated("i-00", f.incarnation, w.clock())
	f.unresponsive, f.incarnation, f.startedAt = false, f.incarnation+1, w.now
	w.pool.Submit(oneStep("00000000000000b5", Step{Count: 1, Need: Resources{CPU: 1000}}), w.clock())
	w.run(time.Second)
	g.Expect(f.running).To(BeEmpty())
	w.run(2 * time.Second)
	g.Expect(f.running).To(HaveLen(1))
}
