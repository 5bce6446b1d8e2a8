package upkeep

import "time"

func (c *Controller) plan(s *State) map[string]order {
	want := map[string]order{}
	s.resting = c.rest(s.Now)
	c.reopen(s, want)
	held := map[string]bool{}
	for id := range c.held {
		held[id] = true
	}
	for _, w := range s.Waves {
		for _, id := range s.PlanWave(w, held) {
			if _, taken := want[id]; !taken {
				want[id] = order{instance: s.Instances[id], wave: w.ID}
			}
		}
	}
	c.planMoves(s, want)
	return want
}

const (
	// holdLongest is how long an instance is kept free of new work before it is given up on for restLength: what lasts
	// there may have no other place.
	holdLongest = 10 * time.Second
	restLength  = 3 * time.Second
)

// rest gives up on instances that have been held in vain, and returns those that are left alone now.
func (c *Controller) rest(now time.Duration) map[string]bool {
	for id := range c.held {
		since, ok := c.heldSince[id]
		switch {
		case !ok:
			c.heldSince[id] = now
		case now-since > holdLongest:
			c.restUntil[id] = now + restLength
			delete(c.heldSince, id)
		}
	}
	for id := range c.heldSince {
		if _, ok := c.held[id]; !ok {
			delete(c.heldSince, id)
		}
	}
	out := map[string]bool{}
	for id, until := range c.restUntil {
		if now < until {
			out[id] = true
		}
	}
	return out
}

// planMoves adds the moves that follow the pools' demand, of instances that no wave wants.
func (c *Controller) planMoves(s *State, want map[string]order) {
	s.inHand = map[string]bool{}
	for id := range want {
		s.inHand[id] = true
	}
	changed := false
	for pool, r := range s.Reports {
		if turned, on := c.forecast.Observe(pool, r, s.roomOf(pool)*float64(s.Baseline[pool]), s.Now); turned {
			c.set.Log.Info().Str("pool", pool).Bool("surging", on).Msg("demand turned")
			changed = true
		}
	}
	if changed {
		c.storeTurns()
	}
	for id, to := range s.PlanMoves(c.forecast, c.surplus) {
		want[id] = order{instance: s.Instances[id], to: to}
	}
}

// takeLives closes what the list shows to be over: an instance in a new life was carried off by its order.
func (c *Controller) takeLives(s *State) {
	for id, d := range c.duties {
		i, ok := s.Instances[id]
		if ok && d.Open && d.To != "" && i.Pool == d.To {
			d.Open = false
			c.duties[id] = d
		}
	}
}

// reopen adds the instances whose order has no known outcome: it is given again until it has.
func (c *Controller) reopen(s *State, want map[string]order) {
	for id, d := range c.duties {
		if i, ok := s.Instances[id]; ok && d.Open {
			want[id] = order{instance: i, wave: d.Wave, to: d.To}
		}
	}
}
