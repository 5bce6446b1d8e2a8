package simulation

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"samphirepoint/mover"
)

// BenchmarkCompare prints the measures of all policies on both deployments over 6 virtual hours.
func BenchmarkCompare(b *testing.B) {
	for range b.N {
		for seed := uint64(1); seed <= 3; seed++ {
			fmt.Printf("seed %d\n%s", seed, Table(Compare(seed, 6*time.Hour)))
		}
	}
}

// Guards against a learned policy that, in either deployment, keeps no less buffer than the fixed spare pool, makes more
// than a fifth of the greedy policy's moves, or blocks more work than the better of the two.
func TestLearnedBeatsBaselines(t *testing.T) {
	for _, d := range []Deployment{Inzira(), Hraunvik()} {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			const length = time.Hour
			fixed, greedy := Run(1, d, mover.Fixed{}, length), Run(1, d, &mover.Greedy{}, length)
			learned := Run(1, d, mover.NewLearned(d.Settings), length)
			t.Log("\n" + Table([]Result{fixed, greedy, learned}))
			g.Expect(learned.BufferSeconds).To(BeNumerically("<", fixed.BufferSeconds))
			g.Expect(learned.MovesPerHour).To(BeNumerically("<=", greedy.MovesPerHour/5))
			g.Expect(learned.BlockedShare).To(BeNumerically("<=", min(fixed.BlockedShare, greedy.BlockedShare)))
		})
	}
}
