package job

import (
	"context"
	"errors"
	"net/http"
	"time"

	"samphirepoint/request"
	"samphirepoint/services"
	"samphirepoint/verdict"
)

const (
	// storeTimeout bounds one operation on the table or the object store.
	storeTimeout = time.Second
	// acceptTimeout bounds one call of Accept.
	acceptTimeout = 3 * time.Second
	// Retention is how long results are kept.
	Retention = 24 * time.Hour
)

// errOwnershipLost reports that another process changed the row, as a new owner of the job does. This process must
// not act on its copy of the row any more.
var errOwnershipLost = errors.New("job row was changed by another process")

// Store reads and writes job rows.
type Store struct {
	Table   services.Table
	Objects services.Objects
	Now     func() time.Time
}

// Accept writes the row of a new job. If the same non-idempotent job was accepted before, Accept returns that
// job and sets replayed. The job is accepted if err is nil; an error with verdict MayHaveRun means
// that the row may have been written.
func (s *Store) Accept(ctx context.Context, r *request.Request) (rec *Record, replayed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	rec = &Record{
		ID: NewID(r), Backer: r.Backer, Queue: r.Queue, Pool: r.Pool, Kind: r.Kind, Class: r.Class, Idempotent: r.Idempotent,
		Key: r.Key, ContentType: r.ContentType, BodyHash: request.BodyHash(r.Body), Body: r.Body,
		Accepted: s.Now(), Updated: s.Now(), Deadline: r.Deadline, State: Queued,
	}
	if len(rec.Body) > maxInlineBytes {
		rec.BodyObject, rec.Body = prefixBodies+rec.ID+"-"+rec.BodyHash, nil
		if err := s.Objects.Put(ctx, rec.BodyObject, r.Body); err != nil {
			return nil, false, storeUnavailable(err)
		}
	}
	// The condition on the result row prevents a resubmission from starting the job again after its end. The row of
	// the idempotency key prevents a resubmission from starting it in another pool.
	writes := []services.Write{
		{Key: activeKey(rec.Pool, rec.ID), IfVersion: 0, Value: rec.encode()},
		{Key: resultKey(rec.Pool, rec.ID), IfVersion: 0, Check: true},
	}
	if !r.Idempotent {
		writes = append(writes, services.Write{Key: idempotencyRowKey(r), IfVersion: 0, Value: idempotencyRow{ID: rec.ID, Accepted: rec.Accepted}.encode()})
	}
	versions, err := s.Table.Commit(ctx, writes)
	if err == nil {
		rec.version = versions[0]
		return rec, false, nil
	}
	if verdict.Is(err, verdict.NotRun) {
		return nil, false, storeUnavailable(err)
	}
	return s.findExisting(ctx, r, rec, err)
}

// findExisting reads the job's row after a conflict or a lost reply.
func (s *Store) findExisting(ctx context.Context, r *request.Request, rec *Record, cause error) (*Record, bool, error) {
	found, err := s.findByKey(ctx, r, rec.ID)
	switch {
	case err != nil:
		return nil, false, verdict.Wrap(err, verdict.MayHaveRun, http.StatusServiceUnavailable)
	case found == nil:
		return nil, false, verdict.Wrap(cause, verdict.MayHaveRun, http.StatusServiceUnavailable)
	case found.BodyHash != rec.BodyHash || found.Backer != rec.Backer:
		return nil, false, verdict.New(verdict.NotRun, http.StatusUnprocessableEntity, "idempotency key was used for a job with another body")
	}
	return found, !found.Accepted.Equal(rec.Accepted), nil
}

// findByKey returns the job of a non-idempotent request's idempotency key, or else the job with the given id.
func (s *Store) findByKey(ctx context.Context, r *request.Request, id string) (*Record, error) {
	if r.Idempotent {
		return s.Find(ctx, id)
	}
	row, err := s.Table.Get(ctx, idempotencyRowKey(r))
	if err != nil {
		return nil, err
	}
	if row.Version == 0 {
		return s.Find(ctx, id)
	}
	k, err := decodeIdempotencyRow(row.Value)
	if err != nil {
		return nil, err
	}
	return s.Find(ctx, k.ID)
}

func storeUnavailable(err error) error {
	return verdict.WithRetryAfter(verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable), time.Second)
}

// Find returns the job with the given id, or nil if there is none.
func (s *Store) Find(ctx context.Context, id string) (*Record, error) {
	pool, ok := splitID(id)
	if !ok {
		return nil, nil
	}
	// The result row is read first and again last: otherwise a job that ends between the two reads
	// would be found in neither place.
	for _, key := range []string{resultKey(pool, id), activeKey(pool, id), resultKey(pool, id)} {
		row, err := s.Table.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		if row.Version > 0 {
			return decode(row.Value, row.Version)
		}
	}
	return nil, nil
}

// Active returns the unfinished jobs of a pool.
func (s *Store) Active(ctx context.Context, pool string) ([]*Record, error) {
	const page = 500
	var jobs []*Record
	after := ""
	for {
		rows, err := s.Table.List(ctx, PrefixActive+pool+"/", after, page)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			rec, err := decode(row.Value, row.Version)
			if err != nil {
				return nil, err
			}
			jobs = append(jobs, rec)
		}
		if len(rows) < page {
			return jobs, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// Update writes the changed row of an active job. It returns errOwnershipLost if another process changed the row.
func (s *Store) Update(ctx context.Context, rec *Record) error {
	rec.Updated = s.Now()
	return s.commit(ctx, rec, []services.Write{{Key: activeKey(rec.Pool, rec.ID), IfVersion: rec.version, Value: rec.encode()}})
}

// Finish moves a job in a final state from the active rows to the results.
func (s *Store) Finish(ctx context.Context, rec *Record) error {
	if len(rec.Result) > maxInlineBytes {
		key := prefixBodies + rec.ID + "-result-" + rec.Task
		if err := s.Objects.Put(ctx, key, rec.Result); err != nil {
			return err
		}
		rec.ResultObject, rec.Result = key, nil
	}
	rec.Body, rec.Updated = nil, s.Now()
	return s.commit(ctx, rec, []services.Write{
		{Key: activeKey(rec.Pool, rec.ID), IfVersion: rec.version, Delete: true},
		{Key: resultKey(rec.Pool, rec.ID), IfVersion: 0, Value: rec.encode()},
	})
}

// commit writes rows of a job. If the outcome is unknown, it reads the row to find out whether the write took effect.
func (s *Store) commit(ctx context.Context, rec *Record, writes []services.Write) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	versions, err := s.Table.Commit(ctx, writes)
	if err == nil {
		rec.version = versions[0]
		return nil
	}
	if verdict.Is(err, verdict.NotRun) {
		return err
	}
	found, findErr := s.Find(ctx, rec.ID)
	if findErr != nil || found == nil {
		return errors.Join(err, findErr)
	}
	if found.Updated.Equal(rec.Updated) && found.State == rec.State && found.Owner == rec.Owner {
		rec.version = found.version
		return nil
	}
	if errors.Is(err, services.ErrConflict) {
		return errOwnershipLost
	}
	return err
}

// Result returns the result of a finished job.
func (s *Store) Result(ctx context.Context, rec *Record) ([]byte, error) {
	if rec.ResultObject == "" {
		return rec.Result, nil
	}
	return s.Objects.Get(ctx, rec.ResultObject)
}

// body returns the body of an active job.
func (s *Store) body(ctx context.Context, rec *Record) ([]byte, error) {
	if rec.BodyObject == "" {
		return rec.Body, nil
	}
	return s.Objects.Get(ctx, rec.BodyObject)
}
