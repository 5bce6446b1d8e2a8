package daemon

import (
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/platform"
)

// Guards against ejection in a deployment whose settings don't name the contract, and against its absence in one whose do.
func TestEjectionFollowsTheHealthContract(t *testing.T) {
	g := NewWithT(t)
	g.Expect(options(&platform.Settings{}).Ejection).To(BeFalse())
	g.Expect(options(&platform.Settings{Contracts: []string{"quota", platform.ContractHealth}}).Ejection).To(BeTrue())
}
