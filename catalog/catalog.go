// Package catalog holds one version of the operators' configuration: the pools of instances, the queues of work and where
// callers reach them.
//
//	q, tail, ok := c.Find("pumps.example", "/shift/5c0e7a21d94b36f8")
package catalog

import (
	"strings"
	"time"

	"samphirepoint/engine"
)

// Queue is a stream of jobs and the pool whose workers run them.
type Queue struct {
	engine.Queue
	Host, Prefix string
	Pool         string
	Timeout      time.Duration
}

// Pool is a named set of instances. Spare pools hold instances that are off.
type Pool struct {
	Name             string
	EnforcesCapacity bool
	Spare            bool
}

// Catalog is one version; it doesn't change once it is in use.
type Catalog struct {
	Version      int64
	Queues       []Queue
	Pools        []Pool
	MaxBodyBytes int64

	byHost map[string][]*Queue
}

// Index prepares Find.
func (c *Catalog) Index() {
	c.byHost = map[string][]*Queue{}
	for i := range c.Queues {
		q := &c.Queues[i]
		h := strings.ToLower(q.Host)
		c.byHost[h] = append(c.byHost[h], q)
	}
}

// Find returns the queue of a host whose prefix is the longest that path begins with, and the rest of the path.
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

// NonSparePools returns the names of the pools that have queues' work to do: all but the spare ones.
func (c *Catalog) NonSparePools() []string {
	var out []string
	for _, p := range c.Pools {
		if !p.Spare {
			out = append(out, p.Name)
		}
	}
	return out
}

// Pool returns the pool of that name.
func (c *Catalog) Pool(name string) (Pool, bool) {
	for _, p := range c.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}
