package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"samphirepoint/dispatch"
	"samphirepoint/verdict"
	"samphirepoint/worker"
)

// runner carries one job from its row to its end.
type runner struct {
	m   *Manager
	rec *Record
	// stop is closed when the caller cancels the job, leave when the entry shuts down.
	stop, leave <-chan struct{}
	log         zerolog.Logger
	grant       *dispatch.Grant
	placed      time.Time
}

// step is what a runner does next.
type step uint8

const (
	// ended means the job ended, another owner has it, or the entry leaves.
	ended step = iota
	placing
	following
)

// run carries out steps until the job ends for this process.
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
			next = r.follow()
		}
	}
}

// takeOver names this process as owner of a task that another owner started.
func (r *runner) takeOver() step {
	r.rec.Owner = r.m.cfg.Owner
	if !r.persist() {
		r.log.Warn().Str("reason", "another owner has it").Msg("job was not taken over")
		return ended
	}
	r.log.Info().Str("worker", r.rec.Worker).Str("task", r.rec.Task).Str("reason", "former owner is gone").Msg("job taken over")
	return following
}

// place waits for a slot, writes worker and task into the row and starts the task.
func (r *runner) place() step {
	req, err := r.m.toRequest(context.Background(), r.rec)
	if err != nil {
		r.log.Warn().Err(err).Msg("body of the job cannot be read")
		return ended
	}
	ctx, cancel := r.untilStopped()
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
		if errors.Is(err, errLost) {
			return ended
		}
		// The write may have taken effect, so the row is put back until that is certain.
		return r.requeue("row was not written", ranBefore)
	}
	r.log.Info().Str("pool", r.rec.Pool).Str("worker", grant.Worker).Str("task", r.rec.Task).Str("reason", grant.Reason).Msg("job placed")
	return r.start(grant, worker.TaskStart{ID: r.rec.Task, Worker: grant.Worker, LeaseSeconds: leaseSeconds, Checkpoint: r.rec.Checkpoint, Work: req.Body}, ranBefore)
}

// notPlaced handles the end of the wait without a slot.
func (r *runner) notPlaced(err error) step {
	switch {
	case closed(r.leave):
		return ended
	case closed(r.stop):
		return r.end(Cancelled, r.rec.waitingVerdict(), "cancelled by the caller while waiting")
	case !r.rec.Deadline.IsZero() && time.Now().After(r.rec.Deadline):
		return r.end(Failed, r.rec.waitingVerdict(), "deadline passed while waiting for a slot")
	}
	r.log.Debug().Err(err).Msg("job waits again")
	if errors.Is(err, dispatch.ErrNotOwner) || !r.sleep(retryDelay) {
		return ended
	}
	return placing
}

// start sends the task to the worker. The start of an idempotent task is repeated until the worker answers, which
// starts a task id only once. A worker that was restarted in between has forgotten the id, so
// the start of a non-idempotent task is sent once, and follow finds out what became of it.
func (r *runner) start(grant *dispatch.Grant, t worker.TaskStart, ranBefore bool) step {
	req := r.rec.request()
	for delay := retryDelay; delay < retryDelayMax; delay = min(2*delay, retryDelayMax) {
		_, err := grant.Client.StartTask(context.Background(), req, t)
		if err == nil {
			return following
		}
		if verdict.Is(err, verdict.NotRun) && delay == retryDelay {
			r.releaseGrant(refusalOutcome(err))
			return r.requeue("worker refused the task", ranBefore)
		}
		r.log.Warn().Err(err).Str("worker", grant.Worker).Msg("start of the task has no answer")
		if !r.sleep(delay) {
			return ended
		}
		if !r.rec.Idempotent {
			break
		}
	}
	return following
}

func refusalOutcome(err error) dispatch.Outcome {
	if errors.Is(err, worker.ErrLeaving) {
		return dispatch.Leaving
	}
	return dispatch.Refused
}

