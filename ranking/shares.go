package ranking

import (
	"math"
	"time"
)

// shareMemory is the time constant with which past use of CPU is forgotten. It exceeds the run time of most tasks, so that a workspace
// whose runs all end at once is not taken for one that had nothing.
const shareMemory = 3 * time.Second

// burstDivisor is the part of what a workspace runs beyond its recent average that counts at once. If nothing did, a workspace that begins to
// send could fill the pool before it counts as beyond its share; if all did, a short burst would count like steady use.
const burstDivisor = 2

// shareTolerance is how many times its share a workspace may use, relative to the others that wait, before it counts as beyond its share. Work
// arrives unevenly, and within this tolerance the order of deadlines lets more jobs be on time.
const shareTolerance = 1.5

// minAverage is the average use, in thousandths of a core, below which an idle account is dropped.
const minAverage = 1

// Shares records how much CPU each workspace of a shard uses, weighted, and which of them are beyond their fair share.
//
// The use of a workspace is its recent average, plus half of what it runs beyond that. A workspace is beyond its share if its use for each
// unit of weight is more than shareTolerance times that of the other waiting workspaces taken together. So it is never beyond while no other one waits, and of several that
// wait, at least one is within its share.
//
// While a workspace within its share waits, no placement starts a task of the same rank for one beyond its share in room that fits both. A
// workspace that sends any multiple of its usual work is beyond its share from the placement on after which it runs more than three times its share.
// It then delays a task of a workspace within its share by at most the longest of the runs that fill the workers when the task becomes ready,
// plus the time between two placements.
type Shares struct {
	accounts  map[string]*Account
	updatedAt time.Duration
	// weight and use are the sums over the waiting accounts.
	weight, use float64
	round       uint64
}

// Account is the use of one workspace.
type Account struct {
	shares *Shares
	weight float64
	// running is the CPU of its runs, average its exponential average, both in thousandths of a core.
	running, average float64
	// used is the use by which the workspace is judged, as of the beginning of the round.
	used float64
	// round is the last round in which the workspace waited.
	round uint64
}

// Account returns the account of a workspace. It may be read after the next Begin, but no longer be added to.
func (s *Shares) Account(name string) *Account {
	a := s.accounts[name]
	if a == nil {
		if s.accounts == nil {
			s.accounts = map[string]*Account{}
		}
		a = &Account{shares: s, weight: 1}
		s.accounts[name] = a
	}
	return a
}

// Add records that the CPU of a workspace's runs has changed, by thousandths of a core.
func (s *Shares) Add(name string, cpu int64) { s.Account(name).running += float64(cpu) }

// Begin begins a round, in which Wait is called for each workspace that waits, and then Beyond. weight returns the weight of a workspace.
func (s *Shares) Begin(now time.Duration, weight func(name string) float64) {
	keep := math.Exp(-float64(max(now-s.updatedAt, 0)) / float64(shareMemory))
	s.updatedAt = now
	s.round++
	s.weight, s.use = 0, 0
	for name, a := range s.accounts {
		a.average = a.running + (a.average-a.running)*keep
		if a.running == 0 && a.average < minAverage {
			delete(s.accounts, name)
			continue
		}
		a.used = a.average + max(0, a.running-a.average)/burstDivisor
		a.weight = weight(name)
	}
}

// Wait records that the workspace has work that waits in this round.
func (a *Account) Wait() {
	if a.round == a.shares.round {
		return
	}
	a.round = a.shares.round
	a.shares.weight += a.weight
	a.shares.use += a.used
}

// Beyond reports whether the workspace is beyond its share. For one that does not wait, it reports whether it would be if it did.
func (a *Account) Beyond() bool {
	weight, use := a.shares.weight, a.shares.use
	if a.round != a.shares.round {
		weight, use = weight+a.weight, use+a.used
	}
	others, othersUse := weight-a.weight, use-a.used
	return others > 0 && a.used*others > shareTolerance*othersUse*a.weight
}
