package job

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphirepoint/dispatch"
	"samphirepoint/network"
	"samphirepoint/request"
	"samphirepoint/services"
	"samphirepoint/worker"
)

const (
	// scanInterval is the mean time between two reads of the active rows of an owned pool. The scan only compensates
	// for lost notifications: the accepting entry notifies the owner of a new job, and Rescan follows each membership
	// change.
	scanInterval = 20 * time.Second
	// leaseSeconds is the lease of a task. With renewInterval, two renewals may fail before it expires.
	leaseSeconds  = 10.0
	renewInterval = 3 * time.Second
	// leaseExpiredAfter is the time since the last renewal after which the worker has stopped the task.
	leaseExpiredAfter = 12 * time.Second
	// pollInterval is the time between two polls of a running task. It bounds the delay until the end of a job is detected.
	pollInterval = 250 * time.Millisecond
	// checkpointIntervalMin and checkpointIntervalMax bound the time between checkpoints, which doubles each time so
	// that long jobs do not use up the table's write capacity.
	checkpointIntervalMin = 30 * time.Second
	checkpointIntervalMax = 10 * time.Minute
	// maxFailedWorkers is the number of different workers on which a job fails before it ends as failed.
	maxFailedWorkers = 3
	// maxFailures bounds the failed runs of a job in a pool with fewer than maxFailedWorkers workers.
	maxFailures = 2 * maxFailedWorkers
	// retryDelay is the initial backoff after a failure of the table or a worker.
	retryDelay    = 250 * time.Millisecond
	retryDelayMax = 5 * time.Second
	// reloadBackoff is the delay before a write that conflicted with a change by a caller is repeated.
	reloadBackoff = 10 * time.Millisecond
)

// Slots grants slots of a pool's workers.
type Slots interface {
	Acquire(ctx context.Context, w dispatch.SlotRequest) (*dispatch.Grant, error)
}

// Cluster gives a manager the state of pool ownership and of the other entries.
type Cluster interface {
	// OwnedPools returns the pools that this entry owns now.
	OwnedPools() []string
	// Alive reports whether the process with the given owner name is alive.
	Alive(owner string) bool
}

// Config configures a Manager.
type Config struct {
	Store *Store
	Slots Slots
	// Network is used for connections to workers; nil means TCP.
	Network network.Network
	Cluster Cluster
	// Owner identifies this process in job rows.
	Owner string
	Log   zerolog.Logger
}

// Manager runs the jobs of the pools that this entry owns.
type Manager struct {
	cfg           Config
	notifications chan string
	rescan        chan struct{}
	// mu guards runners, the cancel functions of the jobs that this process runs, by job id.
	mu      sync.Mutex
	runners map[string]context.CancelFunc
	wg      sync.WaitGroup
}

// NewManager returns a Manager; Run starts it.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, notifications: make(chan string, 1024), rescan: make(chan struct{}, 1), runners: map[string]context.CancelFunc{}}
}

// Notify notifies the manager of a new job or of a change made by a caller. It does not block; if the
// notification is dropped, the next scan finds the job.
func (m *Manager) Notify(id string) {
	select {
	case m.notifications <- id:
	default:
	}
}

// Run finds and runs jobs until ctx ends; it returns once no job of this process is in progress.
// Queued jobs are left to the next owner, and running tasks continue under their lease.
func (m *Manager) Run(ctx context.Context) error {
	defer m.wg.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case id := <-m.notifications:
			m.adoptByID(ctx, id)
		case <-m.rescan:
			m.scan(ctx)
		case <-timer.C:
			m.scan(ctx)
			timer.Reset(scanInterval/2 + rand.N(scanInterval))
		}
	}
}

// Rescan triggers a scan for jobs, since their owner may have terminated or this entry may have become the owner
// of their pool. The lease of a task lasts 10 s, so it would expire before the next periodic scan.
func (m *Manager) Rescan() {
	select {
	case m.rescan <- struct{}{}:
	default:
	}
}

func (m *Manager) scan(ctx context.Context) {
	for _, pool := range m.cfg.Cluster.OwnedPools() {
		readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		jobs, err := m.cfg.Store.Active(readCtx, pool)
		cancel()
		if err != nil {
			m.cfg.Log.Warn().Err(err).Str("pool", pool).Msg("cannot list jobs of the pool")
			continue
		}
		for _, rec := range jobs {
			m.adopt(ctx, rec)
		}
	}
}

