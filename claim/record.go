// Package claim keeps non-idempotent work at most once. Before such a request goes to a worker its
// owner creates a claim row in the platform's table; only the process that created the row may send the
// request, once, and nobody ever runs a request whose claim another process holds. The outcome is
// recorded in the same row, so a repeat of the key gets the recorded outcome.
package claim

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirepoint/verdict"
)

// Prefix of claim rows in the platform's table.
const Prefix = "claims/"

// prefixOutcomes holds outcomes in the object store that are too long for a row.
const prefixOutcomes = "outcomes/"

// maxInlineBytes is the longest answer that is kept in the claim row itself.
const maxInlineBytes = 4 << 10

// Retention is the time for which a final row protects its key.
const Retention = 24 * time.Hour

// MaxIssueAge is the oldest accepted Idempotency-Issued; it leaves an hour for clock
// differences and for the request itself before the row may be deleted.
const MaxIssueAge = 23 * time.Hour

// State of a claim row.
type State string

const (
	// Claimed means the owner may send the request or has sent it.
	Claimed State = "claimed"
	// Done means the outcome is recorded.
	Done State = "done"
	// Released means the request provably did not run; the key may be claimed again.
	Released State = "released"
)

// Record is the value of a claim row.
type Record struct {
	ClaimID string `json:"claimId"`
	// Owner is the process that holds the claim: entry id and incarnation.
	Owner       string    `json:"owner"`
	State       State     `json:"state"`
	RequestHash string    `json:"requestHash"`
	Outcome     Outcome   `json:"outcome,omitzero"`
	Updated     time.Time `json:"updated"`
}

// Outcome is what a caller was or would have been told.
type Outcome struct {
	Verdict     string `json:"verdict,omitempty"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Worker      string `json:"worker,omitempty"`
	Error       string `json:"error,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Object names the body in the object store if it is too long for the row.
	Object string `json:"object,omitempty"`
}

// ParsedVerdict is the verdict of the outcome.
func (o Outcome) ParsedVerdict() verdict.Verdict {
	v, err := verdict.Parse(o.Verdict)
	if err != nil {
		return verdict.MayHaveRun
	}
	return v
}

// RowKey names the claim row of a key. The issue time is part of the identity, so that a key with an
// explicit issue time can be refused by age after its row was deleted.
func RowKey(backer, queue, key string, issued time.Time) string {
	h := xxhash.New()
	stamp := ""
	if !issued.IsZero() {
		stamp = issued.UTC().Format(time.RFC3339Nano)
	}
	fmt.Fprintf(h, "%d:%s%d:%s%s", len(queue), queue, len(key), key, stamp)
	first := h.Sum64()
	// A second hash over the same text with a prefix makes accidental collisions of
	// different keys negligible (128 bits).
	h.Reset()
	fmt.Fprintf(h, "second%d:%s%d:%s%s", len(queue), queue, len(key), key, stamp)
	return fmt.Sprintf("%s%s/%016x%016x", Prefix, backer, first, h.Sum64())
}

func encode(r Record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// Record holds only strings, numbers and times, which always encode.
		panic(err)
	}
	return data
}

func decode(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("claim row: %w", err)
	}
	return r, nil
}
