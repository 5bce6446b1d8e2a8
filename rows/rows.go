// Package rows defines the transactional store of all state that must outlive a process:
// rows of tables, which are divided into parts, with one version counter for the whole store.
//
// An error of Transact leaves the outcome unknown, unless it is a *Conflict or verdict.Of(err) is
// verdict.NotRun. The store may execute a transaction seconds after its response was lost, if the
// conditions still hold, so each write that could overwrite newer state must be conditional on the version it replaces.
package rows

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrHistoryGone reports that the changes after the requested version are no longer available. The rows must be read again.
var ErrHistoryGone = errors.New("rows: the requested history is gone")

// ErrInvalid reports that the store refuses a transaction for what it holds, such as a value that is too long. It has not been executed,
// and would be refused again.
var ErrInvalid = errors.New("rows: the store refuses the content of the transaction")

// MaxValueBytes is the usual bound for the value of a row; a store may have another one.
const MaxValueBytes = 64 << 10

// Key identifies a row. A transaction spans rows of one part only, unless it has Across set.
type Key struct {
	Table, Part, Name string
}

// Row is a stored value. Ver 0 means that the row is absent.
type Row struct {
	Key
	Value []byte
	Ver   int64
	// Removed marks a removed row in the result of Watch.
	Removed bool
}

// Condition is the version that a row must have; 0 means that the row must be absent.
type Condition struct {
	Key
	Ver int64
}

// Write sets the value of a row.
type Write struct {
	Key
	Value []byte
}

// Tx is a transaction, which is applied atomically. MaxEntries bounds the sum of its entries.
type Tx struct {
	Expected []Condition
	Writes   []Write
	Remove   []Key
	// Across permits rows of several parts. Such a transaction takes the store twice as long, and time of each of the parts.
	Across bool
}

// Parts returns the parts that the transaction has rows of.
func (tx *Tx) Parts() []string {
	var out []string
	add := func(k Key) {
		if !slices.Contains(out, k.Part) {
			out = append(out, k.Part)
		}
	}
	for _, e := range tx.Expected {
		add(e.Key)
	}
	for _, w := range tx.Writes {
		add(w.Key)
	}
	for _, k := range tx.Remove {
		add(k)
	}
	return out
}

// MaxEntries is the maximum number of conditions, writes and removals in one transaction, all counted together.
const MaxEntries = 100

// Conflict reports that a condition did not hold. Rows are the current rows of all conditions.
type Conflict struct {
	Rows []Row
}

// Error returns a message with the number of rows.
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

// Store is a transactional store of rows.
type Store interface {
	// Transact executes a transaction and returns its version, which is the version of every row it wrote.
	Transact(ctx context.Context, tx Tx) (int64, error)
	// Read returns all rows of a table's part in key order, and the version as of which they were read.
	Read(ctx context.Context, table, part string) ([]Row, int64, error)
	// Watch returns the rows of a table that changed after a version, in order, and the version to continue
	// from. It waits up to wait for the first change. It fails with ErrHistoryGone if some changes are no longer available.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]Row, int64, error)
}
