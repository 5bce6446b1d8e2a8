// Package catalog holds one version of the operators' configuration: the pools of instances, the queues of jobs and the hosts
// and paths at which callers reach the queues.
//
//	q, tail, ok := c.Find("pumps.example", "/shift/5c0e7a21d94b36f8")
package catalog

import (
	"fmt"
	"strings"
	"time"

	"samphirepoint/engine"
)

// Queue is a queue of jobs, with the pool whose workers run them and the host and path prefix at which callers reach it.
type Queue struct {
	engine.Queue
	Host, Prefix string
	Pool         string
	Timeout      time.Duration
	// Public queues take calls without a key.
	Public bool
}

// Pool is a named set of instances. Spare pools hold instances that are powered off.
type Pool struct {
	Name             string
	EnforcesCapacity bool
	Spare            bool
	// HealthPath is where the pool's workers answer whether they are healthy, or "" if they don't.
	HealthPath string
}

// Workspace is a tenant of the fleet: its callers identify themselves by its keys, and its jobs share its weight and its cap.
type Workspace struct {
	Name string
	// Keys are the API keys in force. A workspace whose last key was withdrawn has none.
	Keys []string
	// Priority orders the workspaces where there is too little capacity for all: a lower number goes first.
	Priority int
	// Weight is the workspace's share of a pool relative to the others that wait, and the number of jobs a second up to which it is entitled
	// to service.
	Weight float64
	// Cap bounds what the workspace has running on all workers together; 0 stands for no limit on a resource.
	Cap engine.Resources
}

// Catalog is one version of the configuration. It is immutable once it is in use.
type Catalog struct {
	Version      int64
	Queues       []Queue
	Pools        []Pool
	Workspaces   []Workspace
	MaxBodyBytes int64

	byHost map[string][]*Queue
	byKey  map[string]*Workspace
}

// Index builds the indexes that Find and WorkspaceOf use. It must be called after the queues and workspaces have been set.
func (c *Catalog) Index() {
	c.byKey = map[string]*Workspace{}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			c.byKey[key] = &c.Workspaces[i]
		}
	}
	c.byHost = map[string][]*Queue{}
	for i := range c.Queues {
		q := &c.Queues[i]
		h := strings.ToLower(q.Host)
		c.byHost[h] = append(c.byHost[h], q)
	}
}

// Find returns the queue of a host with the longest prefix of path, and the remainder of the path.
func (c *Catalog) Find(host, path string) (*Queue, string, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var best *Queue
	for _, q := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, "", false
	}
	return best, path[len(best.Prefix):], true
}

// QueuesOf returns the queues of a pool.
func (c *Catalog) QueuesOf(pool string) []engine.Queue {
	var out []engine.Queue
	for i := range c.Queues {
		if c.Queues[i].Pool == pool {
			out = append(out, c.Queues[i].Queue)
		}
	}
	return out
}

// NonSparePools returns the names of the pools that run the jobs of queues: all but the spare ones.
func (c *Catalog) NonSparePools() []string {
	var out []string
	for _, p := range c.Pools {
		if !p.Spare {
			out = append(out, p.Name)
		}
	}
	return out
}

// Pool returns the pool with the given name.
func (c *Catalog) Pool(name string) (Pool, bool) {
	for _, p := range c.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// HealthPath returns the health path of a pool's workers, or "" if the pool has none or isn't known.
func (c *Catalog) HealthPath(pool string) string {
	p, _ := c.Pool(pool)
	return p.HealthPath
}

// WorkspaceOf returns the workspace that has the API key.
func (c *Catalog) WorkspaceOf(key string) (*Workspace, bool) {
	w, ok := c.byKey[key]
	return w, ok
}

// EngineWorkspaces returns what the engine needs to know of the workspaces. The list is never nil, which would stand for an unknown one.
func (c *Catalog) EngineWorkspaces() []engine.Workspace {
	out := []engine.Workspace{}
	for _, w := range c.Workspaces {
		out = append(out, engine.Workspace{Name: w.Name, Priority: w.Priority, Weight: w.Weight, Capped: w.Cap != (engine.Resources{})})
	}
	return out
}

// HasKeys reports whether callers identify themselves by keys. Without workspaces nobody has one.
func (c *Catalog) HasKeys() bool { return len(c.Workspaces) > 0 }

// Check returns an error that names the first invalid workspace. A workspace without keys is valid: its last key was withdrawn.
func (c *Catalog) Check() error {
	names, keys := map[string]bool{}, map[string]string{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		switch {
		case w.Name == "":
			return fmt.Errorf("workspace %d has no name", i)
		case names[w.Name]:
			return fmt.Errorf("two workspaces are named %q", w.Name)
		case w.Weight < 0:
			return fmt.Errorf("workspace %q: weight %v is negative", w.Name, w.Weight)
		case !w.Cap.Covers(engine.Resources{}):
			return fmt.Errorf("workspace %q: its cap has a negative resource", w.Name)
		}
		names[w.Name] = true
		for _, key := range w.Keys {
			if key == "" {
				return fmt.Errorf("workspace %q has an empty key", w.Name)
			}
			if other, taken := keys[key]; taken {
				return fmt.Errorf("workspaces %q and %q have a key in common", other, w.Name)
			}
			keys[key] = w.Name
		}
	}
	return nil
}
