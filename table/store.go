package table

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"samphirepoint/services"
	"samphirepoint/sleep"
	"samphirepoint/verdict"
)

// MaxHistory is the largest number of records that one read of the history returns. A record
// takes about 35 KB at the fleet size expected in two years, since it holds the document.
const MaxHistory = 100

const (
	// commitAttempts and the backoff of 50 ms, doubled each time up to 1 s, cover about 2 s of
	// lost replies before the outcome is reported to the operator as unknown.
	commitAttempts = 6
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = time.Second
	// callTimeout bounds one call to the table, which can be slow for long periods.
	callTimeout = 5 * time.Second
	// retryAfter is the delay that a rejected operator is asked to wait while the table is unavailable.
	retryAfter = 2 * time.Second
	// maxDraftOperations bounds the ids of edits that are stored in a draft. A lost reply is
	// resolved within seconds, in which far fewer edits arrive.
	maxDraftOperations = 64
	// attributionDepth is the number of versions that are searched for the author of a conflicting change.
	attributionDepth = 50
	maxReasonBytes   = 1000
)

// Options of a Store. The zero value is usable.
type Options struct {
	// Now returns the time for the history; time.Now if nil.
	Now func() time.Time
	// Size returns the size of the fleet for checks on accept. If nil, these checks are skipped.
	Size func() FleetSize
	// MinBackoff is the backoff before the first retry of a commit; 50 ms if 0.
	MinBackoff time.Duration
}

// Store keeps the accepted document, its history and the draft in the platform's table. It has
// no state of its own: any number of entries may use a Store on the same table concurrently.
//
// A rejection (*InvalidError, *ConflictError, *DraftChangedError, *StaleDraftError, ErrNoDraft,
// ErrNoChange, ErrOperationReused, ErrContention, or an error with verdict NotRun) means that
// nothing was written. An *UnknownOutcomeError means that the write may have taken effect.
type Store struct {
	table services.Table
	opt   Options
}

// NewStore returns a store on the given table.
func NewStore(t services.Table, opt Options) *Store {
	if opt.Now == nil {
		opt.Now = time.Now
	}
	if opt.Size == nil {
		opt.Size = func() FleetSize { return nil }
	}
	if opt.MinBackoff <= 0 {
		opt.MinBackoff = minBackoff
	}
	return &Store{table: t, opt: opt}
}

// Current returns the accepted document; its Version is 0 and it has no rows before the first accept.
func (s *Store) Current(ctx context.Context) (*Document, error) {
	d, _, err := s.readCurrent(ctx)
	return d, err
}

// Size returns the size of the fleet that checks use.
func (s *Store) Size() FleetSize { return s.opt.Size() }

// readCurrent returns the accepted document and the version of its row.
func (s *Store) readCurrent(ctx context.Context) (*Document, int64, error) {
	row, err := s.get(ctx, KeyCurrent)
	if err != nil {
		return nil, 0, err
	}
	d, err := DecodeCurrent(row)
	if err != nil {
		return nil, 0, err
	}
	if d == nil {
		d = &Document{}
	}
	return d, row.Version, nil
}

func (s *Store) get(ctx context.Context, key string) (services.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := s.table.Get(ctx, key)
	return row, readError(err)
}

func (s *Store) list(ctx context.Context, prefix, after string, limit int) ([]services.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := s.table.List(ctx, prefix, after, limit)
	return rows, readError(err)
}

// readError gives a failed read the verdict NotRun, since a read has no effect.
func readError(err error) error {
	if err == nil {
		return nil
	}
	return verdict.WithRetryAfter(verdict.Wrap(fmt.Errorf("table: %w", err), verdict.NotRun, http.StatusServiceUnavailable), retryAfter)
}

func (s *Store) commit(ctx context.Context, writes []services.Write) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.table.Commit(ctx, writes)
	return err
}

// transaction is one operation that writes to the table.
type transaction struct {
	id string
	// plan reads the state and returns the writes, or done if there is nothing to write, for example
	// because the operation has already taken effect.
	plan func(context.Context) (writes []services.Write, done bool, err error)
	// applied reads whether the operation has taken effect.
	applied func(context.Context) (bool, error)
}

// runTransaction executes a transaction. While the outcome of a commit is unknown, it reads whether the
// operation has taken effect, and if not, sends the same writes again: each write is conditional on a
// row version that never repeats, so at most one copy takes effect, and a conflict proves that no copy
// can take effect any more.
func (s *Store) runTransaction(ctx context.Context, t transaction) error {
	var pending []services.Write
	var lastErr error
	for attempt := range commitAttempts {
		if attempt > 0 && !s.waitBackoff(ctx, attempt) {
			break
		}
		writes := pending
		if writes == nil {
			planned, done, err := t.plan(ctx)
			if err != nil || done {
				return err
			}
			writes = planned
		}
		err := s.commit(ctx, writes)
		if err == nil {
			return nil
		}
		conflict := errors.Is(err, services.ErrConflict)
		rejected := conflict || verdict.Is(err, verdict.NotRun)
		if rejected && pending == nil {
			if !conflict {
				return readError(err)
			}
			continue
		}
		pending, lastErr = writes, err
		done, err := t.applied(ctx)
		switch {
		case err != nil:
			lastErr = err
		case done:
			return nil
		case conflict:
			pending = nil
		}
	}
	if pending != nil {
		return &UnknownOutcomeError{Operation: t.id, Err: lastErr}
	}
	if err := ctx.Err(); err != nil {
		return readError(err)
	}
	return ErrContention
}

// readBack retries a read that follows a write. If it keeps failing, the outcome is reported as
// unknown, so that no caller treats the write as rejected.
func (s *Store) readBack(ctx context.Context, id string, read func() error) error {
	var err error
	for attempt := range commitAttempts {
		if attempt > 0 && !s.waitBackoff(ctx, attempt) {
			break
		}
		if err = read(); err == nil {
			return nil
		}
	}
	return &UnknownOutcomeError{Operation: id, Err: err}
}

// waitBackoff waits before a retry and returns false if the context ended first.
func (s *Store) waitBackoff(ctx context.Context, attempt int) bool {
	return sleep.Context(ctx, min(s.opt.MinBackoff<<(attempt-1), maxBackoff)) == nil
}
