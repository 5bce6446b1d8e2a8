package upkeep

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"samphirepoint/owner"
	"samphirepoint/rows"
)

// storeTurns leaves the seen surges to a successor. A failure costs the successor some foresight only.
func (c *Controller) storeTurns() {
	value, err := json.Marshal(c.forecast.Turns(c.set.Now(), time.Now().UnixMilli()))
	if err != nil {
		panic(err) // Times by name are plain values.
	}
	ctx, cancel := context.WithTimeout(c.ctx, callTime)
	defer cancel()
	key := c.key(keyTurns)
	if _, err := c.set.Store.Transact(ctx, rows.Tx{Expected: []rows.Condition{c.claim()}, Writes: []rows.Write{{Key: key, Value: value}}}); err != nil {
		c.set.Log.Warn().Err(err).Msg("turns not written")
	}
}

// learnBaseline stores how the instances are divided before the first move.
func (c *Controller) learnBaseline(ctx context.Context, s *State) error {
	if c.baseline == nil && len(s.Instances) > 0 {
		b := map[string]int{}
		for _, i := range s.Instances {
			b[i.Pool]++
		}
		value, err := json.Marshal(b)
		if err != nil {
			panic(err) // Counts by name are plain values.
		}
		key := c.key(keyBaseline)
		if _, err := c.set.Store.Transact(ctx, rows.Tx{Expected: []rows.Condition{c.claim(), {Key: key}}, Writes: []rows.Write{{Key: key, Value: value}}}); err != nil {
			return err
		}
		c.baseline = b
	}
	s.Baseline = c.baseline
	return nil
}

func (c *Controller) claim() rows.Condition {
	return owner.ClaimCondition(c.set.Role, c.set.ClaimVer)
}

// key is a row of the fleet's duties.
func (c *Controller) key(name string) rows.Key {
	return rows.Key{Table: TableFleet, Part: c.set.Role, Name: name}
}

func (c *Controller) load() error {
	ctx, cancel := context.WithTimeout(c.ctx, 2*callTime)
	defer cancel()
	list, _, err := c.set.Store.Read(ctx, TableFleet, c.set.Role)
	if err != nil {
		return err
	}
	for _, r := range list {
		if r.Name == keyBaseline {
			_ = json.Unmarshal(r.Value, &c.baseline)
			continue
		}
		if r.Name == keyTurns {
			var turns map[string]Turn
			_ = json.Unmarshal(r.Value, &turns)
			c.forecast.Recall(turns, c.set.Now(), time.Now().UnixMilli())
			continue
		}
		var d Duty
		if json.Unmarshal(r.Value, &d) == nil {
			c.duties[r.Name] = d
		}
	}
	return nil
}

// WorkersWithOpenOrders lists the workers whose instance has an order that may be carried out at any moment.
func WorkersWithOpenOrders(ctx context.Context, store rows.Store, duty string) ([]string, error) {
	list, _, err := store.Read(ctx, TableFleet, duty)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, r := range list {
		var d Duty
		if json.Unmarshal(r.Value, &d) == nil && d.Open && d.Worker != "" {
			out = append(out, d.Worker)
		}
	}
	return out, nil
}

// write stores the duties of the orders' instances under the claim. Without success, nothing may be ordered.
func (c *Controller) write(orders []order) bool {
	claim := c.claim()
	for len(orders) > 0 {
		n := min(len(orders), rows.MaxEntries/2)
		tx := rows.Tx{Expected: []rows.Condition{claim}}
		for _, o := range orders[:n] {
			value, err := json.Marshal(c.duties[o.instance.ID])
			if err != nil {
				panic(err) // A duty holds plain values only.
			}
			tx.Writes = append(tx.Writes, rows.Write{Key: c.key(o.instance.ID), Value: value})
		}
		ctx, cancel := context.WithTimeout(c.ctx, callTime)
		_, err := c.set.Store.Transact(ctx, tx)
		cancel()
		var conflict *rows.Conflict
		if errors.As(err, &conflict) {
			c.fenced = true
		}
		if err != nil {
			c.set.Log.Warn().Err(err).Msg("duties not written")
			return false
		}
		orders = orders[n:]
	}
	return true
}
