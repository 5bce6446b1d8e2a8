package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"samphirepoint/engine"
	"samphirepoint/rows"
	"samphirepoint/verdict"
)

// TableQueues holds, in one part, one row per queue that ever had a job, with the pools that have accepted jobs of the queue. A change of
// the configuration may send a queue to another pool, even after versions without the queue; the jobs stay in the pool that has accepted
// them, and only the row tells where to look for them.
const (
	TableQueues = "queues"
	queuesPart  = "queues"
)

// queueHistory is the row of a queue.
type queueHistory struct {
	// Version is the version of the configuration for which the last pool was added.
	Version int64 `json:"v"`
	// Pools are the pools that have accepted jobs of the queue. The last one accepts new jobs.
	Pools []string `json:"p"`

	ver int64
}

func (h *queueHistory) current() string {
	if len(h.Pools) == 0 {
		return ""
	}
	return h.Pools[len(h.Pools)-1]
}

// without returns the pools other than the given one.
func (h *queueHistory) without(pool string) []string {
	return slices.DeleteFunc(slices.Clone(h.Pools), func(p string) bool { return p == pool })
}

func queueKey(queue string) rows.Key {
	return rows.Key{Table: TableQueues, Part: queuesPart, Name: queue}
}

// queueHistories caches the rows of all queues as this daemon has last read them.
type queueHistories struct {
	mu     sync.Mutex
	rows   map[string]queueHistory
	readAt time.Duration
}

// queueHistories returns the rows of all queues, read at most maxAge ago.
func (n *Node) queueHistories(ctx context.Context, maxAge time.Duration) (map[string]queueHistory, error) {
	began := n.settings.Now()
	n.histories.mu.Lock()
	cached, readAt := n.histories.rows, n.histories.readAt
	n.histories.mu.Unlock()
	if cached != nil && began-readAt < maxAge {
		return cached, nil
	}
	c, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, _, err := n.settings.Store.Read(c, TableQueues, queuesPart)
	if err != nil {
		return cached, err
	}
	out := map[string]queueHistory{}
	for _, r := range list {
		h := queueHistory{ver: r.Ver}
		if json.Unmarshal(r.Value, &h) == nil {
			out[r.Name] = h
		}
	}
	n.histories.mu.Lock()
	defer n.histories.mu.Unlock()
	if n.histories.readAt <= began {
		n.histories.rows, n.histories.readAt = out, began
	}
	return out, nil
}

// formerPools returns the pools of the configuration other than the queue's present one that may have jobs of the queue.
func (n *Node) formerPools(ctx context.Context, queue, pool string, maxAge time.Duration) ([]string, error) {
	histories, err := n.queueHistories(ctx, maxAge)
	h := histories[queue]
	return n.inConfiguration(h.without(pool)), err
}

// maxQueueAttempts bounds the attempts to write a queue's row against concurrent writes.
const maxQueueAttempts = 4

// registerQueue makes a pool the last one in the queue's row, and returns the row. It fails if a later version of the configuration than
// the given one has sent the queue elsewhere.
func (n *Node) registerQueue(ctx context.Context, pool, queue string, version int64) (*queueHistory, error) {
	for range maxQueueAttempts {
		histories, err := n.queueHistories(ctx, 0)
		if err != nil {
			return nil, err
		}
		h := histories[queue]
		switch {
		case h.current() == pool:
			return &h, nil
		case h.current() != "" && version <= h.Version:
			return nil, errQueueMoved(queue)
		}
		next := &queueHistory{Version: version, Pools: append(h.without(pool), pool)}
		err = n.writeQueueHistory(ctx, queue, h.ver, next)
		var conflict *rows.Conflict
		switch {
		case err == nil:
			n.settings.Log.Info().Str("queue", queue).Str("pool", pool).Int64("version", version).Strs("formers", h.without(pool)).Msg("pool accepts jobs of queue")
			return next, nil
		case !errors.As(err, &conflict):
			return nil, err // It may have been written: the next attempt reads it again.
		}
	}
	return nil, errors.New("cluster: the row of queue " + queue + " changes all the time")
}

// writeQueueHistory writes the row of a queue in place of the one with the given version.
func (n *Node) writeQueueHistory(ctx context.Context, queue string, ver int64, h *queueHistory) error {
	value, err := json.Marshal(h)
	if err != nil {
		return err
	}
	c, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := queueKey(queue)
	_, err = n.settings.Store.Transact(c, rows.Tx{
		Expected: []rows.Condition{{Key: key, Ver: ver}},
		Writes:   []rows.Write{{Key: key, Value: value}},
	})
	return err
}

func errQueueMoved(queue string) error {
	return errors.New("cluster: a later configuration sends queue " + queue + " to another pool")
}

