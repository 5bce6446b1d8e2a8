package owner

import (
	"context"
	"net/http"
	"slices"
	"time"

	"samphirepoint/engine"
	"samphirepoint/observe"
	"samphirepoint/ranking"
	"samphirepoint/rows"
	"samphirepoint/verdict"
)

const (
	// storeFailureGrace is how long the store may fail or leave a transaction without an answer before new work is rejected immediately. A store
	// that is 60 times as slow as usual answers within it.
	storeFailureGrace = 250 * time.Millisecond
	// storeRetryAfter is the Retry-After delay while the store is unavailable. It is short because callers have tight deadlines.
	storeRetryAfter = time.Second
	// acceptTimeout bounds how long a caller waits for the load and for a commit. Daemons that forward calls rely on an answer within 1.25 s.
	acceptTimeout = 1100 * time.Millisecond
	// noAdviser is the reason of refusals for want of an adviser. Only new settings, or another owner, change that.
	noAdviser           ranking.Reason = "no_adviser"
	noAdviserRetryAfter                = 10 * time.Second
)

// Submit accepts a job. A nil error means that the job is committed to the store; an error with verdict not-run means that it
// will never run.
func (o *Owner) Submit(ctx context.Context, spec engine.Spec) error {
	return o.changeAndCommit(ctx, func(p *engine.Pool, c engine.Clock) (*engine.Job, error) {
		switch j := p.Job(spec.ID); {
		case j == nil:
			if err := o.admit(p, &spec, c); err != nil {
				return nil, err
			}
		case !j.VisibleTo(spec.Workspace):
			return nil, verdict.New(verdict.NotRun, http.StatusConflict, "job ID %s is in use by another workspace", spec.ID)
		}
		return p.Submit(spec, c), nil
	})
}

// admit returns the reason why a job that isn't known yet can't be accepted now, or nil.
func (o *Owner) admit(p *engine.Pool, spec *engine.Spec, c engine.Clock) error {
	overload, err := o.refusal(p, spec, c)
	if overload != "" {
		observe.Count("jobs.rejected_" + string(overload))
	}
	return err
}

// refusal returns the reason why a job that isn't known yet can't be accepted now, or nil, and what is overloaded if that is the reason.
func (o *Owner) refusal(p *engine.Pool, spec *engine.Spec, c engine.Clock) (overload ranking.Reason, err error) {
	if p.Released(spec) {
		return "", verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "queue %s was released to another pool, which may have job %s", spec.Queue, spec.ID)
	}
	if o.storeUnavailable(c.Now) {
		return "", errStoreUnavailable()
	}
	if o.settings.Advice == nil && p.NeedsAdvice(spec) {
		return noAdviser, verdict.Unavailable(noAdviserRetryAfter, "queue %s needs advice, and this daemon has no adviser", spec.Queue)
	}
	if refusal, ok := p.Admit(spec); !ok {
		return refusal.Reason, verdict.Unavailable(refusal.RetryAfter, "pool %s has more accepted work than it can complete in time (%s)", o.settings.Pool, refusal.Reason)
	}
	return "", nil
}

// Cancel cancels a job. It reports false if the job is unknown to the workspace.
func (o *Owner) Cancel(ctx context.Context, id, workspace string) (bool, error) {
	known := true
	err := o.changeAndCommit(ctx, func(p *engine.Pool, c engine.Clock) (*engine.Job, error) {
		if j := p.Job(id); j != nil && !j.VisibleTo(workspace) {
			known = false
			return nil, nil
		}
		var j *engine.Job
		j, known = p.Cancel(id, c)
		return j, nil
	})
	if err == nil && !known {
		err = o.confirmClaim(ctx)
	}
	return known, err
}

