package experiment_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/experiment"
	"samphirepoint/report"
)

// Two sets under one name, or with equal policies, would be compared with themselves.
func TestSetsDiffer(t *testing.T) {
	g := NewWithT(t)
	seen := map[experiment.Set]bool{}
	for _, s := range experiment.PolicySets() {
		found, err := experiment.PolicySetByName(s.Name)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found).To(Equal(s))
		s.Name = ""
		g.Expect(seen[s]).To(BeFalse())
		seen[s] = true
	}
	_, err := experiment.PolicySetByName("other")
	g.Expect(err).To(MatchError(ContainSubstring("expected one of system")))
}

// A backer that is starved in one run only must show in the text, which a mean alone hides.
func TestTextShowsSpreadOfShares(t *testing.T) {
	g := NewWithT(t)
	var r experiment.Result
	for seed, ratio := range []float64{0.1, 1.1} {
		m := report.Measures{Policy: "system", Deployment: "inzira", Seed: uint64(seed)}
		r.Runs = append(r.Runs, experiment.Trial{Set: "system", Measures: m,
			Shares: []report.BackerShare{{Backer: "a", Weight: 2, BackloggedSeconds: 3, Slots: ratio, ShortSlots: ratio}}})
		r.Comparisons = report.Compare([]report.Measures{m})
	}
	g.Expect(r.String()).To(ContainSubstring("0.60 [0.10, 1.10]"))
}
