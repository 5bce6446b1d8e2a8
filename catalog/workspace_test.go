package catalog

import (
	"testing"

	. "github.com/onsi/gomega"

	"samphirepoint/engine"
)

// Guards against a configuration in which it isn't clear whose a key is, or whose figures can't be met, and against rejecting the withdrawal of
// a workspace's last key.
func TestInvalidWorkspacesAreNamed(t *testing.T) {
	for text, list := range map[string][]Workspace{
		"":                             {{Name: "a", Keys: []string{"k"}}, {Name: "b"}},
		"has no name":                  {{Keys: []string{"k"}}},
		`two workspaces are named "a"`: {{Name: "a"}, {Name: "a"}},
		`workspaces "a" and "b" have a key in common`: {{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}}},
		"empty key":         {{Name: "a", Keys: []string{""}}},
		"weight":            {{Name: "a", Weight: -1}},
		"negative resource": {{Name: "a", Cap: engine.Resources{Mem: -1}}},
	} {
		c := Catalog{Workspaces: list}
		if text == "" {
			NewWithT(t).Expect(c.Check()).To(Succeed())
			continue
		}
		NewWithT(t).Expect(c.Check()).To(MatchError(ContainSubstring(text)))
	}
}
