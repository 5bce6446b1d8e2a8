package owner

import (
	"context"
	"encoding/json"

	"samphirepoint/rows"
)

// Tables of the store. Each pool has two parts.
const (
	TableOwners = "owners"
	TableJobs   = "jobs"
	TableSpecs  = "specs"
	// TableCommits holds one row per part, which each transaction of the owner replaces.
	TableCommits = "commits"
	// OwnerKey is the name of the row that identifies a part's owner, lastTransactionKey that of the row that identifies its last
	// transaction.
	OwnerKey           = "owner"
	lastTransactionKey = "last"
)

// Claim is the value of the row that identifies an owner.
type Claim struct {
	Node        string `json:"n"`
	Incarnation string `json:"i"`
	Address     string `json:"a"`
	Token       int64  `json:"t"`
	// Attempt identifies the attempt that wrote the claim, as several of one daemon may be in progress.
	Attempt string `json:"x,omitempty"`
}

// ClaimKey returns the key of the row that identifies the owner of a part.
func ClaimKey(part string) rows.Key {
	return rows.Key{Table: TableOwners, Part: part, Name: OwnerKey}
}

// PresentClaim returns the claim in the row with the given key, and its version, or 0 if there is none.
func PresentClaim(key rows.Key, list []rows.Row) (Claim, int64) {
	var c Claim
	for _, r := range list {
		if r.Key == key {
			_ = json.Unmarshal(r.Value, &c) // A value that can't be decoded counts as a claim with token 0.
			return c, r.Ver
		}
	}
	return c, 0
}

// WriteClaim replaces the claim of a part that has the given version, 0 if there is none, and returns the version of the new one. It
// fails with a rows.Conflict if another claim has come first.
func WriteClaim(ctx context.Context, store rows.Store, part string, ver int64, c Claim) (int64, error) {
	value, err := json.Marshal(c)
	if err != nil {
		panic(err) // A Claim has no values that fail to encode.
	}
	return store.Transact(ctx, rows.Tx{
		Expected: []rows.Condition{ClaimCondition(part, ver)},
		Writes:   []rows.Write{{Key: ClaimKey(part), Value: value}},
	})
}

// ClaimCondition returns the condition that the claim with the given version is still current.
func ClaimCondition(part string, ver int64) rows.Condition {
	return rows.Condition{Key: ClaimKey(part), Ver: ver}
}
