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
	// commitTimeout bounds one attempt to commit a transaction.
	commitTimeout = 900 * time.Millisecond
	// commitRetryDelay is the delay after a failed attempt.
	commitRetryDelay = 60 * time.Millisecond
)

// reservedEntries is the number of entries that each transaction has besides its batch: the conditions on the claim and on the
// last transaction, and the row that identifies this transaction.
const reservedEntries = 3

func (o *Owner) lastTransactionRow() rows.Key {
	return rows.Key{Table: TableCommits, Part: o.settings.Pool, Name: lastTransactionKey}
}

// readLastVersion returns the version of the last transaction's row, or 0 if there was no transaction.
func (o *Owner) readLastVersion(ctx context.Context) (int64, error) {
	list, _, err := o.settings.Store.Read(ctx, TableCommits, o.settings.Pool)
	for _, r := range list {
		if r.Key == o.lastTransactionRow() {
			return r.Ver, err
		}
	}
	return 0, err
}

// commit starts writing the next batch unless a write is in flight.
func (o *Owner) commit(c engine.Clock) {
	if o.writeInFlight || c.Now-o.lastWrite < commitInterval {
		return
	}
	batch := o.pool.NextBatch(rows.MaxEntries-reservedEntries, batchBytes)
	if len(batch) == 0 {
		return
	}
	o.writeInFlight = true
	o.lastWrite = c.Now
	go o.write(batch, o.transaction(batch))
}

func (o *Owner) jobKey(id string) rows.Key {
	return rows.Key{Table: TableJobs, Part: o.settings.Pool, Name: id}
}

// transaction builds the transaction for a batch. It is conditional on the claim and on the version of the last transaction,
// so an attempt that the store executes late has no effect. Its name occurs only once, so that resolveConflict recognizes it.
func (o *Owner) transaction(batch []engine.Change) rows.Tx {
	o.transactionCount++
	name := fmt.Appendf(nil, "%d.%s.%d", o.settings.Token, o.term, o.transactionCount)
	tx := rows.Tx{
		Expected: []rows.Condition{ClaimCondition(o.settings.Pool, o.settings.ClaimVer), {Key: o.lastTransactionRow(), Ver: o.lastTransactionVer}},
		Writes:   []rows.Write{{Key: o.lastTransactionRow(), Value: name}},
	}
	for i := range batch {
		ch := &batch[i]
		id := ch.Job.Spec.ID
		spec := rows.Key{Table: TableSpecs, Part: o.settings.Pool, Name: id}
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

// write retries one transaction until its outcome is known. The store may execute an attempt after its response was lost, so
// each retry sends the identical transaction: the expected versions allow only one of the attempts to succeed.
func (o *Owner) write(batch []engine.Change, tx rows.Tx) {
	unknown := false
	began := o.settings.Now()
	for o.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
		ver, err := o.settings.Store.Transact(ctx, tx)
		cancel()
		var conflict *rows.Conflict
		switch {
		case err == nil:
			observe.RecordDuration("store.commit", o.settings.Now()-began)
			o.post(func() { o.handleCommitted(batch, ver) })
			return
		case errors.As(err, &conflict):
			ver, err := o.resolveConflict(tx, conflict, unknown)
			if err != nil {
				o.post(func() { o.fail(err) })
				return
			}
			o.post(func() { o.handleCommitted(batch, ver) })
			return
		case !verdict.Is(err, verdict.NotRun):
			unknown = true
		}
		observe.Count("store.faults")
		o.post(o.recordStoreFault)
		o.settings.Log.Warn().Str("pool", o.settings.Pool).Err(err).Bool("mayHaveRun", unknown).Msg("failed to write rows; retrying")
		if !unknown {
			o.post(func() { o.requeue(batch) })
			return
		}
		_ = sleep.Context(o.ctx, commitRetryDelay)
	}
}

// resolveConflict determines the cause of a conflict: another owner, or an earlier attempt of the same transaction that succeeded.
// In the latter case it returns the version of that attempt.
func (o *Owner) resolveConflict(tx rows.Tx, conflict *rows.Conflict, unknown bool) (int64, error) {
	claim, last := conflict.Find(tx.Expected[0].Key), conflict.Find(tx.Expected[1].Key)
	var err error
	switch {
	case claim.Ver != tx.Expected[0].Ver:
		err = ErrOwnershipLost
	case !unknown || !bytes.Equal(last.Value, tx.Writes[0].Value):
		err = errors.New("owner: rows were modified although the claim is current")
	}
	observe.Count("store.conflicts")
	o.settings.Log.Warn().Str("pool", o.settings.Pool).Int64("token", o.settings.Token).Bytes("transaction", tx.Writes[0].Value).Bool("mayHaveRun", unknown).
		Int64("expectedClaimVer", tx.Expected[0].Ver).Int64("claimVer", claim.Ver).Bytes("claim", claim.Value).
		Int64("expectedLastVer", tx.Expected[1].Ver).Int64("lastVer", last.Ver).Bytes("last", last.Value).AnErr("outcome", err).Msg("transaction conflicts")
	return last.Ver, err
}

func (o *Owner) handleCommitted(batch []engine.Change, ver int64) {
	o.writeInFlight = false
	o.storeFailingSince = 0
	o.lastTransactionVer = ver
	o.pool.Committed(batch, o.clock())
	o.offerRenewals()
}

// requeue returns to the engine a batch that was certainly not written, so that waiting jobs in it can still be rejected.
func (o *Owner) requeue(batch []engine.Change) {
	o.writeInFlight = false
	o.lastWrite = o.settings.Now() + commitRetryDelay
	o.pool.Requeue(batch)
}

// probeInterval is the least time between two probes of a store that has failed.
const probeInterval = 150 * time.Millisecond

// probe checks whether the store has recovered. New work is rejected until then, so there may be no other write that would
// show it.
func (o *Owner) probe() {
	now := o.settings.Now()
	if o.storeFailingSince == 0 || o.writeInFlight || o.probing || now-o.lastProbe < probeInterval {
		return
	}
	o.probing, o.lastProbe = true, now
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
		defer cancel()
		_, _, err := o.settings.Store.Read(ctx, TableOwners, o.settings.Pool)
		o.post(func() {
			o.probing = false
			if err == nil {
				o.storeFailingSince = 0
			}
		})
	}()
}

func (o *Owner) recordStoreFault() {
	if o.storeFailingSince == 0 {
		o.storeFailingSince = o.settings.Now()
	}
}
