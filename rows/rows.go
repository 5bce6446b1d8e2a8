// Package rows describes the transactional rows that hold all that must outlive a process:
// rows of tables, divided into parts, with one counter of versions for the whole store.
//
// An error of Transact leaves the outcome unknown, unless it is a *Conflict or verdict.Of(err) is
// verdict.NotRun. A transaction without an answer may be carried out seconds later if its
// conditions still hold, so each write that could overwrite newer state names the version it replaces.
package rows

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrHistoryGone reports that the changes after the requested version are no longer kept: read the rows anew.
var ErrHistoryGone = errors.New("rows: the requested history is gone")

// Key names a row. Transactions span rows of one part.
type Key struct {
	Table, Part, Name string
}

// Row is a stored value. Ver 0 means that the row is absent.
type Row struct {
	Key
	Value []byte
	Ver   int64
	// Removed marks a dropped row in the answer of Watch.
	Removed bool
}

// Condition is a version that a row must have; 0 means absent.
type Condition struct {
	Key
	Ver int64
}

// Write sets a row.
type Write struct {
	Key
	Value []byte
}

// Tx is applied whole or not at all. MaxEntries bounds the sum of its entries.
type Tx struct {
	Expected []Condition
	Writes   []Write
	Remove   []Key
}

// MaxEntries is how many conditions, writes and removals one transaction may hold together.
const MaxEntries = 100

// Conflict reports that a condition did not hold; Rows are the rows of the conditions as they are.
type Conflict struct {
	Rows []Row
}

// Error names the number of rows.
func (c *Conflict) Error() string {
	return fmt.Sprintf("rows: a condition does not hold (%d rows returned)", len(c.Rows))
}

// Find returns the row with key k, or one with Ver 0.
func (c *Conflict) Find(k Key) Row {
	for _, r := range c.Rows {
		if r.Key == k {
			return r
		}
	}
	return Row{Key: k}
}

// Store keeps the rows.
type Store interface {
	// Transact returns the version of the transaction, which is that of every row it wrote.
	Transact(ctx context.Context, tx Tx) (int64, error)
	// Read returns all rows of a table's part in key order, and the version as of which they were read.
	Read(ctx context.Context, table, part string) ([]Row, int64, error)
	// Watch returns the rows of a table that changed after a version, in order, waiting up to wait for the
	// first one, and the version to continue from. It fails with ErrHistoryGone.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error)
}
