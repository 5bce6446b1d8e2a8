package wave

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"samphirepoint/instance"
	"samphirepoint/verdict"
)

// MaxInstances of a wave. Each of a wave's steps reads or writes its row, which takes about 60 B per instance: 400
// instances with 3 steps each move 30 MB in the hours of a wave. A whole large fleet is maintained by a cycle of
// daily waves.
const MaxInstances = 400

// Request describes the wave that an operator asks for. The selections Pools, Instances, Zone and Rack
// narrow each other; without any of them the wave covers the whole fleet.
type Request struct {
	ID           string        `json:"id,omitempty"`
	By           string        `json:"by,omitempty"`
	Operation    string        `json:"operation,omitempty"`
	Reason       string        `json:"reason,omitempty"`
	Pools        []string      `json:"pools,omitempty"`
	Instances    []string      `json:"instances,omitempty"`
	Zone         string        `json:"zone,omitempty"`
	Rack         string        `json:"rack,omitempty"`
	RackAtOnce   bool          `json:"rackAtOnce,omitempty"`
	DrainTimeout time.Duration `json:"drainTimeout,omitempty"`
	Length       time.Duration `json:"length,omitempty"`
	NotBefore    time.Time     `json:"notBefore,omitzero"`
}

// Plan orders the selected instances by pool, zone and rack. The error carries HTTP status 400 or 409
// and verdict NotRun.
func Plan(f *instance.Fleet, budgets Budgets, r Request, now time.Time) (*Wave, error) {
	selected, err := selectInstances(f, r)
	if err != nil {
		return nil, err
	}
	w := &Wave{
		ID: r.ID, By: r.By, Operation: r.Operation, Reason: r.Reason, Created: now, Status: Planned, RackAtOnce: r.RackAtOnce,
		DrainTimeout: cmp.Or(r.DrainTimeout, DefaultDrainTimeout),
		Length:       cmp.Or(r.Length, DefaultLength),
		NotBefore:    r.NotBefore,
		Groups:       group(selected, r.RackAtOnce),
	}
	if r.RackAtOnce {
		if err := checkRacks(f, budgets, w.Groups); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func selectInstances(f *instance.Fleet, r Request) ([]instance.Instance, error) {
	pools := map[string]bool{}
	for _, in := range f.Instances {
		pools[in.Pool] = true
	}
	for _, p := range r.Pools {
		if !pools[p] {
			return nil, badRequest("pool %q has no instances", p)
		}
	}
	for _, id := range r.Instances {
		if _, ok := f.Instances[id]; !ok {
			return nil, badRequest("instance %q is not in the fleet", id)
		}
	}
	var selected []instance.Instance
	for id, in := range f.Instances {
		if (len(r.Pools) == 0 || slices.Contains(r.Pools, in.Pool)) &&
			(len(r.Instances) == 0 || slices.Contains(r.Instances, id)) &&
			(r.Zone == "" || r.Zone == in.Zone) && (r.Rack == "" || r.Rack == in.Rack) {
			selected = append(selected, in)
		}
	}
	if len(selected) == 0 {
		return nil, badRequest("no instance matches pools %v, instances %v, zone %q, rack %q", r.Pools, r.Instances, r.Zone, r.Rack)
	}
	if len(selected) > MaxInstances {
		return nil, badRequest("the wave would cover %d instances, at most %d are possible: select pools or a zone, or plan a cycle", len(selected), MaxInstances)
	}
	return selected, nil
}

func badRequest(format string, args ...any) error {
	return verdict.New(verdict.NotRun, http.StatusBadRequest, format, args...)
}

// group sorts the instances by pool, zone, rack and id and cuts the list at each change of rack. For
// waves that take whole racks out the pool does not cut.
func group(list []instance.Instance, rackAtOnce bool) []Group {
	pool := func(in instance.Instance) string {
		if rackAtOnce {
			return ""
		}
		return in.Pool
	}
	slices.SortFunc(list, func(a, b instance.Instance) int {
		return cmp.Or(cmp.Compare(pool(a), pool(b)), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	var groups []Group
	for _, in := range list {
		last := len(groups) - 1
		if last < 0 || groups[last].Pool != pool(in) || groups[last].Zone != in.Zone || groups[last].Rack != in.Rack {
			groups = append(groups, Group{Pool: pool(in), Zone: in.Zone, Rack: in.Rack})
			last++
		}
		groups[last].Instances = append(groups[last].Instances, in.ID)
	}
	return groups
}

// checkRacks rejects racks that can never be out as a whole.
func checkRacks(f *instance.Fleet, budgets Budgets, groups []Group) error {
	for _, g := range groups {
		counts := map[string]int{}
		for _, id := range g.Instances {
			counts[f.Instances[id].Pool]++
		}
		for pool, n := range counts {
			if b := budgets.Of(pool); n > b.Limit {
				return verdict.New(verdict.NotRun, http.StatusConflict,
					"rack %q has %d instances of pool %q, whose budget is %d (backer %q): they cannot be out together",
					g.Rack, n, pool, b.Limit, b.Backer)
			}
		}
	}
	return nil
}

// Blockers names the pools of the wave whose budget allows no maintenance at all.
func Blockers(w *Wave, f *instance.Fleet, budgets Budgets) []Wait {
	var waits []Wait
	seen := map[string]bool{}
	for _, id := range w.Instances() {
		pool := f.Instances[id].Pool
		if b := budgets.Of(pool); b.Limit <= 0 && !seen[pool] {
			seen[pool] = true
			waits = append(waits, waitForBacker(w, pool, b))
		}
	}
	return waits
}
