package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"samphirepoint/services"
	"samphirepoint/table"
)

const (
	// maxHistoryVersions bounds the number of versions in the history of the table: at about 35 KB each they take
	// 350 MB.
	maxHistoryVersions = 10_000
	// maxHistoryAge bounds the age of the history in a deployment with few changes.
	maxHistoryAge = 365 * 24 * time.Hour
	// configOperationRetention is far longer than the time in which an operator repeats an accept.
	configOperationRetention = 7 * 24 * time.Hour
	// historyPurgeInterval is the time between two checks of the oldest record; 1,300 changes a day are 54 an hour.
	historyPurgeInterval = time.Hour
	// historyPurgeBatch and operationsPageSize bound one purge. A page of operation ids takes about 50 KB, and at 1,300
	// changes a day all pages are read every 19 min.
	historyPurgeBatch  = 100
	operationsPageSize = 500
)

// retentionState is the progress of one lease holder through the rows of the table's history. No step depends on it for
// correctness.
type retentionState struct {
	nextHistoryPurge time.Time
	// after is the key of the last operation row that was checked, or "" to start again with the first.
	after string
}

// applyRetention deletes rows of the table's history that exceed maxHistoryVersions or maxHistoryAge, and old operation
// ids.
func (c *Controller) applyRetention(ctx context.Context) error {
	if err := c.purgeHistory(ctx); err != nil {
		return err
	}
	return c.purgeOperations(ctx)
}

// historyRecord holds the fields of a history row that decide whether it is deleted.
type historyRecord struct {
	Version int64     `json:"version"`
	At      time.Time `json:"at"`
}

// purgeHistory deletes a batch of history rows. It reads the oldest record only: the keys of the others follow from the
// versions.
func (c *Controller) purgeHistory(ctx context.Context) error {
	now, r := c.Now(), &c.term.retention
	if now.Before(r.nextHistoryPurge) {
		return nil
	}
	current, err := c.acceptedVersion(ctx)
	if err != nil || current == 0 {
		return err
	}
	rows, err := c.Table.List(ctx, table.PrefixHistory, "", 1)
	if err != nil {
		return err
	}
	var oldest historyRecord
	if len(rows) > 0 {
		if err := json.Unmarshal(rows[0].Value, &oldest); err != nil {
			return fmt.Errorf("row %s: %w", rows[0].Key, err)
		}
	}
	var deletes []services.Write
	newestExcess := current - maxHistoryVersions
	switch {
	case len(rows) == 0 || oldest.Version >= current:
	case oldest.Version <= newestExcess:
		for v := oldest.Version; v <= newestExcess && len(deletes) < historyPurgeBatch; v++ {
			deletes = append(deletes, services.Write{Key: table.HistoryKey(v), IfVersion: services.AnyVersion, Delete: true})
		}
	case now.Sub(oldest.At) > maxHistoryAge:
		deletes = append(deletes, services.Write{Key: rows[0].Key, IfVersion: rows[0].Version, Delete: true})
	}
	if len(deletes) == 0 {
		r.nextHistoryPurge = now.Add(historyPurgeInterval)
		return nil
	}
	return c.delete(ctx, deletes, "history")
}

// acceptedVersion returns the version in force, or 0 before the first one.
func (c *Controller) acceptedVersion(ctx context.Context) (int64, error) {
	row, err := c.Table.Get(ctx, table.KeyVersion)
	if err != nil || row.Version == 0 {
		return 0, err
	}
	return strconv.ParseInt(string(row.Value), 10, 64)
}

// purgeOperations deletes the old operation ids of one page.
func (c *Controller) purgeOperations(ctx context.Context) error {
	now, r := c.Now(), &c.term.retention
	rows, err := c.Table.List(ctx, table.PrefixOperations, r.after, operationsPageSize)
	if err != nil {
		return err
	}
	r.after = ""
	if len(rows) == operationsPageSize {
		r.after = rows[len(rows)-1].Key
	}
	var deletes []services.Write
	for _, row := range rows {
		var op struct{ At time.Time }
		if err := json.Unmarshal(row.Value, &op); err != nil {
			return fmt.Errorf("row %s: %w", row.Key, err)
		}
		if now.Sub(op.At) > configOperationRetention {
			deletes = append(deletes, services.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
		}
	}
	return c.delete(ctx, deletes, "operations")
}

// delete commits deletions under the lease. After a conflict, a later purge deletes the rows. A lost reply needs no
// handling, since deleted rows are not listed again.
func (c *Controller) delete(ctx context.Context, deletes []services.Write, kind string) error {
	if len(deletes) == 0 {
		return nil
	}
	condition, err := c.Lease.Condition()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if _, err := c.Table.Commit(ctx, append([]services.Write{condition}, deletes...)); err != nil {
		if errors.Is(err, services.ErrConflict) {
			return nil
		}
		return err
	}
	c.Log.Info().Str("rows", kind).Int("count", len(deletes)).Msg("old rows deleted")
	return nil
}