func (m *Manager) adoptByID(ctx context.Context, id string) {
	readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, err := m.cfg.Store.Find(readCtx, id)
	switch {
	case err != nil || rec == nil:
	case rec.State.Final():
		m.stopWaiting(id)
	default:
		m.adopt(ctx, rec)
	}
}

// stopWaiting cancels the wait for a slot of a job that was cancelled by its caller.
func (m *Manager) stopWaiting(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cancel, ok := m.runners[id]; ok {
		cancel()
	}
}

// adopt starts to run a job unless this process or another live owner runs it already. A queued job is run by
// the current owner of its pool, regardless of the owner in its row.
func (m *Manager) adopt(ctx context.Context, rec *Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cancel, ok := m.runners[rec.ID]; ok {
		if rec.CancelRequested {
			cancel()
		}
		return
	}
	if rec.State == Running && rec.Owner != m.cfg.Owner && m.cfg.Cluster.Alive(rec.Owner) {
		return
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	m.runners[rec.ID] = cancel
	if rec.CancelRequested {
		cancel()
	}
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		defer m.removeRunner(rec.ID)
		r := &runner{m: m, rec: rec, cancelled: runCtx.Done(), shutdown: ctx.Done(), log: m.cfg.Log.With().Str("job", rec.ID).Str("backer", rec.Backer).Logger()}
		r.run()
	}()
}

func (m *Manager) removeRunner(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runners[id]()
	delete(m.runners, id)
}

// Cancel ends a queued job immediately, or requests the owner of a running job to stop it. The returned
// record is the state after the call, or nil if there is no such job.
func (s *Store) Cancel(ctx context.Context, id string) (*Record, error) {
	for {
		rec, err := s.Find(ctx, id)
		if err != nil || rec == nil || rec.State.Final() || rec.CancelRequested {
			return rec, err
		}
		rec.CancelRequested = true
		if rec.State == Queued {
			rec.State, rec.Verdict, rec.Error = Cancelled, rec.queuedVerdict().String(), "cancelled by the caller while waiting"
			err = s.Finish(ctx, rec)
		} else {
			err = s.Update(ctx, rec)
		}
		if !errors.Is(err, errOwnershipLost) {
			return rec, err
		}
	}
}

// Sweep deletes results older than Retention and idempotency keys whose job was deleted. It returns the number of
// deleted rows.
func (s *Store) Sweep(ctx context.Context) (int, error) {
	results, err := s.sweep(ctx, PrefixResults, func(row services.Row) bool {
		rec, err := decode(row.Value, row.Version)
		return err == nil && s.Now().Sub(rec.Updated) > Retention
	})
	if err != nil {
		return results, err
	}
	keys, err := s.sweep(ctx, prefixKeys, func(row services.Row) bool {
		k, err := decodeIdempotencyRow(row.Value)
		if err != nil || s.Now().Sub(k.Accepted) <= Retention {
			return false
		}
		rec, err := s.Find(ctx, k.ID)
		return err == nil && rec == nil
	})
	return results + keys, err
}

// sweep deletes the rows under prefix for which expired returns true.
func (s *Store) sweep(ctx context.Context, prefix string, expired func(services.Row) bool) (int, error) {
	const page = 200
	deleted, after := 0, ""
	for {
		rows, err := s.Table.List(ctx, prefix, after, page)
		if err != nil || len(rows) == 0 {
			return deleted, err
		}
		after = rows[len(rows)-1].Key
		var writes []services.Write
		for _, row := range rows {
			if expired(row) {
				writes = append(writes, services.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
			}
		}
		if len(writes) == 0 {
			continue
		}
		if _, err := s.Table.Commit(ctx, writes); err != nil {
			return deleted, err
		}
		deleted += len(writes)
	}
}

// requestWithBody converts the job to a request, including its body.
func (m *Manager) requestWithBody(ctx context.Context, rec *Record) (*request.Request, error) {
	r := rec.request()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	body, err := m.cfg.Store.body(ctx, rec)
	r.Body = body
	return r, err
}

// clientFor returns a client of the worker that the job's row names.
func (m *Manager) clientFor(rec *Record) *worker.Client {
	return worker.NewClientOn(m.cfg.Network, rec.Address)
}
