package owner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"samphirepoint/engine"
	"samphirepoint/observe"
	"samphirepoint/rows"
	"samphirepoint/sleep"
	"samphirepoint/verdict"
)

const (
	// loadTimeout bounds one attempt to load the pool.
	loadTimeout = 3 * time.Second
	// loadRetryDelay is the delay after a failed attempt to load the pool.
	loadRetryDelay = 100 * time.Millisecond
	// maxLoadWait bounds how long a call waits for the load. The rest of acceptTimeout is left for the commit of its change.
	maxLoadWait = 700 * time.Millisecond
	// loadSilence is the time without an answer of the store after which calls don't wait for the load. A slow store answers each read
	// and write within half of it.
	loadSilence = 2 * storeFailureGrace
)

// awaitLoaded waits until the pool is loaded. It fails with verdict not-run if that takes too long, and at once if the store is silent or
// fails: nothing is known of the pool's jobs and nothing is written until then.
func (o *Owner) awaitLoaded(ctx context.Context) error {
	select {
	case <-o.loaded:
		return nil
	default:
	}
	limit := time.NewTimer(maxLoadWait)
	defer limit.Stop()
	poll := time.NewTicker(storeFailureGrace / 2)
	defer poll.Stop()
	for {
		if now := o.settings.Now(); o.primary.loadSilentFor(loadSilence, now) || o.standby.loadSilentFor(loadSilence, now) {
			return errStoreUnavailable()
		}
		select {
		case <-o.loaded:
			return nil
		case <-o.ctx.Done():
			return notOwner(o.settings.Pool)
		case <-poll.C:
			continue
		case <-limit.C:
		case <-ctx.Done():
		}
		return verdict.Unavailable(storeRetryAfter, "pool %s is still loading", o.settings.Pool)
	}
}

// duringLoad makes a call of the load to the part, and records since when the part has not answered one with success.
func (o *Owner) duringLoad(part *storePart, call func() error) error {
	part.loadCallAt.CompareAndSwap(0, max(1, int64(o.settings.Now())))
	err := call()
	if err == nil {
		part.loadCallAt.Store(0)
	}
	return err
}

// loadSilentFor reports whether a call of the load has lasted or failed for longer than d.
func (p *storePart) loadSilentFor(d, now time.Duration) bool {
	at := time.Duration(p.loadCallAt.Load())
	return at != 0 && now-at > d
}

// readForLoad reads the part's rows of a table.
func (o *Owner) readForLoad(ctx context.Context, table string, part *storePart) (list []rows.Row, err error) {
	err = o.duringLoad(part, func() error {
		list, _, err = o.settings.Store.Read(ctx, table, part.name)
		return err
	})
	return list, err
}

// load reads the pool's rows, retrying until it succeeds, the owner is stopped or the pool has another owner.
func (o *Owner) load() error {
	for {
		err := o.loadOnce()
		if err == nil || o.ctx.Err() != nil || errors.Is(err, ErrOwnershipLost) {
			return err
		}
		o.settings.Log.Warn().Str("pool", o.settings.Pool).Err(err).Msg("failed to read rows; retrying")
		if err := sleep.Context(o.ctx, loadRetryDelay); err != nil {
			return err
		}
	}
}

// loadOnce claims the standby part and reads the rows of both parts. The primary part was claimed before, so it may be read at once; what a
// former owner still writes to the standby part is there before that part is read.
func (o *Owner) loadOnce() error {
	ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
	defer cancel()
	var primary, standby map[string]partRows
	g, both := errgroup.WithContext(ctx)
	g.Go(func() (err error) {
		primary, err = o.readPart(both, o.primary)
		return err
	})
	g.Go(func() (err error) {
		if err := o.claimStandby(both); err != nil {
			return err
		}
		standby, err = o.readPart(both, o.standby)
		return err
	})
	if err := g.Wait(); err != nil {
		return err
	}
	o.pool = engine.NewPool(o.settings.Pool, o.settings.Token, o.settings.Options, o.settings.Now())
	o.pool.ClaimConfirmed(o.claimedAt)
	if o.settings.Workspaces != nil {
		o.pool.SetWorkspaces(o.settings.Workspaces)
	}
	o.awaitKnownToAll()
	for id, r := range primary {
		if err := o.loadJob(id, r, standby[id]); err != nil {
			return err
		}
		delete(standby, id)
	}
	for id, r := range standby {
		if err := o.loadJob(id, partRows{}, r); err != nil {
			return err
		}
	}
	return o.cordonOpenOrders(ctx)
}

