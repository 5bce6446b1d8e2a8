package table

import (
	"context"
	"crypto/rand"
	"errors"
	"slices"
	"time"

	"samphirepoint/services"
)

// Draft is a set of changes that operators prepare together. There is at most one draft.
type Draft struct {
	// ID identifies the draft. The id of a discarded draft is not used again.
	ID string `json:"id"`
	// Base is the accepted version that the draft changes.
	Base int64 `json:"base"`
	// Changes holds the latest change of each cell and its author. Before is the accepted value.
	Changes []Change `json:"changes"`
	// Operations holds the operation ids of the latest edits.
	Operations []string `json:"operations"`

	// Version is the version of the draft's row, 0 if there is no draft.
	Version int64 `json:"-"`
	// Current is the accepted document.
	Current *Document `json:"-"`
	// Document is Current with all changes. It is nil if Conflicts is not empty.
	Document *Document `json:"-"`
	// Conflicts lists the cells of the draft whose accepted value is neither the draft's base
	// value nor its new one, because another version came into force since.
	Conflicts []Conflict `json:"-"`

	currentRowVersion int64
}

// Effective returns the changes that differ from the accepted document.
func (d *Draft) Effective() []Change {
	return slices.DeleteFunc(slices.Clone(d.Changes), func(c Change) bool { return c.Before == c.After })
}

// Problems returns the problems that prevent the draft from being accepted on a fleet of the given size.
func (d *Draft) Problems(size FleetSize) []Problem {
	if d.Document == nil || len(d.Effective()) == 0 {
		return nil
	}
	var invalid *InvalidError
	if errors.As(ValidateChange(d.Current, d.Document, size), &invalid) {
		return invalid.Problems
	}
	return nil
}

// draftReadAttempts bounds the attempts to read a draft while operators accept it and create new ones.
const draftReadAttempts = 5

// Draft returns the draft. Without one, Version is 0 and Document equals the accepted document.
func (s *Store) Draft(ctx context.Context) (*Draft, error) {
	for range draftReadAttempts {
		draft, err := s.readDraft(ctx)
		if err != nil {
			return nil, err
		}
		if draft.Current, draft.currentRowVersion, err = s.readCurrent(ctx); err != nil {
			return nil, err
		}
		if draft.Version == 0 || draft.Base == draft.Current.Version {
			return draft, draft.compose(nil)
		}
		// The two rows are not read atomically: an accept may have taken effect between the reads.
		again, err := s.get(ctx, KeyDraft)
		if err != nil {
			return nil, err
		}
		if again.Version == draft.Version {
			return draft, draft.compose(nil)
		}
	}
	return nil, ErrContention
}

func (s *Store) readDraft(ctx context.Context) (*Draft, error) {
	var draft Draft
	row, err := s.get(ctx, KeyDraft)
	if err != nil || row.Version == 0 {
		return &draft, err
	}
	err = decodeRow(row, &draft)
	draft.Version = row.Version
	return &draft, err
}

// compose applies the draft's changes to the accepted document, except those in the cells of skip.
func (d *Draft) compose(skip []Edit) error {
	skipped := map[Cell]bool{}
	for _, e := range skip {
		skipped[e.Cell] = true
	}
	kept := slices.DeleteFunc(slices.Clone(d.Changes), func(c Change) bool { return skipped[c.Cell] })
	doc, err := Apply(d.Current, Edits(kept))
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		d.Conflicts = conflict.Conflicts
		return nil
	}
	if err != nil {
		return err
	}
	if d.Version == 0 {
		d.Base = d.Current.Version
	}
	d.Document, d.Conflicts = doc, nil
	return nil
}

// rebase moves the draft onto the version in force. Changes in the cells of the new edits are
// dropped, so that an operator can resolve conflicts by editing these cells.
func (d *Draft) rebase(edits []Edit) error {
	if d.Version == 0 || d.Base == d.Current.Version {
		return nil
	}
	if err := d.compose(edits); err != nil {
		return err
	}
	if d.Document == nil {
		return &ConflictError{Conflicts: d.Conflicts}
	}
	d.Base = d.Current.Version
	changes := Diff(d.Current, d.Document)
	for i := range changes {
		if old := d.findChange(changes[i].Cell); old != nil {
			changes[i].Operator, changes[i].At = old.Operator, old.At
		}
	}
	d.Changes = changes
	return nil
}

// findChange returns the draft's change of a cell, nil if it has none.
func (d *Draft) findChange(c Cell) *Change {
	i := slices.IndexFunc(d.Changes, func(change Change) bool { return change.Cell == c })
	if i < 0 {
		return nil
	}
	return &d.Changes[i]
}

// merge adds an operator's changes of the draft's document to the draft.
func (d *Draft) merge(changes []Change, operator string, at time.Time) {
	position := map[Cell]int{}
	for i, c := range d.Changes {
		position[c.Cell] = i
	}
	for _, c := range changes {
		c.Before, c.Operator, c.At = d.Current.Value(c.Cell), operator, at
		if i, ok := position[c.Cell]; ok {
			d.Changes[i] = c
		} else {
			d.Changes = append(d.Changes, c)
		}
	}
}

// SetCells applies edits to the draft, which it creates if there is none, and returns the draft. Edits
// of different cells by several operators merge. If a cell holds neither the base nor the requested
// value of its edit, nothing is written and a *ConflictError names the cells and their authors.
// operation identifies the edits: a resubmission with the same id has no further effect.
func (s *Store) SetCells(ctx context.Context, operation, operator string, edits []Edit) (*Draft, error) {
	if err := checkIdentity(operation, operator); err != nil {
		return nil, err
	}
	if len(edits) == 0 {
		return nil, problemsError([]Problem{{Cell: "edits", Value: "none", Expected: "at least one edit"}})
	}
	return s.editDraft(ctx, operation, operator, func(context.Context, *Draft) ([]Edit, error) { return edits, nil })
}

