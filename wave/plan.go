package wave

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"samphirepoint/instance"
	"samphirepoint/verdict"
)

// MaxInstances is the maximum number of instances of a wave. Each step of a wave reads or writes its row, which takes
// about 60 B per instance: 400 instances with 3 steps each transfer 30 MB in the hours of a wave. A large fleet is
// maintained as a whole by a cycle of daily waves.
const MaxInstances = 400

// Request is an operator's request for a wave. The wave covers the instances that match all of the selectors Pools,
// Instances, Zone and Rack that are set; without any it covers the whole fleet.
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

// Plan returns a planned wave with the selected instances grouped by pool, zone and rack. Errors have HTTP status 400
// or 409 and verdict NotRun.
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
		return nil, badRequest("the wave would cover %d instances, the maximum is %d: select pools or a zone, or plan a cycle", len(selected), MaxInstances)
	}
	return selected, nil
}

func badRequest(format string, args ...any) error {
	return verdict.New(verdict.NotRun, http.StatusBadRequest, format, args...)
}

// group sorts the instances by pool, zone, rack and ID and starts a new group whenever pool, zone or rack changes. For
// waves that reboot whole racks at once the pool is ignored.
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

// checkRacks rejects racks whose instances can never be unavailable together.
func checkRacks(f *instance.Fleet, budgets Budgets, groups []Group) error {
	for _, g := range groups {
		counts := map[string]int{}
		for _, id := range g.Instances {
			counts[f.Instances[id].Pool]++
		}
		for pool, n := range counts {
			if b := budgets.Of(pool); n > b.Limit {
				return verdict.New(verdict.NotRun, http.StatusConflict,
					"rack %q has %d instances of pool %q, whose budget is %d (backer %q): they cannot be unavailable together",
					g.Rack, n, pool, b.Limit, b.Backer)
			}
		}
	}
	return nil
}

// Blockers returns a wait for each pool of the wave whose budget allows no maintenance at all.
func Blockers(w *Wave, f *instance.Fleet, budgets Budgets) []Wait {
	var waits []Wait
	seen := map[string]bool{}
	for _, id := range w.Instances() {
		pool := f.Instances[id].Pool
		if b := budgets.Of(pool); b.Limit <= 0 && !seen[pool] {
			seen[pool] = true
			waits = append(waits, b.backerWait(waveNode(w), pool))
		}
	}
	return waits
}
