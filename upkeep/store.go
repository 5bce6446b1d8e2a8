package upkeep

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"samphirepoint/owner"
	"samphirepoint/rows"
)

// storePeakPeriods stores the observed peak periods for a successor. If it fails, the successor's forecast is only less
// accurate.
func (c *Controller) storePeakPeriods() {
	periods := c.forecast.PeakPeriods(c.settings.Now(), time.Now().UnixMilli())
	value, err := json.Marshal(periods)
	if err != nil {
		panic(err) // A map of times always encodes.
	}
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	_, err = c.settings.Store.Transact(ctx, rows.Tx{
		Expected: []rows.Condition{c.claim()},
		Writes:   []rows.Write{{Key: c.key(keyPeakPeriods), Value: value}},
	})
	if err != nil {
		c.settings.Log.Warn().Err(err).Msg("cannot store the peak periods")
		return
	}
	c.storedPeaks = periods
}

// initBaseline stores the number of instances of each pool before the first move.
func (c *Controller) initBaseline(ctx context.Context, s *State) error {
	if c.baseline == nil && len(s.Instances) > 0 {
		b := map[string]int{}
		for _, i := range s.Instances {
			b[i.Pool]++
		}
		if err := c.storeBaseline(ctx, b); err != nil {
			return err
		}
	}
	s.Baseline = c.baseline
	return nil
}

// storeBaseline stores the baseline unless there is one, and takes over the one that is in the store: an earlier attempt may have
// succeeded although its response was lost.
func (c *Controller) storeBaseline(ctx context.Context, b map[string]int) error {
	value, err := json.Marshal(b)
	if err != nil {
		panic(err) // A map of counts always encodes.
	}
	key := c.key(keyBaseline)
	_, err = c.settings.Store.Transact(ctx, rows.Tx{
		Expected: []rows.Condition{c.claim(), {Key: key}},
		Writes:   []rows.Write{{Key: key, Value: value}},
	})
	var conflict *rows.Conflict
	switch {
	case err == nil:
		c.baseline = b
		return nil
	case errors.As(err, &conflict) && !c.overtaken(err):
		return json.Unmarshal(conflict.Find(key).Value, &c.baseline)
	}
	c.noteOvertaken(err)
	return err
}

func (c *Controller) claim() rows.Condition {
	return owner.ClaimCondition(c.settings.Role, c.settings.ClaimVer)
}

// key returns the key of one of the controller's rows.
func (c *Controller) key(name string) rows.Key {
	return rows.Key{Table: TableFleet, Part: c.settings.Role, Name: name}
}

// load reads the rows that a predecessor stored.
func (c *Controller) load() error {
	ctx, cancel := context.WithTimeout(c.ctx, 2*callTimeout)
	defer cancel()
	list, _, err := c.settings.Store.Read(ctx, TableFleet, c.settings.Role)
	if err != nil {
		return err
	}
	for _, r := range list {
		c.loadRow(r)
	}
	return nil
}

// loadRow takes over one row that a predecessor stored. What can't be decoded is left out.
func (c *Controller) loadRow(r rows.Row) {
	switch r.Name {
	case keyBaseline:
		_ = json.Unmarshal(r.Value, &c.baseline)
	case keyPeakPeriods:
		var periods map[string]PeakPeriod
		_ = json.Unmarshal(r.Value, &periods)
		c.forecast.Restore(periods, c.settings.Now(), time.Now().UnixMilli())
	default:
		var rec OrderRecord
		if json.Unmarshal(r.Value, &rec) == nil {
			c.orders[r.Name] = rec
			c.recordVers[r.Name] = r.Ver
		}
	}
}

// WorkersWithOpenOrders lists the workers whose instance has an open order, which may be executed at any moment.
func WorkersWithOpenOrders(ctx context.Context, store rows.Store, role string) ([]string, error) {
	list, _, err := store.Read(ctx, TableFleet, role)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, r := range list {
		var rec OrderRecord
		if json.Unmarshal(r.Value, &rec) == nil && rec.Open && rec.Worker != "" {
			out = append(out, rec.Worker)
		}
	}
	return out, nil
}

// conditions returns the condition that the owner's claim is still current.
func (k consent) conditions() []rows.Condition {
	if k.ver == 0 {
		return nil
	}
	return []rows.Condition{owner.ClaimCondition(k.part, k.ver)}
}

// storeRecords writes order records on the condition that the controller's claim is current, the given conditions hold and the
// records are as they were last known, as the store may execute an earlier attempt late. After an error, some of the records may be
// stored.
func (c *Controller) storeRecords(records map[string]OrderRecord, conditions ...rows.Condition) error {
	for chunk := range slices.Chunk(slices.Sorted(maps.Keys(records)), maxBatch) {
		tx := rows.Tx{Expected: append([]rows.Condition{c.claim()}, conditions...), Across: len(conditions) > 0}
		for _, id := range chunk {
			value, err := json.Marshal(records[id])
			if err != nil {
				panic(err) // An OrderRecord always encodes.
			}
			tx.Expected = append(tx.Expected, rows.Condition{Key: c.key(id), Ver: c.recordVer(id)})
			tx.Writes = append(tx.Writes, rows.Write{Key: c.key(id), Value: value})
		}
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		ver, err := c.settings.Store.Transact(ctx, tx)
		cancel()
		c.learnVersions(chunk, ver, err)
		if err != nil {
			return err
		}
	}
	return nil
}

// recordVer returns the last known version of an instance's order record, or 0 if it has none.
func (c *Controller) recordVer(id string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recordVers[id]
}

// learnVersions updates the versions of order records from the outcome of a transaction. After one without a response they are
// out of date if it was executed; the conflict of the next one returns them.
func (c *Controller) learnVersions(ids []string, ver int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var conflict *rows.Conflict
	for _, id := range ids {
		switch {
		case err == nil:
			c.recordVers[id] = ver
		case errors.As(err, &conflict):
			c.recordVers[id] = conflict.Find(c.key(id)).Ver
		}
	}
}

func isConflict(err error) bool {
	var conflict *rows.Conflict
	return errors.As(err, &conflict)
}

// overtaken reports whether the error shows that another controller has claimed the role.
func (c *Controller) overtaken(err error) bool {
	var conflict *rows.Conflict
	return errors.As(err, &conflict) && conflict.Find(c.claim().Key).Ver != c.settings.ClaimVer
}

// noteOvertaken stops the controller if the error shows that another one has claimed the role.
func (c *Controller) noteOvertaken(err error) {
	c.fenced = c.fenced || c.overtaken(err)
}