// changeAndCommit applies a change to a job and waits until the store has committed it.
func (o *Owner) changeAndCommit(ctx context.Context, change func(*engine.Pool, engine.Clock) (*engine.Job, error)) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	stored := make(chan struct{})
	var job *engine.Job
	var refused error
	if err := o.WithState(ctx, func(p *engine.Pool, c engine.Clock) {
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

func errStoreUnavailable() error { return verdict.Unavailable(storeRetryAfter, "store unavailable") }

// awaitCommit waits until the change of a job is committed or ctx ends. While the store is failing or silent, a job that was never sent to
// it is rejected.
func (o *Owner) awaitCommit(ctx context.Context, job *engine.Job, stored chan struct{}) error {
	poll := time.NewTicker(storeFailureGrace / 2)
	defer poll.Stop()
	for {
		last := false
		select {
		case <-stored:
			return nil
		case <-poll.C:
		case <-ctx.Done():
			last = true
		case <-o.ctx.Done():
			last = true
		}
		if o.withdraw(job, last) {
			return errStoreUnavailable()
		}
		if last {
			return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "job %s: timed out waiting for the store", job.Spec.ID)
		}
	}
}

// withdraw removes a job that can't be in the store, if the store is unavailable or refuses the job's rows, or last is set because the
// caller's wait has ended. It reports whether the job was removed.
func (o *Owner) withdraw(job *engine.Job, last bool) bool {
	withdrawn := false
	_ = o.WithState(context.Background(), func(p *engine.Pool, c engine.Clock) {
		withdrawn = (last || job.Refused() || o.storeUnavailable(c.Now)) && p.Withdraw(job)
	})
	return withdrawn
}

// State returns a job's state, and false if the job is unknown to the workspace.
func (o *Owner) State(ctx context.Context, id, workspace string) (engine.State, bool, error) {
	var s engine.State
	known := false
	err := o.WithState(ctx, func(p *engine.Pool, _ engine.Clock) {
		if j := p.Job(id); j != nil && j.Committed() && j.VisibleTo(workspace) {
			s, known = j.State(), true
		}
	})
	if err == nil && !known {
		err = o.confirmClaim(ctx)
	}
	return s, known, err
}

// Holds reports whether the owner has the job, stored or not.
func (o *Owner) Holds(ctx context.Context, id string) (bool, error) {
	held := false
	err := o.WithState(ctx, func(p *engine.Pool, _ engine.Clock) { held = p.Job(id) != nil })
	return held, err
}

// ReleaseQueue makes the owner accept no more jobs of a queue under the given version of the configuration or an earlier one, as another
// pool accepts them. It reports whether the owner has the job with the given ID, and whether it has no job of the queue at all.
func (o *Owner) ReleaseQueue(ctx context.Context, queue string, version int64, id string) (held, empty bool, err error) {
	stored := true
	err = o.WithState(ctx, func(p *engine.Pool, _ engine.Clock) {
		p.ReleaseQueue(queue, version)
		j := p.Job(id)
		held, stored, empty = j != nil, j == nil || j.Committed(), !p.HasJobs(queue)
	})
	switch {
	case err != nil:
		return false, false, err
	case !stored:
		return false, false, verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "job %s: not stored yet", id)
	}
	return held, empty, o.confirmClaim(ctx)
}

// confirmClaim checks that the claim is still current, before the owner answers that a job isn't known: a successor may have
// accepted it. Such answers are rare, so that one read for each is acceptable. While the primary part is not available, the claim of
// the standby part says the same: a successor accepts nothing before it has claimed both.
func (o *Owner) confirmClaim(ctx context.Context) error {
	for _, part := range []*storePart{o.primary, o.standby} {
		c, cancel := context.WithTimeout(ctx, commitTimeout/2)
		list, _, err := o.settings.Store.Read(c, TableOwners, part.name)
		cancel()
		if err != nil {
			continue
		}
		if !slices.ContainsFunc(list, func(r rows.Row) bool { return r.Key == ClaimKey(part.name) && r.Ver == part.claimVer }) {
			o.post(func() { o.fail(ErrOwnershipLost) })
			return notOwner(o.settings.Pool)
		}
		return nil
	}
	return errStoreUnavailable()
}

// Waiting returns the number of a queue's jobs that have not started.
func (o *Owner) Waiting(ctx context.Context, queue string) (int, error) {
	n := 0
	err := o.WithState(ctx, func(p *engine.Pool, _ engine.Clock) { n = p.WaitingJobs(queue) })
	return n, err
}

// SetQueues updates the pool's queues from the operators' configuration.
func (o *Owner) SetQueues(queues []engine.Queue) { o.post(func() { o.pool.SetQueues(queues) }) }

