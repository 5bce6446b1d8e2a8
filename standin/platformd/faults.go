package platformd

import (
	"net/http"
	"time"

	"samphirepoint/standin"
)

// Fault describes what is wrong with one service of the platform.
type Fault struct {
	// Down answers 503 before anything is touched.
	Down bool `json:"down,omitempty"`
	// Delay is added to each call, half before and half after it takes effect.
	Delay standin.Duration `json:"delay,omitempty"`
	// ReadsPerSecond and WritesPerSecond bound the rows that the service handles; answers to calls beyond wait for their
	// turn. 0 means no bound.
	ReadsPerSecond  float64 `json:"readsPerSecond,omitempty"`
	WritesPerSecond float64 `json:"writesPerSecond,omitempty"`
	// LoseReplies is the number of next writes that take effect and whose connection is then closed without an answer.
	LoseReplies int `json:"loseReplies,omitempty"`
	// LoseProbability is the probability of the same for each write.
	LoseProbability float64 `json:"loseProbability,omitempty"`
}

// Faults is the body of PUT /faults; it replaces all earlier faults.
type Faults struct {
	Table     Fault `json:"table"`
	Objects   Fault `json:"objects"`
	Instances Fault `json:"instances"`
	// ListLag is the age of the instance list.
	ListLag standin.Duration `json:"listLag,omitempty"`
}

// SetFaults replaces all faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults that are switched on, with the replies that are still to be lost.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// effect does the work of a call under the mutex and returns the answer.
type effect func() reply

type faultOf func(*Faults) *Fault

func (s *Server) run(f faultOf, do effect, writes bool) (answer reply, lost bool, turn time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := f(&s.faults)
	if fault.Down {
		s.counters.Refused++
		return reply{status: http.StatusServiceUnavailable, raw: []byte("down")}, false, 0
	}
	answer = do()
	if writes {
		turn = takeTurn(s.writes, fault, fault.WritesPerSecond, answer.rows)
	} else {
		turn = takeTurn(s.reads, fault, fault.ReadsPerSecond, answer.rows)
	}
	if writes && answer.status < 300 && s.lose(fault) {
		s.counters.LostReplies++
		lost = true
	}
	return answer, lost, turn
}

// takeTurn uses up capacity for a number of rows and returns the time until it is free.
func takeTurn(used map[*Fault]time.Time, service *Fault, perSecond float64, rows int) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	now, from := time.Now(), used[service]
	if from.Before(now) {
		from = now
	}
	used[service] = from.Add(time.Duration(float64(max(rows, 1)) / perSecond * float64(time.Second)))
	return used[service].Sub(now)
}

func (s *Server) lose(f *Fault) bool {
	if f.LoseReplies > 0 {
		f.LoseReplies--
		return true
	}
	return f.LoseProbability > 0 && s.random.Float64() < f.LoseProbability
}
