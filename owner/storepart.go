package owner

import (
	"context"
	"sync/atomic"
	"time"

	"samphirepoint/engine"
	"samphirepoint/observe"
	"samphirepoint/rows"
)

const (
	// failoverDelay is how long the primary part may fail before changes are written to the standby part.
	failoverDelay = 120 * time.Millisecond
	// stallTimeout is how long a transaction of the primary part may have no outcome before changes are written to the standby part.
	stallTimeout = 400 * time.Millisecond
	// probeInterval is the least time between two probes of a part that has failed.
	probeInterval = 150 * time.Millisecond
)

// StandbyPart returns the name of the part that holds a pool's changes while the part named after the pool is not available.
func StandbyPart(pool string) string { return pool + "~standby" }

// storePart is a part of the store that the owner writes to, one transaction at a time. Only the event loop uses it after the load.
type storePart struct {
	id   engine.Part
	name string
	// claimVer is the version of the owner's claim in this part, lastVer that of the row of the last transaction.
	claimVer, lastVer int64

	// inFlight is set while a transaction has no outcome; sentAt is when it was sent, by the owner's pace. batch holds its changes,
	// and rewritten is set once these were given to the other part.
	inFlight  bool
	sentAt    time.Duration
	batch     []engine.Change
	rewritten bool
	// latency is how long the last answered transaction took, by the owner's pace.
	latency time.Duration
	// retryAt is the earliest time of the next transaction.
	retryAt time.Duration
	// failingSince is when the part began to fail or time out; 0 while it is available.
	failingSince time.Duration
	probing      bool
	// loadCallAt is when the load began its first call to the part that has had no success, by Settings.Now in nanoseconds; 0 if there is none.
	loadCallAt atomic.Int64
	lastProbe  time.Duration
}

// begin records that a transaction with a batch is sent now, by the owner's pace.
func (p *storePart) begin(batch []engine.Change, now time.Duration) {
	p.inFlight, p.sentAt = true, now
	p.batch, p.rewritten = batch, false
}

// end records that the transaction in flight has an outcome.
func (p *storePart) end() { p.inFlight, p.batch = false, nil }

// failingFor reports whether the part has failed for longer than d.
func (p *storePart) failingFor(d, now time.Duration) bool {
	return p.failingSince != 0 && now-p.failingSince > d
}

// answered records how long the transaction in flight, which has been answered now, has taken.
func (p *storePart) answered(onTime time.Duration) { p.latency = onTime - p.sentAt }

// maxSlowness bounds the time for which a part that was slow before may have no answer until it counts as silent.
const maxSlowness = time.Second

// silent reports whether a transaction has had no outcome for so long that the part counts as away: longer than storeFailureGrace, and than a slow
// part can be expected to take.
func (p *storePart) silent(onTime time.Duration) bool {
	return p.silentFor(max(storeFailureGrace, min(2*p.latency, maxSlowness)), onTime)
}

// silentFor reports whether a transaction has had no outcome for longer than d. onTime is the owner's pace: the time by which the owner
// itself is late doesn't count.
func (p *storePart) silentFor(d, onTime time.Duration) bool {
	return p.inFlight && onTime-p.sentAt > d
}

func (p *storePart) lastTransactionRow() rows.Key {
	return rows.Key{Table: TableCommits, Part: p.name, Name: lastTransactionKey}
}

// readLastVersion reads the version of the row of the last transaction, 0 if there was none.
func (p *storePart) readLastVersion(ctx context.Context, s rows.Store) error {
	list, _, err := s.Read(ctx, TableCommits, p.name)
	for _, r := range list {
		if r.Key == p.lastTransactionRow() {
			p.lastVer = r.Ver
		}
	}
	return err
}

// checkStandby writes a transaction without changes to the standby part when the primary part fails or is silent. Until the standby part
// has answered, no changes are given to it: if it is silent too, jobs that were not sent before can still be refused as not run.
func (o *Owner) checkStandby(now time.Duration) {
	if !o.primary.failingFor(failoverDelay, now) && !o.primary.silent(o.pace.onTime()) {
		o.standbyAnswers = false
		return
	}
	if o.standbyAnswers || o.standby.inFlight || now < o.standby.retryAt {
		return
	}
	observe.Count("store.standby-checks")
	o.lastWrite = now
	o.startWrite(o.standby, nil, o.newTransaction(o.standby))
}

// writablePart returns the part for the next transaction, or nil if there is none now.
func (o *Owner) writablePart(now time.Duration) *storePart {
	part := o.primary
	if o.primary.failingFor(failoverDelay, now) || o.primary.silentFor(stallTimeout, o.pace.onTime()) {
		if !o.standbyAnswers {
			return nil
		}
		part = o.standby
	}
	o.noteFailover(part)
	if part.inFlight || now < part.retryAt {
		return nil
	}
	return part
}

// noteFailover records that changes are written to another part than before. The changes in flight to the primary part may never be
// stored there, so the standby part gets them too; the primary part later gets those that it lacks.
func (o *Owner) noteFailover(part *storePart) {
	if part == o.standby && o.primary.inFlight && !o.primary.rewritten {
		o.primary.rewritten = true
		o.pool.Rewrite(o.primary.batch)
	}
	if part == o.writing {
		return
	}
	o.writing = part
	observe.Count("store.failovers")
	o.settings.Log.Warn().Str("pool", o.settings.Pool).Str("part", part.name).
		Bool("primaryInFlight", o.primary.inFlight).Bool("primaryFailing", o.primary.failingSince != 0).
		Msg("changes are written to another part of the store")
}

// storeUnavailable reports whether changes can be written to neither part.
func (o *Owner) storeUnavailable(now time.Duration) bool {
	onTime := o.pace.onTime()
	primaryAway := o.primary.failingFor(storeFailureGrace, now) || o.primary.silent(onTime)
	return primaryAway && (o.standby.failingFor(0, now) || o.standby.silent(onTime))
}

// probeParts checks whether parts that have failed are available again. Nothing else is written to them until then.
func (o *Owner) probeParts() {
	for _, p := range []*storePart{o.primary, o.standby} {
		o.probe(p)
	}
}

func (o *Owner) probe(p *storePart) {
	now := o.settings.Now()
	if p.failingSince == 0 || p.inFlight || p.probing || now-p.lastProbe < probeInterval {
		return
	}
	p.probing, p.lastProbe = true, now
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
		defer cancel()
		_, _, err := o.settings.Store.Read(ctx, TableOwners, p.name)
		o.post(func() {
			p.probing = false
			if err == nil {
				p.failingSince = 0
			}
		})
	}()
}
