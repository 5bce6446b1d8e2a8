// Package simulation compares move policies in virtual time. It models slots, queues with short and long
// work, overflow into the spare pool and the drain of moving instances; it has no network, no
// claims and no failures. Its figures rank policies and do not predict latencies.
package simulation

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"samphirepoint/mover"
)

const (
	tick         = 50 * time.Millisecond
	planInterval = 5 * time.Second
	// slotsPerWorker is the number of slots of each worker (design document, section 1.3).
	slotsPerWorker = 8
	// overflowAfter is the wait after which work may start in the next pool (design document, section 3.10).
	overflowAfter = 100 * time.Millisecond
	// blockedAfter is the wait above which short work counts as blocked (design document, section 1.2).
	blockedAfter = time.Second
)

// Deployment describes the pools and the demand of a deployment (design document, section 1.3).
type Deployment struct {
	Name string
	// Pools are the sizes of the home pools, and Spare is the size of the spare pool, in instances.
	Pools []int
	Spare int
	// LongShare is the share of slot time that long work takes; Short and Long are mean run times.
	LongShare   float64
	Short, Long time.Duration
	Settings    mover.Settings
}

// Inzira returns a deployment with long audits and short shift checks.
func Inzira() Deployment {
	return Deployment{Name: "inzira", Pools: []int{9, 9, 11, 12}, Spare: 8, LongShare: 0.4,
		Short: 400 * time.Millisecond, Long: 12 * time.Second, Settings: mover.InziraSettings()}
}

// Hraunvik returns a deployment with short quotes and tariff refreshes, a few of which run far longer.
func Hraunvik() Deployment {
	return Deployment{Name: "hraunvik", Pools: []int{8, 9, 11, 12}, Spare: 8, LongShare: 0.1,
		Short: 300 * time.Millisecond, Long: 6 * time.Second, Settings: mover.HraunvikSettings()}
}

// Result holds the measures defined in the design document, section 1.2.
type Result struct {
	Deployment, Policy string
	// BufferSeconds are the idle worker-seconds of all instances that are not parked, and BufferShare is
	// their share of all worker-seconds of the fleet.
	BufferSeconds float64
	BufferShare   float64
	// SpareSeconds are the idle worker-seconds of the spare pool alone.
	SpareSeconds float64
	MovesPerHour float64
	// BlockedShare is the share of short work that waited for over 1 s.
	BlockedShare float64
	P50, P99     time.Duration
	ShortStarted int
}

// Run simulates the deployment under the policy for the given virtual time.
func Run(seed uint64, d Deployment, p mover.Policy, length time.Duration) Result {
	s := newState(seed, d)
	for s.now < length {
		s.arrive()
		s.complete()
		s.finishMoves()
		s.dispatch()
		if s.now%planInterval == 0 {
			s.plan(p)
		}
		s.measure()
		s.now += tick
	}
	return s.result(p.Name(), length)
}

// state is the simulated fleet. Its pools are the home pools, then the spare pool, then the parked pool.
type state struct {
	deployment    Deployment
	random        *rand.Rand
	now           time.Duration
	workers       []*worker
	queues        []queue
	completions   completionHeap
	spikes        spikes
	moves         int
	bufferSeconds float64
	spareSeconds  float64
	waits         map[time.Duration]int
	shortStarted  int
}

type worker struct {
	pool, target int // target is -1 unless the worker is moving
	busy         int
}

// queue is the queue of one home pool.
type queue struct {
	short, long []time.Duration // arrival times
	running     int             // slots in use in any pool
	longRunning int
}

type completion struct {
	at     time.Duration
	worker *worker
	queue  int
	long   bool
}

type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// spikes is the state of the demand spike that rotates among the queues. For some seconds a queue has 5 times its mean
// demand, which is 1.15 to 1.4 times its pool's slots, and in between a twentieth of the mean.
type spikes struct {
	queue  int
	until  time.Duration
	factor float64
}

func newState(seed uint64, d Deployment) *state {
	s := &state{deployment: d, random: rand.New(rand.NewPCG(seed, 7)), queues: make([]queue, len(d.Pools)), waits: map[time.Duration]int{}}
	for pool, n := range append(append([]int{}, d.Pools...), d.Spare) {
		for range n {
			s.workers = append(s.workers, &worker{pool: pool, target: -1})
		}
	}
	return s
}

