package engine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	exploreStep     = 50 * time.Millisecond
	exploreTurns    = 300  // with faults and new jobs
	exploreCalm     = 1200 // without
	simulationSeeds = 250
)

// breach makes the explorer break an assumption that the engine rests on, to show that the judge notices.
type breach int

const (
	soundWorld breach = iota
	// lostRecords lets the store forget transactions that it has acknowledged.
	lostRecords
	// falseDeaths reports workers as gone that live on.
	falseDeaths
	// unfencedOrders lets workers obey a former owner.
	unfencedOrders
	// forgottenFailures lets the store forget failed attempts.
	forgottenFailures
)

// explorer drives owners of one pool through random faults: lost and late answers, cut and restarted workers, outages of the
// store, takeovers at any moment.
type explorer struct {
	rnd     *rand.Rand
	breach  breach
	now     time.Duration
	pool    *Pool
	judge   *judge
	jobs    []*simJob
	queues  []Queue
	records map[string]stored
	// storeUntil is until when the store is away.
	storeUntil time.Duration
	calm       bool
	late       []lateCall
	life       int64
}

func newExplorer(seed uint64, b breach) *explorer {
	x := &explorer{
		rnd: rand.New(rand.NewPCG(seed, 5)), breach: b, now: testStart, records: map[string]stored{}, life: 1000,
		judge:  &judge{tasks: map[string]*simTask{}, byEnd: map[string]func(){}, workers: map[string]*simWorker{}},
		queues: []Queue{{Name: "q", Attempts: 3, Stretch: 1.6, TargetMS: 600}, {Name: "low", Attempts: 4, Priority: 1, Stretch: 2, TargetMS: 900}, {Name: "advised", Attempts: 3, Stretch: 2, TargetMS: 900, Advised: true}},
	}
	for i := range 8 {
		x.addWorker(i)
	}
	x.takeOver(1)
	return x
}

func (x *explorer) addWorker(i int) {
	x.life += 10
	info := WorkerInfo{
		ID: fmt.Sprintf("i-%02d-%d", i, x.life), Capacity: Resources{CPU: 16000, Mem: 32000, GPU: int64(4 * (i % 2))},
		Labels: []string{string(rune('a' + i%2)), fmt.Sprintf("r-%d", i/4)},
	}
	info.Address = info.ID
	x.judge.workers[info.ID] = &simWorker{
		info: info, guards: i%4 == 3, born: x.life, bornAt: x.now - time.Second, rate: 0.98 + 0.02*x.rnd.Float64(),
		runs: map[string]*simRun{}, highest: map[string]int64{}, judge: x.judge,
	}
}

func (x *explorer) clock() Clock {
	return Clock{Now: x.now, Wall: 1_800_000_000_000 + x.now.Milliseconds()}
}

// takeOver lets a successor load what the store has.
func (x *explorer) takeOver(token int64) {
	p := NewPool("pumps", token, DefaultOptions(), x.now)
	p.SetQueues(x.queues)
	for id, s := range x.records {
		spec := s.spec
		p.Load(&spec, id, s.record, x.clock())
	}
	x.pool = p
	x.roster()
}

func (x *explorer) roster() {
	var list []WorkerInfo
	for _, w := range x.judge.workers {
		list = append(list, w.info)
	}
	x.pool.SetRoster(list, x.clock())
}

func (x *explorer) chance(p float64) bool { return !x.calm && x.rnd.Float64() < p }

func (x *explorer) pick() *simWorker {
	ids := make([]string, 0, len(x.judge.workers))
	for id := range x.judge.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return x.judge.workers[ids[x.rnd.IntN(len(ids))]]
}

// randomStep draws a step of any kind that the platform knows.
func (x *explorer) randomStep(i int) Step {
	s := Step{Count: 1 + x.rnd.IntN(4), Need: Resources{CPU: int64(300 + x.rnd.IntN(3000)), Mem: 500}, EstimateMS: int64(100 + x.rnd.IntN(900))}
	if i > 0 {
		s.After = []int{i - 1}
	}
	switch x.rnd.IntN(8) {
	case 0:
		s.Gang, s.SameRack = true, x.rnd.IntN(2) == 0
	case 1:
		s.RequiredLabel = "b"
	case 2:
		s.Need.GPU = 1
	case 3:
		s.AntiAffinity = 1 + x.rnd.IntN(2)
	case 4:
		s.Speculative = true
	case 5:
		s.AffinityRack = "r-1"
	}
	s.Checkpointed = x.rnd.IntN(3) == 0
	return s
}

func (x *explorer) submit(n int) {
	j := &simJob{queue: x.queues[x.rnd.IntN(len(x.queues))], tasks: map[string]*simTask{}, tickets: map[string]time.Duration{}}
	j.advised = j.queue.Advised
	j.spec = Spec{ID: fmt.Sprintf("%016x", n), Queue: j.queue.Name}
	if x.rnd.IntN(5) == 0 {
		j.failing = 0.3
	}
	switch x.rnd.IntN(8) {
	case 0:
		lasting := Step{Count: 3, Need: Resources{CPU: 1500, Mem: 500}, LongRunning: true, AntiAffinity: 1, MaxUnavailable: 1, TailTargetMS: 100}
		fills := Step{Count: 2, Need: Resources{CPU: 4000, Mem: 500}, LongRunning: true, BestEffort: true}
		j.spec.Steps, j.failing = []Step{lasting, fills}, 0
	default:
		for i := range 1 + x.rnd.IntN(3) {
			j.spec.Steps = append(j.spec.Steps, x.randomStep(i))
		}
		if x.rnd.IntN(6) == 0 {
			j.spec.RepeatCount, j.spec.FirstDueMS, j.spec.IntervalMS = 3, x.clock().Wall+500, 700
		}
	}
	x.know(j)
	x.pool.Submit(j.spec, x.clock())
}

