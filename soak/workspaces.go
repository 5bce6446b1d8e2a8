package soak

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"samphirepoint/engine"
	"samphirepoint/standin/jobfleet"
)

const (
	// revokeTime and applyTime are the bounds revoke_ms and apply_ms of the settings.
	revokeTime = 5 * time.Second
	applyTime  = 3 * time.Second
	// quotaOverage is the part of a cap by which a workspace may exceed it.
	quotaOverage = 0.1
	// keysPerWorkspace is the number of keys of a workspace in the first version of the configuration, mostKeys the most that it has later.
	keysPerWorkspace = 2
	mostKeys         = 3
)

// queue is a queue of the configuration.
type queue struct {
	name, pool string
	public     bool
	// advised is set if the starts of its tasks need tickets of the adviser.
	advised bool
}

// queues are in each version of the configuration. extraQueue is in some.
var (
	queues = []queue{
		{name: "pumps", pool: "pumps"}, {name: "routes", pool: "routes"}, {name: "audits", pool: "routes", public: true}, advisedQueue,
	}
	advisedQueue = queue{name: "checks", pool: "pumps", advised: true}
	extraQueue   = queue{name: "extra", pool: "pumps"}
)

// apiKey is an API key that the configuration has or had. A withdrawn key never returns.
type apiKey struct {
	value, workspace string
	// added and withdrawn are when the store acknowledged the version that adds the key and the one that withdraws it.
	added, withdrawn time.Time
	// withdrawing is set before the version that withdraws the key is written.
	withdrawing bool
}

// revokedBy reports whether no daemon may accept the key in a call that is sent at t.
func (k apiKey) revokedBy(t time.Time) bool {
	return !k.withdrawn.IsZero() && t.After(k.withdrawn.Add(revokeTime))
}

// appliedBy reports whether connected daemons must know the key in a call that is sent at t.
func (k apiKey) appliedBy(t time.Time) bool {
	return !k.withdrawing && !k.added.IsZero() && t.After(k.added.Add(applyTime))
}

// workspaces are the workspaces of the configuration, with all keys and caps that they have had.
type workspaces struct {
	// mu is never held over a call to the fleet or to the run, as the fleet checks caps while it is locked.
	mu    sync.Mutex
	names []string
	keys  []*apiKey
	caps  []*capVersion
	// ofJob holds the workspace of each job that was sent with a key.
	ofJob map[string]string
}

func newWorkspaces() *workspaces {
	w := &workspaces{names: []string{"cooperative", "harbor"}, ofJob: map[string]string{}}
	for _, name := range w.names {
		for range keysPerWorkspace {
			w.addKey(name)
		}
	}
	return w
}

// addKey adds a new key to a workspace. It is in the versions of the configuration that are written from now on.
func (w *workspaces) addKey(workspace string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys = append(w.keys, &apiKey{value: fmt.Sprintf("key-%s-%03d", workspace, len(w.keys)+1), workspace: workspace})
}

// withdrawKey takes a key out of the versions of the configuration that are written from now on.
func (w *workspaces) withdrawKey(value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.keys {
		if k.value == value {
			k.withdrawing = true
		}
	}
}

// acknowledge records that the store has acknowledged a version of the configuration with all changes so far.
func (w *workspaces) acknowledge(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.keys {
		if k.added.IsZero() {
			k.added = at
		}
		if k.withdrawing && k.withdrawn.IsZero() {
			k.withdrawn = at
		}
	}
	for _, c := range w.caps[:max(len(w.caps)-1, 0)] {
		if c.replaced.IsZero() {
			c.replaced = at
		}
	}
}

// keysOf returns the keys that a workspace has in the configuration.
func (w *workspaces) keysOf(workspace string) []apiKey {
	return w.selectKeys(func(k *apiKey) bool { return k.workspace == workspace && !k.withdrawing })
}

// withdrawnKeys returns the keys that were withdrawn.
func (w *workspaces) withdrawnKeys() []apiKey {
	return w.selectKeys(func(k *apiKey) bool { return !k.withdrawn.IsZero() })
}

func (w *workspaces) selectKeys(want func(*apiKey) bool) []apiKey {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []apiKey
	for _, k := range w.keys {
		if want(k) {
			out = append(out, *k)
		}
	}
	return out
}

// key returns what is known of a key now. It reports false if there has never been such a key.
func (w *workspaces) key(value string) (apiKey, bool) {
	list := w.selectKeys(func(k *apiKey) bool { return k.value == value })
	if len(list) == 0 {
		return apiKey{}, false
	}
	return list[0], true
}

// setWorkspaceOf records the workspace whose key a job is sent with.
func (w *workspaces) setWorkspaceOf(job, workspace string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ofJob[job] = workspace
}

// rows returns the workspaces as the configuration lists them.
func (w *workspaces) rows() []map[string]any {
	var out []map[string]any
	for k, name := range w.names {
		values := []string{}
		for _, key := range w.keysOf(name) {
			values = append(values, key.value)
		}
		limit := w.presentCap(name)
		out = append(out, map[string]any{
			"name": name, "api_keys": values, "priority": k + 1, "weight": float64(k + 1),
			"cap": map[string]int64{"cpu": limit.CPU, "mem_mb": limit.Mem, "gpu": limit.GPU},
		})
	}
	return out
}

// configure writes a version of the configuration after change, with the keys and caps that the workspaces then have.
func (r *run) configure(change func()) error {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	change()
	r.version += 3 // Versions rise, but need not be consecutive.
	data, err := json.Marshal(r.configuration())
	if err != nil {
		return err
	}
	if err := r.fleet.Configure(json.RawMessage(data)); err != nil {
		return err
	}
	r.workspaces.acknowledge(time.Now())
	return nil
}

// configuration returns the configuration that is to be written. The caller must hold configMu.
func (r *run) configuration() map[string]any {
	list := slices.Clone(queues)
	if r.extra {
		list = append(list, extraQueue)
	}
	routes := []map[string]any{}
	for _, q := range list {
		route := map[string]any{
			"name": q.name, "host": "jobs.example", "path_prefix": "/" + q.name + "/", "timeout_ms": 3000,
			"target_latency_ms": 600, "service": q.pool, "attempts": 3, "stretch": 1.6, "public": q.public,
		}
		if a := r.fleet.Advice; q.advised {
			route["advice"] = map[string]int64{"decide_ms": a.Decide.Milliseconds(), "each_ms": a.Each.Milliseconds(), "valid_ms": a.Validity.Milliseconds()}
		}
		routes = append(routes, route)
	}
	services := []map[string]any{{"name": jobfleet.SparePool, "spare": true}}
	for _, p := range pools {
		services = append(services, map[string]any{"name": p})
	}
	return map[string]any{
		"version": r.version, "routes": routes, "services": services, "tenants": r.workspaces.rows(),
		"limits": map[string]int{"max_body_bytes": 262144},
	}
}

// taskNeed is what each task requests.
var taskNeed = engine.Resources{CPU: 4000, Mem: 100}
