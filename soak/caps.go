package soak

import (
	"fmt"
	"time"

	"samphirepoint/engine"
)

// Bounds of the caps in tasks. The lowest lets the work of a run end within its time without faults, and bursts of the callers reach the highest.
const (
	lowestCap  = 6
	highestCap = 14
)

// capVersion holds the caps of one version of the configuration.
type capVersion struct {
	limits map[string]engine.Resources
	// replaced is when the store acknowledged a version with other caps.
	replaced time.Time
}

// maybeInForce reports whether some daemon may still apply the version.
func (c *capVersion) maybeInForce(now time.Time) bool {
	return c.replaced.IsZero() || now.Before(c.replaced.Add(applyTime))
}

// setCaps sets the caps of the versions of the configuration that are written from now on.
func (w *workspaces) setCaps(limits map[string]engine.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.caps = append(w.caps, &capVersion{limits: limits})
}

// presentCap returns the cap of a workspace in the newest version, zero if it has none.
func (w *workspaces) presentCap(workspace string) engine.Resources {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.caps) == 0 {
		return engine.Resources{}
	}
	return w.caps[len(w.caps)-1].limits[workspace]
}

// checkStart checks the cap of the workspace whose job starts a task. running holds the number of tasks that each job has running on all
// workers, this one included.
func (w *workspaces) checkStart(now time.Time, job string, running map[string]int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	workspace, known := w.ofJob[job]
	if !known {
		return nil
	}
	tasks := 0
	for other, n := range running {
		if w.ofJob[other] == workspace {
			tasks += n
		}
	}
	used, capped := taskNeed.Times(tasks), false
	var highest engine.Resources
	for _, c := range w.caps {
		if c.maybeInForce(now) {
			limit := c.limits[workspace]
			highest = highest.Max(limit)
			capped = true
			if withinCap(used, limit) {
				return nil
			}
		}
	}
	if !capped {
		return nil
	}
	return fmt.Errorf("QUOTA: a start for job %s brings workspace %s to %+v, its highest cap in force is %+v", job, workspace, used, highest)
}

// withinCap reports whether a workspace may have that much running once a task has started: its cap, the overage, and one task more. A
// limit of 0 is none.
func withinCap(used, limit engine.Resources) bool {
	within := func(used, limit, task int64) bool {
		return limit == 0 || float64(used) <= float64(limit)*(1+quotaOverage)+float64(task)
	}
	return within(used.CPU, limit.CPU, taskNeed.CPU) && within(used.Mem, limit.Mem, taskNeed.Mem) && within(used.GPU, limit.GPU, taskNeed.GPU)
}

// drawCaps sets new caps, if the run has any.
func (r *run) drawCaps() {
	if !r.options.Caps {
		return
	}
	limits := map[string]engine.Resources{}
	for _, name := range r.workspaces.names {
		limits[name] = engine.Resources{
			CPU: taskNeed.Times(lowestCap + r.intN(highestCap-lowestCap)).CPU,
			Mem: taskNeed.Times(lowestCap + r.intN(highestCap-lowestCap)).Mem,
		}
	}
	r.workspaces.setCaps(limits)
}
