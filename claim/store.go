package claim

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"samphirepoint/services"
	"samphirepoint/sleep"
	"samphirepoint/verdict"
)

const (
	// claimTimeout is the time within which the outcome of creating a claim must be known.
	claimTimeout = 2 * time.Second
	// SendWindow is the time after a claim within which the request must be sent. A process that was
	// paused for longer replies "not run" and releases the claim.
	SendWindow = 2 * time.Second
	// RecordTimeout is the longest time for which a reply is delayed until its outcome is recorded.
	RecordTimeout = time.Second
	// recordRetryLimit bounds the time of background retries of a record or a release.
	recordRetryLimit = 15 * time.Minute
	// claimRetryDelay is the delay before a claim's write or read is retried after a lost reply.
	claimRetryDelay = 100 * time.Millisecond
	backoffMin      = 200 * time.Millisecond
	backoffMax      = 8 * time.Second
	// maxBackground bounds the number of records and releases that are in progress in the background.
	maxBackground = 10000
)

// Claim is the exclusive right to send one request.
type Claim struct {
	Key        string
	ID         string
	AcquiredAt time.Time
	version    int64
	hash       string
}

// SendBy returns the time until which the request may be sent.
func (c *Claim) SendBy() time.Time { return c.AcquiredAt.Add(SendWindow) }

// InWindow reports whether the request may still be sent.
func (c *Claim) InWindow(now time.Time) bool { return now.Before(c.SendBy()) }

// ExistingError is the error that Acquire returns if the key was used before.
type ExistingError struct {
	Record Record
	// Mismatch is set if the key was used for a request with another body.
	Mismatch bool
}

// Error implements error.
func (e *ExistingError) Error() string {
	if e.Mismatch {
		return "idempotency key was used for another request"
	}
	return fmt.Sprintf("idempotency key is %s by %s", e.Record.State, e.Record.Owner)
}

// Store acquires, records and releases claims. Run must be running while claims are acquired, recorded, released or
// swept.
type Store struct {
	table      services.Table
	objects    services.Objects
	owner      string
	commits    *committer
	breaker    breaker
	background chan struct{}
	now        func() time.Time
}

// NewStore returns a store whose claims are held by owner, which must be unique to each start of a process.
func NewStore(t services.Table, o services.Objects, owner string) *Store {
	return &Store{
		table:      t,
		objects:    o,
		owner:      owner,
		commits:    newCommitter(t),
		background: make(chan struct{}, maxBackground),
		now:        time.Now,
	}
}

// Run executes the store's transactions until ctx ends.
func (s *Store) Run(ctx context.Context) { s.commits.run(ctx) }

// Owner returns the owner name that the store writes into claims.
func (s *Store) Owner() string { return s.owner }

// Available reports whether the circuit breaker permits claims now.
func (s *Store) Available() bool { return !s.breaker.open(s.now()) }

// Acquire creates the claim of key. The error is *ExistingError if the key was used before. Any other error has
// verdict NotRun: the claim is not held or is never used.
func (s *Store) Acquire(ctx context.Context, key, requestHash string) (*Claim, error) {
	if !s.breaker.allow(s.now()) {
		return nil, errTableDown()
	}
	ctx, cancel := context.WithTimeoutCause(ctx, claimTimeout, errClaimTimeout)
	defer cancel()
	c := &Claim{Key: key, ID: uuid.NewString(), AcquiredAt: s.now(), hash: requestHash}
	return s.writeClaim(ctx, c)
}

