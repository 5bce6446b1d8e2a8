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
	// claimTimeout bounds the time in which the outcome of a claim must be known.
	claimTimeout = 2 * time.Second
	// SendWindow is the time after a claim within which the request must be sent. A process that
	// paused for longer answers "not run" and releases the claim.
	SendWindow = 2 * time.Second
	// RecordTimeout is the time for which an answer waits for its record.
	RecordTimeout = time.Second
	// recordRetryLimit bounds background retries of a record or a release.
	recordRetryLimit = 15 * time.Minute
	// takeAgainAfter is the pause between repeats of a claim whose reply was lost.
	takeAgainAfter = 100 * time.Millisecond
	backoffMin     = 200 * time.Millisecond
	backoffMax     = 8 * time.Second
	// maxBackground bounds records and releases that are retried in the background.
	maxBackground = 10000
)

// Claim is the right to send one request.
type Claim struct {
	Key        string
	ID         string
	AcquiredAt time.Time
	version    int64
	hash       string
}

// SendBy is the end of the time in which the request may be sent.
func (c *Claim) SendBy() time.Time { return c.AcquiredAt.Add(SendWindow) }

// InWindow reports whether the request may still be sent.
func (c *Claim) InWindow(now time.Time) bool { return now.Before(c.SendBy()) }

// ExistingError is the error of Take when the key was used before.
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

// Store takes, records and releases claims. Run must be running.
type Store struct {
	table      services.Table
	objects    services.Objects
	owner      string
	commits    *committer
	breaker    breaker
	background chan struct{}
	now        func() time.Time
}

// NewStore returns a store whose claims name owner, which must be unique per process start.
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

// Run carries out the store's transactions until ctx ends.
func (s *Store) Run(ctx context.Context) { s.commits.run(ctx) }

// Owner is the process name written into claims.
func (s *Store) Owner() string { return s.owner }

// Available reports whether claims can be expected to succeed now.
func (s *Store) Available() bool { return !s.breaker.open(s.now()) }

// Acquire creates the claim of key. The error is *Existing if the key was used before; any other
// error has verdict NotRun: the claim is not held, or will never be used.
func (s *Store) Acquire(ctx context.Context, key, requestHash string) (*Claim, error) {
	if !s.breaker.allow(s.now()) {
		return nil, errTableDown()
	}
	ctx, cancel := context.WithTimeoutCause(ctx, claimTimeout, errClaimTimeout)
	defer cancel()
	c := &Claim{Key: key, ID: uuid.NewString(), AcquiredAt: s.now(), hash: requestHash}
	return s.take(ctx, c)
}

