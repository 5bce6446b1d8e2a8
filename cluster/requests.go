package cluster

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"samphirepoint/engine"
	"samphirepoint/sleep"
	"samphirepoint/verdict"
)

const (
	// ownerWaitTimeout is how long a request waits for its pool to get an owner.
	ownerWaitTimeout = 700 * time.Millisecond
	// ownerPollDelay is the delay between two attempts.
	ownerPollDelay = 40 * time.Millisecond
	// noOwnerRetryAfter is the Retry-After delay while a pool has no owner.
	noOwnerRetryAfter = time.Second
)

// attemptTimeout bounds one attempt at one daemon; the next attempt may find another owner.
const attemptTimeout = 1300 * time.Millisecond

// Submit submits a job to a pool.
func (n *Node) Submit(ctx context.Context, pool string, spec *engine.Spec) error {
	_, err := n.executeForJob(ctx, pool, spec.ID, submitRequest{Spec: spec})
	return err
}

// State returns the state of a job, and false if the job is not known to the workspace. The pool is that of the job's queue.
func (n *Node) State(ctx context.Context, pool string, job JobRef) (engine.State, bool, error) {
	res, err := n.executeAtPools(ctx, pool, job, stateRequest{job})
	reply := res.stateReply()
	return reply.State, reply.Known, err
}

// Cancel cancels a job. It reports false if the job is not known to the workspace. The pool is that of the job's queue.
func (n *Node) Cancel(ctx context.Context, pool string, job JobRef) (known bool, err error) {
	res, err := n.executeAtPools(ctx, pool, job, cancelRequest{job})
	return res.Known, err
}

// Waiting returns the number of a queue's jobs that have not started, also of those in pools that had the queue before.
func (n *Node) Waiting(ctx context.Context, pool, queue string) (int, error) {
	waiting, err := n.waitingInPool(ctx, pool, queue)
	if err != nil {
		return 0, err
	}
	return n.waitingAtFormers(ctx, pool, queue, waiting)
}

// executeAtPools executes a request for a job at the pool of its queue, and if that one doesn't know the job, at the pools that had the
// queue before.
func (n *Node) executeAtPools(ctx context.Context, pool string, job JobRef, r request) (wireResult, error) {
	res, err := n.executeForJob(ctx, pool, job.ID, r)
	if err != nil || res.Known || job.Queue == "" {
		return res, err
	}
	return n.executeAtFormers(ctx, pool, job, r)
}

// executeForJob executes a request at the owner of a job's shard, on this daemon or another.
func (n *Node) executeForJob(ctx context.Context, pool, id string, r request) (wireResult, error) {
	return untilCertain(ctx, n, func(ctx context.Context) (wireResult, error) { return n.attemptForJob(ctx, pool, id, r) })
}

// untilCertain makes attempts to execute a request. Requests are idempotent, so one without a response is retried until ctx ends, even if
// a later attempt is rejected: otherwise the response could not say whether the first attempt was executed, and some callers can't ask
// again. An error after such an attempt has verdict may-have-run.
func untilCertain[T any](ctx context.Context, n *Node, attempt func(context.Context) (T, error)) (T, error) {
	limit := n.settings.Now() + ownerWaitTimeout
	uncertain := false
	for {
		c, cancel := context.WithTimeout(ctx, attemptTimeout)
		res, err := attempt(c)
		cancel()
		if err == nil {
			return res, nil
		}
		uncertain = uncertain || verdict.Is(err, verdict.MayHaveRun)
		refused := !isNoOwner(err) || n.settings.Now() > limit
		if ctx.Err() != nil || refused && !uncertain {
			return res, keepUncertainty(err, uncertain)
		}
		_ = sleep.Context(ctx, ownerPollDelay)
	}
}

// keepUncertainty changes verdict not-run to may-have-run if an earlier attempt of the call may have been executed.
func keepUncertainty(err error, uncertain bool) error {
	if uncertain && verdict.Is(err, verdict.NotRun) {
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusGatewayTimeout)
	}
	return err
}

// isNoOwner reports whether the call found no owner, so that it was not executed.
func isNoOwner(err error) bool {
	return verdict.Is(err, verdict.NotRun) && verdict.Status(err) == http.StatusMisdirectedRequest
}

// attempt makes one attempt to execute a request at the owner of a shard.
func (n *Node) attempt(ctx context.Context, shard string, r request) (wireResult, error) {
	n.mu.Lock()
	local := n.pools[shard]
	alive := n.view.Alive()
	n.mu.Unlock()
	if local != nil {
		return n.callOwner(ctx, local, r)
	}
	m, ok := Owner(alive, shard)
	if !ok || m.Node == n.settings.Name {
		return wireResult{}, noOwner(shard)
	}
	if n.recentlyUnreachable(m.Node) {
		return wireResult{}, verdict.Unavailable(noOwnerRetryAfter, "the owner of pool %s is unreachable", shard)
	}
	began := n.settings.Now()
	res, err := n.peers.call(ctx, m.Address, r.encode(shard))
	n.recordReachability(m.Node, n.settings.Now()-began, err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		n.Wake()
		return res, noOwner(shard)
	}
	return res, err
}

// recentlyUnreachable reports whether a call to a daemon should fail fast, because an attempt within the last
// unreachableRetryInterval did not reach it.
func (n *Node) recentlyUnreachable(node string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.unreachable[node]
	return ok && n.settings.Now()-at < unreachableRetryInterval
}

// maxAnswerTime is the time within which a reachable daemon always responds to a call, whatever the state of the store.
const maxAnswerTime = attemptTimeout - 50*time.Millisecond

// recordReachability records whether a call, which took the given time, reached its daemon. A call that timed out while this process
// ran late says nothing about the other one.
func (n *Node) recordReachability(node string, took time.Duration, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		n.view.Refused(node)
	case err == nil:
		delete(n.unreachable, node)
	case n.late():
	case verdict.NeverSent(err), errors.Is(err, context.DeadlineExceeded) && took >= maxAnswerTime:
		n.unreachable[node] = n.settings.Now()
	}
}

// late reports whether this process runs late.
func (n *Node) late() bool { return n.settings.Late != nil && n.settings.Late() }

func noOwner(pool string) error {
	return verdict.WithRetryAfter(verdict.New(verdict.NotRun, http.StatusMisdirectedRequest, "pool %s currently has no owner", pool), noOwnerRetryAfter)
}
