package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Arrival is work that a caller submits at a time after the start, independent of earlier arrivals.
type Arrival struct {
	ID        int
	At        time.Duration
	Queue     string
	Backer    string
	Kind      Kind
	Entry     int // index of the entry that the load balancer selects
	RunTime   time.Duration
	Fails     bool
	NeverRuns bool
	// CancelAfter is the time after which the caller cancels; 0 means never.
	CancelAfter time.Duration
}

// Plan holds the parameters of a schedule.
type Plan struct {
	Deployment Deployment
	// Rate is the mean total rate of all queues in requests per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Backers are in order of decreasing demand.
	Backers []string
	// Entries is the number of entries, Spread the ratio between the busiest and the least busy one.
	Entries int
	Spread  float64
	// CancelShare is the fraction of the arrivals that the caller cancels within maxCancelDelay.
	CancelShare float64
}

// maxCancelDelay bounds the time from sending a request to its cancellation, and the duration of the cancellation call.
const maxCancelDelay = 2 * time.Second

func (p Plan) validate() error {
	switch {
	case p.Rate <= 0 || p.Duration <= 0:
		return fmt.Errorf("rate %v and duration %v must be greater than 0", p.Rate, p.Duration)
	case len(p.Backers) == 0:
		return fmt.Errorf("no backers")
	case p.Entries < 1:
		return fmt.Errorf("no entries")
	case p.Spread < 1:
		return fmt.Errorf("spread %v must be at least 1", p.Spread)
	case len(p.Deployment.Queues) == 0:
		return fmt.Errorf("deployment has no queues")
	}
	return nil
}

// Schedule returns all arrivals in order of time. The result is deterministic for a plan.
func Schedule(p Plan) ([]Arrival, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	var all []Arrival
	for i, q := range p.Deployment.Queues {
		r := rand.New(rand.NewPCG(p.Seed, uint64(i)+100))
		spike := spikeOfQueue(i, len(p.Deployment.Queues))
		for _, at := range arrivals(r, p.Rate*q.Share, p.Duration, spike) {
			a := drawArrival(r, q.Mix)
			a.At, a.Queue = at, q.Name
			a.Backer = p.Backers[pickWeighted(r, len(p.Backers), harmonicWeight)]
			a.Entry = pickWeighted(r, p.Entries, func(i int) float64 { return entryWeight(i, p.Entries, p.Spread) })
			if r.Float64() < p.CancelShare {
				a.CancelAfter = 1 + time.Duration(r.Int64N(int64(maxCancelDelay)))
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

// demandSpike is the recurring demand spike of a queue.
type demandSpike struct{ period, offset time.Duration }

// spikeOfQueue staggers the queues, so that the demand spikes of up to five queues do not overlap. The fraction of the time
// in a spike keeps the mean relative rate at 1.
func spikeOfQueue(queue, queues int) demandSpike {
	fraction := (1 - baseRateFactor) / (spikeRateFactor - baseRateFactor)
	period := time.Duration(float64(spikeDuration) / fraction)
	return demandSpike{period: period, offset: period * time.Duration(queue) / time.Duration(queues)}
}

// at returns the rate at time t relative to the mean, and the time of its next change.
func (s demandSpike) at(t time.Duration) (rate float64, until time.Duration) {
	phase := (t - s.offset) % s.period
	if phase < 0 {
		phase += s.period
	}
	if phase < spikeDuration {
		return spikeRateFactor, t + spikeDuration - phase
	}
	return baseRateFactor, t + s.period - phase
}

// arrivals draws the arrival times of a Poisson process with a piecewise constant rate, by consuming unit exponentials at
// the current rate.
func arrivals(r *rand.Rand, mean float64, end time.Duration, s demandSpike) []time.Duration {
	var times []time.Duration
	t, budget := time.Duration(0), r.ExpFloat64()
	for {
		rate, until := s.at(t)
		rate *= mean
		need := budget / rate // seconds
		if remaining := (until - t).Seconds(); need > remaining {
			budget -= remaining * rate
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

func drawArrival(r *rand.Rand, mix []Kind) Arrival {
	kind := mix[pickWeighted(r, len(mix), func(i int) float64 { return mix[i].Share })]
	factor := min(math.Exp(r.NormFloat64()*kind.Sigma), maxRunTimeFactor)
	return Arrival{
		Kind:      kind,
		RunTime:   time.Duration(float64(kind.Median) * factor).Round(time.Millisecond),
		Fails:     r.Float64() < kind.FailProbability,
		NeverRuns: r.Float64() < kind.NeverRunsProbability,
	}
}

// pickWeighted draws an index with the given weights.
func pickWeighted(r *rand.Rand, n int, weight func(int) float64) int {
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

func harmonicWeight(i int) float64 { return 1 / float64(i+1) }

// entryWeight decreases linearly from spread for the first entry to 1 for the last.
func entryWeight(i, n int, spread float64) float64 {
	if n == 1 {
		return 1
	}
	return spread - (spread-1)*float64(i)/float64(n-1)
}
