package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// The streams of random numbers of a run. Those of the callers, and those of the faults, are numbered from the given one on.
const (
	streamOfRun uint64 = 1 + iota
	streamOfConfiguration
	streamOfKeys
	streamOfProbes
	streamOfFaults  uint64 = 1 << 20
	streamOfCallers uint64 = 1 << 30
)

// draws is a sequence of random numbers. If all goroutines drew from one sequence, what is drawn for faults would depend on how they interleave, and
// the same seed would at times draw few faults of a kind.
type draws struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func newDraws(seed, stream uint64) *draws { return &draws{rnd: rand.New(rand.NewPCG(seed, stream))} }

// withStream returns the run with another sequence of random numbers.
func (r *run) withStream(stream uint64) *run {
	return &run{state: r.state, draws: newDraws(r.options.Seed, stream)}
}

// intN returns a random number from 0 to n-1.
func (r *run) intN(n int) int {
	r.draws.mu.Lock()
	defer r.draws.mu.Unlock()
	return r.draws.rnd.IntN(n)
}

// between returns a random duration.
func (r *run) between(least, most time.Duration) time.Duration {
	return least + time.Duration(r.intN(int(most-least)))
}
