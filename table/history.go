package table

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"samphirepoint/services"
	"samphirepoint/verdict"
)

// PrefixOperations is the prefix of the rows of accepted operation ids, in which a repeated accept
// finds the version of the first one. The holder of the fleet lease deletes old rows.
const PrefixOperations = "config/operations/"

// Record is a row of the history: an accepted set of changes with its operator, time and reason.
type Record struct {
	Version   int64     `json:"version"`
	Base      int64     `json:"base"`
	Operation string    `json:"operation"`
	Operator  string    `json:"operator"`
	Reason    string    `json:"reason"`
	At        time.Time `json:"at"`
	Changes   []Change  `json:"changes"`
	// Edits holds the operation ids of the latest edits of the draft.
	Edits []string `json:"edits,omitempty"`
	// Document is the accepted document; nil in the records that History returns.
	Document *Document `json:"document,omitempty"`
}

// operationRow is the value of config/operations/<id>.
type operationRow struct {
	Version  int64  `json:"version"`
	Operator string `json:"operator"`
	// At is the time of the accept, after which the row is kept for 7 days.
	At time.Time `json:"at"`
}

// HistoryKey returns the key of the history row of a version. Versions have leading zeros so
// that the order of keys is the order of versions.
func HistoryKey(version int64) string { return fmt.Sprintf("%s%012d", PrefixHistory, version) }

// DecodeCurrent returns the document in row config/current, nil for an absent row. The value of
// the row is the document in JSON.
func DecodeCurrent(row services.Row) (*Document, error) {
	if row.Version == 0 {
		return nil, nil
	}
	var d Document
	if err := decodeRow(row, &d); err != nil {
		return nil, err
	}
	return &d, nil
}

// decodeRow decodes the JSON value of a row. Its errors have the verdict NotRun, since rows are decoded
// before anything is written.
func decodeRow(row services.Row, target any) error {
	if err := json.Unmarshal(row.Value, target); err != nil {
		return verdict.Wrap(fmt.Errorf("row %s, version %d: %w", row.Key, row.Version, err), verdict.NotRun, http.StatusInternalServerError)
	}
	return nil
}

func encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	return data, verdict.Wrap(err, verdict.NotRun, http.StatusInternalServerError)
}

// History returns up to limit records below version before, newest first and without documents.
// before 0 starts with the version in force.
func (s *Store) History(ctx context.Context, before int64, limit int) ([]Record, error) {
	if before <= 0 {
		current, _, err := s.readCurrent(ctx)
		if err != nil {
			return nil, err
		}
		before = current.Version + 1
	}
	if limit <= 0 || limit > MaxHistory {
		limit = MaxHistory
	}
	rows, err := s.list(ctx, PrefixHistory, HistoryKey(max(before-1-int64(limit), 0)), limit)
	if err != nil {
		return nil, err
	}
	var records []Record
	for i := len(rows) - 1; i >= 0; i-- {
		var r Record
		if err := decodeRow(rows[i], &r); err != nil {
			return nil, err
		}
		r.Document = nil
		if r.Version < before {
			records = append(records, r)
		}
	}
	return records, nil
}

// AcceptedDocument returns the document of an accepted version; version 0 is the empty document. An unknown
// version gives an *InvalidError.
func (s *Store) AcceptedDocument(ctx context.Context, version int64) (*Document, error) {
	if version == 0 {
		return &Document{}, nil
	}
	record, ok, err := s.readRecord(ctx, version)
	if err != nil {
		return nil, err
	}
	if !ok || record.Document == nil {
		return nil, problemsError([]Problem{{Cell: csvVersion, Value: fmt.Sprint(version), Expected: "an accepted version"}})
	}
	return record.Document, nil
}

func (s *Store) readRecord(ctx context.Context, version int64) (Record, bool, error) {
	var r Record
	row, err := s.get(ctx, HistoryKey(version))
	if err != nil || row.Version == 0 {
		return r, false, err
	}
	err = decodeRow(row, &r)
	return r, err == nil, err
}

// readOperation returns the version that an operation id was accepted as.
func (s *Store) readOperation(ctx context.Context, id string) (operationRow, bool, error) {
	var op operationRow
	row, err := s.get(ctx, PrefixOperations+id)
	if err != nil || row.Version == 0 {
		return op, false, err
	}
	err = decodeRow(row, &op)
	return op, err == nil, err
}
