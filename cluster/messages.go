package cluster

import (
	"time"

	"samphirepoint/engine"
	"samphirepoint/owner"
)

// request is a request of one operation.
type request interface {
	// encode returns the form in which the request is sent. The target is the shard that it concerns, or the part of the store or the role.
	encode(target string) wireCall
}

// JobRef identifies a job. Without a queue, the job is not looked for in the pools that had its queue before.
type JobRef struct {
	Queue, ID string
	// Workspace is the one whose key the caller has, or "" for a public queue.
	Workspace string
}

func (j JobRef) encode(op operation, target string) wireCall {
	return wireCall{Op: op, Pool: target, Queue: j.Queue, ID: j.ID, Workspace: j.Workspace}
}

// submitRequest submits a job. The reply is empty.
type submitRequest struct{ Spec *engine.Spec }

func (r submitRequest) encode(target string) wireCall {
	return wireCall{Op: opSubmit, Pool: target, ID: r.Spec.ID, Spec: r.Spec}
}

// stateRequest asks for the state of a job.
type stateRequest struct{ JobRef }

func (r stateRequest) encode(target string) wireCall { return r.JobRef.encode(opState, target) }

type stateReply struct {
	Known bool
	State engine.State
}

func (r stateReply) encode() wireResult { return wireResult{Known: r.Known, State: r.State} }

// cancelRequest cancels a job. The reply says whether the job is known.
type cancelRequest struct{ JobRef }

func (r cancelRequest) encode(target string) wireCall { return r.JobRef.encode(opCancel, target) }

type cancelReply struct{ Known bool }

func (r cancelReply) encode() wireResult { return wireResult{Known: r.Known} }

// waitingRequest asks how many of a queue's jobs have not started.
type waitingRequest struct{ Queue string }

func (r waitingRequest) encode(target string) wireCall {
	return wireCall{Op: opWaiting, Pool: target, Queue: r.Queue}
}

type waitingReply struct{ Waiting int }

func (r waitingReply) encode() wireResult { return wireResult{Waiting: r.Waiting} }

// cordonRequest keeps new work off a worker for a time; 0 removes the cordon.
type cordonRequest struct {
	Worker   string
	Duration time.Duration
}

func (r cordonRequest) encode(target string) wireCall {
	return wireCall{Op: opCordon, Pool: target, Worker: r.Worker, DurationMS: r.Duration.Milliseconds()}
}

func encodeCordonAnswer(a owner.CordonAnswer) wireResult {
	return wireResult{Empty: a.Empty, Known: a.Known, ClaimVer: a.ClaimVer, ClaimPart: a.Part}
}

// upkeepDueRequest names the workers whose instances are due for upkeep, for a time. The reply is empty.
type upkeepDueRequest struct {
	Workers  []string
	Duration time.Duration
}

func (r upkeepDueRequest) encode(target string) wireCall {
	return wireCall{Op: opUpkeepDue, Pool: target, Workers: r.Workers, DurationMS: r.Duration.Milliseconds()}
}

// claimRequest asks a daemon to claim a pool from its owner, which sends the request. The reply is empty.
type claimRequest struct {
	From string
	// Token is the owner's token.
	Token int64
	// NoStoreAccess marks a pool that is transferred because the store does not serve its owner.
	NoStoreAccess bool
}

func (r claimRequest) encode(target string) wireCall {
	return wireCall{Op: opClaim, Pool: target, From: r.From, Token: r.Token, NoStoreAccess: r.NoStoreAccess}
}

// ownerNotice informs a daemon that the sender has claimed a pool with a token. The reply is empty.
type ownerNotice struct {
	From  string
	Token int64
}

func (r ownerNotice) encode(target string) wireCall {
	return wireCall{Op: opOwner, Pool: target, From: r.From, Token: r.Token}
}

// reportRequest asks for the state of a shard.
type reportRequest struct{}

func (r reportRequest) encode(target string) wireCall { return wireCall{Op: opReport, Pool: target} }

type reportReply struct{ Report engine.PoolReport }

