package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"samphirepoint/dispatch"
	"samphirepoint/fairqueue"
	"samphirepoint/instance"
	"samphirepoint/placement"
	"samphirepoint/request"
	"samphirepoint/services/memtable"
	"samphirepoint/standin/workerd"
	"samphirepoint/verdict"
	"samphirepoint/worker"
)

const patience = 20 * time.Second

// world is a pool of workers with the table that its managers share.
type world struct {
	t       *testing.T
	table   *memtable.Table
	store   *Store
	workers []*workerd.Server
	fleet   dispatch.Fleet
	dead    sync.Map
}

func newWorld(t *testing.T, workers int) *world {
	t.Helper()
	w := &world{t: t, table: memtable.New()}
	w.store = &Store{Table: w.table, Objects: &memtable.Objects{}, Now: time.Now}
	w.fleet = dispatch.Fleet{Pools: map[string][]instance.Instance{}, Owned: map[string]bool{"p": true}, Leaving: func(string) bool { return false }}
	for i := range workers {
		s := workerd.New(workerd.Options{ID: fmt.Sprint("w", i)})
		NewWithT(t).Expect(s.Start("127.0.0.1:0")).To(Succeed())
		t.Cleanup(s.Close)
		w.workers = append(w.workers, s)
		w.fleet.Pools["p"] = append(w.fleet.Pools["p"], instance.Instance{ID: fmt.Sprint("w", i), Address: s.Address(), Slots: 8, State: instance.Serving})
	}
	return w
}

// member is the view of one entry that owns the pool.
type member struct {
	w    *world
	name string
}

func (m member) OwnedPools() []string { return []string{"p"} }

func (m member) Alive(owner string) bool {
	_, dead := m.w.dead.Load(owner)
	return !dead
}

