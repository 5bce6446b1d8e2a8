package verdict_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/verdict"
)

// Guards against an unclassified error being read as a safe rejection, after which the caller would submit the work again.
func TestUnclassifiedErrorMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	g.Expect(verdict.Of(errors.New("reset by peer"))).To(Equal(verdict.MayHaveRun))
	v, err := verdict.Parse("notrun")
	g.Expect(err).To(HaveOccurred())
	g.Expect(v).To(Equal(verdict.MayHaveRun))
}

// The outermost verdict takes precedence, because the outer layer knows more.
func TestWrapReplacesVerdictAndKeepsRetryAfter(t *testing.T) {
	g := NewWithT(t)
	err := verdict.Unavailable(2*time.Second, "table down")
	err = verdict.Wrap(err, verdict.MayHaveRun, http.StatusBadGateway)
	g.Expect(verdict.Of(err)).To(Equal(verdict.MayHaveRun))
	g.Expect(verdict.Status(err)).To(Equal(http.StatusBadGateway))
	g.Expect(verdict.RetryAfter(err)).To(Equal(2 * time.Second))
}
