package quota

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirepoint/engine"
	"samphirepoint/observe"
	"samphirepoint/rows"
	"samphirepoint/verdict"
)

// shareKey names a shard's share of a workspace's cap.
type shareKey struct{ shard, workspace string }

// shardPart names a shard and a part of the table.
type shardPart struct{ shard, part string }

// unresolvedWrite stands for the writes of a share that the store may still execute, as long as the row has the version that they replace.
type unresolvedWrite struct {
	replaces int64
	// granted is the least that one of them grants, of each resource.
	granted engine.Resources
}

// change is a share to be written.
type change struct {
	workspace string
	base      storedLedger
	share     Share
	demand    engine.WorkspaceDemand
	// uncertain is set if the write got no answer.
	uncertain bool
}

// plan returns the shares of a shard that are to be written now, by part.
func (k *Keeper) plan(shard string, token int64, caps map[string]engine.Resources, demands map[string]engine.WorkspaceDemand) map[string][]change {
	out := map[string][]change{}
	now, interval := k.settings.Now(), k.interval()
	bytes := map[string]int{}
	for _, workspace := range shuffled(caps) {
		part, base := partOf(workspace), k.ledger(workspace)
		if at, ok := k.wroteAt[shardPart{shard, part}]; ok && now-at < interval || len(out[part]) == maxRows || bytes[part]+base.bytes > batchBytes {
			continue
		}
		if base.unreadable || base.Shares[shard].Token > token {
			continue // Unknown, or another daemon owns the shard.
		}
		d := demands[workspace]
		share, changed := base.Plan(shard, token, caps[workspace], d, time.Now().UnixMilli())
		_, unresolved := k.unresolved[shareKey{shard, workspace}]
		if changed || unresolved {
			bytes[part] += base.bytes
			out[part] = append(out[part], change{workspace: workspace, base: base, share: share, demand: d})
		}
	}
	for part := range out {
		k.wroteAt[shardPart{shard, part}] = now
	}
	return out
}

// shuffled returns the workspaces in random order: a transaction may not have room for all, and each has to get its turn.
func shuffled(caps map[string]engine.Resources) []string {
	list := slices.Collect(maps.Keys(caps))
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// lower lowers the allotments whose share shrinks, before that is written, and raises these shares to what is in use.
func (k *Keeper) lower(ctx context.Context, shard string, s Shard, caps map[string]engine.Resources, changes map[string][]change) error {
	limits := map[string]engine.Resources{}
	forEachChange(changes, func(c *change) {
		if !c.share.Granted.Covers(c.base.Shares[shard].Granted) {
			limits[c.workspace] = limitOf(c.share.Granted, caps[c.workspace])
		}
	})
	if len(limits) == 0 {
		return nil
	}
	inForce, err := s.LowerAllotments(ctx, limits)
	if err != nil {
		return err
	}
	forEachChange(changes, func(c *change) {
		if limit, ok := inForce[c.workspace]; ok {
			c.share.Granted = grantedOf(limit, caps[c.workspace])
		}
	})
	return nil
}

func forEachChange(changes map[string][]change, fn func(*change)) {
	for _, batch := range changes {
		for i := range batch {
			fn(&batch[i])
		}
	}
}

// limitOf returns the limit for a share. A resource without a cap is not limited.
func limitOf(granted, limit engine.Resources) engine.Resources {
	return whereCapped(granted, limit, engine.Unlimited)
}

// grantedOf returns the share for a limit.
func grantedOf(inForce, limit engine.Resources) engine.Resources {
	return whereCapped(inForce, limit, 0)
}

// whereCapped returns the values of the capped resources, and another value for the others.
func whereCapped(values, limit engine.Resources, otherwise int64) engine.Resources {
	for _, r := range resources {
		if *r(&limit) == 0 {
			*r(&values) = otherwise
		}
	}
	return values
}

// partOf returns the part with a workspace's row.
func partOf(workspace string) string {
	return strconv.FormatUint(xxhash.Sum64String(workspace)%parts, 10)
}

// transactionFor returns the transaction that writes the shares of one part, and the rows after it, without their version.
func transactionFor(shard string, batch []change) (rows.Tx, []rows.Row, error) {
	tx := rows.Tx{}
	var next []rows.Row
	for i := range batch {
		c := &batch[i]
		value, err := json.Marshal(c.ledgerAfter(shard))
		if err != nil {
			return rows.Tx{}, nil, err
		}
		key := rows.Key{Table: Table, Part: partOf(c.workspace), Name: c.workspace}
		tx.Expected = append(tx.Expected, rows.Condition{Key: key, Ver: c.base.ver})
		tx.Writes = append(tx.Writes, rows.Write{Key: key, Value: value})
		next = append(next, rows.Row{Key: key, Value: value})
	}
	return tx, next, nil
}

// ledgerAfter returns the ledger with the changed share. A share of nothing that wants nothing is left out.
func (c *change) ledgerAfter(shard string) Ledger {
	l := Ledger{Shares: maps.Clone(c.base.Shares)}
	if l.Shares == nil {
		l.Shares = map[string]Share{}
	}
	l.Shares[shard] = c.share
	if c.share.Granted == (engine.Resources{}) && c.share.Wanted == (engine.Resources{}) {
		delete(l.Shares, shard)
	}
	return l
}

// write writes the shares of one part in one transaction, and applies what the store says of the rows.
func (k *Keeper) write(ctx context.Context, shard string, batch []change) error {
	tx, next, err := transactionFor(shard, batch)
	if err != nil {
		return err
	}
	ver, err := k.settings.Store.Transact(ctx, tx)
	var conflict *rows.Conflict
	switch {
	case err == nil:
		observe.Count("quota.writes")
		for i := range next {
			next[i].Ver = ver
		}
		k.apply(next)
		k.logWritten(shard, batch)
		return nil
	case errors.As(err, &conflict):
		observe.Count("quota.conflicts")
		k.applyConflict(conflict)
		k.Wake()
		return nil
	}
	observe.Count("quota.failures")
	if !verdict.Is(err, verdict.NotRun) {
		for i := range batch {
			batch[i].uncertain = true
		}
	}
	return err
}

func (k *Keeper) logWritten(shard string, batch []change) {
	for i := range batch {
		c := &batch[i]
		k.settings.Log.Info().Str("shard", shard).Str("workspace", c.workspace).Int64("grantedCPU", c.share.Granted.CPU).Int64("grantedMem", c.share.Granted.Mem).
			Int64("usedCPU", c.demand.Used.CPU).Int64("wantedCPU", c.demand.Wanted.CPU).Int64("formerCPU", c.base.Shares[shard].Granted.CPU).Msg("allotment written")
	}
}

// noteUnresolved records the writes without an answer, and forgets those that the store can no longer execute.
func (k *Keeper) noteUnresolved(shard string, changes map[string][]change) {
	forEachChange(changes, func(c *change) {
		if c.uncertain {
			k.addUnresolved(shareKey{shard, c.workspace}, unresolvedWrite{replaces: c.base.ver, granted: c.share.Granted})
		}
	})
	for e, w := range k.unresolved {
		if k.ledger(e.workspace).ver > w.replaces {
			delete(k.unresolved, e)
		}
	}
}

// addUnresolved records a write without an answer. The store may still execute any one of those that replace the same version.
func (k *Keeper) addUnresolved(key shareKey, w unresolvedWrite) {
	if former, ok := k.unresolved[key]; ok && former.replaces == w.replaces {
		w.granted = w.granted.Min(former.granted)
	}
	k.unresolved[key] = w
}