// manager starts a manager; kill ends it as a shutdown does, and lets the others take its owner for dead.
func (w *world) manager(name string) (m *Manager, kill func()) {
	s := dispatch.New(dispatch.Config{Log: zerolog.Nop(), Policies: dispatch.Policies{
		Queue:     func() fairqueue.Policy { return fairqueue.NewWeighted() },
		Placement: func() placement.Policy { return placement.LeastLoaded{Rand: rand.New(rand.NewPCG(1, 2))} },
	}})
	m = NewManager(Config{Store: w.store, Slots: s, Cluster: member{w, name}, Owner: name, Log: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Add(2)
	scheduling, stop := context.WithCancel(context.Background())
	go func() { defer running.Done(); _ = s.Run(scheduling) }()
	s.SetFleet(w.fleet)
	go func() { defer running.Done(); _ = m.Run(ctx) }()
	var once sync.Once
	kill = func() {
		once.Do(func() {
			w.dead.Store(name, true)
			cancel()
			time.Sleep(10 * time.Millisecond)
			stop()
			running.Wait()
		})
	}
	w.t.Cleanup(kill)
	return m, kill
}

func submission(key, body string) *request.Request {
	return &request.Request{Backer: "b", Queue: "q", Pool: "p", Idempotent: key == "", Key: key, Body: []byte(body), Received: time.Now()}
}

func (w *world) accept(r *request.Request) string {
	w.t.Helper()
	rec, _, err := w.store.Accept(context.Background(), r)
	NewWithT(w.t).Expect(err).NotTo(HaveOccurred())
	return rec.ID
}

// find reads a row past all faults.
func (w *world) find(id string) *Record {
	direct := &Store{Table: w.table.Direct(), Now: time.Now}
	rec, err := direct.Find(context.Background(), id)
	NewWithT(w.t).Expect(err).NotTo(HaveOccurred())
	return rec
}

func (w *world) state(id string) func() State {
	return func() State { return w.find(id).State }
}

func (w *world) starts() int {
	n := 0
	for _, s := range w.workers {
		for _, e := range s.Journal(0) {
			if e.Kind == workerd.Start {
				n++
			}
		}
	}
	return n
}

// write puts a row into the table as a former owner left it.
func (w *world) write(id string, change func(*Record)) {
	rec := w.find(id)
	change(rec)
	NewWithT(w.t).Expect(w.store.Update(context.Background(), rec)).To(Succeed())
}

func nth(op memtable.Op, prefix string, n int32, f memtable.Fault) memtable.Hook {
	var seen atomic.Int32
	return func(c memtable.Call) memtable.Fault {
		if c.Op == op && c.Touches(prefix) && seen.Add(1) == n {
			return f
		}
		return memtable.Fault{}
	}
}

// Guards against a job that is accepted twice or refused although its row is written, and against a repeat
// that starts it again, also in another pool.
func TestAccept(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 0)
	ctx := context.Background()
	w.table.SetHook(nth(memtable.OpCommit, PrefixActive, 1, memtable.Fault{LoseReply: true}))
	first, replayed, err := w.store.Accept(ctx, submission("k", "{}"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replayed).To(BeFalse())
	again, replayed, err := w.store.Accept(ctx, submission("k", "{}"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replayed).To(BeTrue())
	g.Expect(again.ID).To(Equal(first.ID))

	moved := submission("k", "{}")
	moved.Pool = "o"
	again, replayed, err = w.store.Accept(ctx, moved)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replayed).To(BeTrue(), "the queue has another pool now, the key is the same")
	g.Expect(again.ID).To(Equal(first.ID))

	_, _, err = w.store.Accept(ctx, submission("k", "other"))
	g.Expect(verdict.Status(err)).To(Equal(422))
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue())

	w.table.SetHook(func(memtable.Call) memtable.Fault { return memtable.Fault{ErrBefore: verdict.Unavailable(0, "down")} })
	_, _, err = w.store.Accept(ctx, submission("k2", "{}"))
	g.Expect(verdict.Is(err, verdict.NotRun)).To(BeTrue())
	w.table.SetHook(func(memtable.Call) memtable.Fault { return memtable.Fault{ErrBefore: errors.New("reset")} })
	_, _, err = w.store.Accept(ctx, submission("k2", "{}"))
	g.Expect(verdict.Is(err, verdict.MayHaveRun)).To(BeTrue())
}

// Guards against a sweep that deletes the key of a job which has not ended, or keeps rows for ever.
func TestSweep(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 0)
	active, ended := w.accept(submission("active", "{}")), w.accept(submission("ended", "{}"))
	_, err := w.store.Cancel(context.Background(), ended)
	g.Expect(err).NotTo(HaveOccurred())
	w.store.Now = func() time.Time { return time.Now().Add(Retention + time.Minute) }
	deleted, err := w.store.Sweep(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(deleted).To(Equal(2), "result and key")
	g.Expect(w.find(ended)).To(BeNil())
	again, replayed, err := w.store.Accept(context.Background(), submission("active", "{}"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(replayed).To(BeTrue())
	g.Expect(again.ID).To(Equal(active))
}

// Guards against jobs that run only if a notice arrives: the scan finds them, and it sees them to their end.
func TestScanRunsJobs(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1)
	id := w.accept(submission("", `{"runMs":700}`))
	_, _ = w.manager("a")
	g.Eventually(w.state(id), patience).Should(Equal(Done))
	g.Expect(w.find(id).Verdict).To(Equal("ran"))
	g.Expect(w.starts()).To(Equal(1))
}

// Guards against a job that stops when its owner dies after one of its steps, and against a second run
// of a non-idempotent one.
func TestOwnerDiesAfterEachStep(t *testing.T) {
	t.Parallel()
	long, short := `{"runMs":1500}`, `{"runMs":50}`
	cases := map[string]struct {
		body string
		// started starts the task at the worker, wait passes before the next owner comes.
		started bool
		wait    time.Duration
		// idempotent and once are the states that such jobs reach; runs counts all starts of both.
		idempotent, once State
		runs             int
	}{
		"row written":     {long, false, 0, Done, Unknown, 1},
		"task started":    {long, true, 0, Done, Done, 2},
		"end not written": {short, true, 300 * time.Millisecond, Done, Done, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			w := newWorld(t, 1)
			ids := []string{w.accept(submission("", tc.body)), w.accept(submission("k", tc.body))}
			for i, id := range ids {
				task := fmt.Sprint("task", i)
				w.write(id, func(r *Record) {
					r.State, r.Owner, r.MayHaveRun = Running, "former", true
					r.Worker, r.Address, r.Task = "w0", w.workers[0].Address(), task
				})
				if tc.started {
					_, err := worker.NewClient(w.workers[0].Address()).StartTask(context.Background(), w.find(id).request(),
						worker.TaskStart{ID: task, LeaseSeconds: leaseSeconds, Work: json.RawMessage(tc.body)})
					g.Expect(err).NotTo(HaveOccurred())
				}
			}
			w.dead.Store("former", true)
			time.Sleep(tc.wait)
			_, _ = w.manager("next")
			g.Eventually(w.state(ids[0]), patience).Should(Equal(tc.idempotent))
			g.Eventually(w.state(ids[1]), patience).Should(Equal(tc.once))
			g.Expect(w.starts()).To(Equal(tc.runs))
			if tc.once == Unknown {
				g.Expect(w.find(ids[1]).Verdict).To(Equal("may-have-run"))
			}
		})
	}
}

// Guards against a job that stays with an entry which lives but does not own the pool any more.
func TestWaitingJobOfALiveEntryIsContinued(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1)
	id := w.accept(submission("", `{"runMs":1}`))
	w.write(id, func(r *Record) { r.Owner = "alive elsewhere" })
	_, _ = w.manager("a")
	g.Eventually(w.state(id), patience).Should(Equal(Done))
}

