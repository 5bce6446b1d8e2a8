package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// overload submits jobs of random length, width and size to a pool, and measures which ones meet their objective.
type overload struct {
	*testPool
	rng       *rand.Rand
	durations map[string]time.Duration // true run time of the tasks of each job
	submitted map[string]time.Duration
	// deliver stores changes and executes orders.
	deliver func()
	inTime  int
	total   int
}

const overloadStep = 20 * time.Millisecond

func newOverload(workers int, seed uint64) *overload {
	o := &overload{testPool: newTestPool(workers), rng: rand.New(rand.NewPCG(seed, 1)), durations: map[string]time.Duration{}, submitted: map[string]time.Duration{}}
	o.deliver = o.flush
	return o
}

// spread returns a log-normal factor with mean 1.
func (o *overload) spread(sigma float64) float64 {
	return math.Exp(sigma*o.rng.NormFloat64() - sigma*sigma/2)
}

// submit adds a job with estimates that are wrong by half, and returns its work in core-milliseconds.
func (o *overload) submit(n int) float64 {
	id := fmt.Sprintf("%016x", n)
	length := min(850*o.spread(0.5), 5000)
	cpu := min(8100*o.spread(0.45), 24000)
	count := int(min(max(8*o.spread(0.6), 1), 32))
	estimate := int64(length * o.spread(0.5))
	s := Spec{ID: id, Queue: "q"}
	for k := range 1 + o.rng.IntN(2) {
		st := Step{Count: count, Need: Resources{CPU: int64(cpu)}, EstimateMS: estimate}
		if k > 0 {
			st.After = []int{k - 1}
		}
		s.Steps = append(s.Steps, st)
	}
	o.durations[id], o.submitted[id] = time.Duration(length)*time.Millisecond, o.now
	o.pool.Submit(s, o.clock())
	o.total++
	return length * cpu / 1000 * float64(count*len(s.Steps))
}

// play submits work at a rate that is a multiple of the pool's capacity for a time, then none for 3 s.
func (o *overload) play(ratio float64, length time.Duration) {
	capacity := float64(len(o.workers)) * 64 * float64(overloadStep.Milliseconds())
	end, owed, n := o.now+length, 0.0, 0
	for o.now < end+3*time.Second {
		o.now += overloadStep
		if o.now < end {
			owed += ratio * capacity
		}
		for owed > 0 && o.now < end {
			owed -= o.submit(n)
			n++
		}
		for _, f := range o.workers {
			for _, r := range f.running {
				if r.ends == 0 {
					r.ends, r.reason = o.now+o.durations[r.order.Task.Job], EndDone
				}
			}
			o.advance(f)
		}
		o.renewLeases()
		o.pool.Tick(o.clock())
		o.pool.RequestPlacement()
		o.pool.Place(o.clock())
		o.deliver()
		o.count()
	}
}

// count counts the jobs that have ended within their objective.
func (o *overload) count() {
	for id, at := range o.submitted {
		j := o.pool.Job(id)
		if j == nil || j.State() != Completed {
			continue
		}
		path := time.Duration(len(j.Spec.Steps)) * o.durations[id]
		if o.now-at <= path*16/10+600*time.Millisecond {
			o.inTime++
		}
		delete(o.submitted, id)
	}
}

// Load pattern: for 3 s or 6 s three times the work that the pool can run arrives. Guards against starting each job only when its
// slack has run out, and against newer jobs that take the capacity from jobs that have begun: the share of jobs that met
// their objective was then 0.55, and is 0.60 now.
func TestOverloadServesJobsInTime(t *testing.T) {
	g := NewWithT(t)
	share := 0.0
	for _, length := range []time.Duration{3 * time.Second, 6 * time.Second} {
		for seed := range uint64(2) {
			o := newOverload(40, seed)
			o.play(3, length)
			share += float64(o.inTime) / float64(o.total) / 4
		}
	}
	g.Expect(share).To(BeNumerically(">", 0.58))
}

// Load pattern: 2 s of 1.2 times the pool's capacity. Guards against giving up jobs that a short queue would still serve.
func TestShortOverloadServesNearlyAllJobs(t *testing.T) {
	g := NewWithT(t)
	o := newOverload(40, 1)
	o.play(1.2, 2*time.Second)
	g.Expect(float64(o.inTime) / float64(o.total)).To(BeNumerically(">", 0.95))
}