func (r reportReply) encode() wireResult { return wireResult{Report: &r.Report} }

// releaseQueueRequest makes an owner accept no more jobs of a queue under a version of the configuration, which sends the queue to another
// pool, or an earlier one.
type releaseQueueRequest struct {
	Queue   string
	Version int64
	ID      string
}

func (r releaseQueueRequest) encode(target string) wireCall {
	return wireCall{Op: opReleaseQueue, Pool: target, ID: r.ID, Queue: r.Queue, Version: r.Version}
}

// releaseQueueReply says whether the owner has the job with the request's ID, and whether it has no job of the queue at all.
type releaseQueueReply struct{ Held, Empty bool }

func (r releaseQueueReply) encode() wireResult { return wireResult{Known: r.Held, Empty: r.Empty} }

// workerTerminatedNotice informs an owner that an incarnation of a worker has terminated. The reply is empty.
type workerTerminatedNotice struct {
	Worker string
	// Incarnation is 0 if it isn't known.
	Incarnation int64
}

func (r workerTerminatedNotice) encode(target string) wireCall {
	return wireCall{Op: opWorkerTerminated, Pool: target, Worker: r.Worker, Incarnation: r.Incarnation}
}

// workerAbsentNotice informs an owner that an incarnation of a worker has been on no instance for some time. The reply is empty.
type workerAbsentNotice struct {
	Worker string
	// Incarnation is 0 if it isn't known.
	Incarnation int64
}

func (r workerAbsentNotice) encode(target string) wireCall {
	return wireCall{Op: opWorkerAbsent, Pool: target, Worker: r.Worker, Incarnation: r.Incarnation}
}

// explainRequest asks what a job is running and waiting for.
type explainRequest struct{ ID string }

func (r explainRequest) encode(target string) wireCall {
	return wireCall{Op: opExplain, Pool: target, ID: r.ID}
}

type explainReply struct {
	Known bool
	Job   engine.JobReport
}

func (r explainReply) encode() wireResult { return wireResult{Known: r.Known, Job: &r.Job} }

// explainPlacementRequest asks how a job would be treated if it were submitted.
type explainPlacementRequest struct{ Spec *engine.Spec }

func (r explainPlacementRequest) encode(target string) wireCall {
	return wireCall{Op: opExplainPlacement, Pool: target, Spec: r.Spec}
}

type explainPlacementReply struct{ Placement engine.PlacementReport }

func (r explainPlacementReply) encode() wireResult { return wireResult{Placement: &r.Placement} }

// pingRequest asks for an empty reply.
type pingRequest struct{ From string }

func (r pingRequest) encode(target string) wireCall {
	return wireCall{Op: opPing, Pool: target, From: r.From}
}

// readClaimRequest asks for the version of the claim of a part of the store, as the daemon reads it.
type readClaimRequest struct{ From string }

func (r readClaimRequest) encode(target string) wireCall {
	return wireCall{Op: opReadClaim, Pool: target, From: r.From}
}

// readClaimReply has the version of the claim, which isn't known if the part can't be read.
type readClaimReply struct {
	Known   bool
	Version int64
}

func (r readClaimReply) encode() wireResult { return wireResult{Known: r.Known, ClaimVer: r.Version} }

// laterTermRequest asks whether the daemon knows of a term for a pool with a higher token.
type laterTermRequest struct {
	From  string
	Token int64
}

func (r laterTermRequest) encode(target string) wireCall {
	return wireCall{Op: opLaterTerm, Pool: target, From: r.From, Token: r.Token}
}

type laterTermReply struct {
	Later bool
	// StoreAge is the time since the store last answered the daemon.
	StoreAge time.Duration
}

func (r laterTermReply) encode() wireResult {
	return wireResult{LaterTerm: r.Later, StoreAgeMS: r.StoreAge.Milliseconds()}
}

// unknownRequest is a request of an operation that this version doesn't have.
type unknownRequest struct{ op operation }

func (r unknownRequest) encode(target string) wireCall { return wireCall{Op: r.op, Pool: target} }
