package workerd

import "fmt"

// ModeName names a way of behaving.
type ModeName string

// Modes of a worker.
const (
	Normal ModeName = "normal"
	// Slow multiplies service times by Mode.Factor.
	Slow ModeName = "slow"
	// FailFast starts all work and fails it at once.
	FailFast ModeName = "fail-fast"
	// Hang starts work and finishes none until the mode changes.
	Hang ModeName = "hang"
	// Refuse refuses all work as not run, without leaving.
	Refuse ModeName = "refuse"
	// Leave refuses all work as not run with Samphire-Leaving and registers as leaving.
	Leave ModeName = "leave"
	// LeaveSilently registers as leaving and accepts work as before.
	LeaveSilently ModeName = "leave-silently"
	// Truncate sends answers that are cut off, in turn by the connection and by a short body.
	Truncate ModeName = "truncate"
	// Swap answers with the previous answer of the worker.
	Swap ModeName = "swap"
)

// Mode is the body of PUT /mode.
type Mode struct {
	Mode ModeName `json:"mode"`
	// Factor multiplies service times in mode Slow.
	Factor float64 `json:"factor,omitempty"`
	// Probability is the part of the requests that FailFast, Hang, Truncate and Swap affect; 0 means all.
	Probability float64 `json:"probability,omitempty"`
}

func (m Mode) validate() error {
	switch m.Mode {
	case Normal, FailFast, Hang, Refuse, Leave, LeaveSilently, Truncate, Swap:
	case Slow:
		if m.Factor <= 0 {
			return fmt.Errorf("mode slow: factor %v, expected more than 0", m.Factor)
		}
	default:
		return fmt.Errorf("unknown mode %q", m.Mode)
	}
	if m.Probability < 0 || m.Probability > 1 {
		return fmt.Errorf("probability %v, expected 0 to 1", m.Probability)
	}
	return nil
}

func (m Mode) leaving() bool { return m.Mode == Leave || m.Mode == LeaveSilently }

// speed is the progress of work per unit of time.
func (m Mode) speed() float64 {
	switch m.Mode {
	case Slow:
		return 1 / m.Factor
	case Hang:
		return 0
	}
	return 1
}
