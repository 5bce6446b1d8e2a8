package mover

import (
	"fmt"
	"math"
	"time"
)

// Settings configure the Learned policy. All costs are in the same arbitrary unit.
type Settings struct {
	// Window is the half-life of observed demand peaks and shortages.
	Window time.Duration
	// Stabilization is the stabilization window: how long a pool must be too small or too large before an instance moves.
	Stabilization time.Duration
	// Hysteresis is the share by which learned demand must exceed or fall below the pool's size.
	Hysteresis float64
	// MoveInterval is the minimum time between two moves from or to the same pool.
	MoveInterval time.Duration
	// BufferCost is the cost of one idle instance for one second.
	BufferCost float64
	// MoveCost is the cost of one move.
	MoveCost float64
	// BlockingCost is the cost of one slot that demand needs and the pool lacks for one second.
	BlockingCost float64
	// MinSpare is the number of instances that stay in the spare pool to replace failed ones.
	MinSpare int
}

const (
	// baseMoveCost is the cost of a move at weight 1, in idle instance-seconds: the instance serves neither pool
	// while it drains, which takes up to a minute for typical work.
	baseMoveCost = 60
	// baseBlockingCost is the cost of one missing slot for one second at weight 1. At this cost a spare instance of
	// 8 slots pays off if it is needed for 0.3 % of the time, less than one demand spike of some seconds in 10 minutes.
	baseBlockingCost = 40
)

// WeightedSettings returns the settings of the design document, section 3.10, with a deployment's cost weights; a weight
// of 1 is neutral.
func WeightedSettings(buffer, move, blocking float64) Settings {
	return Settings{Window: 10 * time.Minute, Stabilization: time.Minute, Hysteresis: 0.15, MoveInterval: time.Minute, MinSpare: 1,
		BufferCost: buffer, MoveCost: baseMoveCost * move, BlockingCost: baseBlockingCost * blocking}
}

// InziraSettings returns the settings for long audits and a small spare pool: idle instances and moves weigh more.
func InziraSettings() Settings { return WeightedSettings(2, 2, 1) }

// HraunvikSettings returns the settings for short work of shoppers who give up within seconds: blocking weighs most.
func HraunvikSettings() Settings { return WeightedSettings(1, 1, 5) }

// Learned sizes home pools by their learned demand, and the spare pool by the learned overflow of all home pools together.
type Learned struct {
	settings Settings
	// first and last are the times of the first and last observation.
	first, last time.Time
	pools       map[string]*history
	// overflow is the overflow of all home pools together, with its peak in instances. Demand spikes rotate among the
	// pools, so their joint peak is far below the sum of the pools' peaks.
	overflow history
}

// history is the observed demand of a pool.
type history struct {
	// peak is the decayed peak of demand in slots.
	peak float64
	// above[k] is the decayed number of seconds during which more than k instances were missing.
	above []float64
	// tooSmall and tooLarge are the times since which the pool is too small or too large, or zero.
	tooSmall, tooLarge time.Time
	lastMove           time.Time
}

// NewLearned returns a policy without observations.
func NewLearned(s Settings) *Learned {
	return &Learned{settings: s, pools: map[string]*history{}}
}

// Name implements Policy.
func (*Learned) Name() string { return "learned" }

// Plan implements Policy.
func (l *Learned) Plan(in Input) []Move {
	step := l.learn(in)
	if step == 0 {
		return nil // A single observation has no duration.
	}
	var moves []Move
	spare, parked := findRole(in, Spare), findRole(in, Parked)
	for _, p := range in.Pools {
		if p.Role != Home || spare == nil {
			continue
		}
		moves = append(moves, l.planHome(in.Now, p, *spare)...)
	}
	if spare != nil && parked != nil {
		moves = append(moves, l.planSpare(in.Now, *spare, *parked)...)
	}
	return moves
}

func findRole(in Input, r Role) *Pool {
	for i := range in.Pools {
		if in.Pools[i].Role == r {
			return &in.Pools[i]
		}
	}
	return nil
}

// learn adds an observation to the histories and returns the time since the last one.
func (l *Learned) learn(in Input) time.Duration {
	var step time.Duration
	if l.last.IsZero() {
		l.first = in.Now
	} else {
		step = max(0, in.Now.Sub(l.last))
	}
	l.last = in.Now
	decay := math.Exp2(-step.Seconds() / l.settings.Window.Seconds())
	joint := 0.0
	for _, p := range in.Pools {
		if p.Role != Home {
			continue
		}
		missing := max(0, p.Demand/p.Slots-float64(p.Serving))
		joint += missing
		h := l.history(p.Name)
		h.peak = max(p.Demand, h.peak*decay)
		h.addShortage(missing, step, decay)
	}
	l.overflow.peak = max(joint, l.overflow.peak*decay)
	l.overflow.addShortage(joint, step, decay)
	return step
}

func (l *Learned) history(pool string) *history {
	h := l.pools[pool]
	if h == nil {
		h = &history{}
		l.pools[pool] = h
	}
	return h
}

