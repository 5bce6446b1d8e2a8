package table

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"samphirepoint/services"
)

// AcceptRequest is a request to put the draft in force.
type AcceptRequest struct {
	// Operation identifies the request; a resubmission returns the version of the first one.
	Operation string
	Operator  string
	Reason    string
	// Draft is the row version of the draft that the operator reviewed. If it is 0, the draft is
	// accepted in its present state.
	Draft int64
}

// Accepted is the outcome of an accept.
type Accepted struct {
	Version int64
	// Repeated reports that an earlier request with the same operation id was accepted.
	Repeated bool
	// Document is the accepted document. It is nil if the outcome was read from the operation's row,
	// since the first attempt may have accepted a later state of the draft.
	Document *Document
}

// Accept puts the draft in force in one transaction: it writes config/current, config/version, the
// history and the operation id and deletes the draft, on condition that neither the accepted version
// nor the draft has changed since they were read.
func (s *Store) Accept(ctx context.Context, req AcceptRequest) (Accepted, error) {
	if err := checkAccept(req); err != nil {
		return Accepted{}, err
	}
	var result Accepted
	findAccepted := func(ctx context.Context) (bool, error) {
		op, ok, err := s.readOperation(ctx, req.Operation)
		if err == nil && ok && op.Operator != req.Operator {
			return false, ErrOperationReused
		}
		if ok {
			result.Version, result.Document = op.Version, nil
		}
		return ok, err
	}
	err := s.runTransaction(ctx, transaction{
		id: req.Operation,
		plan: func(ctx context.Context) ([]services.Write, bool, error) {
			if ok, err := findAccepted(ctx); ok || err != nil {
				result.Repeated = ok
				return nil, ok, err
			}
			doc, writes, err := s.planAccept(ctx, req)
			if err == nil {
				result.Version, result.Document = doc.Version, doc
				return writes, false, nil
			}
			// An earlier attempt through another entry may have taken effect since the first lookup.
			if ok, lookupErr := findAccepted(ctx); ok && lookupErr == nil {
				result.Repeated = true
				return nil, true, nil
			}
			return nil, false, err
		},
		applied: findAccepted,
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
	doc.Version = max(draft.currentRowVersion, draft.Current.Version) + 1
	record := Record{
		Version: doc.Version, Base: draft.Base, Operation: req.Operation, Operator: req.Operator, Reason: req.Reason,
		At: s.opt.Now().UTC(), Changes: draft.Effective(), Edits: draft.Operations, Document: doc,
	}
	writes, err := acceptWrites(record, draft.currentRowVersion)
	if err != nil {
		return nil, nil, err
	}
	writes = append(writes, services.Write{Key: KeyDraft, IfVersion: draft.Version, Delete: true})
	return doc, writes, nil
}

// checkDraft returns an error if the draft cannot be accepted or is not the one that the operator
// reviewed. With reviewed 0, any draft may be accepted.
func (s *Store) checkDraft(draft *Draft, reviewed int64) error {
	switch {
	case reviewed != 0 && draft.Version != reviewed:
		return &DraftChangedError{Observed: reviewed, Present: draft.Version, Accepted: draft.Current.Version}
	case draft.Version == 0:
		return ErrNoDraft
	case draft.Base != draft.Current.Version:
		return &StaleDraftError{Base: draft.Base, Accepted: draft.Current.Version}
	case len(draft.Effective()) == 0:
		return ErrNoChange
	}
	return ValidateChange(draft.Current, draft.Document, s.opt.Size())
}

// acceptWrites returns the writes that put a document in force if config/current still has the given
// row version.
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

// DraftRef identifies the draft that an operator wants to discard. The zero value matches any draft.
type DraftRef struct {
	// Draft is the row version of the draft and Base the accepted version it changes.
	Draft, Base int64
}

// Discard deletes the draft. If observed is set, a draft that has changed since is kept, and a draft
// that no longer exists counts as discarded unless it was accepted.
func (s *Store) Discard(ctx context.Context, observed DraftRef) error {
	var planned storedDraft
	return s.runTransaction(ctx, transaction{
		id: "discard",
		plan: func(ctx context.Context) ([]services.Write, bool, error) {
			present, err := s.readStoredDraft(ctx)
			if err != nil {
				return nil, false, err
			}
			if done, err := checkDiscard(observed, present.DraftRef); done || err != nil {
				return nil, done, err
			}
			planned = present
			return []services.Write{{Key: KeyDraft, IfVersion: present.Draft, Delete: true}}, false, nil
		},
		applied: func(ctx context.Context) (bool, error) {
			present, err := s.readStoredDraft(ctx)
			return err == nil && present.id != planned.id && present.Base == planned.Base, err
		},
	})
}

// storedDraft identifies the draft in its row.
type storedDraft struct {
	DraftRef
	id string
}

// readStoredDraft returns the row version and the id of the draft, and the version in force. It
// does not apply the draft's changes, so that a damaged draft can be discarded as well.
func (s *Store) readStoredDraft(ctx context.Context) (storedDraft, error) {
	row, err := s.get(ctx, KeyDraft)
	if err != nil {
		return storedDraft{}, err
	}
	current, _, err := s.readCurrent(ctx)
	if err != nil {
		return storedDraft{}, err
	}
	var draft Draft
	if row.Version > 0 && json.Unmarshal(row.Value, &draft) != nil {
		draft.ID = "damaged"
	}
	return storedDraft{DraftRef{Draft: row.Version, Base: current.Version}, draft.ID}, nil
}

// checkDiscard reports whether the observed draft has already been discarded. It returns an error if the
// draft was changed, replaced or accepted since, or if there is none to discard.
func checkDiscard(observed, present DraftRef) (done bool, err error) {
	switch {
	case observed.Draft == 0 && present.Draft == 0:
		return false, ErrNoDraft
	case observed.Draft == 0 || observed.Draft == present.Draft:
		return false, nil
	case present == DraftRef{Base: observed.Base}:
		return true, nil
	}
	return false, &DraftChangedError{Observed: observed.Draft, Present: present.Draft, Accepted: present.Base}
}

// bootstrapOperation is the operation id of the first version.
const bootstrapOperation = "bootstrap"

// Bootstrap accepts doc as the first version if none is in force, and returns the version in force.
// Several entries may call it at once; exactly one call takes effect.
func (s *Store) Bootstrap(ctx context.Context, doc *Document, operator, reason string) (*Document, error) {
	if err := Validate(doc, s.opt.Size()); err != nil {
		return nil, err
	}
	err := s.runTransaction(ctx, transaction{
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
		return problemsError([]Problem{{Cell: "reason", Value: req.Reason, Expected: fmt.Sprintf("a reason of 1 to %d bytes for the history", maxReasonBytes)}})
	}
	return nil
}

// checkIdentity validates ids that become keys or names in the history.
func checkIdentity(operation, operator string) error {
	var problems []Problem
	if !validName(operation) {
		problems = append(problems, Problem{Cell: "operation", Value: operation, Expected: "as operation id " + expectName})
	}
	if operator == "" {
		problems = append(problems, Problem{Cell: "operator", Expected: "the name of an operator"})
	}
	return problemsError(problems)
}