// acceptQueue returns the row of a job's queue, which names the pool of the term's shard as the one that accepts new jobs. The first job
// of a queue in a term takes a read, the first one in the pool a write as well.
func (n *Node) acceptQueue(ctx context.Context, t *ownerTerm, spec *engine.Spec) (*queueHistory, error) {
	if h := t.acceptedQueue(spec.Queue); h != nil {
		return h, nil
	}
	h, err, _ := t.registering.Do(spec.Queue, func() (any, error) {
		return n.registerQueue(context.WithoutCancel(ctx), n.layout.Load().PoolOf(t.shard), spec.Queue, spec.Version())
	})
	if err != nil {
		return nil, err
	}
	t.setAccepted(spec.Queue, h.(*queueHistory))
	return h.(*queueHistory), nil
}

// heldElsewhere reports whether a former pool of the queue has the job. An owner of a former pool that answers accepts no job of the queue
// under the job's version of the configuration or an earlier one any more, so that a job that it doesn't have stays unknown there.
func (n *Node) heldElsewhere(ctx context.Context, t *ownerTerm, h *queueHistory, spec *engine.Spec) (bool, error) {
	layout := n.layout.Load()
	for _, pool := range n.inConfiguration(h.without(layout.PoolOf(t.shard))) {
		name, ok := layout.OfJob(pool, spec.ID)
		if !ok {
			return false, noOwner(pool)
		}
		if t.emptied(spec.Queue, name) {
			continue
		}
		res, err := n.attempt(ctx, name, releaseQueueRequest{Queue: spec.Queue, Version: spec.Version(), ID: spec.ID})
		reply := res.releaseQueueReply()
		if err != nil || reply.Held {
			return reply.Held, err
		}
		if reply.Empty {
			t.setEmptied(spec.Queue, name)
		}
	}
	return false, nil
}

// inConfiguration returns the pools that the configuration has.
func (n *Node) inConfiguration(pools []string) []string {
	cat := n.Catalog()
	return slices.DeleteFunc(pools, func(p string) bool {
		if cat == nil {
			return false
		}
		_, known := cat.Pool(p)
		return !known
	})
}

// submitTo executes a submission at an owner on this daemon. While it can't be told whether another pool has the job, the error has verdict
// may-have-run.
func (n *Node) submitTo(ctx context.Context, t *ownerTerm, spec *engine.Spec) error {
	if spec == nil {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "submit call has no job spec")
	}
	if h := t.acceptedQueue(spec.Queue); h != nil && len(h.Pools) == 1 {
		return t.Submit(ctx, *spec)
	}
	switch held, err := t.Holds(ctx, spec.ID); {
	case err != nil:
		return err
	case held:
		return t.Submit(ctx, *spec)
	}
	h, err := n.acceptQueue(ctx, t, spec)
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusGatewayTimeout)
	}
	if len(h.Pools) > 1 {
		held, err := n.heldElsewhere(ctx, t, h, spec)
		if err != nil || held {
			return verdict.Wrap(err, verdict.MayHaveRun, http.StatusGatewayTimeout)
		}
	}
	return t.Submit(ctx, *spec)
}

// releaseQueue executes a request of a pool that accepts the jobs of a queue from now on: this owner accepts no more of them under the
// request's version or an earlier one.
func (n *Node) releaseQueue(ctx context.Context, t *ownerTerm, r releaseQueueRequest) (releaseQueueReply, error) {
	t.release(r.Queue, r.Version)
	held, empty, err := t.ReleaseQueue(ctx, r.Queue, r.Version, r.ID)
	return releaseQueueReply{Held: held, Empty: empty}, err
}

// executeAtFormers executes a request for a job that the queue's present pool doesn't know at the pools that had the queue before. It
// returns the result of the one that knows the job.
func (n *Node) executeAtFormers(ctx context.Context, pool string, job JobRef, r request) (wireResult, error) {
	formers, err := n.formerPools(ctx, job.Queue, pool, 0)
	if err != nil {
		return wireResult{}, verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable)
	}
	for _, former := range formers {
		if res, err := n.executeForJob(ctx, former, job.ID, r); err != nil || res.Known {
			return res, err
		}
	}
	return wireResult{}, nil
}

// historyMaxAge is how old the rows of the queues may be for a count of waiting jobs.
const historyMaxAge = 2 * time.Second

// waitingAtFormers adds the waiting jobs in former pools of a queue to those in the present one.
func (n *Node) waitingAtFormers(ctx context.Context, pool, queue string, waiting int) (int, error) {
	formers, err := n.formerPools(ctx, queue, pool, historyMaxAge)
	if err != nil {
		return waiting, nil // The count of the present pool is the best known.
	}
	for _, former := range formers {
		more, err := n.waitingInPool(ctx, former, queue)
		if err != nil {
			return 0, err
		}
		waiting += more
	}
	return waiting, nil
}
