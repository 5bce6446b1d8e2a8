package upkeep

import "time"

func (c *Controller) plan(s *State) map[string]order {
	due := map[string]order{}
	s.coolingDown = c.coolDown(s.Now)
	c.resumeOpenOrders(s, due)
	cordoned := map[string]bool{}
	for id := range c.cordoned {
		cordoned[id] = true
	}
	for _, w := range s.Waves {
		for _, id := range s.PlanWave(w, cordoned) {
			if _, taken := due[id]; !taken {
				due[id] = order{instance: s.Instances[id], wave: w.ID}
			}
		}
	}
	c.planMoves(s, due)
	return due
}

const (
	// maxCordon is how long an instance stays cordoned before it is uncordoned for coolDownPeriod: its long-running tasks
	// may fit on no other worker.
	maxCordon      = 10 * time.Second
	coolDownPeriod = 3 * time.Second
)

// coolDown starts the cool-down of instances that did not drain within maxCordon, and returns all instances that are
// cooling down now.
func (c *Controller) coolDown(now time.Duration) map[string]bool {
	for id := range c.cordoned {
		since, ok := c.cordonedSince[id]
		switch {
		case !ok:
			c.cordonedSince[id] = now
		case now-since > maxCordon:
			c.coolDownUntil[id] = now + coolDownPeriod
			delete(c.cordonedSince, id)
		}
	}
	for id := range c.cordonedSince {
		if _, ok := c.cordoned[id]; !ok {
			delete(c.cordonedSince, id)
		}
	}
	out := map[string]bool{}
	for id, until := range c.coolDownUntil {
		if now < until {
			out[id] = true
		}
	}
	return out
}

// planMoves adds the moves that follow the pools' demand, for instances that no wave has selected.
func (c *Controller) planMoves(s *State, due map[string]order) {
	s.inProgress = map[string]bool{}
	for id := range due {
		s.inProgress[id] = true
	}
	anyChanged := false
	for pool, r := range s.Reports {
		if changed, spiking := c.forecast.Observe(pool, r, s.instanceCPU(pool)*float64(s.Baseline[pool]), s.Now); changed {
			c.settings.Log.Info().Str("pool", pool).Bool("surging", spiking).Msg("demand spike of the pool started or ended")
			anyChanged = true
		}
	}
	if anyChanged || c.forecast.Outdated(c.storedPeaks, s.Now) {
		c.storePeakPeriods()
	}
	moves := s.PlanMoves(c.forecast, c.surplusSince)
	for id, pool := range moves {
		due[id] = order{instance: s.Instances[id], targetPool: pool}
	}
	c.logMoves(s, moves)
}

// logMoves logs the inputs of the decision for each pool that gains or loses instances. CPU is in cores.
func (c *Controller) logMoves(s *State, moves map[string]string) {
	gained, lost := map[string]int{}, map[string]int{}
	for id, to := range moves {
		gained[to]++
		lost[s.Instances[id].Pool]++
	}
	for pool, r := range s.Reports {
		d := c.forecast.pools[pool]
		if gained[pool]+lost[pool] == 0 || d == nil {
			continue
		}
		n := s.currentSize(pool)
		c.settings.Log.Info().Str("pool", pool).Int("gained", gained[pool]).Int("lost", lost[pool]).Int("instances", n).
			Int("desired", s.desiredSize(pool, r, c.forecast, n)).Int("baseline", s.Baseline[pool]).Bool("surging", d.spiking).
			Int64("arriving", int64(d.rate)/1000).Int64("used", r.UsedCPU/1000).Int64("pending", r.PendingCPU/1000).
			Int64("capacity", r.CapacityCPU/1000).Int64("longRunning", r.LongRunningCPU/1000).Msg("moves planned")
	}
}

// closeCompletedOrders closes the open orders for moves whose instance is listed in the target pool.
func (c *Controller) closeCompletedOrders(s *State) {
	for id, rec := range c.orders {
		i, ok := s.Instances[id]
		if ok && rec.Open && rec.TargetPool != "" && i.Pool == rec.TargetPool {
			rec.Open = false
			c.orders[id] = rec
			c.unstored[id] = true
		}
	}
}

// resumeOpenOrders adds the instances whose order has no known outcome; it is sent again until the outcome is known.
func (c *Controller) resumeOpenOrders(s *State, due map[string]order) {
	for id, rec := range c.orders {
		if i, ok := s.Instances[id]; ok && rec.Open {
			due[id] = order{instance: i, wave: rec.Wave, targetPool: rec.TargetPool}
		}
	}
}
