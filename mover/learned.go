package mover

import (
	"fmt"
	"math"
	"time"
)

// Settings of the learned policy. The costs share one arbitrary unit.
type Settings struct {
	// Window is the time over which demand is learned; a peak halves in this time.
	Window time.Duration
	// Stabilization is the time for which a pool must be too small or too large before an instance moves.
	Stabilization time.Duration
	// Hysteresis is the share by which learned demand must exceed or miss the pool's size.
	Hysteresis float64
	// MoveInterval is the least time between two moves from or to the same pool.
	MoveInterval time.Duration
	// BufferCost is the cost of one idle instance for one second.
	BufferCost float64
	// MoveCost is the cost of one move.
	MoveCost float64
	// BlockingCost is the cost of one slot that is wanted and missing for one second.
	BlockingCost float64
	// MinSpare instances stay in the spare pool for failures.
	MinSpare int
}

const (
	// moveBase is the cost of a move of weight 1, in idle instance-seconds: the instance serves neither pool
	// while it drains, which takes up to a minute for common work.
	moveBase = 60
	// blockingBase is the cost of a missing slot for one second at weight 1. With it a spare instance of 8 slots
	// pays off if it is needed for 0.3 % of the time, less than one surge of some seconds in 10 minutes.
	blockingBase = 40
)

// WeightedSettings returns the settings of design section 3.10 with the weights of a deployment; 1 is neutral.
func WeightedSettings(buffer, move, blocking float64) Settings {
	return Settings{Window: 10 * time.Minute, Stabilization: time.Minute, Hysteresis: 0.15, MoveInterval: time.Minute, MinSpare: 1,
		BufferCost: buffer, MoveCost: moveBase * move, BlockingCost: blockingBase * blocking}
}

// InziraSettings returns the settings for long audits and a small spare pool: buffer and moves weigh more.
func InziraSettings() Settings { return WeightedSettings(2, 2, 1) }

// HraunvikSettings returns the settings for short work of shoppers who give up within seconds: blocking weighs most.
func HraunvikSettings() Settings { return WeightedSettings(1, 1, 5) }

// Learned sizes pools by learned demand and the spare by the learned overflow of all pools together.
type Learned struct {
	s Settings
	// first and last are the times of the first and last observation.
	first, last time.Time
	pools       map[string]*memory
	// overflow of all home pools together, its peak in instances; surges take turns, so their joint peak is
	// far below the sum of the pools' peaks.
	overflow memory
}

// memory is what the policy remembers of a pool.
type memory struct {
	// peak is the decayed peak of demand in slots.
	peak float64
	// above[k] is the decayed number of seconds in which more than k instances were missing.
	above []float64
	// tooSmall and tooLarge are the starts of the present condition, or zero.
	tooSmall, tooLarge time.Time
	moved              time.Time
}

// NewLearned returns a policy that knows nothing yet.
func NewLearned(s Settings) *Learned {
	return &Learned{s: s, pools: map[string]*memory{}}
}

// Name implements Policy.
func (*Learned) Name() string { return "learned" }

// Plan implements Policy.
func (l *Learned) Plan(in Input) []Move {
	step := l.learn(in)
	if step == 0 {
		return nil // one observation says nothing about how long a demand lasts
	}
	var moves []Move
	spare, parked := find(in, Spare), find(in, Parked)
	for _, p := range in.Pools {
		if p.Role != Home || spare == nil {
			continue
		}
		moves = append(moves, l.home(in.Now, p, *spare)...)
	}
	if spare != nil && parked != nil {
		moves = append(moves, l.spare(in.Now, *spare, *parked)...)
	}
	return moves
}

func find(in Input, r Role) *Pool {
	for i := range in.Pools {
		if in.Pools[i].Role == r {
			return &in.Pools[i]
		}
	}
	return nil
}

// learn updates the memory and returns the time since the last call.
func (l *Learned) learn(in Input) time.Duration {
	var step time.Duration
	if l.last.IsZero() {
		l.first = in.Now
	} else {
		step = max(0, in.Now.Sub(l.last))
	}
	l.last = in.Now
	keep := math.Exp2(-step.Seconds() / l.s.Window.Seconds())
	joint := 0.0
	for _, p := range in.Pools {
		if p.Role != Home {
			continue
		}
		missing := max(0, p.Demand/p.Slots-float64(p.Serving))
		joint += missing
		m := l.memory(p.Name)
		m.peak = max(p.Demand, m.peak*keep)
		m.note(missing, step, keep)
	}
	l.overflow.peak = max(joint, l.overflow.peak*keep)
	l.overflow.note(joint, step, keep)
	return step
}

func (l *Learned) memory(pool string) *memory {
	m := l.pools[pool]
	if m == nil {
		m = &memory{}
		l.pools[pool] = m
	}
	return m
}