// requeue puts the job back into the state before placement.
func (r *runner) requeue(reason string, mayHaveRun bool) step {
	r.rec.State, r.rec.Owner, r.rec.MayHaveRun = Queued, "", mayHaveRun
	r.rec.Worker, r.rec.Address, r.rec.Task = "", "", ""
	r.log.Info().Str("reason", reason).Msg("job waits again")
	if !r.persist() {
		return ended
	}
	return placing
}

// persist writes the row, with retries while the table is away. It reports false if the job is lost to another
// owner or the entry shuts down.
func (r *runner) persist() bool { return r.insist(r.m.cfg.Store.Update) }

// insist repeats a write of the row until it succeeds.
func (r *runner) insist(write func(context.Context, *Record) error) bool {
	for delay := retryDelay; ; delay = min(2*delay, retryDelayMax) {
		err := write(context.Background(), r.rec)
		if err == nil {
			return true
		}
		if errors.Is(err, errLost) {
			if !r.reload() || !r.sleep(reloadPause) {
				return false
			}
			continue
		}
		r.log.Warn().Err(err).Str("state", string(r.rec.State)).Msg("row of the job cannot be written yet")
		if !r.sleep(delay) {
			return false
		}
	}
}

// reload reads the version of a row that a caller changed, for instance to cancel, and keeps this runner's
// view of the rest. It reports false if the job ended or is not this process's any more.
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

// follow renews and watches the task until it ends.
func (r *runner) follow() step {
	client := r.m.clientFor(r.rec)
	defer client.Close()
	renewed, checkpointed, interval := time.Now(), time.Now(), checkpointFirst
	for {
		task, err := client.Task(context.Background(), r.rec.Task)
		if next, over := r.judge(task, err, time.Since(renewed)); over {
			return next
		}
		if closed(r.stop) {
			return r.cancel(client)
		}
		if time.Since(renewed) > renewInterval {
			if _, err := client.RenewTask(context.Background(), r.rec.Task, leaseSeconds); err == nil {
				renewed = time.Now()
			}
		}
		if time.Since(checkpointed) > interval {
			r.checkpoint(client)
			checkpointed, interval = time.Now(), min(2*interval, checkpointMax)
		}
		if closed(r.leave) {
			// The task goes on under its lease; the next owner finds it through the row.
			_, _ = client.RenewTask(context.Background(), r.rec.Task, leaseSeconds)
			return ended
		}
		time.Sleep(pollInterval)
	}
}

// judge acts on a state of the task. over is set if this round of the job is over.
func (r *runner) judge(task worker.Task, err error, sinceRenewal time.Duration) (next step, over bool) {
	switch {
	case errors.Is(err, worker.ErrUnknownTask):
		// A worker that was restarted knows nothing of tasks it ran before, so only idempotent jobs go on.
		return r.lost("worker does not know the task"), true
	case err != nil && sinceRenewal > lapseAfter:
		return r.lost("worker does not answer and the lease has lapsed"), true
	case err != nil:
		return following, false
	}
	switch task.State {
	case worker.TaskDone:
		return r.done(task), true
	case worker.TaskFailed:
		return r.failed(task), true
	case worker.TaskLeaseExpired, worker.TaskStopped:
		r.keepCheckpoint(task.Checkpoint)
		return r.lost("task was stopped before its end"), true
	}
	return following, false
}

func (r *runner) done(task worker.Task) step {
	r.releaseGrant(dispatch.Succeeded)
	r.rec.Status, r.rec.Result = task.Status, task.Result
	return r.end(Done, verdict.Ran, "")
}

// lost handles a task that ended without result: idempotent jobs continue from the last checkpoint.
func (r *runner) lost(reason string) step {
	r.releaseGrant(dispatch.TimedOut)
	if closed(r.stop) {
		return r.end(Cancelled, verdict.MayHaveRun, "cancelled by the caller while running")
	}
	if !r.rec.Idempotent {
		return r.end(Unknown, verdict.MayHaveRun, reason+"; the job is not idempotent and is not run again")
	}
	return r.requeue(reason, true)
}