// claimStandby claims the standby part under the token of the pool's claim. It fails if the claim has changed meanwhile.
func (o *Owner) claimStandby(ctx context.Context) error {
	self := Claim{Token: o.settings.Token, Attempt: o.term}
	list, err := o.readForLoad(ctx, TableOwners, o.standby)
	if err != nil {
		return err
	}
	present, ver := PresentClaim(ClaimKey(o.standby.name), list)
	switch {
	case present.Token > self.Token:
		return ErrOwnershipLost
	case present == self:
		o.standby.claimVer = ver
		return nil
	}
	return o.duringLoad(o.standby, func() error {
		o.standby.claimVer, err = WriteClaim(ctx, o.settings.Store, o.standby.name, ver, self)
		return err
	})
}

// awaitKnownToAll allows for former owners that don't know of this daemon, or not any more.
func (o *Owner) awaitKnownToAll() {
	if o.settings.KnownToAll != nil {
		o.pool.AwaitLeasesFrom(o.settings.KnownToAll())
	}
}

// partRows are the rows of a job in one part.
type partRows struct {
	record   *engine.Record
	spec     *engine.Spec
	segments map[string]engine.SegmentRecord
	// unreadable is set if some row can't be decoded.
	unreadable bool
}

// readPart reads the jobs of a part by ID.
func (o *Owner) readPart(ctx context.Context, part *storePart) (map[string]partRows, error) {
	// The version is read first, so that a transaction during the reads that follow makes this owner's first one conflict.
	if err := o.duringLoad(part, func() error { return part.readLastVersion(ctx, o.settings.Store) }); err != nil {
		return nil, err
	}
	specs, err := o.readForLoad(ctx, TableSpecs, part)
	if err != nil {
		return nil, err
	}
	records, err := o.readForLoad(ctx, TableJobs, part)
	if err != nil {
		return nil, err
	}
	out := map[string]partRows{}
	unreadable := map[string]bool{}
	for _, r := range specs {
		var s engine.Spec
		if err := json.Unmarshal(r.Value, &s); err != nil {
			o.noteUnreadable(unreadable, r, err)
		}
		out[r.Name] = partRows{spec: &s}
	}
	for _, r := range records {
		if err := addRecord(out, r); err != nil {
			o.noteUnreadable(unreadable, r, err)
		}
	}
	for id := range unreadable {
		out[id] = partRows{unreadable: true}
	}
	return out, nil
}

// noteUnreadable records that a job is left out, as one of its rows can't be decoded. The other jobs of the pool go on.
func (o *Owner) noteUnreadable(ids map[string]bool, row rows.Row, err error) {
	id, _ := engine.JobOfRow(row.Name)
	ids[id] = true
	observe.Count("rows.unreadable")
	o.settings.Log.Error().Str("pool", o.settings.Pool).Str("job", id).Str("table", row.Table).Str("part", row.Part).Str("row", row.Name).Err(err).
		Msg("unreadable row; its job is left out")
}

// addRecord adds a row of the table of jobs, which is the record of a job or one of its segments.
func addRecord(jobs map[string]partRows, row rows.Row) error {
	id, isSegment := engine.JobOfRow(row.Name)
	job := jobs[id]
	defer func() { jobs[id] = job }()
	if !isSegment {
		job.record = &engine.Record{}
		return json.Unmarshal(row.Value, job.record)
	}
	if job.segments == nil {
		job.segments = map[string]engine.SegmentRecord{}
	}
	var segment engine.SegmentRecord
	err := json.Unmarshal(row.Value, &segment)
	job.segments[row.Name] = segment
	return err
}

// loadJob restores a job from its rows in both parts.
func (o *Owner) loadJob(id string, primary, standby partRows) error {
	if primary.unreadable || standby.unreadable {
		return nil // What is readable may be out of date, so that tasks would run again.
	}
	copies := engine.Copies{
		Primary: primary.record, PrimarySpec: primary.spec, PrimarySegments: primary.segments,
		Standby: standby.record, StandbySpec: standby.spec, StandbySegments: standby.segments,
	}
	rec, spec := copies.Newest()
	if rec != nil && spec == nil && !rec.State.Terminal() {
		// Both rows are written and removed in one transaction, but are read by two calls.
		return fmt.Errorf("job %s: spec is missing; both rows must be read again", id)
	}
	o.pool.LoadCopies(id, copies, o.clock())
	return nil
}