func (s *state) sparePool() int  { return len(s.deployment.Pools) }
func (s *state) parkedPool() int { return len(s.deployment.Pools) + 1 }

// demand returns a queue's current demand in slots.
func (s *state) demand(q int) float64 {
	if s.now >= s.spikes.until {
		s.spikes.queue = (s.spikes.queue + 1) % len(s.queues)
		s.spikes.factor = 1.15 + 0.25*s.random.Float64()
		s.spikes.until = s.now + 8*time.Second + time.Duration(s.random.Float64()*float64(12*time.Second))
	}
	peak := s.spikes.factor * float64(s.deployment.Pools[q]*slotsPerWorker)
	if q == s.spikes.queue {
		return peak
	}
	return peak / 5 / 20
}

func (s *state) arrive() {
	for q := range s.queues {
		d := s.demand(q) * tick.Seconds()
		s.queues[q].short = s.addArrivals(s.queues[q].short, d*(1-s.deployment.LongShare)/s.deployment.Short.Seconds())
		s.queues[q].long = s.addArrivals(s.queues[q].long, d*s.deployment.LongShare/s.deployment.Long.Seconds())
	}
}

// addArrivals appends a Poisson-distributed number of arrivals.
func (s *state) addArrivals(list []time.Duration, mean float64) []time.Duration {
	for limit, p := math.Exp(-mean), s.random.Float64(); p > limit; p *= s.random.Float64() {
		list = append(list, s.now)
	}
	return list
}

func (s *state) complete() {
	for len(s.completions) > 0 && s.completions[0].at <= s.now {
		e := heap.Pop(&s.completions).(completion)
		e.worker.busy--
		s.queues[e.queue].running--
		if e.long {
			s.queues[e.queue].longRunning--
		}
	}
}

func (s *state) finishMoves() {
	for _, w := range s.workers {
		if w.target >= 0 && w.busy == 0 {
			w.pool, w.target = w.target, -1
		}
	}
}

// dispatch starts waiting work, short before long. Long work takes at most seven eighths of the home pool's slots.
func (s *state) dispatch() {
	for q := range s.queues {
		s.queues[q].short = s.startWaiting(q, s.queues[q].short, false)
		s.queues[q].long = s.startWaiting(q, s.queues[q].long, true)
	}
}

func (s *state) startWaiting(q int, list []time.Duration, long bool) []time.Duration {
	for len(list) > 0 {
		if long && s.queues[q].longRunning >= s.servingWorkers(q)*slotsPerWorker*7/8 {
			break
		}
		w := s.leastBusy(q)
		if w == nil && s.now-list[0] >= overflowAfter {
			w = s.leastBusy(s.sparePool())
		}
		if w == nil {
			break
		}
		s.startWork(q, w, list[0], long)
		list = list[1:]
	}
	return list
}

func (s *state) startWork(q int, w *worker, arrived time.Duration, long bool) {
	mean := s.deployment.Short
	if long {
		mean = s.deployment.Long
		s.queues[q].longRunning++
	} else {
		s.waits[s.now-arrived]++
		s.shortStarted++
	}
	w.busy++
	s.queues[q].running++
	heap.Push(&s.completions, completion{at: s.now + time.Duration(s.random.ExpFloat64()*float64(mean)), worker: w, queue: q, long: long})
}

// leastBusy returns the pool's serving worker with the most free slots, or nil if no slot is free.
func (s *state) leastBusy(pool int) *worker {
	var best *worker
	for _, w := range s.workers {
		if w.pool == pool && w.target < 0 && w.busy < slotsPerWorker && (best == nil || w.busy < best.busy) {
			best = w
		}
	}
	return best
}

func (s *state) servingWorkers(pool int) int {
	n := 0
	for _, w := range s.workers {
		if w.pool == pool && w.target < 0 {
			n++
		}
	}
	return n
}

