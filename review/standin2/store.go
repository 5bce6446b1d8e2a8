package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
)

// store is the platform's metadata store.
type store struct{ rows *memrows.Store }

type wireRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r wireRow) key() rows.Key { return rows.Key{Table: r.Table, Part: r.Part, Name: r.Key} }

func wireRows(list []rows.Row) []wireRow {
	out := []wireRow{}
	for _, r := range list {
		out = append(out, wireRow{Table: r.Table, Part: r.Part, Key: r.Name, Value: r.Value, Ver: r.Ver, Tombstone: r.Removed})
	}
	return out
}

// put writes a row with an empty part, as the operator and the workers do.
func (s *store) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = s.rows.Transact(context.Background(), rows.Tx{Writes: []rows.Write{{Key: rows.Key{Table: table, Name: key}, Value: data}}})
	return err
}

func (s *store) remove(table, key string) {
	_, _ = s.rows.Transact(context.Background(), rows.Tx{Remove: []rows.Key{{Table: table, Name: key}}})
}

// storeTime is how long a call takes.
const storeTime = 4 * time.Millisecond

func (s *store) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeTime)
		q := r.URL.Query()
		list, ver, err := s.rows.Read(r.Context(), q.Get("table"), q.Get("part"))
		writePage(w, q, list, ver, err)
	})
	mux.HandleFunc("GET /api/rows-feed", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		ms, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		list, ver, err := s.rows.Watch(r.Context(), q.Get("table"), after, time.Duration(ms)*time.Millisecond)
		if errors.Is(err, rows.ErrHistoryGone) {
			writeJSON(w, http.StatusGone, map[string]any{})
			return
		}
		writePage(w, nil, list, ver, err)
	})
}

// pageRows is the most rows of a page.
const pageRows = 500

// writePage answers with the rows from the key that the query names. A feed has no query.
func writePage(w http.ResponseWriter, q url.Values, list []rows.Row, ver int64, err error) {
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	var page []rows.Row
	more := false
	for _, r := range list {
		if q != nil && r.Name < q.Get("from") {
			continue
		}
		if q != nil && len(page) == pageRows {
			more = true
			break
		}
		page = append(page, r)
	}
	writeJSON(w, http.StatusOK, map[string]any{"rows": wireRows(page), "more_pages": more, "ver": ver, "now_ms": 1})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Expected, Writes, Remove []wireRow
		Across                   bool
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	time.Sleep(storeTime)
	tx := rows.Tx{Across: m.Across}
	for _, e := range m.Expected {
		tx.Expected = append(tx.Expected, rows.Condition{Key: e.key(), Ver: e.Ver})
	}
	for _, e := range m.Writes {
		tx.Writes = append(tx.Writes, rows.Write{Key: e.key(), Value: e.Value})
	}
	for _, e := range m.Remove {
		tx.Remove = append(tx.Remove, e.key())
	}
	ver, err := s.rows.Transact(context.WithoutCancel(r.Context()), tx)
	var conflict *rows.Conflict
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, map[string]any{"ver": ver, "now_ms": 1})
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": wireRows(conflict.Rows)})
	case errors.Is(err, rows.ErrInvalid):
		writeJSON(w, http.StatusBadRequest, map[string]any{})
	default:
		writeJSON(w, http.StatusServiceUnavailable, map[string]any{})
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