// take writes the claim until its fate is known. The write is repeated with the same claim id and condition, so a
// copy that arrives late either is the claim itself or fails its condition.
func (s *Store) take(ctx context.Context, c *Claim) (*Claim, error) {
	var ifVersion int64
	uncertain := false
	for {
		version, err := s.commits.write(ctx, services.Write{Key: c.Key, IfVersion: ifVersion, Value: encode(s.record(c, Claimed, Outcome{}))})
		switch {
		case err == nil:
			s.breaker.record(s.now(), true)
			c.version = version
			return c, nil
		case errors.Is(err, errNeverSent) || verdict.Is(err, verdict.NotRun):
			return nil, s.giveUp(ctx, c, uncertain)
		case !errors.Is(err, services.ErrConflict):
			uncertain = true
		}
		row, err := s.read(ctx, c.Key)
		if err != nil {
			return nil, s.giveUp(ctx, c, uncertain)
		}
		if row.Version == ifVersion {
			// The write may still be on its way.
			if sleep.Context(ctx, takeAgainAfter) != nil {
				return nil, s.giveUp(ctx, c, uncertain)
			}
			continue
		}
		// The row has left the state that all writes so far demand, so none of them can take effect any more.
		uncertain, ifVersion = false, row.Version
		claimed, err := s.judge(c, row)
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

// read reads a row, with repeats until ctx ends.
func (s *Store) read(ctx context.Context, key string) (services.Row, error) {
	for {
		row, err := s.table.Get(ctx, key)
		if err == nil || sleep.Context(ctx, takeAgainAfter) != nil {
			return row, err
		}
	}
}

// judge says what a row means for the claim c: it is held, or another use of the key stands in the way, or, with
// both results zero, the key may be claimed at the row's version.
func (s *Store) judge(c *Claim, row services.Row) (claimed bool, err error) {
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

// giveUp refuses a claim because the table does not answer. If a write of it may still take effect, the
// claim is released in the background and never used.
func (s *Store) giveUp(ctx context.Context, c *Claim, uncertain bool) error {
	if uncertain {
		s.abandon(c)
	}
	switch cause := context.Cause(ctx); {
	case cause == nil || errors.Is(cause, errClaimTimeout):
		s.breaker.record(s.now(), false)
		return errTableDown()
	case errors.Is(cause, verdict.ErrCancelled):
		return verdict.Wrap(cause, verdict.NotRun, http.StatusConflict)
	default:
		// The caller left or its deadline passed, which says nothing about the table.
		return verdict.Wrap(cause, verdict.NotRun, http.StatusGatewayTimeout)
	}
}

// Lookup reads the record of a key; it reports false if there is none.
func (s *Store) Lookup(ctx context.Context, key string) (Record, bool, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil || row.Version == 0 {
		return Record{}, false, err
	}
	rec, err := decode(row.Value)
	return rec, err == nil, err
}

// Body returns the answer of a recorded outcome, from the object store if need be.
func (s *Store) Body(ctx context.Context, o Outcome) ([]byte, error) {
	if o.Object == "" {
		return o.Body, nil
	}
	return s.objects.Get(ctx, o.Object)
}

// Finish records the outcome of a claim. It returns when the record is written or after
// RecordTimeout, whichever is first; the write then goes on in the background.
func (s *Store) Finish(c *Claim, o Outcome) (recorded bool) {
	return s.settle(c, Done, o, RecordTimeout)
}

// Flush waits until no record or release is in progress, or ctx ends.
func (s *Store) Flush(ctx context.Context) {
	for len(s.background) > 0 && sleep.Context(ctx, flushPoll) == nil {
	}
}

// flushPoll is the time between two looks at the work in the background.
const flushPoll = 20 * time.Millisecond

// Release gives the key back: the request was not sent and will not be sent under this claim.
// It waits for the table up to RecordTimeout, so that a repeat finds the key free.
func (s *Store) Release(c *Claim) (recorded bool) {
	return s.settle(c, Released, Outcome{}, RecordTimeout)
}

// abandon releases a claim that may not have been written, in the background.
func (s *Store) abandon(c *Claim) { s.settle(c, Released, Outcome{}, 0) }

// settle writes the final state in the background and waits up to wait for it.
func (s *Store) settle(c *Claim, state State, o Outcome, wait time.Duration) bool {
	select {
	case s.background <- struct{}{}:
	default:
		// The row stays claimed, and repeats are told that the request may have run.
		return false
	}
	done := make(chan struct{})
	go func() {
		defer func() { <-s.background }()
		ctx, cancel := context.WithTimeout(context.Background(), recordRetryLimit)
		defer cancel()
		if s.settleWithRetry(ctx, c, state, o) {
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

func (s *Store) settleWithRetry(ctx context.Context, c *Claim, state State, o Outcome) bool {
	for delay := backoffMin; ; delay = min(2*delay, backoffMax) {
		settled, err := s.trySettle(ctx, c, state, &o)
		if settled {
			return true
		}
		if err != nil && sleep.Context(ctx, jitter(delay)) != nil {
			return false
		}
	}
}

// trySettle makes one attempt. settled without error also holds if the row shows that another state is final.
func (s *Store) trySettle(ctx context.Context, c *Claim, state State, o *Outcome) (bool, error) {
	if len(o.Body) > maxInlineBytes {
		key := prefixOutcomes + c.ID
		if err := s.objects.Put(ctx, key, o.Body); err != nil {
			return false, err
		}
		o.Object, o.Body = key, nil
	}
	w := services.Write{Key: c.Key, IfVersion: c.version, Value: encode(s.record(c, state, *o))}
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
		// A release of a claim whose write never arrived creates the row, so
		// that a late arrival of the claim fails its condition.
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
	// A released row of an earlier claim is written once more: the new version makes the
	// condition of this claim's late write fail.
	c.version = row.Version
	return false, nil
}

func (s *Store) record(c *Claim, state State, o Outcome) Record {
	return Record{ClaimID: c.ID, Owner: s.owner, State: state, RequestHash: c.hash, Outcome: o, Updated: s.now()}
}

// errClaimTimeout is the cause of a claim's end after claimTimeout.
var errClaimTimeout = errors.New("claim: outcome not known in time")

func errTableDown() error {
	return verdict.Unavailable(breakerProbe, "the platform's table does not answer; non-idempotent work was not started")
}
