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
	// findTime is how long a request waits for a pool to have an owner.
	findTime = 700 * time.Millisecond
	// findPause is the time between two looks.
	findPause = 40 * time.Millisecond
	// noOwnerRetryAfter is when callers are told to come back while a pool has no owner.
	noOwnerRetryAfter = time.Second
)

// Call is a request about a pool, as daemons forward it to each other.
type Call struct {
	Op     string       `json:"op"`
	Pool   string       `json:"pool"`
	Spec   *engine.Spec `json:"spec,omitempty"`
	ID     string       `json:"id,omitempty"`
	Queue  string       `json:"queue,omitempty"`
	Worker string       `json:"worker,omitempty"`
	ForMS  int64        `json:"forMS,omitempty"`
	Token  int64        `json:"token,omitempty"`
	From   string       `json:"from,omitempty"`
	// Storeless marks a pool that is given away as the store does not serve its owner.
	Storeless bool `json:"storeless,omitempty"`
}

// Result answers a Call that did not fail.
type Result struct {
	Known   bool         `json:"known,omitempty"`
	State   engine.State `json:"state,omitempty"`
	Waiting int          `json:"waiting,omitempty"`
	Empty   bool         `json:"empty,omitempty"`

	Report *engine.PoolReport `json:"report,omitempty"`
	Job    *engine.JobReport  `json:"job,omitempty"`
}

// The operations of a Call.
const (
	OpSubmit  = "submit"
	OpState   = "state"
	OpCancel  = "cancel"
	OpWaiting = "waiting"
	OpCordon  = "cordon"
	OpTake    = "take"
	OpOwner   = "owner"
	OpReport  = "report"
	OpGone    = "gone"
	OpExplain = "explain"
	OpPing    = "ping"
)

// attemptTime bounds one attempt at one daemon; the next one may find another owner.
const attemptTime = 1300 * time.Millisecond

// Do carries out a call at the pool's owner, wherever that is. Calls may be repeated without harm, so one without an
// answer is made again until ctx ends, also if a later attempt is refused: the caller could not be told whether the first
// was carried out, and some callers can't ask again then. An error after such an attempt says so.
func (n *Node) Do(ctx context.Context, call Call) (Result, error) {
	limit := n.set.Now() + findTime
	uncertain := false
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTime)
		res, err := n.try(attempt, call)
		cancel()
		if err == nil {
			return res, nil
		}
		uncertain = uncertain || verdict.Is(err, verdict.MayHaveRun)
		refused := !again(err) || n.set.Now() > limit
		if ctx.Err() != nil || refused && !uncertain {
			return res, certainty(err, uncertain)
		}
		_ = sleep.Context(ctx, findPause)
	}
}

// certainty keeps a refusal from being told to a caller whose call may have been carried out before.
func certainty(err error, uncertain bool) error {
	if uncertain && verdict.Is(err, verdict.NotRun) {
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusGatewayTimeout)
	}
	return err
}

// again reports whether the call met no owner, so that nothing was done.
func again(err error) bool {
	return verdict.Is(err, verdict.NotRun) && verdict.Status(err) == http.StatusMisdirectedRequest
}

func (n *Node) try(ctx context.Context, call Call) (Result, error) {
	n.mu.Lock()
	local := n.pools[call.Pool]
	alive := n.view.Alive()
	n.mu.Unlock()
	if local != nil {
		return n.local(ctx, local, call)
	}
	m, ok := Owner(alive, call.Pool)
	if !ok || m.Node == n.set.Name {
		return Result{}, noOwner(call.Pool)
	}
	if n.heldOff(m.Node) {
		return Result{}, verdict.Unavailable(noOwnerRetryAfter, "the owner of pool %s can't be reached", call.Pool)
	}
	began := n.set.Now()
	res, err := n.peers.call(ctx, m.Address, call)
	n.noteReach(m.Node, n.set.Now()-began, err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		n.Kick()
		return res, noOwner(call.Pool)
	}
	return res, err
}

