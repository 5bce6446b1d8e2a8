package load

import (
	"fmt"
	"time"
)

// Kind is a sort of work in the mix of a queue.
type Kind struct {
	Name string
	// Share is the part of the queue's arrivals; the shares of a queue add up to 1.
	Share float64
	// Median of the run time; single run times are lognormal with Sigma and end at tailFactor medians.
	Median time.Duration
	Sigma  float64
	// Long marks work that is expected to run for over 1 s.
	Long bool
	// NonIdempotent work carries a key and is repeated at another entry after an unclear outcome.
	NonIdempotent bool
	// Deadline is the time after which the caller gives up.
	Deadline time.Duration
	// Fails and NeverRuns are probabilities.
	Fails, NeverRuns float64
	// Class is the Samphire-Class header; empty lets the system learn.
	Class string
	// AnswerBytes is the padding of the answer.
	AnswerBytes int
}

// Queue is a stream of arrivals with its mix.
type Queue struct {
	Name string
	// Share is the part of the total rate.
	Share float64
	Mix   []Kind
}

// Deployment describes the callers of one installation.
type Deployment struct {
	Name   string
	Queues []Queue
	// OneWay is the latency between callers and entries in one direction.
	OneWay time.Duration
}

const (
	// surgeHigh and surgeLow are the rates of a queue relative to its mean (design page, section 1.3).
	surgeHigh = 5.0
	surgeLow  = 0.05
	// surgeLength is the time that a surge lasts.
	surgeLength = 4 * time.Second
	// tailFactor bounds run times, so that a run of the generator ends in bounded time.
	tailFactor = 10.0
)

// DefaultRate is the total rate in requests per second at which a surge exceeds each pool of the deployments below:
// the mean run time of a mix is about 0.25 s, so the 72 slots of pumps serve about 280 requests a second, and a surge
// of its queue has 385.
const DefaultRate = 350.0

// DeploymentByName returns the deployment inzira or hraunvik.
func DeploymentByName(name string) (Deployment, error) {
	switch name {
	case "inzira":
		return Inzira(), nil
	case "hraunvik":
		return Hraunvik(), nil
	}
	return Deployment{}, fmt.Errorf("unknown deployment %q, expected inzira or hraunvik", name)
}

// Inzira has short shift checks beside audits that run about a hundred times longer, and deliveries that must not
// be booked twice.
func Inzira() Deployment {
	check := func(share float64) Kind {
		return Kind{Name: "check", Share: share, Median: 80 * time.Millisecond, Sigma: 0.4, Deadline: 10 * time.Second, AnswerBytes: 300}
	}
	urgent := Kind{Name: "check", Share: 0.02, Median: 80 * time.Millisecond, Sigma: 0.4, Deadline: 5 * time.Second, Class: "urgent"}
	audit := func(share float64) Kind {
		return Kind{Name: "audit", Share: share, Median: 6 * time.Second, Sigma: 0.5, Long: true, Deadline: 2 * time.Minute,
			Fails: 0.01, NeverRuns: 0.02, AnswerBytes: 20_000}
	}
	delivery := func(share float64) Kind {
		return Kind{Name: "delivery", Share: share, Median: 120 * time.Millisecond, Sigma: 0.5, NonIdempotent: true,
			Deadline: 15 * time.Second, Fails: 0.002, AnswerBytes: 500}
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
			Deadline: 30 * time.Second, Fails: 0.002, AnswerBytes: 2_000}
	}
	// Callers cannot tell a straggler from another refresh, so both have the same kind.
	straggler := Kind{Name: "refresh", Share: 0.01, Median: 12 * time.Second, Sigma: 0.4, Long: true, NonIdempotent: true,
		Deadline: 2 * time.Minute, NeverRuns: 0.02, AnswerBytes: 2_000}
	mix := []Kind{quote(0.74), refresh(0.25), straggler}
	return Deployment{Name: "hraunvik", OneWay: time.Millisecond, Queues: []Queue{
		{Name: "innanlands", Share: 0.2, Mix: mix},
		{Name: "utanlands", Share: 0.22, Mix: mix},
		{Name: "bref", Share: 0.28, Mix: mix},
		{Name: "magn", Share: 0.3, Mix: mix},
	}}
}
