package table

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"samphirepoint/services"
)

// AcceptRequest asks to put the draft in force.
type AcceptRequest struct {
	// Operation identifies the request; a repeat returns the version of the first one.
	Operation string
	Operator  string
	Reason    string
	// Draft is the row version of the draft that the operator reviewed. If it is 0, whatever is
	// in the draft is accepted.
	Draft int64
}

// Accepted is the outcome of an accept.
type Accepted struct {
	Version int64
	// Repeated reports that the operation had been accepted before.
	Repeated bool
	// Document is the accepted document. It is nil if the outcome was read back, since the first
	// attempt may have accepted a later state of the draft.
	Document *Document
}

// Accept puts the draft in force in one transaction: it writes config/current, config/version, the
// history and the operation id and removes the draft, on condition that neither the accepted version nor the
// draft changed since they were read.
func (s *Store) Accept(ctx context.Context, req AcceptRequest) (Accepted, error) {
	if err := checkAccept(req); err != nil {
		return Accepted{}, err
	}
	var result Accepted
	found := func(ctx context.Context) (bool, error) {
		op, ok, err := s.operation(ctx, req.Operation)
		if err == nil && ok && op.Operator != req.Operator {
			return false, ErrOperationReused
		}
		if ok {
			result.Version, result.Document = op.Version, nil
		}
		return ok, err
	}
	err := s.run(ctx, transaction{
		id: req.Operation,
		plan: func(ctx context.Context) ([]services.Write, bool, error) {
			if ok, err := found(ctx); ok || err != nil {
				result.Repeated = ok
				return nil, ok, err
			}
			doc, writes, err := s.planAccept(ctx, req)
			if err == nil {
				result.Version, result.Document = doc.Version, doc
				return writes, false, nil
			}
			// An earlier attempt through another entry may have taken effect since the first look.
			if ok, lookupErr := found(ctx); ok && lookupErr == nil {
				result.Repeated = true
				return nil, true, nil
			}
			return nil, false, err
		},
		applied: found,
	})
	if err != nil {
		return Accepted{}, err
	}
	return result, nil
}

func (s *Store) planAccept(ctx context.Context, req AcceptRequest) (*Document, []services.Write, error) {
	draft, err := s.Draft(ctx)
	if err != nil {
		return nil, nil, err
	}
	if err := s.checkDraft(draft, req.Draft); err != nil {
		return nil, nil, err
	}
	doc := draft.Document
	doc.Version = max(draft.currentRow, draft.Current.Version) + 1
	record := Record{
		Version: doc.Version, Base: draft.Base, Operation: req.Operation, Operator: req.Operator, Reason: req.Reason,
		At: s.opt.Now().UTC(), Changes: draft.Effective(), Edits: draft.Operations, Document: doc,
	}
	writes, err := acceptWrites(record, draft.currentRow)
	if err != nil {
		return nil, nil, err
	}
	writes = append(writes, services.Write{Key: KeyDraft, IfVersion: draft.Version, Delete: true})
	return doc, writes, nil
}

// checkDraft refuses a draft that cannot be accepted or is not the one the operator saw.
func (s *Store) checkDraft(draft *Draft, seen int64) error {
	switch {
	case seen != 0 && draft.Version != seen:
		return &DraftChangedError{Seen: seen, Present: draft.Version, Accepted: draft.Current.Version}
	case draft.Version == 0:
		return ErrNoDraft
	case draft.Base != draft.Current.Version:
		return &StaleDraftError{Base: draft.Base, Accepted: draft.Current.Version}
	case len(draft.Effective()) == 0:
		return ErrNoChange
	}
	return ValidateChange(draft.Current, draft.Document, s.opt.Size())
}

// acceptWrites returns the writes that put a document in force over the given row version.
func acceptWrites(r Record, currentRow int64) ([]services.Write, error) {
	current, err := encode(r.Document)
	if err != nil {
		return nil, err
	}
	history, err := encode(r)
	if err != nil {
		return nil, err
	}
	operation, err := encode(operationRow{Version: r.Version, Operator: r.Operator, At: r.At})
	if err != nil {
		return nil, err
	}
	return []services.Write{
		{Key: KeyCurrent, IfVersion: currentRow, Value: current},
		{Key: KeyVersion, IfVersion: services.AnyVersion, Value: strconv.AppendInt(nil, r.Version, 10)},
		{Key: HistoryKey(r.Version), IfVersion: 0, Value: history},
		{Key: PrefixOperations + r.Operation, IfVersion: 0, Value: operation},
	}, nil
}

