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
}

// run repeats placing and watching until the job ends, another owner has it, or the entry leaves.
func (r *runner) run() {
	defer func() {
		if r.grant != nil {
			r.grant.Release(dispatch.Result{Outcome: dispatch.NotSent})
		}
	}()
	if r.rec.State == Running {
		if !r.takeOver() || !r.follow() {
			return
		}
	}
	for r.place() && r.follow() {
	}
}

// takeOver names this process as owner of a task that another owner started.
func (r *runner) takeOver() bool {
	r.rec.Owner = r.m.cfg.Owner
	err := r.m.cfg.Store.Update(context.Background(), r.rec)
	if err != nil {
		r.log.Warn().Err(err).Msg("job was not taken over")
		return false
	}
	r.log.Info().Str("worker", r.rec.Worker).Str("task", r.rec.Task).Str("reason", "former owner is gone").Msg("job taken over")
	return true
}

// place waits for a slot, writes worker and task into the row and starts the task. It reports false
// if the job is not to be run by this process.
func (r *runner) place() bool {
	req, err := r.m.toRequest(context.Background(), r.rec)
	if err != nil {
		r.log.Warn().Err(err).Msg("body of the job cannot be read")
		return false
	}
	ctx, cancel := r.untilStopped()
	defer cancel()
	grant, err := r.m.cfg.Slots.Acquire(ctx, dispatch.Wish{Request: req, Exclude: r.rec.FailedOn})
	if err != nil {
		return r.notPlaced(err)
	}
	r.grant = grant
	r.rec.State, r.rec.Owner = Running, r.m.cfg.Owner
	r.rec.Worker, r.rec.Address, r.rec.Task = grant.Worker, grant.Client.Address(), uuid.NewString()
	if err := r.m.cfg.Store.Update(context.Background(), r.rec); err != nil {
		// If the write took effect after all, the next scan finds a task that the worker does
		// not know, which shows that it was not started.
		r.log.Warn().Err(err).Str("reason", "row was not written").Msg("job not started")
		return false
	}
	r.log.Info().Str("pool", r.rec.Pool).Str("worker", grant.Worker).Str("task", r.rec.Task).Str("reason", grant.Reason).Msg("job placed")
	return r.start(grant, worker.TaskStart{ID: r.rec.Task, LeaseSeconds: leaseSeconds, Checkpoint: r.rec.Checkpoint, Work: req.Body})
}

// notPlaced handles the end of the wait without a slot.
func (r *runner) notPlaced(err error) bool {
	if closed(r.leave) {
		return false
	}
	if closed(r.stop) {
		r.end(Cancelled, verdict.NotRun, "cancelled by the caller while waiting")
		return false
	}
	if !r.rec.Deadline.IsZero() && time.Now().After(r.rec.Deadline) {
		r.end(Failed, verdict.NotRun, "deadline passed while waiting for a slot")
		return false
	}
	r.log.Debug().Err(err).Msg("job waits again")
	return !errors.Is(err, dispatch.ErrNotOwner) && r.sleep(retryDelay)
}

// start sends the task to the worker. The same task id is sent again until the worker answers, since the
// worker starts a task id only once.
func (r *runner) start(grant *dispatch.Grant, t worker.TaskStart) bool {
	req := r.rec.request()
	for delay := retryDelay; ; delay = min(2*delay, retryDelayMax) {
		_, err := grant.Client.StartTask(context.Background(), req, t)
		if err == nil {
			return true
		}
		if verdict.Is(err, verdict.NotRun) && delay == retryDelay {
			r.releaseGrant(refusalOutcome(err))
			return r.requeue("worker refused the task")
		}
		r.log.Warn().Err(err).Str("worker", grant.Worker).Msg("start of the task has no answer")
		if delay >= retryDelayMax {
			// follow finds out whether the task runs.
			return true
		}
		if !r.sleep(delay) {
			return false
		}
	}
}

func refusalOutcome(err error) dispatch.Outcome {
	if errors.Is(err, worker.ErrLeaving) {
		return dispatch.Leaving
	}
	return dispatch.Refused
}

// requeue puts the job back into the state before placement; it reports whether this process goes on with it.
func (r *runner) requeue(reason string) bool {
	r.rec.State, r.rec.Worker, r.rec.Address, r.rec.Task = Queued, "", "", ""
	r.log.Info().Str("reason", reason).Msg("job waits again")
	if !r.persist() {
		return false
	}
	return r.place()
}

// persist writes the row, with retries while the table is away. It reports false if the job is lost to another owner.
func (r *runner) persist() bool {
	for delay := retryDelay; ; delay = min(2*delay, retryDelayMax) {
		err := r.m.cfg.Store.Update(context.Background(), r.rec)
		if err == nil {
			return true
		}
		if errors.Is(err, errLost) {
			return r.reload()
		}
		if !r.sleep(delay) {
			return false
		}
	}
}

// reload reads a row that a caller changed, for instance to cancel, and keeps this runner's view of the rest.
func (r *runner) reload() bool {
	found, err := r.m.cfg.Store.Find(context.Background(), r.rec.ID)
	if err != nil || found == nil || found.State.Final() || (found.Owner != r.m.cfg.Owner && found.Owner != "") {
		return false
	}
	r.rec.version, r.rec.CancelRequested = found.version, found.CancelRequested
	return r.persistOnce()
}

func (r *runner) persistOnce() bool { return r.m.cfg.Store.Update(context.Background(), r.rec) == nil }

// follow renews and watches the task until it ends. It reports true if the job must be placed again.
func (r *runner) follow() bool {
	client := clientFor(r.rec)
	defer client.Close()
	started := time.Now()
	renewed, checkpointed, interval := started, started, checkpointFirst
	for {
		task, err := client.Task(context.Background(), r.rec.Task)
		if again, ended := r.judge(task, err, time.Since(renewed)); ended {
			return again
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
			return false
		}
		time.Sleep(pollInterval)
	}
}

