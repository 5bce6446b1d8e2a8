package claim

import (
	"context"
	"errors"
	"time"

	"samphirepoint/services"
)

const (
	// commitWindow is the longest time that a write waits for other writes to share its transaction.
	commitWindow = 5 * time.Millisecond
	// maxBatch bounds the number of rows in one transaction.
	maxBatch = 64
	// maxConcurrentCommits bounds the transactions in flight, so that a slow table is not overloaded.
	maxConcurrentCommits = 4
	// commitTimeout bounds the duration of one transaction.
	commitTimeout = time.Second
)

// committer batches single-row writes into shared transactions (group commit).
type committer struct {
	table   services.Table
	pending chan *pendingWrite
	slots   chan struct{}
}

type pendingWrite struct {
	write services.Write
	done  chan commitResult
}

type commitResult struct {
	version int64
	err     error
}

func newCommitter(t services.Table) *committer {
	return &committer{
		table:   t,
		pending: make(chan *pendingWrite, maxBatch),
		slots:   make(chan struct{}, maxConcurrentCommits),
	}
}

// run forms and commits batches until ctx ends. Writes that are still pending then fail when their caller's context
// ends.
func (c *committer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.pending:
			batch := c.collect(ctx, first)
			select {
			case c.slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			go func() {
				c.commit(ctx, batch)
				<-c.slots
			}()
		}
	}
}

func (c *committer) collect(ctx context.Context, first *pendingWrite) []*pendingWrite {
	batch := []*pendingWrite{first}
	rows := map[string]bool{first.write.Key: true}
	timer := time.NewTimer(commitWindow)
	defer timer.Stop()
	for len(batch) < maxBatch {
		select {
		case p := <-c.pending:
			if rows[p.write.Key] {
				// Two writes of one row cannot share a transaction, because the second one would conflict with the first.
				go c.commit(ctx, []*pendingWrite{p})
				continue
			}
			rows[p.write.Key] = true
			batch = append(batch, p)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// commit writes a batch. A failed condition on one row fails the whole transaction; the two halves of the batch are
// then committed separately, so one such row costs about 2 log2(batch) additional transactions.
func (c *committer) commit(ctx context.Context, batch []*pendingWrite) {
	versions, err := c.transact(ctx, batch)
	if errors.Is(err, services.ErrConflict) && len(batch) > 1 {
		half := len(batch) / 2
		c.commit(ctx, batch[:half])
		c.commit(ctx, batch[half:])
		return
	}
	for i, p := range batch {
		if err != nil {
			p.done <- commitResult{err: err}
			continue
		}
		p.done <- commitResult{version: versions[i]}
	}
}

func (c *committer) transact(ctx context.Context, batch []*pendingWrite) ([]int64, error) {
	writes := make([]services.Write, len(batch))
	for i, p := range batch {
		writes[i] = p.write
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return c.table.Commit(ctx, writes)
}

// write adds w to the next transaction and waits for its outcome.
func (c *committer) write(ctx context.Context, w services.Write) (int64, error) {
	p := &pendingWrite{write: w, done: make(chan commitResult, 1)}
	select {
	case c.pending <- p:
	case <-ctx.Done():
		return 0, errNeverSent
	}
	select {
	case r := <-p.done:
		return r.version, r.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// errNeverSent reports that the write was not part of any transaction.
var errNeverSent = errors.New("claim: write was not sent to the table in time")