// heldOff reports whether a daemon was found to be unreachable a moment ago.
func (n *Node) heldOff(node string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.unreached[node]
	return ok && n.set.Now()-at < unreachedPause
}

// silence is how long a daemon that is reached never leaves a call unanswered, whatever the store does.
const silence = attemptTime - 50*time.Millisecond

// noteReach takes in whether a call that took so long reached its daemon.
func (n *Node) noteReach(node string, took time.Duration, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		n.view.Refused(node)
	case verdict.NeverSent(err), errors.Is(err, context.DeadlineExceeded) && took >= silence:
		n.unreached[node] = n.set.Now()
	case err == nil:
		delete(n.unreached, node)
	}
}

func noOwner(pool string) error {
	return verdict.WithRetryAfter(verdict.New(verdict.NotRun, http.StatusMisdirectedRequest, "pool %s has no owner at the moment", pool), noOwnerRetryAfter)
}

// Local carries out a call that another daemon forwarded.
func (n *Node) Local(ctx context.Context, call Call) (Result, error) {
	switch call.Op {
	case OpTake:
		if n.leaving.Load() {
			return Result{}, verdict.Unavailable(time.Second, "leaving")
		}
		if err := n.mayTakeFrom(call); err != nil {
			return Result{}, err
		}
		return Result{}, n.take(context.WithoutCancel(ctx), call.Pool)
	case OpOwner:
		n.learnOwner(call)
		return Result{}, nil
	case OpPing:
		return Result{}, nil
	}
	n.mu.Lock()
	o := n.pools[call.Pool]
	n.mu.Unlock()
	if o == nil {
		return Result{}, noOwner(call.Pool)
	}
	return n.local(ctx, o, call)
}

func (n *Node) local(ctx context.Context, o *owner.Owner, call Call) (Result, error) {
	var res Result
	var err error
	switch call.Op {
	case OpSubmit:
		if call.Spec == nil {
			return res, verdict.New(verdict.NotRun, http.StatusBadRequest, "a submission without a job")
		}
		err = o.Submit(ctx, *call.Spec)
	case OpState:
		res.State, res.Known, err = o.State(ctx, call.ID)
	case OpCancel:
		res.Known, err = o.Cancel(ctx, call.ID)
	case OpWaiting:
		res.Waiting, err = o.Waiting(ctx, call.Queue)
	case OpCordon:
		res.Empty, res.Known, err = o.Cordon(ctx, call.Worker, time.Duration(call.ForMS)*time.Millisecond)
	case OpGone:
		err = o.WorkerTerminated(ctx, call.Worker)
	case OpReport:
		var r engine.PoolReport
		r, err = o.Report(ctx)
		res.Report = &r
	case OpExplain:
		var j engine.JobReport
		j, res.Known, err = o.Explain(ctx, call.ID)
		res.Job = &j
	default:
		err = verdict.New(verdict.NotRun, http.StatusBadRequest, "unknown operation %q", call.Op)
	}
	return res, err
}

// learnOwner takes in that a daemon has just taken a pool, before its next beat says so.
func (n *Node) learnOwner(call Call) {
	n.mu.Lock()
	defer n.mu.Unlock()
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
	if own := n.owned[call.Pool]; own != nil && own.Token() < call.Token {
		own.Stop()
	}
}

// announce tells the other daemons of a new ownership.
func (n *Node) announce(ctx context.Context, pool string, token int64) {
	for _, m := range n.Alive() {
		if m.Node == n.set.Name {
			continue
		}
		go func() {
			c, cancel := context.WithTimeout(context.WithoutCancel(ctx), 300*time.Millisecond)
			defer cancel()
			_, _ = n.peers.call(c, m.Address, Call{Op: OpOwner, Pool: pool, Token: token, From: n.set.Name})
		}()
	}
}
