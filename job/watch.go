package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"samphirepoint/dispatch"
	"samphirepoint/verdict"
	"samphirepoint/worker"
)

// cancelledWhileRunning is the message of a job whose task was stopped for its caller.
const cancelledWhileRunning = "cancelled by the caller while running"

// watch renews the task's lease and polls the task until it ends.
func (r *runner) watch() step {
	client := r.m.clientFor(r.rec)
	defer client.Close()
	renewed, checkpointed, interval := time.Now(), time.Now(), checkpointIntervalMin
	for {
		task, err := client.Task(context.Background(), r.rec.Task)
		if next, over := r.evaluateTask(task, err, time.Since(renewed)); over {
			return next
		}
		if isClosed(r.cancelled) {
			return r.cancel(client)
		}
		if time.Since(renewed) > renewInterval {
			if _, err := client.RenewTask(context.Background(), r.rec.Task, leaseSeconds); err == nil {
				renewed = time.Now()
			}
		}
		if time.Since(checkpointed) > interval {
			r.checkpoint(client)
			checkpointed, interval = time.Now(), min(2*interval, checkpointIntervalMax)
		}
		if isClosed(r.shutdown) {
			// The task continues under its lease; the next owner finds it in the row.
			_, _ = client.RenewTask(context.Background(), r.rec.Task, leaseSeconds)
			return ended
		}
		time.Sleep(pollInterval)
	}
}

// evaluateTask handles the result of polling the task. over is set if the task ended, and next is the next step.
func (r *runner) evaluateTask(task worker.Task, err error, sinceRenewal time.Duration) (next step, over bool) {
	switch {
	case errors.Is(err, worker.ErrUnknownTask):
		// A restarted worker does not know the tasks that it ran before, so only idempotent jobs continue.
		return r.handleLost("worker does not know the task"), true
	case err != nil && sinceRenewal > leaseExpiredAfter:
		return r.handleLost("worker does not answer and the lease has expired"), true
	case err != nil:
		return watching, false
	}
	switch task.State {
	case worker.TaskDone:
		return r.handleDone(task), true
	case worker.TaskFailed:
		return r.handleFailed(task), true
	case worker.TaskLeaseExpired, worker.TaskStopped:
		r.keepCheckpoint(task.Checkpoint)
		return r.handleLost("task was stopped before its end"), true
	}
	return watching, false
}

func (r *runner) handleDone(task worker.Task) step {
	r.releaseGrant(dispatch.Succeeded)
	r.rec.Status, r.rec.Result = task.Status, task.Result
	return r.end(Done, verdict.Ran, "")
}

// handleLost handles a task that ended without a result: idempotent jobs continue from the last checkpoint.
func (r *runner) handleLost(reason string) step {
	r.releaseGrant(dispatch.TimedOut)
	if isClosed(r.cancelled) {
		return r.end(Cancelled, verdict.MayHaveRun, cancelledWhileRunning)
	}
	if !r.rec.Idempotent {
		return r.end(Unknown, verdict.MayHaveRun, reason+"; the job is not idempotent and is not run again")
	}
	return r.requeue(reason, true)
}

// handleFailed handles a task that ran and failed: idempotent jobs are retried up to the failure limits.
func (r *runner) handleFailed(task worker.Task) step {
	r.releaseGrant(dispatch.Failed)
	r.rec.Status, r.rec.Result = task.Status, task.Result
	r.rec.Failures++
	if !slices.Contains(r.rec.FailedOn, r.rec.Worker) {
		r.rec.FailedOn = append(r.rec.FailedOn, r.rec.Worker)
	}
	if !r.rec.Idempotent {
		return r.end(Failed, verdict.Ran, "the job ran and failed")
	}
	if len(r.rec.FailedOn) >= maxFailedWorkers || r.rec.Failures >= maxFailures {
		return r.end(Failed, verdict.Ran, fmt.Sprintf("cannot run: failed %d times on %d workers", r.rec.Failures, len(r.rec.FailedOn)))
	}
	if !r.sleep(retryDelay << r.rec.Failures) {
		return ended
	}
	return r.requeue("task failed", true)
}

// cancel stops the task. The slot is released only when the worker has confirmed the stop, or when the lease, which
// is no longer renewed, has expired.
func (r *runner) cancel(client *worker.Client) step {
	for begin := time.Now(); ; {
		task, err := client.StopTask(context.Background(), r.rec.Task)
		expired := time.Since(begin) > leaseExpiredAfter
		switch {
		case err == nil && task.State == worker.TaskDone:
			return r.handleDone(task)
		case err == nil || errors.Is(err, worker.ErrUnknownTask):
			r.releaseGrant(dispatch.Stopped)
		case expired:
			r.releaseGrant(dispatch.TimedOut)
		}
		if err == nil || errors.Is(err, worker.ErrUnknownTask) || expired {
			return r.end(Cancelled, verdict.MayHaveRun, cancelledWhileRunning)
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
