package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Arrival is one piece of work that a caller wants done at a time after the start, whatever became of earlier ones.
type Arrival struct {
	ID      int
	At      time.Duration
	Queue   string
	Backer  string
	Kind    Kind
	Entry   int // index of the entry that the balancer picks
	RunTime time.Duration
	Fails   bool
	Never   bool
	// CancelAfter is the time after which the caller cancels; 0 means never.
	CancelAfter time.Duration
}

// Plan is what a schedule is made from.
type Plan struct {
	Deployment Deployment
	// Rate is the mean of all queues together in requests per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Backers in order of demand: the first submits most.
	Backers []string
	// Entries is the number of entries, Spread the ratio between the busiest and the least busy one.
	Entries int
	Spread  float64
	// CancelShare is the part of the arrivals that the caller cancels within cancelWithin.
	CancelShare float64
}

// cancelWithin bounds the time from sending to cancelling.
const cancelWithin = 2 * time.Second

func (p Plan) validate() error {
	switch {
	case p.Rate <= 0 || p.Duration <= 0:
		return fmt.Errorf("rate %v and duration %v must be more than 0", p.Rate, p.Duration)
	case len(p.Backers) == 0:
		return fmt.Errorf("no backers")
	case p.Entries < 1:
		return fmt.Errorf("no entries")
	case p.Spread < 1:
		return fmt.Errorf("spread %v must be at least 1", p.Spread)
	case len(p.Deployment.Queues) == 0:
		return fmt.Errorf("deployment without queues")
	}
	return nil
}

// Schedule returns all arrivals in order of time. It depends on the plan alone.
func Schedule(p Plan) ([]Arrival, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	var all []Arrival
	for i, q := range p.Deployment.Queues {
		r := rand.New(rand.NewPCG(p.Seed, uint64(i)+100))
		surge := surgeOf(i, len(p.Deployment.Queues))
		for _, at := range arrivals(r, p.Rate*q.Share, p.Duration, surge) {
			a := draw(r, q.Mix)
			a.At, a.Queue = at, q.Name
			a.Backer = p.Backers[pick(r, len(p.Backers), harmonic)]
			a.Entry = pick(r, p.Entries, func(i int) float64 { return entryWeight(i, p.Entries, p.Spread) })
			if r.Float64() < p.CancelShare {
				a.CancelAfter = 1 + time.Duration(r.Int64N(int64(cancelWithin)))
			}
			all = append(all, a)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	for i := range all {
		all[i].ID = i
	}
	return all, nil
}

// surge is the rate of a queue over time relative to its mean.
type surge struct{ period, offset time.Duration }

// surgeOf gives each queue its turn: the surges of up to five queues do not overlap. The part of the time in a surge
// keeps the mean at 1.
func surgeOf(queue, queues int) surge {
	part := (1 - surgeLow) / (surgeHigh - surgeLow)
	period := time.Duration(float64(surgeLength) / part)
	return surge{period: period, offset: period * time.Duration(queue) / time.Duration(queues)}
}

// at returns the relative rate at time t and the time at which it changes next.
func (s surge) at(t time.Duration) (rate float64, until time.Duration) {
	phase := (t - s.offset) % s.period
	if phase < 0 {
		phase += s.period
	}
	if phase < surgeLength {
		return surgeHigh, t + surgeLength - phase
	}
	return surgeLow, t + s.period - phase
}

// arrivals draws a Poisson process whose rate changes in steps: unit exponentials are spent at the rate in force.
func arrivals(r *rand.Rand, mean float64, end time.Duration, s surge) []time.Duration {
	var times []time.Duration
	t, budget := time.Duration(0), r.ExpFloat64()
	for {
		rate, until := s.at(t)
		rate *= mean
		need := budget / rate // seconds
		if rest := (until - t).Seconds(); need > rest {
			budget -= rest * rate
			t = until
		} else {
			t += max(time.Duration(need*float64(time.Second)), 1)
			budget = r.ExpFloat64()
			if t < end {
				times = append(times, t)
			}
		}
		if t >= end {
			return times
		}
	}
}

func draw(r *rand.Rand, mix []Kind) Arrival {
	kind := mix[pick(r, len(mix), func(i int) float64 { return mix[i].Share })]
	factor := min(math.Exp(r.NormFloat64()*kind.Sigma), tailFactor)
	return Arrival{
		Kind:    kind,
		RunTime: time.Duration(float64(kind.Median) * factor).Round(time.Millisecond),
		Fails:   r.Float64() < kind.Fails,
		Never:   r.Float64() < kind.NeverRuns,
	}
}

// pick draws an index with the given weights.
func pick(r *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	x := r.Float64() * total
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

func harmonic(i int) float64 { return 1 / float64(i+1) }

// entryWeight falls in even steps from spread at the first entry to 1 at the last.
func entryWeight(i, n int, spread float64) float64 {
	if n == 1 {
		return 1
	}
	return spread - (spread-1)*float64(i)/float64(n-1)
}
