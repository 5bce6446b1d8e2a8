package owner

import (
	"time"

	"samphirepoint/engine"
	"samphirepoint/observe"
	"samphirepoint/suspect"
)

// healthTimeout bounds one question to a worker's health path. A later answer is unknown.
const healthTimeout = 350 * time.Millisecond

// SetHealthPath sets the health path of the pool's workers from the operators' configuration; "" stands for none.
func (o *Owner) SetHealthPath(path string) {
	o.post(func() {
		o.healthPath = path
		o.pool.SetAsksHealth(path != "")
	})
}

// checkHealth asks the suspects for which a probe run is due.
func (o *Owner) checkHealth() {
	if o.healthPath == "" {
		return
	}
	for _, to := range o.pool.TakeHealthChecks(o.clock()) {
		go o.askHealth(to, o.healthPath)
	}
}

// askHealth asks one worker and posts the answer.
func (o *Owner) askHealth(to engine.Target, path string) {
	ctx, cancel := o.callContext(healthTimeout)
	defer cancel()
	observe.Count("health.asked")
	healthy, err := o.settings.Workers.Healthy(ctx, to, path)
	answer := suspect.Unhealthy
	switch {
	case err != nil:
		answer = suspect.Unknown
		observe.Count("health.unknown")
	case healthy:
		answer = suspect.Healthy
	}
	o.post(func() { o.pool.HealthAnswered(to, answer, o.clock()) })
}