// failed handles a task that ran and failed.
func (r *runner) failed(task worker.Task) step {
	r.releaseGrant(dispatch.Failed)
	r.rec.Status, r.rec.Result = task.Status, task.Result
	r.rec.Failures++
	if !slices.Contains(r.rec.FailedOn, r.rec.Worker) {
		r.rec.FailedOn = append(r.rec.FailedOn, r.rec.Worker)
	}
	if !r.rec.Idempotent {
		return r.end(Failed, verdict.Ran, "the job ran and failed")
	}
	if len(r.rec.FailedOn) >= cannotRunAfter || r.rec.Failures >= maxFailures {
		return r.end(Failed, verdict.Ran, fmt.Sprintf("cannot run: failed %d times on %d workers", r.rec.Failures, len(r.rec.FailedOn)))
	}
	if !r.sleep(retryDelay << r.rec.Failures) {
		return ended
	}
	return r.requeue("task failed", true)
}

// cancel stops the task; the slot is free only when the worker has confirmed, or when the lease, which is
// not renewed any more, has lapsed.
func (r *runner) cancel(client *worker.Client) step {
	for begin := time.Now(); ; {
		task, err := client.StopTask(context.Background(), r.rec.Task)
		lapsed := time.Since(begin) > lapseAfter
		switch {
		case err == nil && task.State == worker.TaskDone:
			return r.done(task)
		case err == nil || errors.Is(err, worker.ErrUnknownTask):
			r.releaseGrant(dispatch.Stopped)
		case lapsed:
			r.releaseGrant(dispatch.TimedOut)
		}
		if err == nil || errors.Is(err, worker.ErrUnknownTask) || lapsed {
			return r.end(Cancelled, verdict.MayHaveRun, "cancelled by the caller while running")
		}
		if !r.sleep(retryDelay) {
			return ended
		}
	}
}

func (r *runner) checkpoint(client *worker.Client) {
	task, err := client.CheckpointTask(context.Background(), r.rec.Task)
	if err != nil {
		return
	}
	r.keepCheckpoint(task.Checkpoint)
	if err := r.m.cfg.Store.Update(context.Background(), r.rec); err != nil {
		r.log.Warn().Err(err).Msg("checkpoint was not written")
	}
}

func (r *runner) keepCheckpoint(c json.RawMessage) {
	if len(c) > 0 {
		r.rec.Checkpoint = c
	}
}

// end writes the final state, with retries for as long as the table is away. If the entry shuts down before that,
// the next owner learns the end from the worker.
func (r *runner) end(s State, v verdict.Verdict, message string) step {
	r.rec.State, r.rec.Verdict, r.rec.Error = s, v.String(), message
	if r.rec.Status == 0 {
		r.rec.Status = http.StatusOK
	}
	r.log.Info().Str("state", string(s)).Str("verdict", v.String()).Str("worker", r.rec.Worker).Msg("job ended")
	r.insist(r.m.cfg.Store.Finish)
	return ended
}

func (r *runner) releaseGrant(o dispatch.Outcome) {
	if r.grant == nil {
		return
	}
	r.grant.Release(dispatch.Result{Outcome: o, RunTime: time.Since(r.placed)})
	r.grant = nil
}

// untilStopped is a context that ends with the job's deadline, a cancel or the shutdown of the entry.
func (r *runner) untilStopped() (context.Context, context.CancelFunc) {
	base, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-base.Done():
		case <-r.stop:
		case <-r.leave:
		}
		cancel()
	}()
	if r.rec.Deadline.IsZero() {
		return base, cancel
	}
	ctx, cancelDeadline := context.WithDeadline(base, r.rec.Deadline)
	return ctx, func() { cancelDeadline(); cancel() }
}

// sleep waits; it reports false if the entry shuts down.
func (r *runner) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.leave:
		return false
	}
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
