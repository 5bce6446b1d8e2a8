package main

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"samphirepoint/rows"
	"samphirepoint/rows/memrows"
)

// The limits of the platform's store, as the pages and the settings give them.
const (
	rowBytes   = 65536
	maxTxBytes = 1 << 20
	maxKey     = 200
	maxRows    = 500
	txTime     = 4 * time.Millisecond
)

// store serves the protocol of the platform's metadata store from memory.
type store struct {
	world *world
	rows  *memrows.Store
}

type wireRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r wireRow) key() rows.Key { return rows.Key{Table: r.Table, Part: r.Part, Name: r.Key} }

type wireTx struct {
	Expected []wireRow `json:"expected"`
	Writes   []wireRow `json:"writes"`
	Remove   []wireRow `json:"remove"`
	Across   bool      `json:"across"`
}

func wireRows(list []rows.Row) []wireRow {
	out := []wireRow{}
	for _, r := range list {
		out = append(out, wireRow{Table: r.Table, Part: r.Part, Key: r.Name, Value: r.Value, Ver: r.Ver, Tombstone: r.Removed})
	}
	return out
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.transact)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	return mux
}

// problem returns the status with which the store refuses a transaction, and why, or 0.
func (tx *wireTx) problem() (int, string) {
	if len(tx.Expected)+len(tx.Writes)+len(tx.Remove) > rows.MaxEntries {
		return http.StatusBadRequest, "too many entries"
	}
	for _, list := range [][]wireRow{tx.Writes, tx.Remove} {
		for _, r := range list {
			if r.Table == "op" || r.Table == "servers" {
				return http.StatusForbidden, "table " + r.Table + " is not the system's"
			}
			if len(r.Table) > maxKey || len(r.Part) > maxKey || len(r.Key) > maxKey {
				return http.StatusBadRequest, "name is too long"
			}
			if len(r.Value) > rowBytes {
				return http.StatusBadRequest, "row " + r.Table + "/" + r.Part + "/" + r.Key + " has " + strconv.Itoa(len(r.Value)) + " bytes"
			}
		}
	}
	return 0, ""
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxTxBytes+1))
	var m wireTx
	if err != nil || len(data) > maxTxBytes || json.Unmarshal(data, &m) != nil {
		s.world.record("store refuses a transaction: it can't be read or has more than %d bytes", maxTxBytes)
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if status, why := m.problem(); status != 0 {
		s.world.recordFirst("store refuses a transaction: "+why, "store refuses a transaction with %d: %s", status, why)
		reply(w, status, map[string]any{})
		return
	}
	time.Sleep(txTime)
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
	ver, err := s.rows.Transact(r.Context(), tx)
	var conflict *rows.Conflict
	switch {
	case err == nil:
		reply(w, http.StatusOK, map[string]any{"ver": ver, "now_ms": s.world.nowMS()})
	case errors.As(err, &conflict):
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": wireRows(conflict.Rows), "ver": ver, "now_ms": s.world.nowMS()})
	default:
		reply(w, http.StatusBadRequest, map[string]any{})
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	list, ver, err := s.rows.Read(r.Context(), q.Get("table"), q.Get("part"))
	if err != nil {
		reply(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	var page []rows.Row
	size, more := 0, false
	for _, row := range list {
		if row.Name < q.Get("from") || (q.Get("to") != "" && row.Name >= q.Get("to")) {
			continue
		}
		if size += len(row.Value) * 4 / 3; len(page) > 0 && (len(page) == limit || size > maxTxBytes) {
			more = true
			break
		}
		page = append(page, row)
	}
	reply(w, http.StatusOK, map[string]any{"rows": wireRows(page), "more_pages": more, "ver": ver, "now_ms": s.world.nowMS()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64) // An absent value stands for 0.
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	list, ver, err := s.rows.Watch(r.Context(), q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	switch {
	case errors.Is(err, rows.ErrHistoryGone):
		reply(w, http.StatusGone, map[string]any{})
	case err != nil:
		reply(w, http.StatusServiceUnavailable, map[string]any{})
	default:
		reply(w, http.StatusOK, map[string]any{"rows": wireRows(list), "ver": ver, "now_ms": s.world.nowMS()})
	}
}

// put writes a row of the operator or of a worker; a nil value removes it.
func (s *store) put(table, key string, value any) {
	k := rows.Key{Table: table, Name: key}
	tx := rows.Tx{Remove: []rows.Key{k}}
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err) // The values of this program always encode.
		}
		tx = rows.Tx{Writes: []rows.Write{{Key: k, Value: data}}}
	}
	if _, err := s.rows.Transact(s.world.ctx, tx); err != nil {
		panic(err) // The store in memory fails only for transactions over several parts.
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller may have left.
}
