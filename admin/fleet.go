package admin

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"samphirepoint/auth"
	"samphirepoint/fleet"
	"samphirepoint/instance"
	"samphirepoint/table"
	"samphirepoint/verdict"
)

// Paths of the routes for pools, moves and maintenance.
const (
	PathPools       = "/admin/pools"
	PathMoves       = "/admin/moves"
	PathMaintenance = "/admin/maintenance"
)

// FleetOptions holds the dependencies of the routes for pools, moves and maintenance.
type FleetOptions struct {
	Operations *fleet.Operations
	// Fleet returns the instance rows cached by this entry, or nil before the first read.
	Fleet func() *instance.Fleet
	// Document returns the accepted configuration, or nil before the first version.
	Document func() *table.Document
	Verifier auth.Verifier
	Now      func() time.Time
	Log      zerolog.Logger
}

// RegisterFleet adds the routes of pools, moves and maintenance to mux.
func RegisterFleet(mux *http.ServeMux, opt FleetOptions) {
	if opt.Now == nil {
		opt.Now = time.Now
	}
	h := &fleetHandler{opt}
	mux.HandleFunc("GET "+PathPools, h.handler(auth.RoleViewer, h.pools))
	mux.HandleFunc("GET "+PathPools+"/{pool}", h.handler(auth.RoleViewer, h.pool))
	mux.HandleFunc("POST "+PathPools+"/{pool}/move", h.handler(auth.RoleOperator, h.move))
	mux.HandleFunc("POST "+PathPools+"/{pool}/grow", h.handler(auth.RoleOperator, h.grow))
	mux.HandleFunc("POST "+PathPools+"/{pool}/shrink", h.handler(auth.RoleOperator, h.shrink))
	mux.HandleFunc("GET "+PathMoves, h.handler(auth.RoleViewer, h.moves))
	mux.HandleFunc("DELETE "+PathMoves+"/{id}", h.handler(auth.RoleOperator, h.cancelMove))
	mux.HandleFunc("GET "+PathMaintenance, h.handler(auth.RoleViewer, h.waves))
	mux.HandleFunc("POST "+PathMaintenance, h.handler(auth.RoleOperator, h.plan))
	mux.HandleFunc("GET "+PathMaintenance+"/{id}", h.handler(auth.RoleViewer, h.wave))
	mux.HandleFunc("POST "+PathMaintenance+"/{id}/{action}", h.handler(auth.RoleOperator, h.changeWave))
}

type fleetHandler struct{ opt FleetOptions }

func (h *fleetHandler) handler(role auth.Role, handle func(call) (any, error)) http.HandlerFunc {
	return newHandler(h.opt.Verifier, h.opt.Log, "fleet", role, handle)
}

// snapshot returns the fleet and the configuration cached by this entry.
func (h *fleetHandler) snapshot() (*instance.Fleet, *table.Document, error) {
	f, doc := h.opt.Fleet(), h.opt.Document()
	if f == nil || doc == nil {
		return nil, nil, verdict.Unavailable(time.Second, "this entry has not loaded the fleet yet")
	}
	return f, doc, nil
}

func notFound(format string, args ...any) error {
	return verdict.New(verdict.NotRun, http.StatusNotFound, format, args...)
}

func badRequest(format string, args ...any) error {
	return verdict.New(verdict.NotRun, http.StatusBadRequest, format, args...)
}

// operationID returns the operation id of a change in lower case; a resubmission must carry the same id. Its characters and
// length are restricted because it becomes part of row keys.
func (c call) operationID(body string) (string, error) {
	id := strings.ToLower(cmp.Or(body, c.idempotencyKey()))
	if len(id) > 64 || strings.HasPrefix(id, ".") || strings.ContainsFunc(id, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && !strings.ContainsRune("-_.", r)
	}) {
		return "", badRequest("operation %q: expected up to 64 of a-z, 0-9, -, _ and ., not starting with .", id)
	}
	return id, nil
}

func sortBy[T any, K cmp.Ordered](list []T, key func(T) K) []T {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return list
}
