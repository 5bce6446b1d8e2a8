package admin

import (
	"cmp"
	"fmt"
	"time"

	"samphirepoint/fleet"
	"samphirepoint/instance"
	"samphirepoint/wave"
)

// PlanBody is the body of POST /admin/maintenance. Durations use Go syntax, such as 90m.
type PlanBody struct {
	// Operation identifies the request; a resubmission has no further effect.
	Operation string `json:"operation,omitempty"`
	// ID is the id of the wave; by default it is derived from the operation.
	ID     string `json:"id,omitempty"`
	Reason string `json:"reason,omitempty"`
	// DryRun returns the plan without storing it.
	DryRun bool `json:"dryRun,omitempty"`
	// Pools, Instances, Zone and Rack select instances; empty selects the whole fleet.
	Pools     []string `json:"pools,omitempty"`
	Instances []string `json:"instances,omitempty"`
	Zone      string   `json:"zone,omitempty"`
	Rack      string   `json:"rack,omitempty"`
	// RackAtOnce reboots all instances of a rack together.
	RackAtOnce   bool   `json:"rackAtOnce,omitempty"`
	DrainTimeout string `json:"drainTimeout,omitempty"`
	// Length is the time from the start to the deadline.
	Length string `json:"length,omitempty"`
	// NotBefore is the time at which the wave starts automatically.
	NotBefore time.Time `json:"notBefore,omitzero"`
	// Cycle plans the whole fleet over 4 weeks from NotBefore (default: the next midnight UTC), one
	// wave a day.
	Cycle bool `json:"cycle,omitempty"`
}

// PlanReply is the reply to POST /admin/maintenance.
type PlanReply struct {
	DryRun bool         `json:"dryRun,omitempty"`
	Waves  []*wave.Wave `json:"waves"`
	// Blockers lists the pools whose budget allows no maintenance at all.
	Blockers []wave.Wait `json:"blockers,omitempty"`
	// Shortfalls lists the pools that a cycle cannot maintain in time.
	Shortfalls []wave.Shortfall `json:"shortfalls,omitempty"`
}

// WavesReply is the reply to GET /admin/maintenance.
type WavesReply struct {
	Waves []*wave.Wave `json:"waves"`
}

// WaveReply is the reply to GET /admin/maintenance/{id} and to the actions on a wave.
type WaveReply struct {
	Wave *wave.Wave `json:"wave"`
	// Instances lists the instances that the wave is draining or rebooting.
	Instances []instance.Instance `json:"instances"`
}

func (h *fleetHandler) waves(c call) (any, error) {
	waves, err := h.opt.Operations.Waves(c.ctx)
	if err != nil {
		return nil, err
	}
	return WavesReply{Waves: sortBy(waves, func(w *wave.Wave) int64 { return w.Created.UnixNano() })}, nil
}

func (h *fleetHandler) wave(c call) (any, error) {
	waves, err := h.opt.Operations.Waves(c.ctx)
	if err != nil {
		return nil, err
	}
	id := c.request.PathValue("id")
	for _, w := range waves {
		if w.ID == id {
			return WaveReply{Wave: w, Instances: h.instancesInProgress(id)}, nil
		}
	}
	return nil, notFound("no wave %q", id)
}

// instancesInProgress returns the instances that the wave is draining or rebooting, according to the fleet cached by this
// entry.
func (h *fleetHandler) instancesInProgress(id string) []instance.Instance {
	list := []instance.Instance{}
	if f := h.opt.Fleet(); f != nil {
		for _, in := range f.Instances {
			if in.Wave == id {
				list = append(list, in)
			}
		}
	}
	return sortBy(list, func(in instance.Instance) string { return in.ID })
}

func (h *fleetHandler) plan(c call) (any, error) {
	var body PlanBody
	if err := c.decode(&body); err != nil {
		return nil, err
	}
	request, err := h.planRequest(c, body)
	if err != nil {
		return nil, err
	}
	f, doc, err := h.snapshot()
	if err != nil {
		return nil, err
	}
	reply := PlanReply{DryRun: body.DryRun}
	budgets, now := wave.BudgetsOf(doc), h.opt.Now().UTC()
	if body.Cycle {
		settings := wave.DefaultCycle(cmp.Or(body.NotBefore, now.Truncate(24*time.Hour).AddDate(0, 0, 1)))
		plan := wave.Cycle(f, budgets, settings)
		reply.Shortfalls = plan.Shortfalls
		reply.Waves = plan.Waves(request.ID, request, settings, now)
	} else {
		w, err := wave.Plan(f, budgets, request, now)
		if err != nil {
			return nil, err
		}
		reply.Waves = []*wave.Wave{w}
	}
	for _, w := range reply.Waves {
		reply.Blockers = append(reply.Blockers, wave.Blockers(w, f, budgets)...)
	}
	if body.DryRun {
		return reply, nil
	}
	return reply, h.opt.Operations.CreateWaves(c.ctx, reply.Waves...)
}

func (h *fleetHandler) planRequest(c call, body PlanBody) (wave.Request, error) {
	operation, err := c.operationID(body.Operation)
	if err != nil {
		return wave.Request{}, err
	}
	if _, err := c.operationID(body.ID); err != nil {
		return wave.Request{}, badRequest("id %q: expected up to 64 of a-z, 0-9, -, _ and .", body.ID)
	}
	if body.Cycle && (len(body.Pools)+len(body.Instances) > 0 || body.Zone+body.Rack != "" || body.RackAtOnce) {
		return wave.Request{}, badRequest("a cycle covers the whole fleet: leave out pools, instances, zone, rack and rackAtOnce")
	}
	drainTimeout, err := parseDuration("drainTimeout", body.DrainTimeout)
	if err != nil {
		return wave.Request{}, err
	}
	length, err := parseDuration("length", body.Length)
	return wave.Request{
		ID: cmp.Or(body.ID, "w-"+operation[:min(8, len(operation))]), Operation: operation, By: c.operator, Reason: body.Reason,
		Pools: body.Pools, Instances: body.Instances, Zone: body.Zone, Rack: body.Rack, RackAtOnce: body.RackAtOnce,
		DrainTimeout: drainTimeout, Length: length, NotBefore: body.NotBefore,
	}, err
}

// parseDuration parses a positive duration. An empty text gives 0, which selects the default.
func parseDuration(name, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, badRequest("%s %q: expected a positive duration such as 90m", name, text)
	}
	return d, nil
}

func (h *fleetHandler) changeWave(c call) (any, error) {
	action := fleet.WaveAction(c.request.PathValue("action"))
	switch action {
	case fleet.ActionStart, fleet.ActionPause, fleet.ActionResume, fleet.ActionCancel:
	default:
		return nil, notFound("unknown action %q: expected %s", action,
			fmt.Sprintf("%s, %s, %s or %s", fleet.ActionStart, fleet.ActionPause, fleet.ActionResume, fleet.ActionCancel))
	}
	w, err := h.opt.Operations.ChangeWave(c.ctx, c.request.PathValue("id"), action, c.operator)
	if err != nil {
		return nil, err
	}
	return WaveReply{Wave: &w, Instances: h.instancesInProgress(w.ID)}, nil
}