// know makes the job's tasks known to the judge.
func (x *explorer) know(j *simJob) {
	for occ := range j.spec.Occurrences() {
		for i := range j.spec.Steps {
			for k := range j.spec.Steps[i].Count {
				id := TaskID{Job: j.spec.ID, Occ: occ, Step: i, IndexInStep: k}
				t := &simTask{name: id.String(), job: j, spec: &j.spec.Steps[i], step: i, occ: occ, saved: map[string]bool{}}
				j.tasks[t.name], x.judge.tasks[t.name] = t, t
			}
		}
	}
	x.jobs = append(x.jobs, j)
}

// trouble draws what goes wrong in this step.
func (x *explorer) trouble() {
	if x.chance(0.03) {
		x.pick().cutUntil = x.now + time.Duration(x.rnd.IntN(9000))*time.Millisecond
	}
	if x.chance(0.01) {
		x.pick().restart(x.now)
	}
	if x.chance(0.01) {
		x.replace()
	}
	if x.chance(0.01) {
		x.storeUntil = x.now + time.Duration(x.rnd.IntN(3000))*time.Millisecond
	}
	if x.chance(0.02) {
		x.takeOver(x.pool.Token + 1)
	}
	if x.chance(0.02) {
		x.pool.Cordon(x.pick().info.ID, x.now+2*time.Second, x.clock())
	}
	if x.breach == falseDeaths && x.chance(0.05) {
		x.pool.WorkerTerminated(x.pick().info.ID, x.clock())
	}
	if len(x.jobs) > 0 && x.chance(0.02) {
		x.cancel(x.jobs[x.rnd.IntN(len(x.jobs))])
	}
}

func (x *explorer) replace() {
	w := x.pick()
	x.judge.lifeEnded(w)
	delete(x.judge.workers, w.info.ID)
	x.pool.WorkerTerminated(w.info.ID, x.clock())
	x.addWorker(int(w.info.ID[3] - '0'))
	x.roster()
}

func (x *explorer) cancel(j *simJob) {
	job, known := x.pool.Cancel(j.spec.ID, x.clock())
	if !known {
		return
	}
	j.cancelled = true
	job.WhenCommitted(func() {
		if job.state == Cancelled {
			j.cancelledAt = x.now
		}
	})
}

func (x *explorer) step() {
	x.now += exploreStep
	for _, w := range x.judge.workers {
		w.age(x.now, exploreStep)
	}
	x.trouble()
	x.late = slices.DeleteFunc(x.late, func(c lateCall) bool {
		if c.at > x.now {
			return false
		}
		c.do()
		return true
	})
	x.holds()
	x.pool.Tick(x.clock())
	x.pool.RequestPlacement()
	x.pool.Place(x.clock())
	x.flush()
	x.advise()
	x.judge.judgeStates(x.pool, x.jobs)
}

// play runs a whole history and returns the breaches of rules.
func (x *explorer) play() []string {
	for n := range exploreTurns {
		if n%8 == 0 {
			x.submit(n)
		}
		x.step()
	}
	x.calm, x.storeUntil = true, 0
	for _, w := range x.judge.workers {
		w.cutUntil = 0
	}
	for range exploreCalm {
		x.step()
		if len(x.judge.faults) > 0 {
			return x.judge.faults
		}
	}
	x.judgeLost()
	return x.judge.faults
}

// judgeLost checks that after a long calm everything accepted has ended or, if it lasts, is at work.
func (x *explorer) judgeLost() {
	for _, j := range x.jobs {
		if _, stored := x.records[j.spec.ID]; !stored {
			continue // never accepted: its owner was succeeded before it was in the store
		}
		job := x.pool.Job(j.spec.ID)
		if job == nil {
			x.judge.fail("LOST", "%s isn't known", j.spec.ID)
			continue
		}
		for _, t := range j.tasks {
			switch {
			case job.State().Terminal() && len(t.running) > 0:
				x.judge.fail("UNASKED", "%s runs on, its job is %s", t.name, job.State())
			case !job.State().Terminal() && t.spec.LongRunning && len(t.running) == 0:
				x.judge.fail("LOST", "%s lasts and doesn't run", t.name)
			case !job.State().Terminal() && !t.spec.LongRunning && !t.done:
				x.judge.fail("LOST", "%s is not done, its job is %s", t.name, job.State())
			}
		}
	}
}

// Guards against a rule of the platform that breaks in some order of faults that nobody thought of.
func TestRulesUnderRandomFaults(t *testing.T) {
	for seed := range uint64(simulationSeeds) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			if faults := newExplorer(seed, soundWorld).play(); len(faults) > 0 {
				t.Errorf("%d breaches, the first: %s", len(faults), faults[0])
			}
		})
	}
}

// Guards against a judge that sees nothing: where the store, the list of workers or the fence does not keep what the platform
// promises, some history must break a rule.
func TestRuleCheckerDetectsViolations(t *testing.T) {
	for name, b := range map[string]breach{"lost records": lostRecords, "false deaths": falseDeaths, "no fence": unfencedOrders, "forgotten failures": forgottenFailures} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(simulationSeeds) {
				if len(newExplorer(seed, b).play()) > 0 {
					return
				}
			}
			t.Errorf("no breach in %d histories", simulationSeeds)
		})
	}
}
