package cluster

import (
	"context"
	"net/http"
	"time"

	"samphirepoint/verdict"
)

// handle executes a request from another daemon.
func (n *Node) handle(ctx context.Context, target string, r request) (wireResult, error) {
	switch r := r.(type) {
	case claimRequest:
		return wireResult{}, n.claimTransferred(ctx, target, r)
	case ownerNotice:
		n.applyOwner(target, r)
		return wireResult{}, nil
	case pingRequest:
		return wireResult{}, nil
	case laterTermRequest:
		return n.laterTerm(target, r).encode(), nil
	case readClaimRequest:
		reply, err := n.readClaim(ctx, target)
		return reply.encode(), err
	}
	n.mu.Lock()
	t := n.pools[target]
	n.mu.Unlock()
	if t == nil {
		return wireResult{}, noOwner(target)
	}
	return n.callOwner(ctx, t, r)
}

// claimTransferred claims a pool that its owner transfers to this daemon.
func (n *Node) claimTransferred(ctx context.Context, pool string, r claimRequest) error {
	if n.leaving.Load() {
		return verdict.Unavailable(time.Second, "leaving")
	}
	if err := n.mayClaimFrom(r); err != nil {
		return err
	}
	return n.claimFrom(context.WithoutCancel(ctx), pool, r.Token, "transferred by "+r.From)
}

// callOwner executes a request at an owner on this daemon.
func (n *Node) callOwner(ctx context.Context, t *ownerTerm, r request) (wireResult, error) {
	switch r := r.(type) {
	case submitRequest:
		return wireResult{}, n.submitTo(ctx, t, r.Spec)
	case releaseQueueRequest:
		reply, err := n.releaseQueue(ctx, t, r)
		return reply.encode(), err
	case stateRequest:
		state, known, err := t.State(ctx, r.ID, r.Workspace)
		return stateReply{Known: known, State: state}.encode(), err
	case cancelRequest:
		known, err := t.Cancel(ctx, r.ID, r.Workspace)
		return cancelReply{Known: known}.encode(), err
	case waitingRequest:
		waiting, err := t.Waiting(ctx, r.Queue)
		return waitingReply{Waiting: waiting}.encode(), err
	case cordonRequest:
		answer, err := t.Cordon(ctx, r.Worker, r.Duration)
		return encodeCordonAnswer(answer), err
	case upkeepDueRequest:
		return wireResult{}, t.SetUpkeepDue(ctx, r.Workers, r.Duration)
	case workerTerminatedNotice:
		return wireResult{}, t.ReportTerminated(ctx, r.Worker, r.Incarnation)
	case workerAbsentNotice:
		return wireResult{}, t.ReportAbsent(ctx, r.Worker, r.Incarnation)
	case reportRequest:
		report, err := t.Report(ctx)
		return reportReply{Report: report}.encode(), err
	case explainRequest:
		job, known, err := t.Explain(ctx, r.ID)
		return explainReply{Known: known, Job: job}.encode(), err
	case explainPlacementRequest:
		reply, err := explainPlacement(ctx, t, r)
		return reply.encode(), err
	case unknownRequest:
		return wireResult{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "unknown operation %q", r.op)
	}
	return wireResult{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "operation %q is not one of an owner", r.encode(t.shard).Op)
}

func explainPlacement(ctx context.Context, t *ownerTerm, r explainPlacementRequest) (explainPlacementReply, error) {
	if r.Spec == nil {
		return explainPlacementReply{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "the call has no job")
	}
	report, err := t.ExplainPlacement(ctx, *r.Spec)
	return explainPlacementReply{Placement: report}, err
}

// applyOwner records that another daemon has just claimed a pool, before its next heartbeat reports it. It stops this daemon's
// term for the pool if that has a lower token.
func (n *Node) applyOwner(pool string, notice ownerNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if own := n.owned[pool]; own != nil && own.Token() < notice.Token {
		own.Stop()
	}
	n.noteToken(pool, notice.Token)
	o := n.view.members[notice.From]
	if o == nil {
		return
	}
	pools := map[string]int64{}
	for p, t := range o.Pools {
		pools[p] = t
	}
	pools[pool] = notice.Token
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
			_, _ = n.peers.call(c, m.Address, ownerNotice{From: n.settings.Name, Token: token}.encode(pool))
		}()
	}
}
