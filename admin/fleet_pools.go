package admin

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"samphirepoint/fleet"
	"samphirepoint/instance"
	"samphirepoint/table"
	"samphirepoint/verdict"
	"samphirepoint/wave"
)

// Pool is the description of a pool in replies.
type Pool struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	Spare  bool   `json:"spare,omitempty"`
	// Queues lists the queues that may use the pool.
	Queues    []string `json:"queues"`
	Instances int      `json:"instances"`
	Serving   int      `json:"serving"`
	Slots     int      `json:"slots"`
	// Unavailable lists the instances that are draining, rebooting, moving away or failed.
	Unavailable []string `json:"out"`
	// Budget is the maximum number of instances that may be unavailable at the same time, as required by Backer; -1 if no
	// queue uses the pool.
	Budget int    `json:"budget"`
	Backer string `json:"backer,omitempty"`
	// Members lists the instances; it is set only in the reply for a single pool.
	Members []instance.Instance `json:"members,omitempty"`
}

// PoolsReply is the reply to GET /admin/pools.
type PoolsReply struct {
	FleetVersion int64  `json:"fleetVersion"`
	Pools        []Pool `json:"pools"`
}

// MoveBody is the body of the routes move, grow and shrink of a pool.
type MoveBody struct {
	// Operation identifies the request; a resubmission returns the moves of the first one.
	Operation string `json:"operation,omitempty"`
	Reason    string `json:"reason,omitempty"`
	// DryRun returns the moves without creating them.
	DryRun bool `json:"dryRun,omitempty"`
	// Instances lists the instances to move to the pool (route move).
	Instances []string `json:"instances,omitempty"`
	// Count is the number of instances to move (routes grow and shrink).
	Count int `json:"count,omitempty"`
	// OtherPool is the source pool (route grow) or the target pool (route shrink); the first spare pool by default.
	OtherPool string `json:"other,omitempty"`
}

// MovesReply is the reply of the routes that create or list moves.
type MovesReply struct {
	DryRun bool          `json:"dryRun,omitempty"`
	Moves  []*fleet.Move `json:"moves"`
	// Warnings lists the conditions that delay the start of moves.
	Warnings []string `json:"warnings,omitempty"`
}

func (h *fleetHandler) pools(call) (any, error) {
	f, doc, err := h.snapshot()
	if err != nil {
		return nil, err
	}
	reply := PoolsReply{FleetVersion: f.Version}
	budgets := wave.BudgetsOf(doc)
	names := map[string]bool{}
	for _, p := range doc.Pools {
		names[p.Name] = true
		reply.Pools = append(reply.Pools, describePool(f, doc, budgets, p))
	}
	// Instances may still belong to a pool that was removed from the table.
	for _, in := range f.Instances {
		if !names[in.Pool] {
			names[in.Pool] = true
			reply.Pools = append(reply.Pools, describePool(f, doc, budgets, table.Pool{Name: in.Pool}))
		}
	}
	return reply, nil
}

func (h *fleetHandler) pool(c call) (any, error) {
	f, doc, err := h.snapshot()
	if err != nil {
		return nil, err
	}
	p, err := h.findPool(doc, c.request.PathValue("pool"))
	if err != nil {
		return nil, err
	}
	d := describePool(f, doc, wave.BudgetsOf(doc), p)
	d.Members = sortBy(f.Pool(p.Name), func(in instance.Instance) string { return in.ID })
	return d, nil
}

func (h *fleetHandler) findPool(doc *table.Document, name string) (table.Pool, error) {
	if p, ok := doc.Pool(name); ok {
		return p, nil
	}
	var names []string
	for _, p := range doc.Pools {
		names = append(names, p.Name)
	}
	return table.Pool{}, notFound("no pool %q in the accepted table, version %d: expected one of %s", name, doc.Version, strings.Join(names, ", "))
}