// addShortage records a step during which the given number of instances was missing.
func (h *history) addShortage(missing float64, step time.Duration, decay float64) {
	for k := range h.above {
		h.above[k] *= decay
	}
	for k := 0; float64(k) < missing; k++ {
		if k == len(h.above) {
			h.above = append(h.above, 0)
		}
		h.above[k] += step.Seconds()
	}
}

// shortage returns the decayed number of seconds during which more than n instances were missing.
func (h *history) shortage(n int) float64 {
	if n < 0 || n >= len(h.above) {
		return 0
	}
	return h.above[n]
}

// planHome decides on a move between a home pool and the spare pool.
func (l *Learned) planHome(now time.Time, p, spare Pool) []Move {
	h := l.history(p.Name)
	current := p.Serving + p.MovingIn
	needed := h.peak / p.Slots
	window := l.totalWeight()
	// A spare instance serves the demand spikes of all pools. It moves only to a pool that needs it nearly always;
	// otherwise it would be missing in the other pools' spikes.
	shortage := h.shortage(0)
	blockingCost := l.settings.BlockingCost * p.Slots * shortage
	tooSmall := needed > float64(current)*(1+l.settings.Hysteresis) && shortage > (1-l.settings.Hysteresis)*window &&
		blockingCost > l.settings.MoveCost+l.settings.BufferCost*(window-shortage)
	tooLarge := l.warmedUp(now) && current > 1 && needed < float64(current-1)*(1-l.settings.Hysteresis) && l.settings.BufferCost*window > l.settings.MoveCost
	small, large := h.stabilized(now, tooSmall, tooLarge, l.settings.Stabilization)
	switch {
	case small && spare.Serving > l.settings.MinSpare && spare.Movable > 0 && l.mayMove(now, p.Name, spare.Name):
		return l.move(now, spare.Name, p.Name, "learned demand of %.1f instances, %d there, blocking cost %.0f", needed, current, blockingCost)
	case large && p.Movable > 0 && l.mayMove(now, p.Name, spare.Name):
		return l.move(now, p.Name, spare.Name, "learned demand of %.1f instances, %d there", needed, current)
	}
	return nil
}

// planSpare decides on a move between the spare and the parked pool.
func (l *Learned) planSpare(now time.Time, spare, parked Pool) []Move {
	current := spare.Serving + spare.MovingIn
	h := &l.overflow
	blockingCost := l.settings.BlockingCost * spare.Slots * h.shortage(current)
	cost := l.settings.MoveCost + l.settings.BufferCost*(l.totalWeight()-h.shortage(current))
	up := current < l.settings.MinSpare || h.peak > float64(current)*(1+l.settings.Hysteresis) && blockingCost > cost
	down := l.warmedUp(now) && current > l.settings.MinSpare && h.peak < float64(current-1)*(1-l.settings.Hysteresis) && l.settings.BufferCost*l.totalWeight() > l.settings.MoveCost
	small, large := h.stabilized(now, up, down, l.settings.Stabilization)
	switch {
	case small && parked.Serving > 0 && parked.Movable > 0 && l.mayMove(now, spare.Name, parked.Name):
		return l.move(now, parked.Name, spare.Name, "learned overflow of %.1f instances, spare of %d", h.peak, current)
	case large && spare.Movable > 0 && l.mayMove(now, spare.Name, parked.Name):
		return l.move(now, spare.Name, parked.Name, "learned overflow of %.1f instances, spare of %d", h.peak, current)
	}
	return nil
}

// totalWeight returns the sum of the decay weights of all past seconds.
func (l *Learned) totalWeight() float64 { return l.settings.Window.Seconds() / math.Ln2 }

// warmedUp reports whether the policy has observed for long enough to call a pool too large. Before
// that, for example after a change of the lease holder, it may not have observed the demand spikes yet.
func (l *Learned) warmedUp(now time.Time) bool { return now.Sub(l.first) >= l.settings.Window }

// stabilized updates the start of each condition and reports which of them has been true for the window.
func (h *history) stabilized(now time.Time, small, large bool, window time.Duration) (bool, bool) {
	return trueFor(&h.tooSmall, now, small, window), trueFor(&h.tooLarge, now, large, window)
}

func trueFor(start *time.Time, now time.Time, condition bool, window time.Duration) bool {
	switch {
	case !condition:
		*start = time.Time{}
		return false
	case start.IsZero():
		*start = now
	}
	return now.Sub(*start) >= window
}

func (l *Learned) mayMove(now time.Time, pools ...string) bool {
	for _, p := range pools {
		if h := l.history(p); !h.lastMove.IsZero() && now.Sub(h.lastMove) < l.settings.MoveInterval {
			return false
		}
	}
	return true
}

func (l *Learned) move(now time.Time, from, to, reason string, args ...any) []Move {
	for _, p := range []string{from, to} {
		h := l.history(p)
		h.lastMove, h.tooSmall, h.tooLarge = now, time.Time{}, time.Time{}
	}
	l.overflow.tooSmall, l.overflow.tooLarge = time.Time{}, time.Time{}
	return []Move{{From: from, To: to, Reason: fmt.Sprintf(reason, args...)}}
}
