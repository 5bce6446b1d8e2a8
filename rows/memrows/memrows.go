// Package memrows implements rows.Store in memory, for tests and for the simulated platform.
//
//	s := memrows.New()
//	s.Fault = func(call string) memrows.Fault { return memrows.Fault{} } // inject faults
package memrows

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"samphirepoint/rows"
	"samphirepoint/verdict"
)

// Fault describes how a call fails. The zero value is a call that succeeds.
type Fault struct {
	// Refuse rejects the call: it has no effect, and the error has verdict not-run.
	Refuse bool
	// LoseResponse loses the response: the call is executed, and the error has verdict may-have-run.
	LoseResponse bool
	// LoseRequest loses the request: the call has no effect, and the error has verdict may-have-run.
	LoseRequest bool
}

// Store holds the rows and the history of their changes. All methods are safe for concurrent use.
type Store struct {
	// Fault, if set, is called before each call with its name, "transact", "read" or "watch".
	Fault func(call string) Fault

	mu          sync.Mutex
	ver         int64
	rows        map[rows.Key]rows.Row
	history     []rows.Row
	compactedTo int64 // there is no history of versions up to this one
	changed     chan struct{}
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[rows.Key]rows.Row{}, changed: make(chan struct{})}
}

func (s *Store) fault(call string) Fault {
	if s.Fault == nil {
		return Fault{}
	}
	return s.Fault(call)
}

func errRejected() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "memrows: request rejected")
}
func errNoResponse() error {
	return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "memrows: no response")
}

// Transact implements rows.Store.
func (s *Store) Transact(_ context.Context, tx rows.Tx) (int64, error) {
	if !tx.Across && len(tx.Parts()) > 1 {
		return 0, verdict.New(verdict.NotRun, http.StatusBadRequest, "memrows: the transaction spans several parts")
	}
	for _, w := range tx.Writes {
		if len(w.Value) > rows.MaxValueBytes {
			return 0, verdict.Wrap(fmt.Errorf("memrows: %d bytes: %w", len(w.Value), rows.ErrInvalid), verdict.NotRun, http.StatusServiceUnavailable)
		}
	}
	f := s.fault("transact")
	if f.Refuse {
		return 0, errRejected()
	}
	if f.LoseRequest {
		return 0, errNoResponse()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if conflict := s.check(tx); conflict != nil {
		if f.LoseResponse {
			return 0, errNoResponse()
		}
		return 0, conflict
	}
	s.ver++
	for _, w := range tx.Writes {
		s.set(rows.Row{Key: w.Key, Value: slices.Clone(w.Value), Ver: s.ver})
	}
	for _, k := range tx.Remove {
		s.set(rows.Row{Key: k, Ver: s.ver, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if f.LoseResponse {
		return 0, errNoResponse()
	}
	return s.ver, nil
}

func (s *Store) check(tx rows.Tx) error {
	failed := false
	conflict := &rows.Conflict{}
	for _, e := range tx.Expected {
		r, ok := s.rows[e.Key]
		if !ok {
			r = rows.Row{Key: e.Key}
		}
		failed = failed || r.Ver != e.Ver
		conflict.Rows = append(conflict.Rows, r)
	}
	if failed {
		return conflict
	}
	return nil
}

func (s *Store) set(r rows.Row) {
	if r.Removed {
		delete(s.rows, r.Key)
	} else {
		s.rows[r.Key] = r
	}
	s.history = append(s.history, r)
}

// Read implements rows.Store.
func (s *Store) Read(_ context.Context, table, part string) ([]rows.Row, int64, error) {
	return s.read(func(k rows.Key) bool { return k.Table == table && k.Part == part })
}

func (s *Store) read(want func(rows.Key) bool) ([]rows.Row, int64, error) {
	if f := s.fault("read"); f != (Fault{}) {
		return nil, 0, errRejected()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []rows.Row
	for k, r := range s.rows {
		if want(k) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b rows.Row) int {
		return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Name, b.Name))
	})
	return out, s.ver, nil
}

// Watch implements rows.Store.
func (s *Store) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]rows.Row, int64, error) {
	if f := s.fault("watch"); f != (Fault{}) {
		return nil, 0, errRejected()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list, ver, changed, gone := s.since(table, after), s.ver, s.changed, after < s.compactedTo
		s.mu.Unlock()
		if gone {
			return nil, 0, rows.ErrHistoryGone
		}
		if len(list) > 0 {
			return list, ver, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, ver, nil
		case <-ctx.Done():
			return nil, 0, errRejected()
		}
	}
}

func (s *Store) since(table string, after int64) []rows.Row {
	var out []rows.Row
	for _, r := range s.history {
		if r.Table == table && r.Ver > after {
			out = append(out, r)
		}
	}
	return out
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedTo = nil, s.ver
}
