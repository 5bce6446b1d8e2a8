package owner

import (
	"context"
	"errors"
	"time"

	"samphirepoint/engine"
	"samphirepoint/observe"
)

// Advice is an answer of the adviser: the workers that may run a step, and how long their tickets hold, 0 if that isn't known.
type Advice struct {
	Granted []engine.AdviceRow
	// Incomplete is set if a part of the answer can't be read.
	Incomplete bool
	Validity   time.Duration
}

// Adviser reports which workers may run the steps of advised queues.
type Adviser interface {
	// Advise fails with ErrAdviserBusy if too many calls of this machine wait.
	Advise(ctx context.Context, step string, workers []string) (Advice, error)
}

// ErrAdviserBusy reports that the adviser has refused a call, as too many of this machine wait there.
var ErrAdviserBusy = errors.New("owner: too many calls wait at the adviser")

// adviceTimeout bounds one call to the adviser.
const adviceTimeout = 4 * time.Second

// takeAdviceTurns takes part in the turns at the adviser while steps need advice.
func (o *Owner) takeAdviceTurns() {
	needs := o.pool.AdviceNeeds()
	observe.Gauge("advice.needs", int64(needs))
	if o.settings.Advice == nil {
		return
	}
	for o.adviceWaiting < needs && o.adviceWaiting+o.adviceCalls < maxAdviceCalls {
		o.adviceWaiting++
		go o.takeAdviceTurn()
	}
}

// takeAdviceTurn waits for a turn at the adviser and uses it for the request that is the most useful one then.
func (o *Owner) takeAdviceTurn() {
	began := o.settings.Now()
	if o.settings.Advice.acquire(o.ctx) != nil {
		return // The owner has stopped.
	}
	observe.RecordDuration("advice.turn-wait", o.settings.Now()-began)
	next := make(chan *engine.AdviceRequest, 1)
	o.post(func() {
		o.adviceWaiting--
		req, ok := o.pool.NextAdvice(o.settings.Advice.contended(), o.clock())
		if !ok {
			next <- nil
			return
		}
		o.adviceCalls++
		next <- &req
	})
	select {
	case req := <-next:
		if req != nil {
			o.advise(*req)
			return
		}
	case <-o.ctx.Done():
	}
	o.settings.Advice.release()
}

// advise makes a call to the adviser, posts the outcome and gives the turn back.
func (o *Owner) advise(req engine.AdviceRequest) {
	ctx, cancel := context.WithTimeout(o.ctx, adviceTimeout)
	defer cancel()
	answer := engine.AdviceAnswer{SentAt: o.settings.Now()}
	advice, err := o.settings.Advice.adviser.Advise(ctx, req.Step, req.Workers)
	answer.ReceivedAt = o.settings.Now()
	answer.Granted, answer.Incomplete, answer.Validity = advice.Granted, advice.Incomplete, advice.Validity
	switch {
	case errors.Is(err, ErrAdviserBusy):
		answer.Outcome = engine.AdviceBusy
		observe.Count("advice.busy")
	case err != nil:
		answer.Outcome = engine.AdviceFailed
		observe.Count("advice.failed")
	default:
		observe.RecordDuration("advice.answer", answer.ReceivedAt-answer.SentAt)
	}
	o.post(func() {
		o.adviceCalls--
		o.pool.AdviceAnswered(req, answer, o.clock())
	})
	o.settings.Advice.releaseAfter(o.ctx, answer.Outcome)
}