// SetWorkspaces updates the workspaces from the operators' configuration.
func (o *Owner) SetWorkspaces(list []engine.Workspace) {
	o.post(func() { o.pool.SetWorkspaces(list) })
}

// SetRoster updates the pool's workers from the platform's list.
func (o *Owner) SetRoster(list []engine.WorkerInfo) {
	o.post(func() {
		o.pool.SetRoster(list, o.clock())
		o.startRenewers()
	})
}

// SetRosterAge records when the list of workers was read, and when it was last tried to.
func (o *Owner) SetRosterAge(readAt, triedAt engine.Clock) {
	o.post(func() { o.pool.SetRosterAge(readAt, triedAt) })
}

// CordonAnswer is an owner's answer to a request to cordon a worker.
type CordonAnswer struct {
	// Empty and Known report whether the worker is empty, as Pool.Cordon defines it, and whether the owner has contact with it.
	Empty, Known bool
	// ClaimVer is the version of the claim under which the owner answers. Once that claim is not current, the answer says nothing:
	// a successor doesn't know of the cordon, and may have started work on the worker.
	ClaimVer int64
	// Part is the part of the store that the claim is for.
	Part string
}

// Cordon keeps new work off a worker for the given duration. A duration of 0 or less removes the cordon. Once ctx has ended, the
// request has no effect: the caller may rely on a later one.
func (o *Owner) Cordon(ctx context.Context, worker string, length time.Duration) (CordonAnswer, error) {
	a := CordonAnswer{ClaimVer: o.settings.ClaimVer, Part: o.settings.Pool}
	err := o.WithState(ctx, func(p *engine.Pool, c engine.Clock) {
		if ctx.Err() != nil {
			return
		}
		if length <= 0 {
			p.Uncordon(worker)
			return
		}
		a.Empty, a.Known = p.Cordon(worker, c.Now+length, c)
	})
	return a, err
}

// SetUpkeepDue names the workers whose instances are due for upkeep, for the given time.
func (o *Owner) SetUpkeepDue(ctx context.Context, workers []string, length time.Duration) error {
	return o.WithState(ctx, func(p *engine.Pool, c engine.Clock) { p.SetUpkeepDue(workers, c.Now+length) })
}

// Report returns the state of the pool, for the planning of maintenance and of moves between pools.
func (o *Owner) Report(ctx context.Context) (engine.PoolReport, error) {
	var r engine.PoolReport
	err := o.WithState(ctx, func(p *engine.Pool, c engine.Clock) { r = p.Report(c) })
	return r, err
}

// Explain reports what a job is running and waiting for, and false if the job is unknown.
func (o *Owner) Explain(ctx context.Context, id string) (engine.JobReport, bool, error) {
	var r engine.JobReport
	known := false
	err := o.WithState(ctx, func(p *engine.Pool, c engine.Clock) { r, known = p.Explain(id, c) })
	return r, known, err
}

// ExplainPlacement reports how a job would be treated if it were submitted now. It submits nothing.
func (o *Owner) ExplainPlacement(ctx context.Context, spec engine.Spec) (engine.PlacementReport, error) {
	var r engine.PlacementReport
	err := o.WithState(ctx, func(p *engine.Pool, c engine.Clock) {
		r = p.ExplainPlacement(spec, c)
		if r.Exists {
			return
		}
		if _, refusal := o.refusal(p, &spec, c); refusal != nil {
			r.Refusal = engine.NewRefusalReport(refusal.Error(), verdict.RetryAfter(refusal))
		}
	})
	return r, err
}

// ReportAbsent records a report that an incarnation of a worker has been on no instance for some time.
func (o *Owner) ReportAbsent(ctx context.Context, worker string, incarnation int64) error {
	return o.WithState(ctx, func(p *engine.Pool, c engine.Clock) { p.ReportAbsent(worker, incarnation, c) })
}

// ReportTerminated records a report that an incarnation of a worker has terminated.
func (o *Owner) ReportTerminated(ctx context.Context, worker string, incarnation int64) error {
	return o.WithState(ctx, func(p *engine.Pool, c engine.Clock) { p.ReportTerminated(worker, incarnation, c) })
}
