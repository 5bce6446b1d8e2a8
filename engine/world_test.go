package engine

import (
	"fmt"
	"time"
)

// world drives a pool without store or network: batches are written at once, orders are answered at once.
type world struct {
	pool    *Pool
	now     time.Duration
	workers map[string]*fakeWorker
	// storeDown keeps batches from being written.
	storeDown bool
	// record is the last written state of each job, as a successor would load it.
	record map[string]stored
	orders []Order
}

type stored struct {
	spec   Spec
	record Record
}

type fakeWorker struct {
	info    WorkerInfo
	born    int64
	bornAt  time.Duration
	silent  bool
	running map[string]*fakeRun
	ended   []EndedRow
	n       int64
	seen    int64
	lease   time.Duration
	// mute makes start orders go unanswered, carried out or not.
	mute        bool
	carriesOut  bool
	maxUsed     Resources
	startsTotal int
}

type fakeRun struct {
	order Order
	ends  time.Duration
	how   EndReason
}

const testStart = 10 * time.Second

func newWorld(workers int) *world {
	w := &world{now: testStart, workers: map[string]*fakeWorker{}, record: map[string]stored{}}
	w.pool = NewPool("pumps", 1, DefaultOptions(), w.now)
	w.pool.SetQueues([]Queue{{Name: "q", Attempts: 3, Stretch: 1.6, TargetMS: 600}, {Name: "low", Attempts: 3, Priority: 1, Stretch: 1.6, TargetMS: 600}})
	for i := range workers {
		id := fmt.Sprintf("i-%02d", i)
		w.workers[id] = &fakeWorker{
			info: WorkerInfo{ID: id, Address: id, Capacity: Resources{CPU: 64000, Mem: 128000}, Labels: []string{"a", fmt.Sprintf("r-%d", i/4)}},
			born: 1000 + int64(i), bornAt: -time.Minute, running: map[string]*fakeRun{}, carriesOut: true,
		}
	}
	w.roster()
	w.hold()
	w.hold()
	return w
}

func (w *world) clock() Clock {
	return Clock{Now: w.now, Wall: 1_800_000_000_000 + w.now.Milliseconds()}
}

func (w *world) roster() {
	var list []WorkerInfo
	for _, f := range w.workers {
		list = append(list, f.info)
	}
	w.pool.SetRoster(list, w.clock())
}

func (f *fakeWorker) clockMS(now time.Duration) int64 { return (now - f.bornAt).Milliseconds() }

// hold lets every worker that is not silent answer one hold.
func (w *world) hold() {
	for id, f := range w.workers {
		req, ok := w.pool.NextRenewal(id, w.clock())
		if !ok {
			continue
		}
		if f.silent {
			w.pool.RenewalFailed(id, w.clock())
			continue
		}
		w.pool.RenewalAnswered(id, f.answer(req, w.now), w.now, w.clock())
	}
}

func (f *fakeWorker) answer(req RenewalRequest, now time.Duration) RenewalReply {
	f.seen = max(f.seen, req.SeenUpto)
	f.lease = max(f.lease, time.Duration(req.DeadlineMS)*time.Millisecond+f.bornAt)
	a := RenewalReply{Incarnation: f.born, ClockMS: f.clockMS(now)}
	for _, r := range f.running {
		a.Running = append(a.Running, RunningRow{Task: r.order.Task.String(), Run: r.order.Run, Percent: 100})
	}
	for _, e := range f.ended {
		if e.Seq > f.seen {
			a.Ended = append(a.Ended, e)
		}
	}
	return a
}

func (f *fakeWorker) end(key string, how EndReason) {
	r := f.running[key]
	delete(f.running, key)
	f.n++
	f.ended = append(f.ended, EndedRow{Seq: f.n, Task: r.order.Task.String(), Run: r.order.Run, Reason: how})
}