// Guards against two managers that both run a job because both take the pool for theirs.
func TestTwoManagers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 2)
	a, _ := w.manager("a")
	b, _ := w.manager("b")
	var ids []string
	for i := range 20 {
		id := w.accept(submission(fmt.Sprint("k", i), `{"runMs":20}`))
		ids = append(ids, id)
		a.Notify(id)
		b.Notify(id)
	}
	for _, id := range ids {
		g.Eventually(w.state(id), patience).Should(Equal(Done))
	}
	g.Expect(w.starts()).To(Equal(len(ids)))
}

// Guards against a lost reply that leaves a job in a row nobody works on, or ends a job that did not start as one
// that may have run.
func TestLostRepliesOnTheWay(t *testing.T) {
	t.Parallel()
	for step := int32(1); step <= 2; step++ {
		for name, f := range map[string]memtable.Fault{"reply": {LoseReply: true}, "request": {ErrBefore: errors.New("reset")}} {
			t.Run(fmt.Sprint("write ", step, " loses its ", name), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				w := newWorld(t, 1)
				id := w.accept(submission("k", `{"runMs":20}`))
				w.table.SetHook(nth(memtable.OpCommit, PrefixActive, step, f))
				m, _ := w.manager("a")
				m.Notify(id)
				g.Eventually(w.state(id), patience).Should(Equal(Done))
				g.Expect(w.starts()).To(Equal(1))
			})
		}
	}
}

// Guards against the loss of a result because the table is away when the job ends.
func TestTableAwayAtTheEnd(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1)
	id := w.accept(submission("k", `{"runMs":300}`))
	m, _ := w.manager("a")
	m.Notify(id)
	g.Eventually(w.starts, patience).Should(Equal(1))
	w.table.SetHook(func(memtable.Call) memtable.Fault { return memtable.Fault{ErrBefore: verdict.Unavailable(0, "down")} })
	time.Sleep(1500 * time.Millisecond)
	g.Expect(w.find(id).State).To(Equal(Running))
	w.table.SetHook(nil)
	g.Eventually(w.state(id), patience).Should(Equal(Done))
	g.Expect(w.starts()).To(Equal(1))
}

// Guards against an entry that cannot shut down while the table is away; the next owner records the end.
func TestShutdownWhileTheTableIsAway(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1)
	id := w.accept(submission("k", `{"runMs":100}`))
	m, kill := w.manager("a")
	m.Notify(id)
	g.Eventually(w.starts, patience).Should(Equal(1))
	w.table.SetHook(func(memtable.Call) memtable.Fault { return memtable.Fault{ErrBefore: verdict.Unavailable(0, "down")} })
	time.Sleep(500 * time.Millisecond)
	stopped := make(chan struct{})
	go func() { kill(); close(stopped) }()
	g.Eventually(stopped, patience).Should(BeClosed())
	w.table.SetHook(nil)
	_, _ = w.manager("b")
	g.Eventually(w.state(id), patience).Should(Equal(Done))
	g.Expect(w.starts()).To(Equal(1))
}