// judge acts on a state of the task. ended is set if this round of the job is over.
func (r *runner) judge(task worker.Task, err error, sinceRenewal time.Duration) (again, ended bool) {
	switch {
	case errors.Is(err, worker.ErrUnknownTask):
		// A worker that was restarted knows nothing of tasks it ran before, so only idempotent jobs go on.
		return r.lost("worker does not know the task"), true
	case err != nil && sinceRenewal > lapseAfter:
		return r.lost("worker does not answer and the lease has lapsed"), true
	case err != nil:
		return false, false
	}
	switch task.State {
	case worker.TaskDone:
		r.releaseGrant(dispatch.Succeeded)
		r.rec.Status, r.rec.Result = task.Status, task.Result
		r.end(Done, verdict.Ran, "")
		return false, true
	case worker.TaskFailed:
		return r.failed(task), true
	case worker.TaskLapsed, worker.TaskStopped:
		r.keepCheckpoint(task.Checkpoint)
		return r.lost("task was stopped before its end"), true
	}
	return false, false
}

// lost handles a task that ended without result: idempotent jobs continue from the last checkpoint.
func (r *runner) lost(reason string) bool {
	r.releaseGrant(dispatch.TimedOut)
	if closed(r.stop) {
		r.end(Cancelled, verdict.MayHaveRun, "cancelled by the caller while running")
		return false
	}
	if !r.rec.Idempotent {
		r.end(Unknown, verdict.MayHaveRun, reason+"; the job is not idempotent and is not run again")
		return false
	}
	r.rec.State, r.rec.Worker, r.rec.Address, r.rec.Task = Queued, "", "", ""
	r.log.Info().Str("reason", reason).Msg("job waits again")
	return r.persist()
}

// failed handles a task that ran and failed.
func (r *runner) failed(task worker.Task) bool {
	r.releaseGrant(dispatch.Failed)
	r.rec.Status, r.rec.Result = task.Status, task.Result
	if !slices.Contains(r.rec.FailedOn, r.rec.Worker) {
		r.rec.FailedOn = append(r.rec.FailedOn, r.rec.Worker)
	}
	if !r.rec.Idempotent {
		r.end(Failed, verdict.Ran, "the job ran and failed")
		return false
	}
	if len(r.rec.FailedOn) >= cannotRunAfter {
		r.end(Failed, verdict.Ran, fmt.Sprintf("cannot run: failed on %d workers", len(r.rec.FailedOn)))
		return false
	}
	r.rec.State, r.rec.Worker, r.rec.Address, r.rec.Task = Queued, "", "", ""
	return r.persist()
}

// cancel stops the task; the slot is free only when the worker has confirmed.
func (r *runner) cancel(client *worker.Client) bool {
	for {
		task, err := client.StopTask(context.Background(), r.rec.Task)
		if err == nil && task.State == worker.TaskDone {
			_, _ = r.judge(task, nil, 0)
			return false
		}
		if err == nil || errors.Is(err, worker.ErrUnknownTask) {
			r.releaseGrant(dispatch.Stopped)
			r.end(Cancelled, verdict.MayHaveRun, "cancelled by the caller while running")
			return false
		}
		if !r.sleep(retryDelay) {
			return false
		}
	}
}

func (r *runner) checkpoint(client *worker.Client) {
	task, err := client.CheckpointTask(context.Background(), r.rec.Task)
	if err != nil {
		return
	}
	r.keepCheckpoint(task.Checkpoint)
	_ = r.persistOnce()
}

func (r *runner) keepCheckpoint(c json.RawMessage) {
	if len(c) > 0 {
		r.rec.Checkpoint = c
	}
}

// end writes the final state, with retries for as long as the table is away.
func (r *runner) end(s State, v verdict.Verdict, message string) {
	r.rec.State, r.rec.Verdict, r.rec.Error = s, v.String(), message
	if r.rec.Status == 0 {
		r.rec.Status = http.StatusOK
	}
	r.log.Info().Str("state", string(s)).Str("verdict", v.String()).Str("worker", r.rec.Worker).Msg("job ended")
	for delay := retryDelay; ; delay = min(2*delay, retryDelayMax) {
		err := r.m.cfg.Store.Finish(context.Background(), r.rec)
		if err == nil {
			return
		}
		lost := errors.Is(err, errLost)
		if lost && !r.refreshVersion() {
			return
		}
		if !lost { // otherwise a cancel changed the row, and the new version is tried
			r.log.Warn().Err(err).Msg("end of the job cannot be written yet")
		}
		time.Sleep(delay)
	}
}

// refreshVersion reads the version of a row that a caller changed; false if the job ended or has another owner.
func (r *runner) refreshVersion() bool {
	found, err := r.m.cfg.Store.Find(context.Background(), r.rec.ID)
	if err != nil {
		return true
	}
	if found == nil || found.State.Final() || found.Owner != r.rec.Owner {
		return false
	}
	r.rec.version = found.version
	return true
}

func (r *runner) releaseGrant(o dispatch.Outcome) {
	if r.grant == nil {
		return
	}
	r.grant.Release(dispatch.Result{Outcome: o, Took: time.Since(r.rec.Updated)})
	r.grant = nil
}

// untilStopped is a context that ends with the job's deadline, a cancel or the shutdown of the entry.
func (r *runner) untilStopped() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	if !r.rec.Deadline.IsZero() {
		ctx, cancel = context.WithDeadline(context.Background(), r.rec.Deadline)
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-r.stop:
		case <-r.leave:
		}
		cancel()
	}()
	return ctx, cancel
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
