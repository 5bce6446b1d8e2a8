package job

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"samphirepoint/dispatch"
	"samphirepoint/verdict"
	"samphirepoint/worker"
)

// runner runs one job from its table row to completion.
type runner struct {
	m   *Manager
	rec *Record
	// cancelled is closed when the caller cancels the job, shutdown when the entry shuts down.
	cancelled, shutdown <-chan struct{}
	log                 zerolog.Logger
	grant               *dispatch.Grant
	placed              time.Time
}

// step is the next action of a runner.
type step uint8

const (
	// ended means that the job ended, another owner runs it, or the entry shuts down.
	ended step = iota
	placing
	watching
)

// run executes steps until this process is finished with the job.
func (r *runner) run() {
	defer r.releaseGrant(dispatch.NotSent)
	next := placing
	if r.rec.State == Running {
		next = r.takeOver()
	}
	for next != ended {
		if next == placing {
			next = r.place()
		} else {
			next = r.watch()
		}
	}
}

// takeOver makes this process the owner of a task that another owner started.
func (r *runner) takeOver() step {
	r.rec.Owner = r.m.cfg.Owner
	if !r.persist() {
		r.log.Warn().Str("reason", "another owner runs it").Msg("job was not taken over")
		return ended
	}
	r.log.Info().Str("worker", r.rec.Worker).Str("task", r.rec.Task).Str("reason", "former owner terminated").Msg("job taken over")
	return watching
}

// place waits for a slot, records the worker and the task in the row and starts the task.
func (r *runner) place() step {
	req, err := r.m.requestWithBody(context.Background(), r.rec)
	if err != nil {
		r.log.Warn().Err(err).Msg("cannot read body of the job")
		return ended
	}
	ctx, cancel := r.placementContext()
	defer cancel()
	grant, err := r.m.cfg.Slots.Acquire(ctx, dispatch.SlotRequest{Request: req, Exclude: r.rec.FailedOn})
	if err != nil {
		return r.notPlaced(err)
	}
	r.grant, r.placed = grant, time.Now()
	ranBefore := r.rec.MayHaveRun
	r.rec.State, r.rec.Owner, r.rec.MayHaveRun = Running, r.m.cfg.Owner, true
	r.rec.Worker, r.rec.Address, r.rec.Task = grant.Worker, grant.Client.Address(), uuid.NewString()
	if err := r.m.cfg.Store.Update(context.Background(), r.rec); err != nil {
		r.log.Warn().Err(err).Str("reason", "row was not written").Msg("job not started")
		r.releaseGrant(dispatch.NotSent)
		if errors.Is(err, errOwnershipLost) {
			return ended
		}
		// The write may have taken effect, so the row is written as queued until that write is confirmed.
		return r.requeue("row was not written", ranBefore)
	}
	r.log.Info().Str("pool", r.rec.Pool).Str("worker", grant.Worker).Str("task", r.rec.Task).Str("reason", grant.Reason).Msg("job placed")
	task := worker.TaskStart{ID: r.rec.Task, Worker: grant.Worker, LeaseSeconds: leaseSeconds, Checkpoint: r.rec.Checkpoint, Work: req.Body}
	return r.start(grant, task, ranBefore)
}

// notPlaced handles a failed wait for a slot.
func (r *runner) notPlaced(err error) step {
	switch {
	case isClosed(r.shutdown):
		return ended
	case isClosed(r.cancelled):
		return r.end(Cancelled, r.rec.queuedVerdict(), "cancelled by the caller while waiting")
	case !r.rec.Deadline.IsZero() && time.Now().After(r.rec.Deadline):
		return r.end(Failed, r.rec.queuedVerdict(), "deadline passed while waiting for a slot")
	}
	r.log.Debug().Err(err).Msg("no slot was granted; job stays queued")
	if errors.Is(err, dispatch.ErrNotOwner) || !r.sleep(retryDelay) {
		return ended
	}
	return placing
}

