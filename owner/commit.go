package owner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"samphirepoint/engine"
	"samphirepoint/observe"
	"samphirepoint/rows"
	"samphirepoint/sleep"
	"samphirepoint/verdict"
)

const (
	// commitTimeout is how long one try of a transaction may take.
	commitTimeout = 900 * time.Millisecond
	// commitRetry is the pause after a try that failed.
	commitRetry = 60 * time.Millisecond
)

// ownEntries are the entries of each transaction beside those of its batch: the conditions on the claim and on the last
// transaction, and the row that names this one.
const ownEntries = 3

func (o *Owner) lastTransaction() rows.Key {
	return rows.Key{Table: TableCommits, Part: o.set.Pool, Name: lastKey}
}

// readLast returns the version of the row of the last transaction, 0 if there was none.
func (o *Owner) readLast(ctx context.Context) (int64, error) {
	list, _, err := o.set.Store.Read(ctx, TableCommits, o.set.Pool)
	for _, r := range list {
		if r.Key == o.lastTransaction() {
			return r.Ver, err
		}
	}
	return 0, err
}

// commit writes the next batch if none is being written.
func (o *Owner) commit(c engine.Clock) {
	if o.inFlight || c.Now-o.lastWrite < commitInterval {
		return
	}
	batch := o.pool.NextBatch(rows.MaxEntries-ownEntries, batchBytes)
	if len(batch) == 0 {
		return
	}
	o.inFlight = true
	o.lastWrite = c.Now
	go o.write(batch, o.transaction(batch))
}

func (o *Owner) jobKey(id string) rows.Key {
	return rows.Key{Table: TableJobs, Part: o.set.Pool, Name: id}
}

// transaction writes a batch on condition that the claim stands and that no other transaction has come after the last one: a
// try that is carried out late then does nothing.
func (o *Owner) transaction(batch []engine.Change) rows.Tx {
	o.commits++
	name := fmt.Appendf(nil, "%d.%d", o.set.Token, o.commits)
	tx := rows.Tx{
		Expected: []rows.Condition{ClaimCondition(o.set.Pool, o.set.ClaimVer), {Key: o.lastTransaction(), Ver: o.lastVer}},
		Writes:   []rows.Write{{Key: o.lastTransaction(), Value: name}},
	}
	for i := range batch {
		ch := &batch[i]
		id := ch.Job.Spec.ID
		spec := rows.Key{Table: TableSpecs, Part: o.set.Pool, Name: id}
		if ch.Record == nil {
			tx.Remove = append(tx.Remove, o.jobKey(id))
		} else {
			tx.Writes = append(tx.Writes, rows.Write{Key: o.jobKey(id), Value: ch.Record})
		}
		if ch.Spec != nil {
			tx.Writes = append(tx.Writes, rows.Write{Key: spec, Value: ch.Spec})
		}
		if ch.DropSpec && ch.Job.Stored {
			tx.Remove = append(tx.Remove, spec)
		}
	}
	return tx
}

// write tries one transaction until its outcome is certain. A try without an answer may be carried out later, so the very
// same transaction is tried again: only one of the tries can meet the versions it names.
func (o *Owner) write(batch []engine.Change, tx rows.Tx) {
	unknown := false
	began := o.set.Now()
	for o.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
		ver, err := o.set.Store.Transact(ctx, tx)
		cancel()
		var conflict *rows.Conflict
		switch {
		case err == nil:
			observe.RecordDuration("store.commit", o.set.Now()-began)
			o.post(func() { o.wrote(batch, ver) })
			return
		case errors.As(err, &conflict):
			ver, err := o.settled(tx, conflict, unknown)
			if err != nil {
				o.post(func() { o.fail(err) })
				return
			}
			o.post(func() { o.wrote(batch, ver) })
			return
		case !verdict.Is(err, verdict.NotRun):
			unknown = true
		}
		observe.Count("store.faults")
		o.post(o.noteStoreFault)
		o.set.Log.Warn().Str("pool", o.set.Pool).Err(err).Bool("mayHaveRun", unknown).Msg("rows not written, trying again")
		if !unknown {
			o.post(func() { o.returned(batch) })
			return
		}
		_ = sleep.Context(o.ctx, commitRetry)
	}
}

// settled decides what a conflict means: another owner, or an earlier try of the same transaction that was carried out.
func (o *Owner) settled(tx rows.Tx, conflict *rows.Conflict, unknown bool) (int64, error) {
	claim := tx.Expected[0]
	if conflict.Find(claim.Key).Ver != claim.Ver {
		return 0, ErrSucceeded
	}
	if !unknown {
		return 0, errors.New("owner: rows changed under the claim")
	}
	last := conflict.Find(o.lastTransaction())
	if !bytes.Equal(last.Value, tx.Writes[0].Value) {
		return 0, errors.New("owner: rows changed under the claim")
	}
	return last.Ver, nil
}

func (o *Owner) wrote(batch []engine.Change, ver int64) {
	o.inFlight = false
	o.storeBad = 0
	o.lastVer = ver
	o.pool.Committed(batch, o.clock())
	for _, wake := range o.holds {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// returned takes back a batch that was certainly not written: what waits in it can still be refused.
func (o *Owner) returned(batch []engine.Change) {
	o.inFlight = false
	o.lastWrite = o.set.Now() + commitRetry
	o.pool.Requeue(batch)
}

// probeInterval is the time between two looks at a store that was away.
const probeInterval = 150 * time.Millisecond

// probe looks whether the store is back, as new work is refused until then and nothing else may be left to write.
func (o *Owner) probe() {
	now := o.set.Now()
	if o.storeBad == 0 || o.inFlight || o.probing || now-o.probedAt < probeInterval {
		return
	}
	o.probing, o.probedAt = true, now
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
		defer cancel()
		_, _, err := o.set.Store.Read(ctx, TableOwners, o.set.Pool)
		o.post(func() {
			o.probing = false
			if err == nil {
				o.storeBad = 0
			}
		})
	}()
}

func (o *Owner) noteStoreFault() {
	if o.storeBad == 0 {
		o.storeBad = o.set.Now()
	}
}