// writeClaim writes the claim until its outcome is known. The write is repeated with the same claim id and condition, so
// a copy that arrives late either creates this claim or fails its condition.
func (s *Store) writeClaim(ctx context.Context, c *Claim) (*Claim, error) {
	var ifVersion int64
	outcomeUnknown := false
	for {
		version, err := s.commits.write(ctx, services.Write{Key: c.Key, IfVersion: ifVersion, Value: encode(s.newRecord(c, Claimed, Outcome{}))})
		switch {
		case err == nil:
			s.breaker.record(s.now(), true)
			c.version = version
			return c, nil
		case errors.Is(err, errNeverSent) || verdict.Is(err, verdict.NotRun):
			return nil, s.fail(ctx, c, outcomeUnknown)
		case !errors.Is(err, services.ErrConflict):
			outcomeUnknown = true
		}
		row, err := s.readWithRetry(ctx, c.Key)
		if err != nil {
			return nil, s.fail(ctx, c, outcomeUnknown)
		}
		if row.Version == ifVersion {
			// The write may still be in flight.
			if sleep.Context(ctx, claimRetryDelay) != nil {
				return nil, s.fail(ctx, c, outcomeUnknown)
			}
			continue
		}
		// The row no longer has the version that all previous writes require, so none of them can take effect any more.
		outcomeUnknown, ifVersion = false, row.Version
		claimed, err := s.classifyRow(c, row)
		if err != nil {
			s.breaker.record(s.now(), true)
			return nil, err
		}
		if claimed {
			s.breaker.record(s.now(), true)
			return c, nil
		}
	}
}

// readWithRetry reads a row, with retries until ctx ends.
func (s *Store) readWithRetry(ctx context.Context, key string) (services.Row, error) {
	for {
		row, err := s.table.Get(ctx, key)
		if err == nil || sleep.Context(ctx, claimRetryDelay) != nil {
			return row, err
		}
	}
}

// classifyRow determines what a row means for the claim c: claimed is set if c is held, and err if another use of the
// key prevents the claim or the row cannot be decoded. If both results are zero, the key may be claimed at the row's
// version.
func (s *Store) classifyRow(c *Claim, row services.Row) (claimed bool, err error) {
	if row.Version == 0 {
		return false, nil
	}
	rec, err := decode(row.Value)
	switch {
	case err != nil:
		return false, verdict.Wrap(err, verdict.NotRun, http.StatusInternalServerError)
	case rec.ClaimID == c.ID:
		c.version = row.Version
		return true, nil
	case rec.State == Released:
		return false, nil
	}
	return false, &ExistingError{Record: rec, Mismatch: rec.RequestHash != c.hash}
}

// fail returns the error for a claim that could not be acquired because the table does not answer or the caller's context
// ended. If a write of the claim may still take effect, the claim is released in the background and never used.
func (s *Store) fail(ctx context.Context, c *Claim, outcomeUnknown bool) error {
	if outcomeUnknown {
		s.releaseInBackground(c)
	}
	switch cause := context.Cause(ctx); {
	case cause == nil || errors.Is(cause, errClaimTimeout):
		s.breaker.record(s.now(), false)
		return errTableDown()
	case errors.Is(cause, verdict.ErrCancelled):
		return verdict.Wrap(cause, verdict.NotRun, http.StatusConflict)
	default:
		// The caller disconnected or its deadline passed, which does not indicate a failure of the table.
		return verdict.Wrap(cause, verdict.NotRun, http.StatusGatewayTimeout)
	}
}

// Lookup reads the record of a key; it returns false if there is none.
func (s *Store) Lookup(ctx context.Context, key string) (Record, bool, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil || row.Version == 0 {
		return Record{}, false, err
	}
	rec, err := decode(row.Value)
	return rec, err == nil, err
}

// Body returns the response body of a recorded outcome, which it reads from the object store if necessary.
func (s *Store) Body(ctx context.Context, o Outcome) ([]byte, error) {
	if o.Object == "" {
		return o.Body, nil
	}
	return s.objects.Get(ctx, o.Object)
}

// Finish records the outcome of a claim. It returns when the outcome is recorded or after RecordTimeout, whichever
// is first; after a timeout the write is retried in the background.
func (s *Store) Finish(c *Claim, o Outcome) (recorded bool) {
	return s.recordOutcome(c, Done, o, RecordTimeout)
}

// FinishBy records the outcome of a claim as Finish does, but returns at the given deadline of the reply at the latest.
func (s *Store) FinishBy(c *Claim, o Outcome, deadline time.Time) (recorded bool) {
	return s.recordOutcome(c, Done, o, waitUntil(deadline))
}

// waitUntil returns how long a reply with the given deadline may wait for its outcome to be recorded.
func waitUntil(deadline time.Time) time.Duration { return min(time.Until(deadline), RecordTimeout) }