// DraftRef names the draft that an operator wants to discard. The zero value means whichever is there.
type DraftRef struct {
	// Draft is the row version of the draft and Base the accepted version it changes.
	Draft, Base int64
}

// Discard removes the draft. With seen set, a draft that was changed since is kept, and one that is
// already gone counts as discarded unless it was accepted.
func (s *Store) Discard(ctx context.Context, seen DraftRef) error {
	var planned presentDraft
	return s.run(ctx, transaction{
		id: "discard",
		plan: func(ctx context.Context) ([]services.Write, bool, error) {
			present, err := s.present(ctx)
			if err != nil {
				return nil, false, err
			}
			if done, err := checkDiscard(seen, present.DraftRef); done || err != nil {
				return nil, done, err
			}
			planned = present
			return []services.Write{{Key: KeyDraft, IfVersion: present.Draft, Delete: true}}, false, nil
		},
		applied: func(ctx context.Context) (bool, error) {
			present, err := s.present(ctx)
			return err == nil && present.id != planned.id && present.Base == planned.Base, err
		},
	})
}

type presentDraft struct {
	DraftRef
	id string
}

// present returns the draft and the version in force. It does not compose the draft, so that a
// damaged one can be discarded as well.
func (s *Store) present(ctx context.Context) (presentDraft, error) {
	row, err := s.get(ctx, KeyDraft)
	if err != nil {
		return presentDraft{}, err
	}
	current, _, err := s.readCurrent(ctx)
	if err != nil {
		return presentDraft{}, err
	}
	var draft Draft
	if row.Version > 0 && json.Unmarshal(row.Value, &draft) != nil {
		draft.ID = "damaged"
	}
	return presentDraft{DraftRef{Draft: row.Version, Base: current.Version}, draft.ID}, nil
}

// checkDiscard reports whether the draft is gone already, or refuses to discard another one.
func checkDiscard(seen, present DraftRef) (done bool, err error) {
	switch {
	case seen.Draft == 0 && present.Draft == 0:
		return false, ErrNoDraft
	case seen.Draft == 0 || seen.Draft == present.Draft:
		return false, nil
	case present == DraftRef{Base: seen.Base}:
		return true, nil
	}
	return false, &DraftChangedError{Seen: seen.Draft, Present: present.Draft, Accepted: present.Base}
}

// bootstrapOperation is the operation id of the first version.
const bootstrapOperation = "bootstrap"

// Bootstrap accepts doc as the first version if none is in force, and returns the version in force.
// Several entries may call it at once; one of them wins.
func (s *Store) Bootstrap(ctx context.Context, doc *Document, operator, reason string) (*Document, error) {
	if err := Validate(doc, s.opt.Size()); err != nil {
		return nil, err
	}
	err := s.run(ctx, transaction{
		id: bootstrapOperation,
		plan: func(ctx context.Context) ([]services.Write, bool, error) {
			current, row, err := s.readCurrent(ctx)
			if err != nil || row != 0 {
				return nil, err == nil, err
			}
			first := doc.Clone()
			first.Version = 1
			at := s.opt.Now().UTC()
			record := Record{Version: 1, Operation: bootstrapOperation, Operator: operator, Reason: reason, At: at, Document: first}
			record.Changes = Diff(current, first)
			for i := range record.Changes {
				record.Changes[i].Operator, record.Changes[i].At = operator, at
			}
			writes, err := acceptWrites(record, 0)
			return writes, false, err
		},
		applied: func(ctx context.Context) (bool, error) {
			_, row, err := s.readCurrent(ctx)
			return row != 0, err
		},
	})
	if err != nil {
		return nil, err
	}
	var current *Document
	err = s.readBack(ctx, bootstrapOperation, func() (err error) {
		current, err = s.Current(ctx)
		return err
	})
	return current, err
}

func checkAccept(req AcceptRequest) error {
	if err := checkIdentity(req.Operation, req.Operator); err != nil {
		return err
	}
	if reason := strings.TrimSpace(req.Reason); reason == "" || len(reason) > maxReasonBytes {
		return invalid([]Problem{{Cell: "reason", Value: req.Reason, Expected: fmt.Sprintf("a reason of 1 to %d bytes for the history", maxReasonBytes)}})
	}
	return nil
}

// checkIdentity checks ids that become keys or names in the history.
func checkIdentity(operation, operator string) error {
	var problems []Problem
	if !validName(operation) {
		problems = append(problems, Problem{Cell: "operation", Value: operation, Expected: "as operation id " + expectName})
	}
	if operator == "" {
		problems = append(problems, Problem{Cell: "operator", Expected: "the name of an operator"})
	}
	return invalid(problems)
}
