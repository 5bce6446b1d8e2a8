package workerd

import (
	"net/http"
	"time"

	"samphirepoint/standin"
)

// Close ends the worker at once, as a kill does. The registration expires by itself.
func (s *Server) Close() {
	s.lifeMu.Lock()
	if s.isClosed() {
		s.lifeMu.Unlock()
		return
	}
	close(s.closed)
	l := s.listener
	s.listener = nil
	if s.cancel != nil {
		s.cancel()
	}
	s.lifeMu.Unlock()
	s.switchOff()
	if l != nil {
		l.Close()
	}
	s.loops.Wait()
}

func (s *Server) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// Reboot drops all work and connections and returns after the downtime, without the drain. The mode stays.
func (s *Server) Reboot(downtime time.Duration) {
	s.lifeMu.Lock()
	defer s.lifeMu.Unlock()
	if s.isClosed() || s.listener == nil {
		return
	}
	l := s.listener
	s.listener = nil
	s.journal.add(Event{Worker: s.options.ID, Kind: Reboot})
	s.switchOff()
	s.loops.Add(1)
	go func() {
		defer s.loops.Done()
		l.Close()
		s.comeBack(downtime)
	}()
}

// comeBack waits and listens again on the same port, which an outgoing connection of another process may
// hold for a while.
func (s *Server) comeBack(downtime time.Duration) {
	for wait := downtime; ; wait = relistenInterval {
		select {
		case <-s.closed:
			return
		case <-time.After(wait):
		}
		if s.relisten() {
			return
		}
	}
}

func (s *Server) relisten() bool {
	s.lifeMu.Lock()
	defer s.lifeMu.Unlock()
	if s.isClosed() {
		return true
	}
	ln, err := s.network().Listen(s.address)
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.off = false
	s.mu.Unlock()
	s.Drain(false)
	s.serve(ln)
	return true
}

func (s *Server) isOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.off
}

// RebootQuery is the optional body of POST /reboot.
type RebootQuery struct {
	DownMs int `json:"downMs"`
}

func (s *Server) handleReboot(w http.ResponseWriter, r *http.Request) {
	downtime := defaultDowntime
	if r.ContentLength != 0 {
		var q RebootQuery
		if !standin.ReadJSON(w, r, &q) {
			return
		}
		if q.DownMs > 0 {
			downtime = time.Duration(q.DownMs) * time.Millisecond
		}
	}
	w.WriteHeader(http.StatusAccepted)
	_ = http.NewResponseController(w).Flush() // the answer leaves before the connection is dropped
	go s.Reboot(downtime)
}
