// Package admin is the HTTP interface for operators and its client.
package admin

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"samphirepoint/auth"
	"samphirepoint/table"
)

// Paths of the table's routes.
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
	// maxBodyBytes bounds request bodies. The table takes about 50 KB at the two-year size.
	maxBodyBytes = 1 << 20
	// tableTimeout bounds the work on one request, which goes on if the caller disconnects, so
	// that a lost caller does not leave a write half resolved.
	tableTimeout = 15 * time.Second
	// pushTimeout bounds the wait for a majority. An entry that has not installed a version within 7 s
	// has stopped serving, so a longer wait tells the operator nothing new.
	pushTimeout = 7 * time.Second
	// defaultHistory is the number of records returned if the caller names none.
	defaultHistory = 20
)

// TableOptions are the parts that serve the table's routes.
type TableOptions struct {
	Store    *table.Store
	Verifier auth.Verifier
	// OnAccepted is called after the commit of an accept. It installs the document, pushes it to
	// the peers and returns how many of the members have it, at the latest when ctx ends; the push may
	// go on after that. An error is shown to the operator and does not undo the accept.
	OnAccepted func(ctx context.Context, doc *table.Document) (installed, members int, err error)
	// Rollout returns the version that each entry is known to have.
	Rollout func(ctx context.Context) ([]EntryVersion, error)
	// Moves counts the instance moves for previews; nil leaves them out.
	Moves table.MoveCounter
	Log   zerolog.Logger
}

// EntryVersion is the version of the table that an entry has.
type EntryVersion struct {
	Entry   string `json:"entry"`
	Version int64  `json:"version"`
	// AgeMillis is the time since this was learned, in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
}

// RolloutReply is the answer of GET /admin/table/rollout.
type RolloutReply struct {
	// Accepted is the version in force, or the highest version of an entry if the table does not answer.
	Accepted int64 `json:"accepted"`
	// TableError says why the version in force could not be read.
	TableError string         `json:"tableError,omitempty"`
	Entries    []EntryVersion `json:"entries"`
}

// DraftReply is the answer of the draft, diff and CSV import routes.
type DraftReply struct {
	// Base is the accepted version and Draft the row version of the draft, 0 for no draft.
	Base  int64 `json:"base"`
	Draft int64 `json:"draft"`
	// Operator is the name of the caller, as Changes and the history show it.
	Operator string `json:"operator"`
	// Document is left out of the diff, and while there are conflicts.
	Document *table.Document `json:"document,omitempty"`
	Changes  []table.Change  `json:"changes"`
	// Problems keep the draft from being accepted.
	Problems []table.Problem `json:"problems,omitempty"`
	// Conflicts are cells of a draft on an older version that were changed since.
	Conflicts []table.Conflict `json:"conflicts,omitempty"`
	Preview   *table.Preview   `json:"preview,omitempty"`
}

// AcceptBody is the body of POST /admin/table/accept.
type AcceptBody struct {
	// Operation identifies the request; a repeat returns the version of the first one.
	Operation string `json:"operation"`
	Reason    string `json:"reason"`
	// Draft is the row version of the reviewed draft; 0 accepts whatever is in the draft.
	Draft int64 `json:"draft,omitempty"`
}

// AcceptReply is the answer of POST /admin/table/accept.
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

// ErrorBody is the body of every error.
type ErrorBody struct {
	Error string `json:"error"`
	// Cell and Expected are those of the first problem or conflict.
	Cell      string           `json:"cell,omitempty"`
	Expected  string           `json:"expected,omitempty"`
	Problems  []table.Problem  `json:"problems,omitempty"`
	Conflicts []table.Conflict `json:"conflicts,omitempty"`
}