func describePool(f *instance.Fleet, doc *table.Document, budgets wave.Budgets, p table.Pool) Pool {
	d := Pool{Name: p.Name, Region: p.Region, Spare: p.Spare, Queues: []string{}, Unavailable: wave.UnavailableInstances(f, p.Name), Budget: -1}
	if d.Unavailable == nil {
		d.Unavailable = []string{}
	}
	if b := budgets.Of(p.Name); b.Limit != wave.Unlimited {
		d.Budget, d.Backer = b.Limit, b.Backer
	}
	for _, q := range doc.Queues {
		if slices.Contains(q.Pools, p.Name) {
			d.Queues = append(d.Queues, q.Name)
		}
	}
	for _, in := range f.Pool(p.Name) {
		d.Instances++
		d.Slots += in.Slots
		if in.State == instance.Serving {
			d.Serving++
		}
	}
	return d
}

// move creates moves of the given instances to the pool. An instance of the platform's list that has no row yet is
// registered in the pool.
func (h *fleetHandler) move(c call) (any, error) {
	return h.createMoves(c, func(f *instance.Fleet, _ *table.Document, pool string, body MoveBody) ([]fleet.Move, error) {
		if len(body.Instances) == 0 {
			return nil, badRequest("instances is empty: expected the instances to move to pool %q", pool)
		}
		var moves []fleet.Move
		for _, id := range body.Instances {
			from := f.Instances[id].Pool
			if from == pool {
				return nil, badRequest("instance %q is already in pool %q", id, pool)
			}
			moves = append(moves, fleet.Move{Instance: id, From: from, To: pool})
		}
		return moves, nil
	})
}

func (h *fleetHandler) grow(c call) (any, error) {
	return h.createMoves(c, func(f *instance.Fleet, doc *table.Document, pool string, body MoveBody) ([]fleet.Move, error) {
		return h.pickMoves(c, f, doc, body, pool, func(other string) (from, to string) { return other, pool })
	})
}

func (h *fleetHandler) shrink(c call) (any, error) {
	return h.createMoves(c, func(f *instance.Fleet, doc *table.Document, pool string, body MoveBody) ([]fleet.Move, error) {
		return h.pickMoves(c, f, doc, body, pool, func(other string) (from, to string) { return pool, other })
	})
}

// pickMoves selects body.Count serving instances without a pending move and returns their moves. direction returns the source
// and target pool of the moves, given the other pool.
func (h *fleetHandler) pickMoves(c call, f *instance.Fleet, doc *table.Document, body MoveBody, pool string, direction func(string) (string, string)) ([]fleet.Move, error) {
	if body.Count < 1 {
		return nil, badRequest("count is %d: expected at least 1", body.Count)
	}
	other, err := h.otherPool(doc, body.OtherPool, pool)
	if err != nil {
		return nil, err
	}
	existing, err := h.opt.Operations.Moves(c.ctx)
	if err != nil {
		return nil, err
	}
	moving := map[string]bool{}
	for _, m := range existing {
		if !m.Status.Ended() {
			moving[m.Instance] = true
		}
	}
	from, to := direction(other)
	var moves []fleet.Move
	for range body.Count {
		in, ok := fleet.PickInstance(f, from, to, moving)
		if !ok {
			return nil, verdict.New(verdict.NotRun, http.StatusConflict, "pool %q has %d serving instances that are not moving yet, %d are requested", from, len(moves), body.Count)
		}
		moving[in.ID] = true
		moves = append(moves, fleet.Move{Instance: in.ID, From: from, To: to})
	}
	return moves, nil
}

// otherPool returns the named pool, or the first spare pool other than pool if name is empty.
func (h *fleetHandler) otherPool(doc *table.Document, name, pool string) (string, error) {
	if name != "" {
		p, err := h.findPool(doc, name)
		if err == nil && p.Name == pool {
			err = badRequest("pool %q cannot exchange instances with itself", pool)
		}
		return p.Name, err
	}
	for _, p := range doc.Pools {
		if p.Spare && p.Name != pool {
			return p.Name, nil
		}
	}
	return "", badRequest("the table has no other spare pool: specify the other pool")
}

