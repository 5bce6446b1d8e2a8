package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"samphirepoint/request"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

// classifyStoreError wraps errors of the store with their status and verdict.
func classifyStoreError(err error) error {
	var invalid *table.InvalidError
	var conflict *table.ConflictError
	var changed *table.DraftChangedError
	var stale *table.StaleDraftError
	var unknown *table.UnknownOutcomeError
	switch {
	case errors.As(err, &unknown):
		return verdict.Wrap(err, verdict.MayHaveRun, http.StatusServiceUnavailable)
	case errors.As(err, &invalid):
		return verdict.Wrap(err, verdict.NotRun, http.StatusUnprocessableEntity)
	case errors.Is(err, table.ErrNoDraft):
		return verdict.Wrap(err, verdict.NotRun, http.StatusNotFound)
	case errors.Is(err, table.ErrContention):
		return verdict.Wrap(err, verdict.NotRun, http.StatusServiceUnavailable)
	case errors.As(err, &conflict), errors.As(err, &changed), errors.As(err, &stale),
		errors.Is(err, table.ErrNoChange), errors.Is(err, table.ErrOperationReused):
		return verdict.Wrap(err, verdict.NotRun, http.StatusConflict)
	}
	return err
}

func errorBodyOf(err error) ErrorBody {
	body := ErrorBody{Error: err.Error()}
	var invalid *table.InvalidError
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &invalid) && len(invalid.Problems) > 0:
		body.Problems = invalid.Problems
		body.Cell, body.Expected = invalid.Problems[0].Cell, invalid.Problems[0].Expected
	case errors.As(err, &conflict) && len(conflict.Conflicts) > 0:
		body.Conflicts = conflict.Conflicts
		first := conflict.Conflicts[0]
		body.Cell, body.Expected = first.Cell.String(), "as base "+strconv.Quote(first.Current)
	}
	return body
}

func writeError(w http.ResponseWriter, err error) {
	err = classifyStoreError(err)
	w.Header().Set(request.HeaderVerdict, verdict.Of(err).String())
	if d := verdict.RetryAfter(err); d > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(max(d.Seconds(), 1))))
	}
	writeJSON(w, verdict.Status(err), errorBodyOf(err))
}

func writeReply(w http.ResponseWriter, reply any) {
	raw, ok := reply.(rawReply)
	if !ok {
		writeJSON(w, http.StatusOK, reply)
		return
	}
	w.Header().Set("Content-Type", raw.contentType)
	// A failed write means that the caller has disconnected.
	_, _ = w.Write(raw.data)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
