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

// commit starts writing the next batch unless a write to the same part is in flight.
func (o *Owner) commit(c engine.Clock) {
	if c.Now-o.lastWrite < commitInterval {
		return
	}
	o.checkStandby(c.Now)
	part := o.writablePart(c.Now)
	if part == nil {
		return
	}
	if part == o.primary {
		o.pool.ReturnToPrimary()
	}
	if batch := o.pool.NextBatch(part.id, rows.MaxEntries-reservedEntries, batchBytes); len(batch) > 0 {
		o.lastWrite = c.Now
		o.startWrite(part, batch, o.transaction(part, batch))
		return
	}
	o.clearStandby(c)
}

// clearStandby removes the rows of the standby part that are no longer needed.
func (o *Owner) clearStandby(c engine.Clock) {
	if o.writing != o.primary || o.standby.inFlight || o.standby.failingSince != 0 || c.Now < o.standby.retryAt {
		return
	}
	cleared := o.pool.Superfluous(rows.MaxEntries - reservedEntries)
	if len(cleared) == 0 {
		return
	}
	o.lastWrite = c.Now
	o.startWrite(o.standby, nil, o.removal(o.standby, cleared), cleared...)
}

// startWrite starts writing a transaction with a batch, or one that removes cleared rows from the standby part.
func (o *Owner) startWrite(part *storePart, batch []engine.Change, tx rows.Tx, cleared ...engine.Leftover) {
	part.begin(batch, o.pace.onTime())
	go o.write(part, batch, tx, cleared)
}

func jobKey(part *storePart, id string) rows.Key {
	return rows.Key{Table: TableJobs, Part: part.name, Name: id}
}

func specKey(part *storePart, id string) rows.Key {
	return rows.Key{Table: TableSpecs, Part: part.name, Name: id}
}

// newTransaction returns a transaction without changes. It is conditional on the claim and on the version of the last transaction of the
// part, so an attempt that the store executes late has no effect. Its name occurs only once, so that resolveConflict recognizes it.
func (o *Owner) newTransaction(part *storePart) rows.Tx {
	o.transactionCount++
	name := fmt.Appendf(nil, "%d.%s.%d", o.settings.Token, o.term, o.transactionCount)
	return rows.Tx{
		Expected: []rows.Condition{ClaimCondition(part.name, part.claimVer), {Key: part.lastTransactionRow(), Ver: part.lastVer}},
		Writes:   []rows.Write{{Key: part.lastTransactionRow(), Value: name}},
	}
}

// transaction builds the transaction for a batch.
func (o *Owner) transaction(part *storePart, batch []engine.Change) rows.Tx {
	tx := o.newTransaction(part)
	for i := range batch {
		ch := &batch[i]
		id := ch.Job.Spec.ID
		if ch.Record == nil {
			tx.Remove = append(tx.Remove, jobKey(part, id))
		} else {
			tx.Writes = append(tx.Writes, rows.Write{Key: jobKey(part, id), Value: ch.Record})
		}
		for _, s := range ch.Segments {
			if s.Value == nil {
				tx.Remove = append(tx.Remove, jobKey(part, s.Name))
			} else {
				tx.Writes = append(tx.Writes, rows.Write{Key: jobKey(part, s.Name), Value: s.Value})
			}
		}
		if ch.Spec != nil {
			tx.Writes = append(tx.Writes, rows.Write{Key: specKey(part, id), Value: ch.Spec})
		}
		if ch.DropSpec && ch.Job.Stored {
			tx.Remove = append(tx.Remove, specKey(part, id))
		}
	}
	return tx
}

// removal builds the transaction that removes rows from the standby part.
func (o *Owner) removal(part *storePart, cleared []engine.Leftover) rows.Tx {
	tx := o.newTransaction(part)
	for _, l := range cleared {
		for _, name := range l.Segments {
			tx.Remove = append(tx.Remove, jobKey(part, name))
		}
		if l.Record {
			tx.Remove = append(tx.Remove, jobKey(part, l.Job.Spec.ID), specKey(part, l.Job.Spec.ID))
		}
	}
	return tx
}

