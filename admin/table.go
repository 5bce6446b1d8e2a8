// Package admin implements the HTTP API for operators and its client.
package admin

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"samphirepoint/auth"
	"samphirepoint/table"
)

// Paths of the routes for the table.
const (
	PathTable        = "/admin/table"
	PathTableDraft   = "/admin/table/draft"
	PathTableAccept  = "/admin/table/accept"
	PathTableHistory = "/admin/table/history"
	PathTableDiff    = "/admin/table/diff"
	PathTableRollout = "/admin/table/rollout"
	PathTableCSV     = "/admin/table/csv"
)

const (
	// maxBodyBytes limits request bodies. The table takes about 50 KB at the fleet size expected in two years.
	maxBodyBytes = 1 << 20
	// requestTimeout limits the processing of one request. Processing continues if the caller disconnects, so that a write is
	// not left with an unresolved outcome.
	requestTimeout = 15 * time.Second
	// pushTimeout limits the wait for a majority. An entry that has not installed a version within 7 s has stopped serving,
	// so a longer wait gives the operator no further information.
	pushTimeout = 7 * time.Second
	// defaultHistoryLimit is the number of records returned if the request sets no limit.
	defaultHistoryLimit = 20
)

// TableOptions holds the dependencies of the routes for the table.
type TableOptions struct {
	Store    *table.Store
	Verifier auth.Verifier
	// OnAccepted is called after an accept is committed. It installs the document, pushes it to the peers and returns, when ctx
	// ends at the latest, how many of the members have it; the push may continue after that. An error is reported to the
	// operator and does not revert the accept.
	OnAccepted func(ctx context.Context, doc *table.Document) (installed, members int, err error)
	// Rollout returns the version that each entry last reported.
	Rollout func(ctx context.Context) ([]EntryVersion, error)
	// Moves counts the instance moves for previews, which omit the count if Moves is nil.
	Moves table.MoveCounter
	Log   zerolog.Logger
}

// EntryVersion is the table version that an entry last reported.
type EntryVersion struct {
	Entry   string `json:"entry"`
	Version int64  `json:"version"`
	// AgeMillis is the age of this information in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
}

// RolloutReply is the reply to GET /admin/table/rollout.
type RolloutReply struct {
	// Accepted is the version in force, or the highest version of an entry if the table is unavailable.
	Accepted int64 `json:"accepted"`
	// TableError is the reason why the version in force could not be read.
	TableError string         `json:"tableError,omitempty"`
	Entries    []EntryVersion `json:"entries"`
}

// DraftReply is the reply of the draft, diff and CSV import routes.
type DraftReply struct {
	// Base is the accepted version. Draft is the row version of the draft, or 0 if there is none.
	Base  int64 `json:"base"`
	Draft int64 `json:"draft"`
	// Operator is the name of the caller as it appears in Changes and the history.
	Operator string `json:"operator"`
	// Document is omitted from the diff, and while there are conflicts.
	Document *table.Document `json:"document,omitempty"`
	Changes  []table.Change  `json:"changes"`
	// Problems lists what is invalid in the draft and prevents accepting it.
	Problems []table.Problem `json:"problems,omitempty"`
	// Conflicts lists the cells of a draft on an older version that have changed in the table since.
	Conflicts []table.Conflict `json:"conflicts,omitempty"`
	Preview   *table.Preview   `json:"preview,omitempty"`
}

// AcceptBody is the body of POST /admin/table/accept.
type AcceptBody struct {
	// Operation identifies the request; a resubmission returns the version of the first one.
	Operation string `json:"operation"`
	Reason    string `json:"reason"`
	// Draft is the row version of the reviewed draft; 0 accepts the draft without this check.
	Draft int64 `json:"draft,omitempty"`
}

// AcceptReply is the reply to POST /admin/table/accept.
type AcceptReply struct {
	Version int64 `json:"version"`
	// Accepted reports that a majority of the members has the version or a later one.
	Accepted bool `json:"accepted"`
	// Repeated reports that the operation had been accepted before.
	Repeated  bool `json:"repeated,omitempty"`
	Installed int  `json:"installed"`
	Members   int  `json:"members"`
	// Message is "accepted as version n" or "written as version n, installed by k of m entries".
	Message string `json:"message"`
}

// ErrorBody is the body of all error replies.
type ErrorBody struct {
	Error string `json:"error"`
	// Cell and Expected are those of the first problem or conflict.
	Cell      string           `json:"cell,omitempty"`
	Expected  string           `json:"expected,omitempty"`
	Problems  []table.Problem  `json:"problems,omitempty"`
	Conflicts []table.Conflict `json:"conflicts,omitempty"`
}
