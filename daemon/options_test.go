package daemon

import (
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/platform"
)

// Guards against features in a deployment whose settings don't name their contract, and against their absence in one whose do.
func TestFeaturesFollowTheContracts(t *testing.T) {
	g := NewWithT(t)
	g.Expect(options(&platform.Settings{}).Ejection).To(BeFalse())
	g.Expect(options(&platform.Settings{}).Ranked).To(BeFalse())
	g.Expect(options(&platform.Settings{Contracts: []string{"quota", platform.ContractHealth}}).Ejection).To(BeTrue())
	g.Expect(options(&platform.Settings{Contracts: []string{platform.ContractPressure}}).Ranked).To(BeTrue())
}