func (s *state) plan(p mover.Policy) {
	in := mover.Input{Now: time.Unix(0, 0).Add(s.now)}
	for i := range len(s.deployment.Pools) + 2 {
		in.Pools = append(in.Pools, s.poolInput(i))
	}
	for _, m := range p.Plan(in) {
		s.startMove(m)
	}
}

func (s *state) poolInput(i int) mover.Pool {
	p := mover.Pool{Name: fmt.Sprint(i), Slots: slotsPerWorker, Movable: 2}
	switch i {
	case s.sparePool():
		p.Role = mover.Spare
	case s.parkedPool():
		p.Role = mover.Parked
	default:
		q := s.queues[i]
		p.Demand = float64(q.running) + float64(s.overdue(q.short))*min(1, s.deployment.Short.Seconds()) + float64(s.overdue(q.long))
	}
	for _, w := range s.workers {
		switch {
		case w.target == i:
			p.MovingIn++
		case w.pool == i && w.target >= 0:
			p.MovingOut++
		case w.pool == i:
			p.Serving++
		}
	}
	p.Movable = max(0, p.Movable-p.MovingOut)
	return p
}

// overdue counts the work that has waited for overflowAfter, and so found no slot in the spare pool either.
func (s *state) overdue(arrivals []time.Duration) int {
	n, _ := slices.BinarySearch(arrivals, s.now-overflowAfter)
	return n
}

// startMove starts to drain the least busy instance of the pool.
func (s *state) startMove(m mover.Move) {
	var from, to int
	if _, err := fmt.Sscan(m.From+" "+m.To, &from, &to); err != nil {
		panic(err)
	}
	var best *worker
	for _, w := range s.workers {
		if w.pool == from && w.target < 0 && (best == nil || w.busy < best.busy) {
			best = w
		}
	}
	if best != nil {
		best.target = to
		s.moves++
	}
}

func (s *state) measure() {
	for _, w := range s.workers {
		idle := tick.Seconds() * float64(slotsPerWorker-w.busy) / slotsPerWorker
		if w.pool != s.parkedPool() {
			s.bufferSeconds += idle
		}
		if w.pool == s.sparePool() {
			s.spareSeconds += idle
		}
	}
}

func (s *state) result(policy string, length time.Duration) Result {
	r := Result{Deployment: s.deployment.Name, Policy: policy, BufferSeconds: s.bufferSeconds, SpareSeconds: s.spareSeconds, ShortStarted: s.shortStarted,
		BufferShare:  s.bufferSeconds / (float64(len(s.workers)) * length.Seconds()),
		MovesPerHour: float64(s.moves) / length.Hours(),
		P50:          s.quantile(0.5), P99: s.quantile(0.99),
	}
	blocked := 0
	for wait, n := range s.waits {
		if wait > blockedAfter {
			blocked += n
		}
	}
	// Work that still waits at the end counts neither as started nor as blocked.
	r.BlockedShare = float64(blocked) / float64(max(1, s.shortStarted))
	return r
}

func (s *state) quantile(q float64) time.Duration {
	n := 0
	var wait time.Duration
	for ; n < int(q*float64(s.shortStarted)) && wait < time.Hour; wait += tick {
		n += s.waits[wait]
	}
	return max(0, wait-tick)
}

// Compare runs all policies on both deployments with the same seed.
func Compare(seed uint64, length time.Duration) []Result {
	var all []Result
	for _, d := range []Deployment{Inzira(), Hraunvik()} {
		for _, p := range []mover.Policy{mover.Fixed{}, &mover.Greedy{}, mover.NewLearned(d.Settings)} {
			all = append(all, Run(seed, d, p, length))
		}
	}
	return all
}

// Table formats the results as a text table.
func Table(results []Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-10s %-8s %12s %7s %12s %8s %9s %7s %7s\n", "deployment", "policy", "buffer ws", "share", "spare ws", "moves/h", "blocked", "p50", "p99")
	for _, r := range results {
		fmt.Fprintf(&b, "%-10s %-8s %12.0f %6.1f%% %12.0f %8.1f %8.4f%% %7s %7s\n", r.Deployment, r.Policy, r.BufferSeconds,
			100*r.BufferShare, r.SpareSeconds, r.MovesPerHour, 100*r.BlockedShare, r.P50, r.P99)
	}
	return b.String()
}
