// Package claim ensures that non-idempotent work runs at most once. Before such a request is sent to a worker, its
// owner creates a claim row in the platform's table. Only the process that created the row may send the request, and
// only once; no process runs a request whose claim another process holds. The outcome is recorded in the same
// row, so that a resubmission is answered with the recorded outcome.
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

// prefixOutcomes is the object store prefix of outcomes that are too long for a row.
const prefixOutcomes = "outcomes/"

// maxInlineBytes is the longest response body that is stored in the claim row itself.
const maxInlineBytes = 4 << 10

// Retention is the time for which a final row protects its key.
const Retention = 24 * time.Hour

// MaxIssueAge is the greatest accepted age of Idempotency-Issued. It leaves an hour for clock
// differences and for the request itself before the row may be deleted.
const MaxIssueAge = 23 * time.Hour

// State of a claim row.
type State string

const (
	// Claimed means that the owner may send the request or has sent it.
	Claimed State = "claimed"
	// Done means that the outcome is recorded.
	Done State = "done"
	// Released means that the request certainly did not run; the key may be claimed again.
	Released State = "released"
)

// Record is the value of a claim row.
type Record struct {
	ClaimID string `json:"claimId"`
	// Owner is the process that holds the claim: entry id and start time.
	Owner       string    `json:"owner"`
	State       State     `json:"state"`
	RequestHash string    `json:"requestHash"`
	Outcome     Outcome   `json:"outcome,omitzero"`
	Updated     time.Time `json:"updated"`
}

// Outcome is the reply that the caller received or would have received.
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

// ParsedVerdict returns the verdict of the outcome, or MayHaveRun if it cannot be parsed.
func (o Outcome) ParsedVerdict() verdict.Verdict {
	v, err := verdict.Parse(o.Verdict)
	if err != nil {
		return verdict.MayHaveRun
	}
	return v
}

// RowKey returns the row key of an idempotency key's claim. The issue time is part of the row key, so that a key with
// an explicit issue time can be rejected by its age after its row was deleted.
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
		return Record{}, fmt.Errorf("decoding claim row: %w", err)
	}
	return r, nil
}
