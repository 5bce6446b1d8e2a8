package platformd

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"samphirepoint/services"
)

// Change is a committed change of one row, for consumers that need the full history.
type Change struct {
	Time time.Time
	Row  services.Row // Version 0 after a delete
}

// cell is a row or the tombstone of a deleted one, which keeps versions from repeating.
type cell struct {
	version int64
	value   []byte
	present bool
}

// store is the transactional table. The caller holds the server's mutex.
type store struct {
	cells map[string]cell
}

func (s *store) get(key string) services.Row {
	c := s.cells[key]
	if !c.present {
		return services.Row{Key: key}
	}
	return services.Row{Key: key, Version: c.version, Value: c.value}
}

func (s *store) list(q services.ListRequest) []services.Row {
	rows := []services.Row{}
	for key, c := range s.cells {
		if c.present && strings.HasPrefix(key, q.Prefix) && key > q.After {
			rows = append(rows, s.get(key))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if q.Limit > 0 && len(rows) > q.Limit {
		rows = rows[:q.Limit]
	}
	return rows
}

// validate rejects malformed transactions and those whose result would depend on the order of the writes.
func validate(writes []services.Write) error {
	if len(writes) == 0 {
		return fmt.Errorf("transaction has no writes")
	}
	seen := make(map[string]bool, len(writes))
	for _, w := range writes {
		if w.Key == "" {
			return fmt.Errorf("write has no key")
		}
		if seen[w.Key] {
			return fmt.Errorf("key %q occurs twice in one transaction", w.Key)
		}
		if w.IfVersion < services.AnyVersion {
			return fmt.Errorf("key %q: invalid version condition %d", w.Key, w.IfVersion)
		}
		seen[w.Key] = true
	}
	return nil
}

// commit applies all writes or none. The new version of a deleted row is 0, that of a checked row its current one.
func (s *store) commit(writes []services.Write) ([]int64, error) {
	for _, w := range writes {
		if w.IfVersion != services.AnyVersion && s.get(w.Key).Version != w.IfVersion {
			return nil, services.ErrConflict
		}
	}
	versions := make([]int64, len(writes))
	for i, w := range writes {
		if !w.Check {
			s.apply(w)
		}
		versions[i] = s.get(w.Key).Version
	}
	return versions, nil
}

func (s *store) apply(w services.Write) {
	c := s.cells[w.Key]
	switch {
	case w.Delete && c.present:
		s.cells[w.Key] = cell{version: c.version + 1}
	case !w.Delete:
		s.cells[w.Key] = cell{version: c.version + 1, value: w.Value, present: true}
	}
}
