// Package ranking orders the jobs of a pool that has too little capacity, and decides which new jobs are refused. It is pure: it does no
// I/O, and time is an argument. Its types are not safe for concurrent use.
//
//	key := ranking.Key{Rank: timing.Rank(), BeyondShare: shares.Account("orchard").Beyond(), Deadline: timing.Deadline}
//	slices.SortFunc(keys, ranking.Compare)
package ranking

import (
	"cmp"
	"time"
)

// Rank says which value a job can still have for its caller.
type Rank uint8

const (
	// OnTime jobs can end before their deadline.
	OnTime Rank = iota
	// Late jobs will end after their deadline, but before ValueFactor times their objective.
	Late
	// Worthless jobs will end after that.
	Worthless
)

// String returns what is known about a job of the rank.
func (r Rank) String() string {
	return [...]string{"on time", "late", "of no value"}[r]
}

const (
	// ValueFactor is the multiple of its objective after which a job's result is worth nothing to its caller.
	ValueFactor = 3
	// The remaining critical path of a job that has not begun may be too short by 1/marginDivisor. Without a margin, the earliest deadline
	// first starts every job of an overloaded pool at the last possible moment, and its later steps are late.
	marginDivisor = 2
	// The margin with the setup time is at most 1/slackDivisor of the objective's slack, since otherwise no job with a tight objective would
	// ever count as on time.
	slackDivisor = 2
)

// Timing is what decides the rank of a job.
type Timing struct {
	Now time.Duration
	// Deadline is when the job's objective expires.
	Deadline time.Duration
	// Objective is the time from when the job was due to its deadline.
	Objective time.Duration
	// Remaining is the expected length of the remaining critical path.
	Remaining time.Duration
	// Setup is how long a full pool is expected to take until it has room for one of the job's tasks.
	Setup time.Duration
	// Begun is set once a task of the job was started.
	Begun bool
	// Full is set while the pool has too little room for the waiting tasks.
	Full bool
}

// Rank returns the rank of the job. The margin for the error of estimates applies only in a full pool to jobs that have not begun: elsewhere
// a doubtful job displaces nothing.
func (t Timing) Rank() Rank {
	needed := t.Remaining
	if t.Full && !t.Begun {
		needed += t.margin()
	}
	switch {
	case t.Now+needed <= t.Deadline:
		return OnTime
	case t.Now+t.Remaining <= t.Deadline+(ValueFactor-1)*t.Objective:
		return Late
	}
	return Worthless
}

// margin returns the time beyond the remaining critical path that a job may need which has not begun in a full pool.
func (t Timing) margin() time.Duration {
	return max(0, min(t.Remaining/marginDivisor+t.Setup, (t.Objective-t.Remaining)/slackDivisor))
}

// Key is the position of a job in the order of work. A key of which only Rank, Priority and Deadline are set orders by these alone.
type Key struct {
	// Starved jobs have waited longer than accepted work may. The caller bounds the capacity that they take.
	Starved bool
	Rank    Rank
	// BeyondShare is set for jobs of a workspace that uses more than its share while others wait.
	BeyondShare bool
	// Priority is that of the queue, WorkspacePriority that of the workspace: a lower number goes first.
	Priority          int
	WorkspacePriority int
	Begun             bool
	Deadline          time.Duration
}

// Compare orders keys, those that go first before the others.
func Compare(a, b *Key) int {
	switch {
	case a.Starved != b.Starved:
		return trueFirst(a.Starved)
	case a.Rank != b.Rank:
		return cmp.Compare(a.Rank, b.Rank)
	case a.BeyondShare != b.BeyondShare:
		return -trueFirst(a.BeyondShare)
	case a.Priority != b.Priority:
		return cmp.Compare(a.Priority, b.Priority)
	case a.WorkspacePriority != b.WorkspacePriority:
		return cmp.Compare(a.WorkspacePriority, b.WorkspacePriority)
	case a.Begun != b.Begun:
		return trueFirst(a.Begun)
	}
	return cmp.Compare(a.Deadline, b.Deadline)
}

// Standing describes what decides the position of a job, for reports.
func (k *Key) Standing() string {
	switch {
	case k.Starved:
		return "starved, behind older ones"
	case k.BeyondShare:
		return k.Rank.String() + " and its workspace beyond its share"
	case k.Rank != OnTime:
		return k.Rank.String()
	}
	return "on time, behind others by priority, begun work or deadline"
}

// trueFirst returns the order of two values that differ, given the first one.
func trueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}