// flush writes batches and carries out orders.
func (w *world) flush() {
	for {
		if !w.storeDown {
			w.write()
		}
		orders := w.pool.TakeOrders()
		if len(orders) == 0 {
			return
		}
		for _, o := range orders {
			w.orders = append(w.orders, o)
			w.carryOut(o)
		}
	}
}

func (w *world) write() {
	for {
		batch := w.pool.NextBatch(99, 1<<20)
		if len(batch) == 0 {
			return
		}
		for _, ch := range batch {
			id := ch.Job.Spec.ID
			if ch.Record == nil {
				delete(w.record, id)
				continue
			}
			w.record[id] = stored{spec: ch.Job.Spec, record: ch.Job.record()}
		}
		w.pool.Committed(batch, w.clock())
	}
}

func (w *world) carryOut(o Order) {
	f := w.workers[o.Worker.ID]
	if f == nil {
		return
	}
	key := runKey(o.Task, o.Run)
	switch o.Kind {
	case OrderStart:
		w.start(f, key, o)
	case OrderStop:
		if f.silent {
			return
		}
		if f.running[key] != nil {
			f.end(key, EndStopped)
		}
		w.pool.StopAnswered(o, true, w.clock())
	}
}

func (w *world) start(f *fakeWorker, key string, o Order) {
	if f.silent || (f.mute && !f.carriesOut) {
		w.pool.StartAnswered(o, StartUnknown, "", w.clock())
		return
	}
	if f.running[key] == nil {
		f.startsTotal++
		f.running[key] = &fakeRun{order: o}
	}
	var used Resources
	for _, r := range f.running {
		if t := w.pool.Job(r.order.Task.Job); t != nil {
			used = used.Add(t.Spec.Steps[r.order.Task.Step].Occupies())
		}
	}
	f.maxUsed = Resources{CPU: max(f.maxUsed.CPU, used.CPU), Mem: max(f.maxUsed.Mem, used.Mem)}
	if f.mute {
		w.pool.StartAnswered(o, StartUnknown, "", w.clock())
		return
	}
	w.pool.StartAnswered(o, StartAccepted, "", w.clock())
}

// step lets time pass in small steps, with holds, ticks and placements.
func (w *world) step(d time.Duration) {
	const dt = 50 * time.Millisecond
	for end := w.now + d; w.now < end; {
		w.now += dt
		for _, f := range w.workers {
			w.age(f)
		}
		w.hold()
		w.pool.Tick(w.clock())
		w.pool.RequestPlacement()
		w.pool.Place(w.clock())
		w.flush()
	}
}

// age ends what is due on a worker and what its lease no longer covers.
func (w *world) age(f *fakeWorker) {
	for key, r := range f.running {
		if f.lease > 0 && w.now > f.lease {
			f.end(key, EndLapsed)
			continue
		}
		if r.ends != 0 && w.now >= r.ends {
			f.end(key, r.how)
		}
	}
}

// place runs one placement with its effects.
func (w *world) place() {
	w.pool.RequestPlacement()
	w.pool.Place(w.clock())
	w.flush()
}

// runs counts the present runs of a task over all workers.
func (w *world) runs(task string) int {
	n := 0
	for _, f := range w.workers {
		for _, r := range f.running {
			if r.order.Task.String() == task {
				n++
			}
		}
	}
	return n
}

func (w *world) endAll(how EndReason) {
	for _, f := range w.workers {
		for key := range f.running {
			f.end(key, how)
		}
	}
}

// successor returns a pool that loads what was written last, under a higher token.
func (w *world) successor() {
	p := NewPool("pumps", w.pool.Token+1, DefaultOptions(), w.now)
	p.SetQueues([]Queue{{Name: "q", Attempts: 3, Stretch: 1.6, TargetMS: 600}})
	for id, s := range w.record {
		spec := s.spec
		p.Load(&spec, id, s.record, w.clock())
	}
	w.pool = p
	w.roster()
}

func oneStep(id string, step Step) Spec { return Spec{ID: id, Queue: "q", Steps: []Step{step}} }
