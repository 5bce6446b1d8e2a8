package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"samphirepoint/services"
	"samphirepoint/sleep"
)

// sweepPage is the number of rows that are read, and at most deleted, between two delays of a sweep.
const sweepPage = 200

// sweepDelay is the delay after each page of a sweep. It keeps a sweep below 20 reads and 200 row deletions a second.
const sweepDelay = time.Second

// Sweep deletes rows whose last change is older than Retention and returns the number of deleted rows. Each deletion
// requires the version that was read, so a row that was claimed again in between is kept.
func (s *Store) Sweep(ctx context.Context) (deleted int, err error) {
	after := ""
	for {
		rows, err := s.table.List(ctx, Prefix, after, sweepPage)
		if err != nil || len(rows) == 0 {
			return deleted, err
		}
		after = rows[len(rows)-1].Key
		for _, row := range rows {
			rec, err := decode(row.Value)
			if err != nil || s.now().Sub(rec.Updated) < Retention {
				continue
			}
			if _, err := s.commits.write(ctx, services.Write{Key: row.Key, IfVersion: row.Version, Delete: true}); err == nil {
				deleted++
			}
		}
		if sleep.Context(ctx, sweepDelay) != nil {
			return deleted, ctx.Err()
		}
	}
}

// jitter returns a random duration in [d/2, d], which spreads the retries of many processes.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
