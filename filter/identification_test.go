package filter

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/claim"
)

// Guards against an issue time outside the retention of a claim row: a resubmission would run the request a second
// time.
func TestIssueTimeMustBeNearTheClaim(t *testing.T) {
	now := time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		offset time.Duration
		ok     bool
	}{
		{-claim.MaxIssueAge - time.Second, false}, {-claim.MaxIssueAge, true}, {0, true}, {maxIssuedAhead, true}, {maxIssuedAhead + time.Second, false},
	} {
		_, err := parseIssued(now.Add(c.offset).Format(time.RFC3339), now)
		NewWithT(t).Expect(err == nil).To(Equal(c.ok), "%s", c.offset)
	}
}
