package shard

import (
	"context"
	"encoding/json"
	"errors"

	"samphirepoint/rows"
)

// Table holds one row per pool, in one part, with the pool's number of shards.
const (
	Table = "shards"
	part  = "layout"
)

type record struct {
	Count int `json:"n"`
}

func key(pool string) rows.Key { return rows.Key{Table: Table, Part: part, Name: pool} }

// Read reads the stored layout. Rows that can't be decoded are skipped: their pools are not served.
func Read(ctx context.Context, store rows.Store) (*Layout, error) {
	list, _, err := store.Read(ctx, Table, part)
	if err != nil {
		return nil, err
	}
	counts := map[string]int{}
	for _, r := range list {
		var rec record
		if json.Unmarshal(r.Value, &rec) == nil && rec.Count > 0 {
			counts[r.Name] = rec.Count
		}
	}
	return NewLayout(counts), nil
}

// Create stores the number of shards of a pool unless one is stored already, on the given conditions, which may be on rows of other
// parts.
func Create(ctx context.Context, store rows.Store, pool string, count int, conditions ...rows.Condition) error {
	value, err := json.Marshal(record{Count: count})
	if err != nil {
		return err
	}
	tx := rows.Tx{Expected: append([]rows.Condition{{Key: key(pool)}}, conditions...), Writes: []rows.Write{{Key: key(pool), Value: value}}, Across: len(conditions) > 0}
	_, err = store.Transact(ctx, tx)
	var conflict *rows.Conflict
	if errors.As(err, &conflict) && conflict.Find(key(pool)).Ver != 0 {
		return nil
	}
	return err
}