// Guards against work that is done twice although a checkpoint exists.
func TestCheckpointContinues(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	w := newWorld(t, 1)
	id := w.accept(submission("", `{"runMs":60000}`))
	w.write(id, func(r *Record) { r.Checkpoint, r.MayHaveRun = json.RawMessage(`{"doneMs":59900}`), true })
	m, _ := w.manager("a")
	m.Notify(id)
	g.Eventually(w.state(id), patience).Should(Equal(Done))
}

// Guards against a wrong verdict on a cancel, and a cancelled job that runs.
func TestCancel(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	t.Run("waiting", func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(t, 0)
		m, _ := w.manager("a")
		id := w.accept(submission("", `{"runMs":1}`))
		m.Notify(id)
		rec, err := w.store.Cancel(ctx, id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(rec.State).To(Equal(Cancelled))
		g.Expect(w.find(id).Verdict).To(Equal("not-run"))
		m.Notify(id)
		g.Eventually(func() int { m.mu.Lock(); defer m.mu.Unlock(); return len(m.mine) }, patience).Should(BeZero())
	})
	t.Run("waiting again after a run", func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(t, 0)
		id := w.accept(submission("", `{"runMs":1}`))
		w.write(id, func(r *Record) { r.MayHaveRun = true })
		_, err := w.store.Cancel(ctx, id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(w.find(id).Verdict).To(Equal("may-have-run"))
	})
	t.Run("running", func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld(t, 1)
		m, _ := w.manager("a")
		id := w.accept(submission("k", `{"runMs":60000}`))
		m.Notify(id)
		g.Eventually(w.starts, patience).Should(Equal(1))
		_, err := w.store.Cancel(ctx, id)
		g.Expect(err).NotTo(HaveOccurred())
		m.Notify(id)
		g.Eventually(w.state(id), patience).Should(Equal(Cancelled))
		g.Expect(w.find(id).Verdict).To(Equal("may-have-run"))
		g.Expect(w.workers[0].Status().Running).To(BeEmpty())
	})
	t.Run("running on a dead worker", func(t *testing.T) {
		t.Parallel()
		g := NewWithT(t)
		w := newWorld(t, 1)
		m, _ := w.manager("a")
		id := w.accept(submission("k", `{"runMs":60000}`))
		m.Notify(id)
		g.Eventually(w.starts, patience).Should(Equal(1))
		_, err := w.store.Cancel(ctx, id)
		g.Expect(err).NotTo(HaveOccurred())
		w.workers[0].Close()
		m.Notify(id)
		g.Eventually(w.state(id), lapseAfter+patience).Should(Equal(Cancelled))
	})
}

// Guards against a job that can never run and fails for ever, also in a pool of fewer than three workers.
func TestCannotRun(t *testing.T) {
	t.Parallel()
	for workers, failures := range map[int]int{4: cannotRunAfter, 1: maxFailures} {
		t.Run(fmt.Sprint(workers, " workers"), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			w := newWorld(t, workers)
			m, _ := w.manager("a")
			id := w.accept(submission("", `{"neverRuns":true}`))
			m.Notify(id)
			g.Eventually(w.state(id), 4*patience).Should(Equal(Failed))
			g.Expect(w.find(id).Error).To(ContainSubstring("cannot run"))
			g.Expect(w.starts()).To(Equal(failures))
		})
	}
}

// Guards against a second start of a non-idempotent task: its worker may have started it, lost the reply and
// forgotten it in a restart.
func TestNonIdempotentStartIsSentOnce(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var starts atomic.Int32
	address := listen(t, func() { starts.Add(1) })
	r := &runner{m: NewManager(Config{}), rec: &Record{ID: "j"}, leave: make(chan struct{}), log: zerolog.Nop()}
	next := r.start(&dispatch.Grant{Client: worker.NewClient(address)}, worker.TaskStart{ID: "t"}, false)
	g.Expect(next).To(Equal(following))
	g.Expect(starts.Load()).To(Equal(int32(1)))
}
