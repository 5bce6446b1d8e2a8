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
	// scanInterval is the time between two reads of the active rows of an owned pool. It only makes up for lost
	// notices: the accepting entry tells the owner of a new job, and Rescan follows each change of members.
	scanInterval = 20 * time.Second
	// leaseSeconds of a task and renewInterval leave two renewals that may fail.
	leaseSeconds  = 10.0
	renewInterval = 3 * time.Second
	// lapseAfter is the time without a renewal after which the worker has stopped the task.
	lapseAfter = 12 * time.Second
	// pollInterval is the time between two looks at a running task. It bounds how late the end of a job is seen.
	pollInterval = 250 * time.Millisecond
	// checkpointFirst and checkpointMax bound the doubling time between checkpoints, so that long jobs do
	// not use up the table's writes.
	checkpointFirst = 30 * time.Second
	checkpointMax   = 10 * time.Minute
	// cannotRunAfter is the number of different workers on which a job must fail to be given up.
	cannotRunAfter = 3
	// maxFailures ends a job in a pool with too few different workers.
	maxFailures = 2 * cannotRunAfter
	// retryDelay is the first pause after the table or a worker failed.
	retryDelay    = 250 * time.Millisecond
	retryDelayMax = 5 * time.Second
	// reloadPause is the pause after a write that met a change by a caller.
	reloadPause = 10 * time.Millisecond
)

// Slots grants slots of pools.
type Slots interface {
	Acquire(ctx context.Context, w dispatch.SlotRequest) (*dispatch.Grant, error)
}

// Cluster is what a manager needs to know of the other entries.
type Cluster interface {
	// OwnedPools returns the pools this entry owns now.
	OwnedPools() []string
	// Alive reports whether the process that a row names as owner is alive.
	Alive(owner string) bool
}

// Config sets up a Manager.
type Config struct {
	Store *Store
	Slots Slots
	// Network carries the connections to workers; nil is that of the machine.
	Network network.Network
	Cluster Cluster
	// Owner is the name of this process in rows.
	Owner string
	Log   zerolog.Logger
}

// Manager runs the jobs of the pools that this entry owns.
type Manager struct {
	cfg     Config
	notices chan string
	rescan  chan struct{}
	// mu guards mine.
	mu   sync.Mutex
	mine map[string]context.CancelFunc
	wg   sync.WaitGroup
}

// NewManager returns a Manager; Run starts it.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, notices: make(chan string, 1024), rescan: make(chan struct{}, 1), mine: map[string]context.CancelFunc{}}
}

// Notify tells the manager of a new job or of a change made by a caller. It does not block: a lost notice
// is made up for by the next scan.
func (m *Manager) Notify(id string) {
	select {
	case m.notices <- id:
	default:
	}
}

// Run looks for jobs until ctx ends; it returns once no job of this process is in progress.
// Jobs that wait are left to the next owner, and tasks that run go on under their lease.
func (m *Manager) Run(ctx context.Context) error {
	defer m.wg.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case id := <-m.notices:
			m.adoptByID(ctx, id)
		case <-m.rescan:
			m.scan(ctx)
		case <-timer.C:
			m.scan(ctx)
			timer.Reset(scanInterval/2 + rand.N(scanInterval))
		}
	}
}

// Rescan looks for jobs now, since their owner may be gone or the pool has come to this entry. The lease of
// a task lasts 10 s, so waiting for the next scan would stop it.
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
			m.cfg.Log.Warn().Err(err).Str("pool", pool).Msg("jobs of the pool cannot be listed")
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

// stopWaiting ends the wait for a slot of a job that its caller cancelled.
func (m *Manager) stopWaiting(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cancel, ok := m.mine[id]; ok {
		cancel()
	}
}

// adopt starts to run a job unless this process runs it already or a live owner runs it. A job that waits
// belongs to the owner of its pool, whoever waited with it before.
func (m *Manager) adopt(ctx context.Context, rec *Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cancel, ok := m.mine[rec.ID]; ok {
		if rec.CancelRequested {
			cancel()
		}
		return
	}
	if rec.State == Running && rec.Owner != m.cfg.Owner && m.cfg.Cluster.Alive(rec.Owner) {
		return
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	m.mine[rec.ID] = cancel
	if rec.CancelRequested {
		cancel()
	}
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		defer m.forget(rec.ID)
		r := &runner{m: m, rec: rec, stop: runCtx.Done(), leave: ctx.Done(), log: m.cfg.Log.With().Str("job", rec.ID).Str("backer", rec.Backer).Logger()}
		r.run()
	}()
}

func (m *Manager) forget(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mine[id]()
	delete(m.mine, id)
}

// Cancel ends a waiting job at once or asks the owner of a running one to stop it. The returned
// record shows the state after the call.
func (s *Store) Cancel(ctx context.Context, id string) (*Record, error) {
	for {
		rec, err := s.Find(ctx, id)
		if err != nil || rec == nil || rec.State.Final() || rec.CancelRequested {
			return rec, err
		}
		rec.CancelRequested = true
		if rec.State == Queued {
			rec.State, rec.Verdict, rec.Error = Cancelled, rec.waitingVerdict().String(), "cancelled by the caller while waiting"
			err = s.Finish(ctx, rec)
		} else {
			err = s.Update(ctx, rec)
		}
		if !errors.Is(err, errLost) {
			return rec, err
		}
	}
}

// Sweep deletes results older than Retention, and keys whose job is gone, and returns how many rows.
func (s *Store) Sweep(ctx context.Context) (int, error) {
	results, err := s.sweep(ctx, PrefixResults, func(row services.Row) bool {
		rec, err := decode(row.Value, row.Version)
		return err == nil && s.Now().Sub(rec.Updated) > Retention
	})
	if err != nil {
		return results, err
	}
	keys, err := s.sweep(ctx, prefixKeys, func(row services.Row) bool {
		k, err := decodeKey(row.Value)
		if err != nil || s.Now().Sub(k.Accepted) <= Retention {
			return false
		}
		rec, err := s.Find(ctx, k.ID)
		return err == nil && rec == nil
	})
	return results + keys, err
}

// sweep deletes the rows under prefix that are expired.
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

// toRequest is the job as a request with its body.
func (m *Manager) toRequest(ctx context.Context, rec *Record) (*request.Request, error) {
	r := rec.request()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	body, err := m.cfg.Store.body(ctx, rec)
	r.Body = body
	return r, err
}

// clientFor returns a client of the worker that a row names.
func (m *Manager) clientFor(rec *Record) *worker.Client {
	return worker.NewClientOn(m.cfg.Network, rec.Address)
}
