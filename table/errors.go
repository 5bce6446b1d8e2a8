package table

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Errors of the store that carry no details.
var (
	// ErrNoDraft reports that there is no draft to accept or discard.
	ErrNoDraft = errors.New("there is no draft")
	// ErrNoChange reports a draft that equals the accepted table.
	ErrNoChange = errors.New("the draft changes nothing")
	// ErrContention reports that other operators kept changing the draft; nothing was written.
	ErrContention = errors.New("other operators are changing the draft, nothing was written; try again")
	// ErrOperationReused reports an operation id that another operator used before.
	ErrOperationReused = errors.New("the operation id belongs to another operator's change; use a new one")
)

// Problem describes a value that the table does not accept.
type Problem struct {
	// Cell is written as BACKER.COLUMN, pools/POOL.COLUMN or queues/QUEUE.COLUMN. A star in
	// place of the row stands for the whole column.
	Cell     string `json:"cell"`
	Value    string `json:"value"`
	Expected string `json:"expected"`
	// Line is the line of a CSV file, 0 for other sources.
	Line int `json:"line,omitempty"`
	// Excess is above 0 for a problem that depends on the size of the fleet: the distance, in
	// slots or instances, between the value and the nearest accepted one.
	Excess int `json:"excess,omitempty"`
}

// String describes the problem in one line.
func (p Problem) String() string {
	text := fmt.Sprintf("%s = %q: expected %s", p.Cell, p.Value, p.Expected)
	if p.Line > 0 {
		return fmt.Sprintf("line %d: %s", p.Line, text)
	}
	return text
}

// InvalidError lists every problem of a document, a set of edits or a CSV file.
type InvalidError struct {
	Problems []Problem
}

// Error lists the problems, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// problemsError returns an *InvalidError, or nil if there are no problems.
func problemsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: problems}
}

// Conflict is a cell that changed after the operator read it.
type Conflict struct {
	Cell
	// Base is the value that the operator read, Current the present one and Value the requested one.
	Base    string `json:"base"`
	Current string `json:"current"`
	Value   string `json:"value"`
	// Operator made the conflicting change, at time At. Both are empty if the change was not found.
	Operator string    `json:"operator,omitempty"`
	At       time.Time `json:"at,omitzero"`
	// Version is the accepted version that holds the change, 0 while it is in the draft.
	Version int64 `json:"version,omitempty"`
}

// String describes the conflict in one line.
func (c Conflict) String() string {
	operator := "another operator"
	if c.Operator != "" {
		operator = c.Operator
	}
	location := "in the draft"
	if c.Version > 0 {
		location = fmt.Sprintf("in version %d", c.Version)
	}
	return fmt.Sprintf("%s: %s changed it from %q to %q %s, %q was not set", c.Cell, operator, c.Base, c.Current, location, c.Value)
}

// ConflictError lists the cells that others changed after the operator read them. Nothing was written.
type ConflictError struct {
	Conflicts []Conflict
}

// Error lists the conflicts, one a line.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		lines[i] = c.String()
	}
	return strings.Join(lines, "\n")
}

// DraftChangedError reports that the draft is not the one that the operator read. Nothing was written.
type DraftChangedError struct {
	// Observed and Present are row versions of the draft, as the operator read it and as it is now.
	// Present is 0 if there is no draft.
	Observed, Present int64
	// Accepted is the version in force.
	Accepted int64
}

// Error names both versions.
func (e *DraftChangedError) Error() string {
	if e.Present == 0 {
		return fmt.Sprintf("there is no draft %d; it was accepted or discarded in the meantime, and version %d is in force", e.Observed, e.Accepted)
	}
	return fmt.Sprintf("draft %d was changed or replaced in the meantime; read draft %d", e.Observed, e.Present)
}

// StaleDraftError reports a draft whose base version is no longer in force. Nothing was written.
type StaleDraftError struct {
	Base, Accepted int64
}

// Error names both versions.
func (e *StaleDraftError) Error() string {
	return fmt.Sprintf("the draft is based on version %d and version %d is in force; edit a cell to rebase the draft, or discard it", e.Base, e.Accepted)
}

// UnknownOutcomeError reports a write that may or may not have taken effect, since the table did
// not answer. A retry with the same operation id is safe. It does not unwrap Err, which may come from
// a later read and carry the verdict NotRun.
type UnknownOutcomeError struct {
	Operation string
	Err       error
}

// Error names the operation.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("operation %s may have taken effect, repeat it with the same operation id: %v", e.Operation, e.Err)
}
