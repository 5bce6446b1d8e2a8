package owner

import (
	"context"

	"samphirepoint/engine"
)

// WorkspaceDemands returns the demand of the workspaces that have any.
func (o *Owner) WorkspaceDemands(ctx context.Context) (map[string]engine.WorkspaceDemand, error) {
	var out map[string]engine.WorkspaceDemand
	err := o.WithState(ctx, func(p *engine.Pool, c engine.Clock) { out = p.WorkspaceDemands(c) })
	return out, err
}

// LowerAllotments lowers the allotments of some workspaces, but not below what they have running, and returns the limits in force.
func (o *Owner) LowerAllotments(ctx context.Context, limits map[string]engine.Resources) (map[string]engine.Resources, error) {
	var out map[string]engine.Resources
	err := o.WithState(ctx, func(p *engine.Pool, _ engine.Clock) { out = p.LowerAllotments(limits) })
	return out, err
}

// SetAllotments replaces the allotments of some workspaces.
func (o *Owner) SetAllotments(list map[string]engine.Allotment) {
	o.post(func() { o.pool.SetAllotments(list) })
}
