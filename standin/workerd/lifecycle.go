package workerd

import (
	"net/http"
	"time"

	"samphirepoint/standin"
)

// Close terminates the worker immediately, as a kill does. The registration is left to expire.
func (s *Server) Close() {
	s.lifecycleMu.Lock()
	if s.isClosed() {
		s.lifecycleMu.Unlock()
		return
	}
	close(s.closed)
	l := s.listener
	s.listener = nil
	if s.stopRegistration != nil {
		s.stopRegistration()
	}
	s.lifecycleMu.Unlock()
	s.goOffline()
	if l != nil {
		l.Close()
	}
	s.background.Wait()
}

func (s *Server) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// Reboot drops all work and connections; the worker listens again after the downtime. A drain ends, the mode stays.
func (s *Server) Reboot(downtime time.Duration) {
	s.lifecycleMu.Lock()
	defer s.lifecycleMu.Unlock()
	if s.isClosed() || s.listener == nil {
		return
	}
	l := s.listener
	s.listener = nil
	s.journal.add(Event{Worker: s.options.ID, Kind: Reboot})
	s.goOffline()
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		l.Close()
		s.relistenAfter(downtime)
	}()
}

// relistenAfter waits for the downtime and listens again on the same port. It retries, since an outgoing connection of
// another process may use the port for a while.
func (s *Server) relistenAfter(downtime time.Duration) {
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
	s.lifecycleMu.Lock()
	defer s.lifecycleMu.Unlock()
	if s.isClosed() {
		return true
	}
	ln, err := s.network().Listen(s.address)
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.offline = false
	s.incarnation = max(s.incarnation+1, time.Now().UnixMilli())
	s.mu.Unlock()
	s.Drain(false)
	s.serve(ln)
	return true
}

func (s *Server) isOffline() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.offline
}

// RebootRequest is the optional body of POST /reboot.
type RebootRequest struct {
	DownMs int `json:"downMs"`
}

func (s *Server) handleReboot(w http.ResponseWriter, r *http.Request) {
	downtime := defaultDowntime
	if r.ContentLength != 0 {
		var q RebootRequest
		if !standin.ReadJSON(w, r, &q) {
			return
		}
		if q.DownMs > 0 {
			downtime = time.Duration(q.DownMs) * time.Millisecond
		}
	}
	w.WriteHeader(http.StatusAccepted)
	_ = http.NewResponseController(w).Flush() // sends the response before the connection is dropped
	go s.Reboot(downtime)
}
