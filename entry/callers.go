package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"samphirepoint/auth"
	"samphirepoint/filter"
	"samphirepoint/forward"
	"samphirepoint/job"
	"samphirepoint/membership"
	"samphirepoint/peer"
	"samphirepoint/verdict"
)

// callerRoutes adds the routes for callers.
func (e *Entry) callerRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/queues/{queue}/requests", e.handleRequest)
	mux.HandleFunc("DELETE /v1/requests/{id}", e.handleCancel)
	mux.HandleFunc("POST /v1/queues/{queue}/jobs", e.handleJob)
	mux.HandleFunc("GET /v1/jobs/{id}", e.handleJobStatus)
	mux.HandleFunc("DELETE /v1/jobs/{id}", e.handleJobCancel)
	mux.HandleFunc("GET /v1/jobs/{id}/result", e.handleJobResult)
}

// peerRoutes adds the routes for other entries.
func (e *Entry) peerRoutes(mux *http.ServeMux) {
	mux.Handle(peer.PathPrefix, e.gossip.Handler())
	mux.HandleFunc("POST "+forward.Path, e.handleForwarded)
	mux.HandleFunc("POST "+forward.CancelPath, e.requirePeer(e.handlePeerCancel))
	mux.HandleFunc("GET "+forward.CancelPath, e.requirePeer(e.handlePeerInFlight))
	mux.HandleFunc("POST "+forward.NotifyPath, e.requirePeer(e.handlePeerNotify))
	mux.HandleFunc("GET "+forward.DemandPath, e.requirePeer(e.handleDemand))
}

func (e *Entry) newContext(w http.ResponseWriter, r *http.Request) *filter.Context {
	return &filter.Context{Ctx: r.Context(), HTTP: r, Writer: w, QueueName: r.PathValue("queue"), Log: e.log}
}

func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request) {
	e.serve(w, e.newContext(w, r), e.requests)
}

func (e *Entry) handleForwarded(w http.ResponseWriter, r *http.Request) {
	e.forwarded.Add(1)
	defer e.forwarded.Add(-1)
	c := e.newContext(w, r)
	forward.Options(r, c)
	e.serve(w, c, e.requests)
}

func (e *Entry) handleJob(w http.ResponseWriter, r *http.Request) {
	e.serve(w, e.newContext(w, r), e.jobChain)
}

// serve runs a chain and writes the result. A leaving entry closes each connection after its answer, so that no client
// can send a request on an idle connection while the listener closes.
func (e *Entry) serve(w http.ResponseWriter, c *filter.Context, chain filter.Chain) {
	start := time.Now()
	chain.Serve(c)
	took := time.Since(start)
	e.stats.countRequest(c, took)
	if c.Err != nil {
		c.Log.Info().Err(c.Err).Str("verdict", c.Verdict().String()).Int("status", verdict.Status(c.Err)).Dur("after", took).Bool("forwarded", c.Forwarded).Msg("request refused")
	}
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if c.Job != nil {
		e.writeAccepted(w, c)
		return
	}
	writeResult(w, c)
}

func (e *Entry) writeAccepted(w http.ResponseWriter, c *filter.Context) {
	w.Header().Set("Location", "/v1/jobs/"+c.Job.ID)
	writeJSON(w, http.StatusAccepted, newJobStatus(c.Job))
}

// jobStatus is the JSON body that describes a job to callers.
type jobStatus struct {
	ID      string    `json:"id"`
	Queue   string    `json:"queue"`
	State   job.State `json:"state"`
	Verdict string    `json:"verdict,omitempty"`
	Worker  string    `json:"worker,omitempty"`
	Status  int       `json:"status,omitempty"`
	// CancelRequested is set until the worker has confirmed the stop.
	CancelRequested bool       `json:"cancelRequested,omitempty"`
	Error           string     `json:"error,omitempty"`
	Accepted        time.Time  `json:"accepted"`
	Updated         time.Time  `json:"updated"`
	Deadline        *time.Time `json:"deadline,omitempty"`
}

func newJobStatus(rec *job.Record) jobStatus {
	s := jobStatus{ID: rec.ID, Queue: rec.Queue, State: rec.State, Verdict: rec.Verdict, Worker: rec.Worker, Error: rec.Error, Accepted: rec.Accepted, Updated: rec.Updated}
	if rec.State.Final() && rec.State != job.Cancelled {
		s.Status = rec.Status
	}
	s.CancelRequested = rec.CancelRequested && !rec.State.Final()
	if !rec.Deadline.IsZero() {
		s.Deadline = &rec.Deadline
	}
	return s
}

// loadJob reads a job of the calling backer, or writes the error response and returns false.
func (e *Entry) loadJob(w http.ResponseWriter, r *http.Request) (*job.Record, bool) {
	principal, err := e.identify(r, auth.RoleBacker)
	if err != nil {
		writeError(w, err)
		return nil, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), platformTimeout)
	defer cancel()
	rec, err := e.jobStore.Find(ctx, r.PathValue("id"))
	if err != nil {
		writeError(w, verdict.WithRetryAfter(verdict.Wrap(err, verdict.MayHaveRun, http.StatusServiceUnavailable), time.Second))
		return nil, false
	}
	if rec == nil || rec.Backer != principal.Name {
		writeError(w, verdict.New(verdict.NotRun, http.StatusNotFound, "this backer has no job %q", r.PathValue("id")))
		return nil, false
	}
	return rec, true
}

func (e *Entry) handleJobStatus(w http.ResponseWriter, r *http.Request) {
	if rec, ok := e.loadJob(w, r); ok {
		writeJSON(w, http.StatusOK, newJobStatus(rec))
	}
}

