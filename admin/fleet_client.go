package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"samphirepoint/fleet"
)

// Caller sends a request with an optional JSON body to an entry and decodes the JSON reply into out. A write may be sent
// more than once; the operation id in its body makes it idempotent.
type Caller interface {
	Do(ctx context.Context, method, path string, in, out any) error
}

// Do implements Caller.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	return c.doJSON(ctx, method, path, "", body, out)
}

// FleetClient calls the routes of pools, moves and maintenance.
type FleetClient struct{ Caller }

// Pools returns all pools without their instances.
func (c FleetClient) Pools(ctx context.Context) (*PoolsReply, error) {
	var r PoolsReply
	return &r, c.Do(ctx, http.MethodGet, PathPools, nil, &r)
}

// Pool returns a pool with its instances.
func (c FleetClient) Pool(ctx context.Context, name string) (*Pool, error) {
	var r Pool
	return &r, c.Do(ctx, http.MethodGet, PathPools+"/"+url.PathEscape(name), nil, &r)
}

// Move requests moves through the route move, grow or shrink of the pool.
func (c FleetClient) Move(ctx context.Context, pool, route string, body MoveBody) (*MovesReply, error) {
	if body.Operation == "" {
		body.Operation = strings.ToLower(NewOperation())
	}
	var r MovesReply
	return &r, c.Do(ctx, http.MethodPost, PathPools+"/"+url.PathEscape(pool)+"/"+route, body, &r)
}

// Moves returns the moves of the last day.
func (c FleetClient) Moves(ctx context.Context) (*MovesReply, error) {
	var r MovesReply
	return &r, c.Do(ctx, http.MethodGet, PathMoves, nil, &r)
}

// CancelMove cancels a move that has not ended.
func (c FleetClient) CancelMove(ctx context.Context, id string) (*fleet.Move, error) {
	var r fleet.Move
	return &r, c.Do(ctx, http.MethodDelete, PathMoves+"/"+url.PathEscape(id), nil, &r)
}

// Plan creates a wave; with DryRun it returns the planned wave without creating it.
func (c FleetClient) Plan(ctx context.Context, body PlanBody) (*PlanReply, error) {
	if body.Operation == "" {
		body.Operation = strings.ToLower(NewOperation())
	}
	var r PlanReply
	return &r, c.Do(ctx, http.MethodPost, PathMaintenance, body, &r)
}

// Waves returns all waves that ended within the last 35 days or have not ended.
func (c FleetClient) Waves(ctx context.Context) (*WavesReply, error) {
	var r WavesReply
	return &r, c.Do(ctx, http.MethodGet, PathMaintenance, nil, &r)
}

// Wave returns one wave with the instances that it is draining or rebooting.
func (c FleetClient) Wave(ctx context.Context, id string) (*WaveReply, error) {
	var r WaveReply
	return &r, c.Do(ctx, http.MethodGet, PathMaintenance+"/"+url.PathEscape(id), nil, &r)
}

// ChangeWave starts, pauses, resumes or cancels a wave. Repeating an action that has already taken effect succeeds.
func (c FleetClient) ChangeWave(ctx context.Context, id string, action fleet.WaveAction) (*WaveReply, error) {
	var r WaveReply
	return &r, c.Do(ctx, http.MethodPost, PathMaintenance+"/"+url.PathEscape(id)+"/"+string(action), nil, &r)
}
