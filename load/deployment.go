package load

import (
	"fmt"
	"time"
)

// Kind is a kind of work in the mix of a queue.
type Kind struct {
	Name string
	// Share is the fraction of the queue's arrivals; the shares of a queue add up to 1.
	Share float64
	// Median is the median run time. Run times are lognormal with Sigma and at most maxRunTimeFactor medians.
	Median time.Duration
	Sigma  float64
	// Long marks work that is expected to run for over 1 s.
	Long bool
	// NonIdempotent work carries an idempotency key and is resubmitted to another entry if its outcome is unknown.
	NonIdempotent bool
	// Deadline is the deadline of the request; the caller times out callerTimeoutMargin later.
	Deadline time.Duration
	// FailProbability and NeverRunsProbability are the probabilities that the work fails and that it fails on every worker.
	FailProbability, NeverRunsProbability float64
	// Class is the Samphire-Class header; empty leaves the classification to the system.
	Class string
	// AnswerBytes is the number of padding bytes in the response.
	AnswerBytes int
}

// Queue is a stream of arrivals with a mix of kinds of work.
type Queue struct {
	Name string
	// Share is the fraction of the total rate.
	Share float64
	Mix   []Kind
}

// Deployment describes the load that the callers of one installation generate.
type Deployment struct {
	Name   string
	Queues []Queue
	// OneWay is the one-way latency between callers and entries.
	OneWay time.Duration
}

const (
	// spikeRateFactor and baseRateFactor are the rates of a queue during and outside a demand spike, relative to its mean
	// (design document, section 1.3).
	spikeRateFactor = 5.0
	baseRateFactor  = 0.05
	// spikeDuration is the duration of a demand spike.
	spikeDuration = 4 * time.Second
	// maxRunTimeFactor bounds run times, so that a run of the generator ends in bounded time.
	maxRunTimeFactor = 10.0
)

// DefaultRate is the total rate in requests per second at which a demand spike exceeds the capacity of each pool of
// the deployments below: the mean run time of a mix is about 0.25 s, so the 72 slots of pumps serve about 280 requests
// per second, and a spike of its queue has 385.
const DefaultRate = 350.0

// DeploymentByName returns the deployment with the given name, inzira or hraunvik.
func DeploymentByName(name string) (Deployment, error) {
	switch name {
	case "inzira":
		return Inzira(), nil
	case "hraunvik":
		return Hraunvik(), nil
	}
	return Deployment{}, fmt.Errorf("unknown deployment %q, expected inzira or hraunvik", name)
}

// Inzira has short shift checks, audits that run about a hundred times longer, and deliveries that must not be booked
// twice.
func Inzira() Deployment {
	check := func(share float64) Kind {
		return Kind{Name: "check", Share: share, Median: 80 * time.Millisecond, Sigma: 0.4, Deadline: 10 * time.Second, AnswerBytes: 300}
	}
	urgent := Kind{Name: "check", Share: 0.02, Median: 80 * time.Millisecond, Sigma: 0.4, Deadline: 5 * time.Second, Class: "urgent"}
	audit := func(share float64) Kind {
		return Kind{Name: "audit", Share: share, Median: 6 * time.Second, Sigma: 0.5, Long: true, Deadline: 2 * time.Minute,
			FailProbability: 0.01, NeverRunsProbability: 0.02, AnswerBytes: 20_000}
	}
	delivery := func(share float64) Kind {
		return Kind{Name: "delivery", Share: share, Median: 120 * time.Millisecond, Sigma: 0.5, NonIdempotent: true,
			Deadline: 15 * time.Second, FailProbability: 0.002, AnswerBytes: 500}
	}
	return Deployment{Name: "inzira", OneWay: 3 * time.Millisecond, Queues: []Queue{
		{Name: "pumps", Share: 0.22, Mix: []Kind{urgent, check(0.955), audit(0.025)}},
		{Name: "deliveries", Share: 0.22, Mix: []Kind{check(0.38), delivery(0.6), audit(0.02)}},
		{Name: "slips", Share: 0.27, Mix: []Kind{urgent, check(0.955), audit(0.025)}},
		{Name: "routes", Share: 0.29, Mix: []Kind{check(0.8), delivery(0.18), audit(0.02)}},
	}}
}

// Hraunvik has short quotes and tariff refreshes that must not run twice; a few refreshes run far longer than the rest.
func Hraunvik() Deployment {
	quote := func(share float64) Kind {
		return Kind{Name: "quote", Share: share, Median: 50 * time.Millisecond, Sigma: 0.4, Deadline: 3 * time.Second, AnswerBytes: 800}
	}
	refresh := func(share float64) Kind {
		return Kind{Name: "refresh", Share: share, Median: 200 * time.Millisecond, Sigma: 0.5, NonIdempotent: true,
			Deadline: 30 * time.Second, FailProbability: 0.002, AnswerBytes: 2_000}
	}
	// Callers cannot tell a straggler from another refresh, so both have the same kind.
	straggler := Kind{Name: "refresh", Share: 0.01, Median: 12 * time.Second, Sigma: 0.4, Long: true, NonIdempotent: true,
		Deadline: 2 * time.Minute, NeverRunsProbability: 0.02, AnswerBytes: 2_000}
	mix := []Kind{quote(0.74), refresh(0.25), straggler}
	return Deployment{Name: "hraunvik", OneWay: time.Millisecond, Queues: []Queue{
		{Name: "innanlands", Share: 0.2, Mix: mix},
		{Name: "utanlands", Share: 0.22, Mix: mix},
		{Name: "bref", Share: 0.28, Mix: mix},
		{Name: "magn", Share: 0.3, Mix: mix},
	}}
}