// write retries one transaction until its outcome is known. The store may execute an attempt after its response was lost, so
// each retry sends the identical transaction: the expected versions allow only one of the attempts to succeed.
func (o *Owner) write(part *storePart, batch []engine.Change, tx rows.Tx, cleared []engine.Leftover) {
	unknown := false
	began := o.settings.Now()
	for o.ctx.Err() == nil {
		attempt := o.clock()
		ver, err := o.transact(tx)
		var conflict *rows.Conflict
		switch {
		case err == nil:
			observe.RecordDuration("store.commit", o.settings.Now()-began)
			o.post(func() {
				o.pool.ClaimConfirmed(attempt)
				o.handleCommitted(part, batch, cleared, ver)
			})
			return
		case errors.As(err, &conflict):
			ver, err := o.resolveConflict(tx, conflict, unknown)
			if err != nil {
				o.post(func() { o.fail(err) })
				return
			}
			o.post(func() { o.handleCommitted(part, batch, cleared, ver) })
			return
		case errors.Is(err, rows.ErrInvalid):
			o.noteRefusal(part, len(batch), err)
			o.post(func() { o.handleRefused(part, batch) })
			return
		case !verdict.Is(err, verdict.NotRun):
			unknown = true
		}
		o.noteStoreFault(part, err, unknown)
		if !unknown {
			o.post(func() { o.requeue(part, batch) })
			return
		}
		_ = sleep.Context(o.ctx, commitRetryDelay)
	}
}

// transact makes one attempt to commit a transaction.
func (o *Owner) transact(tx rows.Tx) (int64, error) {
	ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
	defer cancel()
	return o.settings.Store.Transact(ctx, tx)
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

func (o *Owner) handleCommitted(part *storePart, batch []engine.Change, cleared []engine.Leftover, ver int64) {
	part.answered(o.pace.onTime())
	part.end()
	part.failingSince = 0
	part.lastVer = ver
	o.standbyAnswers = o.standbyAnswers || part == o.standby
	o.pool.Committed(batch, o.clock())
	o.pool.RemovedFromStandby(cleared)
	o.offerRenewals()
}

// requeue returns to the engine a batch that was certainly not written, so that waiting jobs in it can still be rejected. If the batch
// was given to the other part meanwhile, that one has it.
func (o *Owner) requeue(part *storePart, batch []engine.Change) {
	part.end()
	part.retryAt = o.settings.Now() + commitRetryDelay
	if !part.rewritten {
		o.pool.Requeue(batch)
	}
}

// handleRefused returns to the engine a batch that the store refuses for its content, which is no fault of the part.
func (o *Owner) handleRefused(part *storePart, batch []engine.Change) {
	part.end()
	part.failingSince = 0
	part.retryAt = o.settings.Now() + commitRetryDelay
	if !part.rewritten {
		o.pool.Refused(batch, o.clock())
	}
}

// noteRefusal records that the store refuses the rows of a batch with the given number of jobs.
func (o *Owner) noteRefusal(part *storePart, jobs int, err error) {
	o.settings.Log.Error().Str("pool", o.settings.Pool).Str("part", part.name).Int("jobs", jobs).Err(err).Msg("the store refuses rows")
	observe.Count("store.refusals")
}

// noteStoreFault records that an attempt to commit a transaction failed. unknown says that it or an earlier one may have been executed.
func (o *Owner) noteStoreFault(part *storePart, err error, unknown bool) {
	observe.Count("store.faults")
	o.post(func() {
		if part.failingSince == 0 {
			part.failingSince = o.settings.Now()
		}
	})
	o.settings.Log.Warn().Str("pool", o.settings.Pool).Str("part", part.name).Err(err).Bool("mayHaveRun", unknown).
		Msg("failed to write rows; retrying")
}