// start sends the task to the worker. The start of an idempotent task is repeated with backoff until the worker
// answers; a worker starts each task id only once. A worker that restarts in between no longer knows the id, so the
// start of a non-idempotent task is sent once, and watch determines its outcome.
func (r *runner) start(grant *dispatch.Grant, t worker.TaskStart, ranBefore bool) step {
	req := r.rec.request()
	for delay := retryDelay; delay < retryDelayMax; delay = min(2*delay, retryDelayMax) {
		_, err := grant.Client.StartTask(context.Background(), req, t)
		if err == nil {
			return watching
		}
		if verdict.Is(err, verdict.NotRun) && delay == retryDelay {
			r.releaseGrant(rejectionOutcome(err))
			return r.requeue("worker refused the task", ranBefore)
		}
		r.log.Warn().Err(err).Str("worker", grant.Worker).Msg("worker did not answer the start of the task")
		if !r.sleep(delay) {
			return ended
		}
		if !r.rec.Idempotent {
			break
		}
	}
	return watching
}

func rejectionOutcome(err error) dispatch.Outcome {
	if errors.Is(err, worker.ErrLeaving) {
		return dispatch.Leaving
	}
	return dispatch.Refused
}

// requeue returns the job to the state that it had before it was placed.
func (r *runner) requeue(reason string, mayHaveRun bool) step {
	r.rec.State, r.rec.Owner, r.rec.MayHaveRun = Queued, "", mayHaveRun
	r.rec.Worker, r.rec.Address, r.rec.Task = "", "", ""
	r.log.Info().Str("reason", reason).Msg("job requeued")
	if !r.persist() {
		return ended
	}
	return placing
}

// persist writes the row, with retries while the table is unavailable. It returns false if another owner took over
// the job or the entry shuts down.
func (r *runner) persist() bool { return r.writeWithRetry(r.m.cfg.Store.Update) }

// writeWithRetry repeats a write of the row until it succeeds. It returns false in the same cases as persist.
func (r *runner) writeWithRetry(write func(context.Context, *Record) error) bool {
	for delay := retryDelay; ; delay = min(2*delay, retryDelayMax) {
		err := write(context.Background(), r.rec)
		if err == nil {
			return true
		}
		if errors.Is(err, errOwnershipLost) {
			if !r.reload() || !r.sleep(reloadBackoff) {
				return false
			}
			continue
		}
		r.log.Warn().Err(err).Str("state", string(r.rec.State)).Msg("cannot write row of the job; retrying")
		if !r.sleep(delay) {
			return false
		}
	}
}

// reload reads the version of a row that a caller changed, for instance to request a cancellation, and keeps this
// runner's values of the other fields. It returns false if the job ended or this process no longer owns it.
func (r *runner) reload() bool {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	found, err := r.m.cfg.Store.Find(ctx, r.rec.ID)
	if err != nil {
		return r.sleep(retryDelay)
	}
	if found == nil || found.State.Final() || found.Owner != r.m.cfg.Owner {
		return false
	}
	r.rec.version, r.rec.CancelRequested = found.version, found.CancelRequested
	return true
}

// end writes the final state, with retries while the table is unavailable. If the entry shuts down before the write
// succeeds, the next owner reads the outcome from the worker.
func (r *runner) end(s State, v verdict.Verdict, message string) step {
	r.rec.State, r.rec.Verdict, r.rec.Error = s, v.String(), message
	if r.rec.Status == 0 {
		r.rec.Status = http.StatusOK
	}
	r.log.Info().Str("state", string(s)).Str("verdict", v.String()).Str("worker", r.rec.Worker).Msg("job ended")
	r.writeWithRetry(r.m.cfg.Store.Finish)
	return ended
}

func (r *runner) releaseGrant(o dispatch.Outcome) {
	if r.grant == nil {
		return
	}
	r.grant.Release(dispatch.Result{Outcome: o, RunTime: time.Since(r.placed)})
	r.grant = nil
}

// placementContext returns a context that ends at the job's deadline, on cancellation or when the entry shuts down.
func (r *runner) placementContext() (context.Context, context.CancelFunc) {
	base, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-base.Done():
		case <-r.cancelled:
		case <-r.shutdown:
		}
		cancel()
	}()
	if r.rec.Deadline.IsZero() {
		return base, cancel
	}
	ctx, cancelDeadline := context.WithDeadline(base, r.rec.Deadline)
	return ctx, func() { cancelDeadline(); cancel() }
}

// sleep waits for d; it returns false if the entry shuts down first.
func (r *runner) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.shutdown:
		return false
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