// chooseMoves returns the moves that a request creates.
type chooseMoves func(f *instance.Fleet, doc *table.Document, pool string, body MoveBody) ([]fleet.Move, error)

// createMoves stores the moves that choose returns, with ids derived from the operation id. A resubmission of the operation
// returns the moves of the first attempt.
func (h *fleetHandler) createMoves(c call, choose chooseMoves) (any, error) {
	var body MoveBody
	if err := c.decode(&body); err != nil {
		return nil, err
	}
	operation, err := c.operationID(body.Operation)
	if err != nil {
		return nil, err
	}
	f, doc, err := h.snapshot()
	if err != nil {
		return nil, err
	}
	pool, err := h.findPool(doc, c.request.PathValue("pool"))
	if err != nil {
		return nil, err
	}
	if existing, err := h.movesOfOperation(c, operation); err != nil || len(existing) > 0 {
		return MovesReply{Moves: existing}, err
	}
	chosen, err := choose(f, doc, pool.Name, body)
	if err != nil {
		return nil, err
	}
	reply := MovesReply{DryRun: body.DryRun}
	for i := range chosen {
		m := &chosen[i]
		m.ID, m.By, m.Reason = fmt.Sprintf("%s-%d", operation, i+1), c.operator, body.Reason
		m.Created, m.Status = h.opt.Now().UTC(), fleet.MovePending
		reply.Moves = append(reply.Moves, m)
	}
	reply.Warnings = moveWarnings(f, doc, chosen)
	if body.DryRun {
		return reply, nil
	}
	return reply, h.opt.Operations.CreateMoves(c.ctx, chosen...)
}

// movesOfOperation returns the moves that an earlier attempt of the operation created.
func (h *fleetHandler) movesOfOperation(c call, operation string) ([]*fleet.Move, error) {
	all, err := h.opt.Operations.Moves(c.ctx)
	return slices.DeleteFunc(all, func(m *fleet.Move) bool {
		number := strings.TrimPrefix(m.ID, operation+"-")
		return number == m.ID || strings.Contains(number, "-")
	}), err
}

// moveWarnings describes the budgets and instance states that delay moves.
func moveWarnings(f *instance.Fleet, doc *table.Document, moves []fleet.Move) []string {
	var list []string
	budgets := wave.BudgetsOf(doc)
	warned := map[string]bool{}
	for _, m := range moves {
		in, ok := f.Instances[m.Instance]
		b, unavailable := budgets.Of(in.Pool), wave.UnavailableInstances(f, in.Pool)
		switch {
		case !ok:
			list = append(list, fmt.Sprintf("instance %s has no row yet; it is registered in pool %s once the platform lists it as live", m.Instance, m.To))
		case in.State != instance.Serving:
			list = append(list, fmt.Sprintf("instance %s is %s; the move waits until it is serving", m.Instance, in.State))
		case len(unavailable) >= b.Limit && !warned[in.Pool]:
			warned[in.Pool] = true
			list = append(list, fmt.Sprintf("pool %s has %d unavailable instances, budget %d (backer %s); the moves wait", in.Pool, len(unavailable), b.Limit, b.Backer))
		}
	}
	return list
}

func (h *fleetHandler) moves(c call) (any, error) {
	all, err := h.opt.Operations.Moves(c.ctx)
	if err != nil {
		return nil, err
	}
	return MovesReply{Moves: sortBy(all, func(m *fleet.Move) int64 { return m.Created.UnixNano() })}, nil
}

func (h *fleetHandler) cancelMove(c call) (any, error) {
	return h.opt.Operations.CancelMove(c.ctx, c.request.PathValue("id"), c.operator)
}