func (e *Entry) handleJobCancel(w http.ResponseWriter, r *http.Request) {
	rec, ok := e.loadJob(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), platformTimeout)
	defer cancel()
	rec, err := e.jobStore.Cancel(ctx, rec.ID)
	if err != nil || rec == nil {
		writeError(w, verdict.WithRetryAfter(verdict.New(verdict.MayHaveRun, http.StatusServiceUnavailable, "cancel was not recorded: %v", err), time.Second))
		return
	}
	e.notifyOwner(r.Context(), rec)
	writeJSON(w, http.StatusAccepted, newJobStatus(rec))
}

func (e *Entry) handleJobResult(w http.ResponseWriter, r *http.Request) {
	rec, ok := e.loadJob(w, r)
	if !ok {
		return
	}
	if !rec.State.Final() {
		writeError(w, verdict.WithRetryAfter(verdict.New(verdict.MayHaveRun, http.StatusConflict, "job is %s", rec.State), time.Second))
		return
	}
	if rec.Error != "" {
		v, _ := verdict.Parse(rec.Verdict)
		writeError(w, verdict.New(v, http.StatusConflict, "job is %s: %s", rec.State, rec.Error))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), platformTimeout)
	defer cancel()
	body, err := e.jobStore.Result(ctx, rec)
	if err != nil {
		writeError(w, verdict.WithRetryAfter(verdict.Wrap(err, verdict.Ran, http.StatusServiceUnavailable), time.Second))
		return
	}
	writeBody(w, http.StatusOK, "application/json", body)
}

// handleCancel cancels a request of the calling backer at the entry that works on it.
func (e *Entry) handleCancel(w http.ResponseWriter, r *http.Request) {
	principal, err := e.identify(r, auth.RoleBacker)
	if err != nil {
		writeError(w, err)
		return
	}
	id := r.PathValue("id")
	if e.cancel(r.Context(), id, principal.Name) {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	var silent []string
	for _, entryID := range e.cancelTargets(id) {
		known, err := e.forwarder.Cancel(r.Context(), entryID, id+"@"+principal.Name)
		if err != nil {
			silent = append(silent, entryID)
		}
		if known {
			w.WriteHeader(http.StatusAccepted)
			return
		}
	}
	if len(silent) > 0 {
		err := verdict.New(verdict.MayHaveRun, http.StatusServiceUnavailable, "request %q may be in flight at %s, which could not be reached", id, strings.Join(silent, ", "))
		writeError(w, verdict.WithRetryAfter(err, time.Second))
		return
	}
	writeError(w, verdict.New(verdict.MayHaveRun, http.StatusNotFound, "this backer has no request %q in flight", id))
}

// cancelTargets returns the entry that generated the request id, or all other entries if a caller chose the id. Suspect
// entries may still run the request; one that was leaving before it became suspect has exited.
func (e *Entry) cancelTargets(id string) []string {
	members := e.gossip.Members()
	if entryID, _, ok := strings.Cut(id, "."); ok {
		if _, known := members.Member(entryID); known {
			return []string{entryID}
		}
	}
	var ids []string
	for _, m := range members.Members {
		exited := m.Leaving && m.Status == membership.Suspect
		if m.ID != e.cfg.ID && !exited {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// cancel cancels a request in flight at this entry, and forwards the cancel if another entry works on it. It reports
// whether the request is in flight here.
func (e *Entry) cancel(ctx context.Context, id, backer string) bool {
	forwardedTo, found := e.tracker.cancel(id, backer)
	for _, entryID := range forwardedTo {
		if known, err := e.forwarder.Cancel(ctx, entryID, id+"@"+backer); err != nil || !known {
			e.tracker.cancelHere(id, backer)
		}
	}
	return found
}

func (e *Entry) handlePeerCancel(w http.ResponseWriter, r *http.Request) {
	id, backer := splitCancelID(r.PathValue("id"))
	if !e.cancel(r.Context(), id, backer) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// splitCancelID splits id + "@" + backer. Ids may contain the separator, so the last one counts.
func splitCancelID(s string) (id, backer string) {
	i := strings.LastIndexByte(s, '@')
	if i < 0 {
		return s, ""
	}
	return s[:i], s[i+1:]
}

func (e *Entry) handlePeerInFlight(w http.ResponseWriter, r *http.Request) {
	if !e.tracker.inFlight(r.PathValue("id")) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Entry) handlePeerNotify(w http.ResponseWriter, r *http.Request) {
	e.jobs.Notify(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

// notifyOwner notifies the owner of a job's pool of a new or changed row. A lost notification delays the job by at
// most one scan interval.
func (e *Entry) notifyOwner(ctx context.Context, rec *job.Record) {
	owner, ok := e.gossip.Owner(rec.Pool)
	if !ok || owner.ID == e.cfg.ID {
		e.jobs.Notify(rec.ID)
		return
	}
	if err := e.forwarder.Notify(context.WithoutCancel(ctx), owner.ID, rec.ID); err != nil {
		e.log.Warn().Err(err).Str("job", rec.ID).Str("owner", owner.ID).Msg("owner could not be notified of the job")
	}
}

// identify authenticates the sender and checks its role.
func (e *Entry) identify(r *http.Request, role auth.Role) (auth.Principal, error) {
	p, err := e.verifier.Identify(r)
	if err != nil {
		return p, err
	}
	if p.Role != role {
		return p, verdict.New(verdict.NotRun, http.StatusForbidden, "token has role %q, this request requires role %q", p.Role, role)
	}
	return p, nil
}

// requirePeer allows only other entries to call h.
func (e *Entry) requirePeer(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := e.identify(r, auth.RolePeer); err != nil {
			writeError(w, err)
			return
		}
		h(w, r)
	}
}
