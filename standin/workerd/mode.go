package workerd

import "fmt"

// ModeName is the name of a failure mode.
type ModeName string

// Failure modes of a worker.
const (
	Normal ModeName = "normal"
	// Slow multiplies service times by Mode.Factor.
	Slow ModeName = "slow"
	// FailFast starts work and fails it immediately.
	FailFast ModeName = "fail-fast"
	// Hang starts work and does not finish it until the mode changes.
	Hang ModeName = "hang"
	// Refuse rejects all work as not run, without leaving.
	Refuse ModeName = "refuse"
	// Leave rejects all work as not run with Samphire-Leaving and registers as leaving.
	Leave ModeName = "leave"
	// LeaveSilently registers as leaving but keeps accepting work.
	LeaveSilently ModeName = "leave-silently"
	// Truncate sends truncated responses, alternately with a short Content-Length and with an aborted connection.
	Truncate ModeName = "truncate"
	// Swap responds with the worker's previous response.
	Swap ModeName = "swap"
)

// Mode is the body of PUT /mode.
type Mode struct {
	Mode ModeName `json:"mode"`
	// Factor multiplies service times in mode Slow.
	Factor float64 `json:"factor,omitempty"`
	// Probability is the share of requests that FailFast, Hang, Truncate and Swap affect; 0 means all.
	Probability float64 `json:"probability,omitempty"`
}

func (m Mode) validate() error {
	switch m.Mode {
	case Normal, FailFast, Hang, Refuse, Leave, LeaveSilently, Truncate, Swap:
	case Slow:
		if m.Factor <= 0 {
			return fmt.Errorf("mode slow: factor %v must be greater than 0", m.Factor)
		}
	default:
		return fmt.Errorf("unknown mode %q", m.Mode)
	}
	if m.Probability < 0 || m.Probability > 1 {
		return fmt.Errorf("probability %v must be between 0 and 1", m.Probability)
	}
	return nil
}

func (m Mode) leaving() bool { return m.Mode == Leave || m.Mode == LeaveSilently }

// speed is the progress of work per unit of time, where 1 is normal.
func (m Mode) speed() float64 {
	switch m.Mode {
	case Slow:
		return 1 / m.Factor
	case Hang:
		return 0
	}
	return 1
}
