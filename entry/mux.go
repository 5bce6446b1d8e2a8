package entry

import (
	"context"
	"net/http"
	"time"

	"samphirepoint/admin"
	"samphirepoint/membership"
	"samphirepoint/table"
)

// callerMux returns the handler for callers, operators, health checks and metrics.
func (e *Entry) callerMux() http.Handler {
	mux := http.NewServeMux()
	e.callerRoutes(mux)
	e.adminRoutes(mux)
	e.fleetRoutes(mux)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := e.notReadyReason(); reason != "" {
			http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /metrics", e.handleMetrics)
	return mux
}

func (e *Entry) peerMux() http.Handler {
	mux := http.NewServeMux()
	e.peerRoutes(mux)
	return mux
}

func (e *Entry) adminRoutes(mux *http.ServeMux) {
	admin.RegisterTable(mux, admin.TableOptions{
		Store:    e.tableStore(),
		Verifier: e.verifier,
		OnAccepted: func(ctx context.Context, doc *table.Document) (int, int, error) {
			e.config.Install(doc)
			installed, members := e.config.PushAccepted(ctx, doc)
			return installed, members, nil
		},
		Rollout: e.rollout,
		Log:     e.log,
	})
}

// rollout returns the configuration versions that the entries have in force.
func (e *Entry) rollout(context.Context) ([]admin.EntryVersion, error) {
	var list []admin.EntryVersion
	for _, m := range e.gossip.Members().Members {
		list = append(list, admin.EntryVersion{Entry: m.ID, Version: e.configVersionOf(m), AgeMillis: time.Since(m.HeartbeatAt).Milliseconds()})
	}
	return list, nil
}

func (e *Entry) configVersionOf(m membership.ObservedMember) int64 {
	if m.ID == e.cfg.ID {
		return e.config.Version()
	}
	return m.ConfigVersion
}

// tableStore returns the store for the administration of the table.
func (e *Entry) tableStore() *table.Store {
	return table.NewStore(e.platform, table.Options{Size: func() table.FleetSize {
		f := e.fleetView.Snapshot()
		if f == nil {
			return nil
		}
		return table.SizeOf(f)
	}})
}
