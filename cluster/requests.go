package cluster

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"samphirepoint/engine"
	"samphirepoint/owner"
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

// Call is a request concerning a pool, in the form in which daemons forward it to each other. Pool is the name of the pool in a call
// from outside the cluster, and that of the shard between daemons.
type Call struct {
	Op    string       `json:"op"`
	Pool  string       `json:"pool"`
	Spec  *engine.Spec `json:"spec,omitempty"`
	ID    string       `json:"id,omitempty"`
	Queue string       `json:"queue,omitempty"`
	// Workspace is the one whose key the call carried, or "" for a public queue.
	Workspace string `json:"workspace,omitempty"`
	// Version is the version of the configuration that sends the queue to another pool (OpReleaseQueue).
	Version int64  `json:"version,omitempty"`
	Worker  string `json:"worker,omitempty"`
	// Incarnation is that of the worker which a report is about, or 0 if it isn't known.
	Incarnation int64    `json:"born,omitempty"`
	Workers     []string `json:"workers,omitempty"`
	DurationMS  int64    `json:"forMS,omitempty"`
	// Token is the token of a pool's new owner (OpOwner), or of the one that transfers it (OpClaim).
	Token int64  `json:"token,omitempty"`
	From  string `json:"from,omitempty"`
	// NoStoreAccess marks a pool that is transferred because the store does not serve its owner.
	NoStoreAccess bool `json:"storeless,omitempty"`
}

// Result is the response to a successful Call.
type Result struct {
	Known   bool         `json:"known,omitempty"`
	State   engine.State `json:"state,omitempty"`
	Waiting int          `json:"waiting,omitempty"`
	Empty   bool         `json:"empty,omitempty"`
	// ClaimVer is the version of the claim of the owner that answers a cordon, ClaimPart the shard that it owns.
	ClaimVer  int64  `json:"claimVer,omitempty"`
	ClaimPart string `json:"claimPart,omitempty"`

	// StoreAgeMS is the time since the store last answered the daemon, in milliseconds, and LaterTerm whether it serves the pool under a higher
	// token than the call's, in the answer to OpLaterTerm.
	StoreAgeMS int64 `json:"storeAge,omitempty"`
	LaterTerm  bool  `json:"laterTerm,omitempty"`

	Report *engine.PoolReport `json:"report,omitempty"`
	Job    *engine.JobReport  `json:"job,omitempty"`
	// Placement is the answer to OpExplainPlacement.
	Placement *engine.PlacementReport `json:"placement,omitempty"`
}

// The operations of a Call.
const (
	OpSubmit           = "submit"
	OpState            = "state"
	OpCancel           = "cancel"
	OpWaiting          = "waiting"
	OpCordon           = "cordon"
	OpUpkeepDue        = "due"
	OpClaim            = "take"
	OpOwner            = "owner"
	OpReport           = "report"
	OpReleaseQueue     = "release"
	OpWorkerTerminated = "gone"
	OpWorkerAbsent     = "absent"
	OpExplain          = "explain"
	OpExplainPlacement = "explain-placement"
	OpPing             = "ping"
	OpReadClaim        = "claim"
	OpLaterTerm        = "later"
)

// attemptTimeout bounds one attempt at one daemon; the next attempt may find another owner.
const attemptTimeout = 1300 * time.Millisecond

// Execute executes a call for a queue of a pool. A job that the pool doesn't know is looked for in the pools that had the queue before.
func (n *Node) Execute(ctx context.Context, call Call) (Result, error) {
	res, err := n.executeAtPool(ctx, call)
	switch {
	case err != nil || call.Queue == "":
		return res, err
	case call.Op == OpWaiting:
		return n.waitingAtFormers(ctx, call, res)
	case !res.Known && (call.Op == OpState || call.Op == OpCancel || call.Op == OpExplain):
		return n.executeAtFormers(ctx, call)
	}
	return res, nil
}

