package cluster

import (
	"sync"

	"golang.org/x/sync/singleflight"

	"samphirepoint/owner"
)

// ownerTerm is a term of an owner on this daemon, with what it knows of the queues whose jobs it accepts.
type ownerTerm struct {
	*owner.Owner
	shard string

	// registering makes concurrent first jobs of a queue share one write of its row.
	registering singleflight.Group

	mu sync.Mutex
	// accepted holds, by queue, the row under which the pool accepts the queue's jobs.
	accepted map[string]*queueHistory
	// released holds, by queue, the version of the configuration up to which the jobs of the queue are accepted by another pool.
	released map[string]int64
	// empty holds the shards of former pools that have no job of the queue any more.
	empty map[emptiedShard]bool
}

type emptiedShard struct{ queue, shard string }

func newOwnerTerm(shard string, o *owner.Owner) *ownerTerm {
	return &ownerTerm{
		Owner:    o,
		shard:    shard,
		accepted: map[string]*queueHistory{},
		released: map[string]int64{},
		empty:    map[emptiedShard]bool{},
	}
}

// acceptedQueue returns the row under which the term accepts jobs of the queue, or nil.
func (t *ownerTerm) acceptedQueue(queue string) *queueHistory {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.accepted[queue]
	if until, ok := t.released[queue]; h == nil || ok && h.Version <= until {
		return nil
	}
	return h
}

func (t *ownerTerm) setAccepted(queue string, h *queueHistory) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted[queue] = h
}

// release records that another pool accepts the jobs of the queue up to a version of the configuration.
func (t *ownerTerm) release(queue string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.released[queue] = max(t.released[queue], version)
	for e := range t.empty {
		if e.queue == queue {
			delete(t.empty, e)
		}
	}
}

// emptied reports whether a shard of a former pool is known to have no job of the queue any more.
func (t *ownerTerm) emptied(queue, shard string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.empty[emptiedShard{queue, shard}]
}

func (t *ownerTerm) setEmptied(queue, shard string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.empty[emptiedShard{queue, shard}] = true
}
