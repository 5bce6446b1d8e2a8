package cluster

import (
	"time"

	"samphirepoint/engine"
	"samphirepoint/owner"
)

// wireCall is the form in which daemons send each other requests. Fields are only ever added, and an operation keeps the fields that it
// uses, as daemons of two versions call each other while an update is rolled out. Messages of each operation are in messages.go.
type wireCall struct {
	Op operation `json:"op"`
	// Pool is the shard that the request concerns, or the part of the store or the role.
	Pool        string       `json:"pool"`
	Spec        *engine.Spec `json:"spec,omitempty"`
	ID          string       `json:"id,omitempty"`
	Queue       string       `json:"queue,omitempty"`
	Workspace   string       `json:"workspace,omitempty"`
	Version     int64        `json:"version,omitempty"`
	Worker      string       `json:"worker,omitempty"`
	Incarnation int64        `json:"born,omitempty"`
	Workers     []string     `json:"workers,omitempty"`
	DurationMS  int64        `json:"forMS,omitempty"`
	Token       int64        `json:"token,omitempty"`
	From        string       `json:"from,omitempty"`
	// NoStoreAccess is set if the store does not serve the sender.
	NoStoreAccess bool `json:"storeless,omitempty"`
}

// wireResult is the form of the response to a successful request.
type wireResult struct {
	Known      bool                    `json:"known,omitempty"`
	State      engine.State            `json:"state,omitempty"`
	Waiting    int                     `json:"waiting,omitempty"`
	Empty      bool                    `json:"empty,omitempty"`
	ClaimVer   int64                   `json:"claimVer,omitempty"`
	ClaimPart  string                  `json:"claimPart,omitempty"`
	StoreAgeMS int64                   `json:"storeAge,omitempty"`
	LaterTerm  bool                    `json:"laterTerm,omitempty"`
	Report     *engine.PoolReport      `json:"report,omitempty"`
	Job        *engine.JobReport       `json:"job,omitempty"`
	Placement  *engine.PlacementReport `json:"placement,omitempty"`
}

// operation names the operation of a request.
type operation string

const (
	opSubmit           operation = "submit"
	opState            operation = "state"
	opCancel           operation = "cancel"
	opWaiting          operation = "waiting"
	opCordon           operation = "cordon"
	opUpkeepDue        operation = "due"
	opClaim            operation = "take"
	opOwner            operation = "owner"
	opReport           operation = "report"
	opReleaseQueue     operation = "release"
	opWorkerTerminated operation = "gone"
	opWorkerAbsent     operation = "absent"
	opExplain          operation = "explain"
	opExplainPlacement operation = "explain-placement"
	opPing             operation = "ping"
	opReadClaim        operation = "claim"
	opLaterTerm        operation = "later"
)

// decode returns the request of the call's operation.
func (c *wireCall) decode() request {
	duration := time.Duration(c.DurationMS) * time.Millisecond
	job := JobRef{Queue: c.Queue, ID: c.ID, Workspace: c.Workspace}
	switch c.Op {
	case opSubmit:
		return submitRequest{Spec: c.Spec}
	case opState:
		return stateRequest{job}
	case opCancel:
		return cancelRequest{job}
	case opWaiting:
		return waitingRequest{Queue: c.Queue}
	case opCordon:
		return cordonRequest{Worker: c.Worker, Duration: duration}
	case opUpkeepDue:
		return upkeepDueRequest{Workers: c.Workers, Duration: duration}
	case opClaim:
		return claimRequest{From: c.From, Token: c.Token, NoStoreAccess: c.NoStoreAccess}
	case opOwner:
		return ownerNotice{From: c.From, Token: c.Token}
	case opReport:
		return reportRequest{}
	case opReleaseQueue:
		return releaseQueueRequest{Queue: c.Queue, Version: c.Version, ID: c.ID}
	case opWorkerTerminated:
		return workerTerminatedNotice{Worker: c.Worker, Incarnation: c.Incarnation}
	case opWorkerAbsent:
		return workerAbsentNotice{Worker: c.Worker, Incarnation: c.Incarnation}
	case opExplain:
		return explainRequest{ID: c.ID}
	case opExplainPlacement:
		return explainPlacementRequest{Spec: c.Spec}
	case opPing:
		return pingRequest{From: c.From}
	case opReadClaim:
		return readClaimRequest{From: c.From}
	case opLaterTerm:
		return laterTermRequest{From: c.From, Token: c.Token}
	}
	return unknownRequest{op: c.Op}
}

func (r *wireResult) stateReply() stateReply { return stateReply{Known: r.Known, State: r.State} }

func (r *wireResult) cordonAnswer() owner.CordonAnswer {
	return owner.CordonAnswer{Empty: r.Empty, Known: r.Known, ClaimVer: r.ClaimVer, Part: r.ClaimPart}
}

func (r *wireResult) releaseQueueReply() releaseQueueReply {
	return releaseQueueReply{Held: r.Known, Empty: r.Empty}
}

func (r *wireResult) readClaimReply() readClaimReply {
	return readClaimReply{Known: r.Known, Version: r.ClaimVer}
}

func (r *wireResult) laterTermReply() laterTermReply {
	return laterTermReply{Later: r.LaterTerm, StoreAge: time.Duration(r.StoreAgeMS) * time.Millisecond}
}