// executeAtPool executes a call at the pool's owner, on this daemon or another. Calls are idempotent, so a call without a response is
// retried until ctx ends, even if a later attempt is rejected: otherwise the response could not say whether the first attempt was
// executed, and some callers can't ask again. An error after such an attempt has verdict may-have-run.
func (n *Node) executeAtPool(ctx context.Context, call Call) (Result, error) {
	limit := n.settings.Now() + ownerWaitTimeout
	uncertain := false
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		res, err := n.attemptAtShard(attempt, call)
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

// attempt makes one attempt to execute a call at the owner of a shard.
func (n *Node) attempt(ctx context.Context, call Call) (Result, error) {
	n.mu.Lock()
	local := n.pools[call.Pool]
	alive := n.view.Alive()
	n.mu.Unlock()
	if local != nil {
		return n.callOwner(ctx, local, call)
	}
	m, ok := Owner(alive, call.Pool)
	if !ok || m.Node == n.settings.Name {
		return Result{}, noOwner(call.Pool)
	}
	if n.recentlyUnreachable(m.Node) {
		return Result{}, verdict.Unavailable(noOwnerRetryAfter, "the owner of pool %s is unreachable", call.Pool)
	}
	began := n.settings.Now()
	res, err := n.peers.call(ctx, m.Address, call)
	n.recordReachability(m.Node, n.settings.Now()-began, err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		n.Wake()
		return res, noOwner(call.Pool)
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

// HandleCall executes a call from another daemon.
func (n *Node) HandleCall(ctx context.Context, call Call) (Result, error) {
	switch call.Op {
	case OpClaim:
		if n.leaving.Load() {
			return Result{}, verdict.Unavailable(time.Second, "leaving")
		}
		if err := n.mayClaimFrom(call); err != nil {
			return Result{}, err
		}
		return Result{}, n.claimFrom(context.WithoutCancel(ctx), call.Pool, call.Token, "transferred by "+call.From)
	case OpOwner:
		n.applyOwner(call)
		return Result{}, nil
	case OpPing:
		return Result{}, nil
	case OpLaterTerm:
		return n.laterTerm(call), nil
	case OpReadClaim:
		return n.readClaim(ctx, call.Pool)
	}
	n.mu.Lock()
	t := n.pools[call.Pool]
	n.mu.Unlock()
	if t == nil {
		return Result{}, noOwner(call.Pool)
	}
	return n.callOwner(ctx, t, call)
}

// callOwner executes a call at an owner on this daemon.
func (n *Node) callOwner(ctx context.Context, t *ownerTerm, call Call) (Result, error) {
	o := t.Owner
	var res Result
	var err error
	switch call.Op {
	case OpSubmit:
		err = n.submit(ctx, t, call.Spec)
	case OpReleaseQueue:
		res, err = n.releaseQueue(ctx, t, call)
	case OpState:
		res.State, res.Known, err = o.State(ctx, call.ID, call.Workspace)
	case OpCancel:
		res.Known, err = o.Cancel(ctx, call.ID, call.Workspace)
	case OpWaiting:
		res.Waiting, err = o.Waiting(ctx, call.Queue)
	case OpCordon:
		var a owner.CordonAnswer
		a, err = o.Cordon(ctx, call.Worker, time.Duration(call.DurationMS)*time.Millisecond)
		res.Empty, res.Known, res.ClaimVer, res.ClaimPart = a.Empty, a.Known, a.ClaimVer, a.Part
	case OpUpkeepDue:
		err = o.SetUpkeepDue(ctx, call.Workers, time.Duration(call.DurationMS)*time.Millisecond)
	case OpWorkerTerminated:
		err = o.ReportTerminated(ctx, call.Worker, call.Incarnation)
	case OpWorkerAbsent:
		err = o.ReportAbsent(ctx, call.Worker, call.Incarnation)
	case OpReport:
		var r engine.PoolReport
		r, err = o.Report(ctx)
		res.Report = &r
	case OpExplain:
		var j engine.JobReport
		j, res.Known, err = o.Explain(ctx, call.ID)
		res.Job = &j
	case OpExplainPlacement:
		if call.Spec == nil {
			return res, verdict.New(verdict.NotRun, http.StatusBadRequest, "the call has no job")
		}
		var r engine.PlacementReport
		r, err = o.ExplainPlacement(ctx, *call.Spec)
		res.Placement = &r
	default:
		err = verdict.New(verdict.NotRun, http.StatusBadRequest, "unknown operation %q", call.Op)
	}
	return res, err
}

// applyOwner records that another daemon has just claimed a pool, before its next heartbeat reports it. It stops this daemon's
// term for the pool if that has a lower token.
func (n *Node) applyOwner(call Call) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if own := n.owned[call.Pool]; own != nil && own.Token() < call.Token {
		own.Stop()
	}
	n.noteToken(call.Pool, call.Token)
	o := n.view.members[call.From]
	if o == nil {
		return
	}
	pools := map[string]int64{}
	for p, t := range o.Pools {
		pools[p] = t
	}
	pools[call.Pool] = call.Token
	o.Pools = pools
}

// announceTimeout bounds a call that informs another daemon of a claim.
const announceTimeout = 300 * time.Millisecond

// announce informs the other daemons that this daemon has claimed a pool.
func (n *Node) announce(ctx context.Context, pool string, token int64) {
	for _, m := range n.Alive() {
		if m.Node == n.settings.Name {
			continue
		}
		go func() {
			c, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
			defer cancel()
			_, _ = n.peers.call(c, m.Address, Call{Op: OpOwner, Pool: pool, Token: token, From: n.settings.Name})
		}()
	}
}
