package owner

import (
	"context"
	"net/http"
	"time"

	"samphirepoint/engine"
	"samphirepoint/verdict"
)

const (
	// storeGrace is for how long the store may fail before new work is refused at once.
	storeGrace = 250 * time.Millisecond
	// storeRetryAfter is when callers are told to come back while the store is away: soon, as they have little time.
	storeRetryAfter = time.Second
	// acceptTime bounds how long a caller waits for the store.
	acceptTime = 1100 * time.Millisecond
)

// Submit accepts a job: nil means that it is stored. An error with verdict not-run means that it never runs.
func (o *Owner) Submit(ctx context.Context, spec engine.Spec) error {
	return o.commitOf(ctx, func(p *engine.Pool, c engine.Clock) (*engine.Job, error) {
		if j := p.Job(spec.ID); j == nil && o.storeBad != 0 && c.Now-o.storeBad > storeGrace {
			return nil, storeAway()
		}
		return p.Submit(spec, c), nil
	})
}

// Cancel cancels a job. It reports false if no such job is known.
func (o *Owner) Cancel(ctx context.Context, id string) (bool, error) {
	known := true
	err := o.commitOf(ctx, func(p *engine.Pool, c engine.Clock) (*engine.Job, error) {
		var j *engine.Job
		j, known = p.Cancel(id, c)
		return j, nil
	})
	return known, err
}

// commitOf changes a job and waits until the change is in the store.
func (o *Owner) commitOf(ctx context.Context, change func(*engine.Pool, engine.Clock) (*engine.Job, error)) error {
	stored := make(chan struct{})
	var job *engine.Job
	var refused error
	if err := o.Do(ctx, func(p *engine.Pool, c engine.Clock) {
		job, refused = change(p, c)
		if job != nil {
			job.WhenCommitted(func() { close(stored) })
		}
	}); err != nil {
		return err
	}
	if job == nil {
		return refused
	}
	return o.awaitCommit(ctx, job, stored)
}

func storeAway() error { return verdict.Unavailable(storeRetryAfter, "the store is away") }

// awaitCommit waits for the store. While the store refuses, what was never handed to it is refused as well.
func (o *Owner) awaitCommit(ctx context.Context, job *engine.Job, stored chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	look := time.NewTicker(storeGrace / 2)
	defer look.Stop()
	for {
		last := false
		select {
		case <-stored:
			return nil
		case <-look.C:
		case <-ctx.Done():
			last = true
		case <-o.ctx.Done():
			last = true
		}
		if o.withdraw(job, last) {
			return storeAway()
		}
		if last {
			return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "job %s: the store did not answer in time", job.Spec.ID)
		}
	}
}

// withdraw takes a job back that can't be in the store, if the store is away or the caller's time is over.
func (o *Owner) withdraw(job *engine.Job, last bool) bool {
	out := false
	_ = o.Do(context.Background(), func(p *engine.Pool, c engine.Clock) {
		away := o.storeBad != 0 && c.Now-o.storeBad > storeGrace
		out = (away || last) && p.Withdraw(job)
	})
	return out
}

// State returns a job's state, and false if no such job is known.
func (o *Owner) State(ctx context.Context, id string) (engine.State, bool, error) {
	var s engine.State
	known := false
	err := o.Do(ctx, func(p *engine.Pool, _ engine.Clock) {
		if j := p.Job(id); j != nil && j.Committed() {
			s, known = j.State(), true
		}
	})
	return s, known, err
}

// Waiting returns how many of a queue's jobs have not begun.
func (o *Owner) Waiting(ctx context.Context, queue string) (int, error) {
	n := 0
	err := o.Do(ctx, func(p *engine.Pool, _ engine.Clock) { n = p.WaitingJobs(queue) })
	return n, err
}

// SetQueues and SetRoster take in the operators' and the platform's lists.
func (o *Owner) SetQueues(queues []engine.Queue) { o.post(func() { o.pool.SetQueues(queues) }) }

// SetRoster takes in the platform's list of the pool's workers.
func (o *Owner) SetRoster(list []engine.WorkerInfo) {
	o.post(func() { o.pool.SetRoster(list, o.clock()) })
}

// Cordon keeps new work off a worker for a while and reports whether nothing is left on it.
func (o *Owner) Cordon(ctx context.Context, worker string, length time.Duration) (empty, known bool, err error) {
	err = o.Do(ctx, func(p *engine.Pool, c engine.Clock) {
		if length <= 0 {
			p.Uncordon(worker)
			return
		}
		empty, known = p.Cordon(worker, c.Now+length, c)
	})
	return empty, known, err
}

// Report describes the pool for those who plan upkeep and moves.
func (o *Owner) Report(ctx context.Context) (engine.PoolReport, error) {
	var r engine.PoolReport
	err := o.Do(ctx, func(p *engine.Pool, c engine.Clock) { r = p.Report(c) })
	return r, err
}

// Explain says what a job does and waits for, and false if no such job is known.
func (o *Owner) Explain(ctx context.Context, id string) (engine.JobReport, bool, error) {
	var r engine.JobReport
	known := false
	err := o.Do(ctx, func(p *engine.Pool, c engine.Clock) { r, known = p.Explain(id, c) })
	return r, known, err
}

// WorkerTerminated takes in that a worker's life is over.
func (o *Owner) WorkerTerminated(ctx context.Context, worker string) error {
	return o.Do(ctx, func(p *engine.Pool, c engine.Clock) { p.WorkerTerminated(worker, c) })
}