// note adds a step in which the given number of instances was missing.
func (m *memory) note(missing float64, step time.Duration, keep float64) {
	for k := range m.above {
		m.above[k] *= keep
	}
	for k := 0; float64(k) < missing; k++ {
		if k == len(m.above) {
			m.above = append(m.above, 0)
		}
		m.above[k] += step.Seconds()
	}
}

// missing returns the decayed seconds in which more than n instances were missing.
func (m *memory) missing(n int) float64 {
	if n < 0 || n >= len(m.above) {
		return 0
	}
	return m.above[n]
}

// home decides on a home pool.
func (l *Learned) home(now time.Time, p, spare Pool) []Move {
	m := l.memory(p.Name)
	have := p.Serving + p.MovingIn
	need := m.peak / p.Slots
	window := l.window()
	// A spare instance serves all pools in turn. It moves only to a pool that needs it nearly always;
	// otherwise the move would block the other pools' surges.
	short := m.missing(0)
	blocked := l.s.BlockingCost * p.Slots * short
	tooSmall := need > float64(have)*(1+l.s.Hysteresis) && short > (1-l.s.Hysteresis)*window &&
		blocked > l.s.MoveCost+l.s.BufferCost*(window-short)
	tooLarge := l.warm(now) && have > 1 && need < float64(have-1)*(1-l.s.Hysteresis) && l.s.BufferCost*window > l.s.MoveCost
	small, large := m.holds(now, tooSmall, tooLarge, l.s.Stabilization)
	switch {
	case small && spare.Serving > l.s.MinSpare && spare.Movable > 0 && l.mayMove(now, p.Name, spare.Name):
		return l.move(now, spare.Name, p.Name, "learned demand of %.1f instances, %d there, blocking cost %.0f", need, have, blocked)
	case large && p.Movable > 0 && l.mayMove(now, p.Name, spare.Name):
		return l.move(now, p.Name, spare.Name, "learned demand of %.1f instances, %d there", need, have)
	}
	return nil
}

// spare decides between the spare and the parked pool.
func (l *Learned) spare(now time.Time, spare, parked Pool) []Move {
	have := spare.Serving + spare.MovingIn
	m := &l.overflow
	blocked := l.s.BlockingCost * spare.Slots * m.missing(have)
	cost := l.s.MoveCost + l.s.BufferCost*(l.window()-m.missing(have))
	up := have < l.s.MinSpare || m.peak > float64(have)*(1+l.s.Hysteresis) && blocked > cost
	down := l.warm(now) && have > l.s.MinSpare && m.peak < float64(have-1)*(1-l.s.Hysteresis) && l.s.BufferCost*l.window() > l.s.MoveCost
	small, large := m.holds(now, up, down, l.s.Stabilization)
	switch {
	case small && parked.Serving > 0 && parked.Movable > 0 && l.mayMove(now, spare.Name, parked.Name):
		return l.move(now, parked.Name, spare.Name, "learned overflow of %.1f instances, spare of %d", m.peak, have)
	case large && spare.Movable > 0 && l.mayMove(now, spare.Name, parked.Name):
		return l.move(now, spare.Name, parked.Name, "learned overflow of %.1f instances, spare of %d", m.peak, have)
	}
	return nil
}

// window is the sum of the weights of all past seconds.
func (l *Learned) window() float64 { return l.s.Window.Seconds() / math.Ln2 }

// warm reports whether the policy has observed for long enough to call a pool too large. Before
// that, as after a change of the lease holder, it has not seen the surges yet.
func (l *Learned) warm(now time.Time) bool { return now.Sub(l.first) >= l.s.Window }

// holds keeps the start of each condition and reports which has lasted for d.
func (m *memory) holds(now time.Time, small, large bool, d time.Duration) (bool, bool) {
	return since(&m.tooSmall, now, small, d), since(&m.tooLarge, now, large, d)
}

func since(start *time.Time, now time.Time, condition bool, d time.Duration) bool {
	switch {
	case !condition:
		*start = time.Time{}
		return false
	case start.IsZero():
		*start = now
	}
	return now.Sub(*start) >= d
}

func (l *Learned) mayMove(now time.Time, pools ...string) bool {
	for _, p := range pools {
		if m := l.memory(p); !m.moved.IsZero() && now.Sub(m.moved) < l.s.MoveInterval {
			return false
		}
	}
	return true
}

func (l *Learned) move(now time.Time, from, to, why string, args ...any) []Move {
	for _, p := range []string{from, to} {
		m := l.memory(p)
		m.moved, m.tooSmall, m.tooLarge = now, time.Time{}, time.Time{}
	}
	l.overflow.tooSmall, l.overflow.tooLarge = time.Time{}, time.Time{}
	return []Move{{From: from, To: to, Reason: fmt.Sprintf(why, args...)}}
}
