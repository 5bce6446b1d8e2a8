// Package table manages the configuration that operators edit like a spreadsheet: one row per
// backer with its weight and limits, the pools, and the queues with the pools that may run their
// work, in order of preference.
package table

// Keys of the configuration in the platform's table.
const (
	KeyCurrent    = "config/current"
	KeyDraft      = "config/draft"
	PrefixHistory = "config/history/"
)

// Backer is one row of the table of weights and limits.
type Backer struct {
	Name string `json:"name" yaml:"name"`
	// Weight sets the backer's share of a pool's slots relative to other backers with waiting work.
	Weight float64 `json:"weight" yaml:"weight"`
	// NominalQuota is the number of slots over all pools that the backer may claim.
	NominalQuota int `json:"nominalQuota" yaml:"nominalQuota"`
	// BorrowingLimit is the number of slots beyond NominalQuota that the backer may use
	// while others leave them idle.
	BorrowingLimit int `json:"borrowingLimit" yaml:"borrowingLimit"`
	// MaxUnavailable is the availability budget: the number of instances that may be
	// unavailable at once in each pool that serves the backer's queues.
	MaxUnavailable int `json:"maxUnavailable" yaml:"maxUnavailable"`
}

// Limit is the largest number of slots over all pools that the backer may use at once.
func (b Backer) Limit() int { return b.NominalQuota + b.BorrowingLimit }

// Pool is a set of instances.
type Pool struct {
	Name string `json:"name" yaml:"name"`
	// Region, if set, is preferred for the entry that owns the pool.
	Region string `json:"region,omitempty" yaml:"region,omitempty"`
	// Spare marks a pool whose instances are a reserve for other pools.
	Spare bool `json:"spare,omitempty" yaml:"spare,omitempty"`
}

// Queue is a named queue of work with the pools that may run it and the backers that may submit to it.
type Queue struct {
	Name string `json:"name" yaml:"name"`
	// Pools lists the pools that may run the queue's work, the home pool first.
	Pools []string `json:"pools" yaml:"pools"`
	// Backers lists the backers that may submit; empty means all.
	Backers []string `json:"backers,omitempty" yaml:"backers,omitempty"`
	// MaxLength bounds the requests that wait in the queue.
	MaxLength int `json:"maxLength" yaml:"maxLength"`
}

// Document is one version of the whole configuration, accepted or draft.
type Document struct {
	Version int64    `json:"version" yaml:"version,omitempty"`
	Backers []Backer `json:"backers" yaml:"backers"`
	Pools   []Pool   `json:"pools" yaml:"pools"`
	Queues  []Queue  `json:"queues" yaml:"queues"`
}

// Backer returns the row of the named backer.
func (d *Document) Backer(name string) (Backer, bool) {
	for _, b := range d.Backers {
		if b.Name == name {
			return b, true
		}
	}
	return Backer{}, false
}

// Queue returns the named queue.
func (d *Document) Queue(name string) (Queue, bool) {
	for _, q := range d.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Pool returns the named pool.
func (d *Document) Pool(name string) (Pool, bool) {
	for _, p := range d.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}
