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
	// keepVersions bounds the history of the table: at about 35 KB each these are 350 MB.
	keepVersions = 10_000
	// keepHistory bounds its age in a deployment with few changes.
	keepHistory = 365 * 24 * time.Hour
	// keepConfigOperations is far longer than an operator repeats an accept.
	keepConfigOperations = 7 * 24 * time.Hour
	// historyInterval is the time between two looks at the oldest record; 1,300 changes a day are 54 an hour.
	historyInterval = time.Hour
	// historyBatch and operationsPage bound one purge. A page of operation ids takes about 50 KB, and at 1,300 changes a
	// day all pages are read every 19 min.
	historyBatch   = 100
	operationsPage = 500
)

// retention is the progress of one holder through the rows of the table's history. Nothing in it is needed for a
// correct step.
type retention struct {
	nextHistory time.Time
	// after is the last operation id that was looked at.
	after string
}

// retain deletes rows of the table's history that are beyond keepVersions or keepHistory, and old operation ids.
func (c *Controller) retain(ctx context.Context) error {
	if err := c.retainHistory(ctx); err != nil {
		return err
	}
	return c.retainOperations(ctx)
}

// record holds the fields of a history row that decide on its age.
type historyRecord struct {
	Version int64     `json:"version"`
	At      time.Time `json:"at"`
}

// retainHistory reads the oldest record only: the keys of the others follow from the versions.
func (c *Controller) retainHistory(ctx context.Context) error {
	now, r := c.Now(), &c.term.retention
	if now.Before(r.nextHistory) {
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
	beyond := current - keepVersions
	switch {
	case len(rows) == 0 || oldest.Version >= current:
	case oldest.Version <= beyond:
		for v := oldest.Version; v <= beyond && len(deletes) < historyBatch; v++ {
			deletes = append(deletes, services.Write{Key: table.HistoryKey(v), IfVersion: services.AnyVersion, Delete: true})
		}
	case now.Sub(oldest.At) > keepHistory:
		deletes = append(deletes, services.Write{Key: rows[0].Key, IfVersion: rows[0].Version, Delete: true})
	}
	if len(deletes) == 0 {
		r.nextHistory = now.Add(historyInterval)
		return nil
	}
	return c.delete(ctx, deletes, "history")
}

// acceptedVersion returns the version in force, 0 before the first one.
func (c *Controller) acceptedVersion(ctx context.Context) (int64, error) {
	row, err := c.Table.Get(ctx, table.KeyVersion)
	if err != nil || row.Version == 0 {
		return 0, err
	}
	return strconv.ParseInt(string(row.Value), 10, 64)
}

// retainOperations looks at one page of operation ids.
func (c *Controller) retainOperations(ctx context.Context) error {
	now, r := c.Now(), &c.term.retention
	rows, err := c.Table.List(ctx, table.PrefixOperations, r.after, operationsPage)
	if err != nil {
		return err
	}
	r.after = ""
	if len(rows) == operationsPage {
		r.after = rows[len(rows)-1].Key
	}
	var deletes []services.Write
	for _, row := range rows {
		var op struct{ At time.Time }
		if err := json.Unmarshal(row.Value, &op); err != nil {
			return fmt.Errorf("row %s: %w", row.Key, err)
		}
		if now.Sub(op.At) > keepConfigOperations {
			deletes = append(deletes, services.Write{Key: row.Key, IfVersion: row.Version, Delete: true})
		}
	}
	return c.delete(ctx, deletes, "operations")
}

// delete commits deletions under the lease. A conflict leaves the rows to a later purge; a lost reply needs no
// reaction, since rows that are gone are not listed again.
func (c *Controller) delete(ctx context.Context, deletes []services.Write, what string) error {
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
	c.Log.Info().Str("rows", what).Int("count", len(deletes)).Msg("old rows deleted")
	return nil
}