// Flush waits until no record or release is in progress, or ctx ends.
func (s *Store) Flush(ctx context.Context) {
	for len(s.background) > 0 && sleep.Context(ctx, flushPollInterval) == nil {
	}
}

// flushPollInterval is the time between two checks for work in the background.
const flushPollInterval = 20 * time.Millisecond

// Release makes the key available again: the request was not sent and will not be sent under this claim.
// It waits for the table up to RecordTimeout, so that a resubmission can claim the key.
func (s *Store) Release(c *Claim) (recorded bool) {
	return s.recordOutcome(c, Released, Outcome{}, RecordTimeout)
}

// ReleaseBy makes the key available again as Release does, but returns at the given deadline of the reply at the latest.
func (s *Store) ReleaseBy(c *Claim, deadline time.Time) (recorded bool) {
	return s.recordOutcome(c, Released, Outcome{}, waitUntil(deadline))
}

// releaseInBackground releases a claim whose write may have taken effect, without waiting for the release.
func (s *Store) releaseInBackground(c *Claim) { s.recordOutcome(c, Released, Outcome{}, 0) }

// recordOutcome writes the final state in the background. It waits up to wait for the write and reports whether it
// succeeded in that time.
func (s *Store) recordOutcome(c *Claim, state State, o Outcome, wait time.Duration) bool {
	select {
	case s.background <- struct{}{}:
	default:
		// The row stays claimed, so resubmissions are answered with the verdict may-have-run.
		return false
	}
	done := make(chan struct{})
	go func() {
		defer func() { <-s.background }()
		ctx, cancel := context.WithTimeout(context.Background(), recordRetryLimit)
		defer cancel()
		if s.recordWithRetry(ctx, c, state, o) {
			close(done)
		}
	}()
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

func (s *Store) recordWithRetry(ctx context.Context, c *Claim, state State, o Outcome) bool {
	for delay := backoffMin; ; delay = min(2*delay, backoffMax) {
		final, err := s.tryRecord(ctx, c, state, &o)
		if final {
			return true
		}
		if err != nil && sleep.Context(ctx, jitter(delay)) != nil {
			return false
		}
	}
}

// tryRecord makes one attempt to write the final state. It also returns true if the row already has a final state that
// must not be replaced. It returns false without an error if the write must be retried at once with the claim's new
// version.
func (s *Store) tryRecord(ctx context.Context, c *Claim, state State, o *Outcome) (bool, error) {
	if len(o.Body) > maxInlineBytes {
		key := prefixOutcomes + c.ID
		if err := s.objects.Put(ctx, key, o.Body); err != nil {
			return false, err
		}
		o.Object, o.Body = key, nil
	}
	w := services.Write{Key: c.Key, IfVersion: c.version, Value: encode(s.newRecord(c, state, *o))}
	_, err := s.commits.write(ctx, w)
	if err == nil {
		return true, nil
	}
	if !errors.Is(err, services.ErrConflict) {
		return false, err
	}
	row, err := s.table.Get(ctx, c.Key)
	if err != nil {
		return false, err
	}
	if row.Version == 0 {
		// A release of a claim whose write never arrived creates the row, so that the condition of the claim's write
		// fails if it arrives late.
		c.version = 0
		return false, nil
	}
	rec, err := decode(row.Value)
	if err != nil || rec.State == Done {
		return true, nil
	}
	if rec.ClaimID != c.ID && (state != Released || rec.State != Released) {
		return true, nil
	}
	if rec.ClaimID == c.ID && rec.State == state {
		return true, nil
	}
	// A released row of an earlier claim is written again: its new version makes the condition of this
	// claim's write fail if that arrives late.
	c.version = row.Version
	return false, nil
}

func (s *Store) newRecord(c *Claim, state State, o Outcome) Record {
	return Record{ClaimID: c.ID, Owner: s.owner, State: state, RequestHash: c.hash, Outcome: o, Updated: s.now()}
}

// errClaimTimeout is the cancellation cause of a claim's context after claimTimeout.
var errClaimTimeout = errors.New("claim: outcome not known in time")

func errTableDown() error {
	return verdict.Unavailable(probeInterval, "the platform's table does not answer; non-idempotent work was not started")
}
