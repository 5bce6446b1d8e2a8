package platformd

import (
	"net/http"
	"time"

	"samphirepoint/standin"
)

// Fault describes the injected faults of one service of the platform.
type Fault struct {
	// Down rejects all calls with 503, without effect.
	Down bool `json:"down,omitempty"`
	// Delay is added to each call, half before and half after it takes effect.
	Delay standin.Duration `json:"delay,omitempty"`
	// ReadsPerSecond and WritesPerSecond bound the rows that the service handles; responses to calls beyond that are
	// delayed. 0 means no bound.
	ReadsPerSecond  float64 `json:"readsPerSecond,omitempty"`
	WritesPerSecond float64 `json:"writesPerSecond,omitempty"`
	// LoseReplies is the number of upcoming writes that take effect and whose connection is then closed without a reply.
	LoseReplies int `json:"loseReplies,omitempty"`
	// LoseProbability is the probability that the reply to a write is lost in the same way.
	LoseProbability float64 `json:"loseProbability,omitempty"`
}

// Faults is the body of PUT /faults; it replaces all previous faults.
type Faults struct {
	Table     Fault `json:"table"`
	Objects   Fault `json:"objects"`
	Instances Fault `json:"instances"`
	// ListLag is the lag of the instance list.
	ListLag standin.Duration `json:"listLag,omitempty"`
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the active faults, with the number of replies that are still to be lost.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// operation executes a call under the mutex and returns the reply.
type operation func() reply

type faultSelector func(*Faults) *Fault

func (s *Server) apply(f faultSelector, do operation, writes bool) (result reply, lost bool, queueDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := f(&s.faults)
	if fault.Down {
		s.counters.Refused++
		return reply{status: http.StatusServiceUnavailable, raw: []byte("down")}, false, 0
	}
	result = do()
	if writes {
		queueDelay = reserveCapacity(s.writesBusyUntil, fault, fault.WritesPerSecond, result.rows)
	} else {
		queueDelay = reserveCapacity(s.readsBusyUntil, fault, fault.ReadsPerSecond, result.rows)
	}
	if writes && result.status < 300 && s.losesReply(fault) {
		s.counters.LostReplies++
		lost = true
	}
	return result, lost, queueDelay
}

// reserveCapacity reserves the service's capacity for a number of rows and returns the time until they are handled.
func reserveCapacity(busyUntil map[*Fault]time.Time, service *Fault, perSecond float64, rows int) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	now, from := time.Now(), busyUntil[service]
	if from.Before(now) {
		from = now
	}
	busyUntil[service] = from.Add(time.Duration(float64(max(rows, 1)) / perSecond * float64(time.Second)))
	return busyUntil[service].Sub(now)
}

func (s *Server) losesReply(f *Fault) bool {
	if f.LoseReplies > 0 {
		f.LoseReplies--
		return true
	}
	return f.LoseProbability > 0 && s.random.Float64() < f.LoseProbability
}