// Import applies the changes made in a CSV file to the draft. Cells that others have changed since
// the file was exported conflict if the file changes them too, and are kept otherwise.
func (s *Store) Import(ctx context.Context, operation, operator string, doc *Document, origin Origin) (*Draft, error) {
	if err := checkIdentity(operation, operator); err != nil {
		return nil, err
	}
	return s.editDraft(ctx, operation, operator, func(ctx context.Context, draft *Draft) ([]Edit, error) {
		base, err := s.originDocument(ctx, draft, origin)
		if err != nil {
			return nil, err
		}
		return Edits(Diff(base, doc)), nil
	})
}

// originDocument returns the document that a CSV file was exported from.
func (s *Store) originDocument(ctx context.Context, draft *Draft, o Origin) (*Document, error) {
	switch {
	case o.Draft == 0:
		return s.AcceptedDocument(ctx, o.Version)
	case o.Draft == draft.Version && draft.Document != nil:
		return draft.Document, nil
	}
	// Earlier states of a draft are not stored.
	return nil, &DraftChangedError{Observed: o.Draft, Present: draft.Version, Accepted: draft.Current.Version}
}

func (s *Store) editDraft(ctx context.Context, operation, operator string, edits func(context.Context, *Draft) ([]Edit, error)) (*Draft, error) {
	// base is the accepted version that the latest planned writes are based on.
	var base int64
	newID := rand.Text()
	err := s.runTransaction(ctx, transaction{
		id: operation,
		plan: func(ctx context.Context) ([]services.Write, bool, error) {
			draft, err := s.Draft(ctx)
			if err != nil {
				return nil, false, err
			}
			base = draft.Current.Version
			if slices.Contains(draft.Operations, operation) {
				return nil, true, nil
			}
			requested, err := edits(ctx, draft)
			if err != nil || len(requested) == 0 {
				return nil, err == nil, err
			}
			changed, err := s.applyEdits(ctx, draft, operator, requested)
			if err != nil || !changed {
				return nil, err == nil, err
			}
			return draftWrites(draft, operation, newID)
		},
		applied: func(ctx context.Context) (bool, error) { return s.editApplied(ctx, operation, base) },
	})
	if err != nil {
		return nil, err
	}
	var draft *Draft
	err = s.readBack(ctx, operation, func() (err error) {
		draft, err = s.Draft(ctx)
		return err
	})
	return draft, err
}

// applyEdits applies the edits to the draft and reports whether they change it.
func (s *Store) applyEdits(ctx context.Context, draft *Draft, operator string, edits []Edit) (bool, error) {
	changes, err := draft.planEdits(edits)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		s.attributeConflicts(ctx, draft, conflict.Conflicts)
	}
	if err != nil || len(changes) == 0 {
		return false, err
	}
	draft.merge(changes, operator, s.opt.Now().UTC())
	return true, nil
}

// planEdits rebases the draft if needed and returns the changes that the edits make to its document.
func (d *Draft) planEdits(edits []Edit) ([]Change, error) {
	if err := d.rebase(edits); err != nil {
		return nil, err
	}
	next, err := Apply(d.Document, edits)
	if err != nil {
		return nil, err
	}
	return Diff(d.Document, next), nil
}

func draftWrites(draft *Draft, operation, newID string) ([]services.Write, bool, error) {
	if draft.Version == 0 {
		draft.ID = newID
	}
	draft.Operations = append(draft.Operations, operation)
	draft.Operations = draft.Operations[max(0, len(draft.Operations)-maxDraftOperations):]
	value, err := encode(draft)
	if err != nil {
		return nil, false, err
	}
	return []services.Write{
		{Key: KeyDraft, IfVersion: draft.Version, Value: value},
		{Key: KeyCurrent, IfVersion: draft.currentRowVersion, Check: true},
	}, false, nil
}

// editApplied reports whether the edit is in the draft or, if the draft has been accepted since, in
// the version after base, the only one that can contain it.
func (s *Store) editApplied(ctx context.Context, operation string, base int64) (bool, error) {
	draft, err := s.readDraft(ctx)
	if err != nil || slices.Contains(draft.Operations, operation) {
		return err == nil, err
	}
	current, _, err := s.readCurrent(ctx)
	if err != nil || current.Version == base {
		return false, err
	}
	rows, err := s.list(ctx, PrefixHistory, HistoryKey(base), 1)
	if err != nil || len(rows) == 0 {
		return false, err
	}
	var record Record
	err = decodeRow(rows[0], &record)
	return slices.Contains(record.Edits, operation), err
}

// attributeConflicts sets the operator who changed each cell: the author of the change in the draft, or
// else of the latest accepted change. If the history cannot be read, the operator stays empty.
func (s *Store) attributeConflicts(ctx context.Context, draft *Draft, conflicts []Conflict) {
	var history []Record
	for i := range conflicts {
		c := &conflicts[i]
		if change := draft.findChange(c.Cell); change != nil && change.After == c.Current {
			c.Operator, c.At = change.Operator, change.At
			continue
		}
		if history == nil {
			history, _ = s.History(ctx, 0, attributionDepth)
		}
		c.findAuthor(history)
	}
}

// findAuthor sets the operator, time and version of the latest change of the cell in history.
func (c *Conflict) findAuthor(history []Record) {
	for _, r := range history {
		for _, change := range r.Changes {
			if change.Cell == c.Cell {
				c.Operator, c.At, c.Version = change.Operator, change.At, r.Version
				return
			}
		}
	}
}
